package rig

import (
	"context"
	"strings"
	"testing"
)

// A change takes effect in all sidecars, by a signal and by a rolling restart. Calls are counted before and during it,
// and a change by signal loses none.
func TestSettingsChangesTakeEffect(t *testing.T) {
	program, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for _, restart := range []bool{false, true} {
		r, err := SettingsChange{
			Binary: program, Sidecars: 2, Endpoints: 3, Rate: 40, Seed: 1, RollingRestart: restart, Timeout: testTimeout,
		}.Run(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if r.Applied != 2 || !(r.P50 > 0) || r.Last < r.P50 || r.Before.Served == 0 || r.During.Served == 0 {
			t.Errorf("rolling restart %v: result %+v", restart, r)
		}
		if lost := r.During.Failed + r.During.Refused; !restart && lost > 0 {
			t.Errorf("%d calls were lost during a change by signal", lost)
		}
	}
}

// Too many sidecars are an error, and so is a configuration file that does not exist.
func TestImpossibleSettingsChangesAreErrors(t *testing.T) {
	if _, err := (SettingsChange{Binary: "/nowhere", Sidecars: MaxSidecars + 1}).Run(t.Context()); err == nil ||
		!strings.Contains(err.Error(), "301 sidecars") {
		t.Errorf("error %v", err)
	}
	if err := replaceSettings(t.TempDir()+"/none.json", nil); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("error %v", err)
	}
}
