package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The sidecar links none of the laboratory's libraries: it is small, and there is one on every machine.
func TestTheSidecarLinksNoLaboratory(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(out), "forkline/internal/sidecar\n") {
		t.Fatalf("packages\n%s", out)
	}
	for dep := range strings.Lines(string(out)) {
		for _, part := range []string{"kong", "toml", "hdrhistogram", "isatty", "forkline/internal/experiment", "forkline/internal/fleet"} {
			if strings.Contains(strings.ToLower(dep), part) {
				t.Errorf("it links %s", dep)
			}
		}
	}
}
