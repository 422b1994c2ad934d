package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// The test binary is the stand-in discovery's process as well.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "stand-in" {
		os.Exit(run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// words runs the command and returns its exit code and what it printed.
func words(line string) (code int, stdout, stderr string) {
	var out, complaints bytes.Buffer
	code = run(context.Background(), strings.Fields(line), strings.NewReader(""), &out, &complaints)
	return code, out.String(), complaints.String()
}

func TestTablesAndJSON(t *testing.T) {
	dir := t.TempDir() // the stand-in's process inherits it
	t.Setenv("TMPDIR", dir)
	for _, line := range []string{
		"module --servers=4,8 --waiting=3,6 --rounds=1 --round=1us",
		"discovery --for=20ms --watches=1,2 --lists=1,2",
	} {
		code, text, complaints := words(line)
		if code != exitOK || !strings.Contains(text, "| measure | size x |") || !strings.Contains(text, "cores, load") {
			t.Errorf("%s: exit %d, %q, %q", line, code, text, complaints)
		}
		code, text, _ = words(line + " --json")
		var got struct {
			Machine struct{ Cores int }
			Series  []struct {
				Name string
				Fit  *struct{ Slope, R2 float64 }
			}
		}
		if err := json.Unmarshal([]byte(text), &got); err != nil || code != exitOK {
			t.Fatalf("%s: exit %d, %v", line, code, err)
		}
		if got.Machine.Cores < 1 || len(got.Series) < 5 {
			t.Errorf("%s: %+v", line, got)
		}
		for _, s := range got.Series {
			if s.Fit == nil {
				t.Errorf("%s: %s has no fit", line, s.Name)
			}
		}
	}
	noFiles(t, dir)
}

// No run leaves a file behind, though its stand-in's process is killed.
func noFiles(t *testing.T, dir string) {
	t.Helper()
	if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
		t.Errorf("files left: %v, %v", left, err)
	}
}

// Bad arguments, what cannot be measured and help have their own exit codes; complaints are one line.
func TestExitCodes(t *testing.T) {
	for line, want := range map[string]int{
		"--help":                            exitOK,
		"":                                  exitUsage,
		"mole":                              exitUsage,
		"module --servers=ten":              exitUsage,
		"fleet --outages=gone":              exitUsage,
		"module --servers=0":                exitFailed,
		"fleet --binary=/nowhere":           exitFailed,
		"fleet --binary=/x --sidecars=301":  exitFailed,
		"added --binary=/x --endpoints=301": exitFailed,
		"sidecar --binary=/x --lists=-1":    exitFailed,
		"change --binary=/x --sidecars=301": exitFailed,
		"module --within=1ns":               exitFailed,
	} {
		code, text, complaints := words(line)
		if code != want || want != exitOK && (strings.Count(complaints, "\n") != 1 || text != "") {
			t.Errorf("%q: exit %d, want %d; %q, %q", line, code, want, text, complaints)
		}
	}
}
