package rig

import (
	"context"
	"strings"
	"testing"
)

// A change that is signalled, and one by a rolling restart, come into force in all sidecars; calls are counted before and
// meanwhile, and a signal loses none.
func TestChangesComeIntoForce(t *testing.T) {
	program, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), long)
	defer cancel()
	for _, restart := range []bool{false, true} {
		r, err := Change{Binary: program, Sidecars: 2, Endpoints: 3, Rate: 40, Seed: 1, Restart: restart, Wait: long}.Run(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if r.InForce != 2 || !(r.P50 > 0) || r.Last < r.P50 || r.Before.Served == 0 || r.Meanwhile.Served == 0 {
			t.Errorf("restart %v: %+v", restart, r)
		}
		if lost := r.Meanwhile.Failed + r.Meanwhile.Refused; !restart && lost > 0 {
			t.Errorf("%d calls were lost", lost)
		}
	}
}

// A change in more sidecars than are started is an error, and so is a file that is not there.
func TestChangesThatCannotBeMade(t *testing.T) {
	if _, err := (Change{Binary: "/nowhere", Sidecars: MaxProcesses + 1}).Run(t.Context()); err == nil || !strings.Contains(err.Error(), "301 sidecars") {
		t.Errorf("error %v", err)
	}
	if err := rewrite(t.TempDir()+"/none.json", nil); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("error %v", err)
	}
}
