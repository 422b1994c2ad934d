package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The sidecar must stay small, as one runs on every machine. It must not depend on the libraries of the experiments.
func TestSidecarDoesNotLinkExperimentLibraries(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(out), "forkline/internal/sidecar\n") {
		t.Fatalf("the list of dependencies lacks internal/sidecar:\n%s", out)
	}
	for dep := range strings.Lines(string(out)) {
		for _, part := range []string{"kong", "toml", "hdrhistogram", "isatty", "forkline/internal/experiment", "forkline/internal/fleet"} {
			if strings.Contains(strings.ToLower(dep), part) {
				t.Errorf("the program links %s", dep)
			}
		}
	}
}
