package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// TestMain also runs the stand-in discovery, as the command starts its own binary for its process.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "stand-in" {
		os.Exit(run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// runLine runs a command line and returns its exit code and what it printed.
func runLine(line string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = run(context.Background(), strings.Fields(line), strings.NewReader(""), &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestTablesAndJSON(t *testing.T) {
	dir := t.TempDir() // inherited by the process of the stand-in
	t.Setenv("TMPDIR", dir)
	for _, line := range []string{
		"module --servers=4,8 --waiting=3,6 --rounds=1 --round=1us",
		"discovery --for=20ms --watches=1,2 --lists=1,2",
	} {
		code, text, stderr := runLine(line)
		if code != exitOK || !strings.Contains(text, "| measure | size x |") || !strings.Contains(text, "cores, load") {
			t.Errorf("%s: exit code %d, stdout %q, stderr %q", line, code, text, stderr)
		}
		code, text, _ = runLine(line + " --json")
		var got struct {
			Machine struct{ Cores int }
			Series  []struct {
				Name string
				Fit  *struct{ Slope, R2 float64 }
			}
		}
		if err := json.Unmarshal([]byte(text), &got); err != nil || code != exitOK {
			t.Fatalf("%s: exit code %d, error %v", line, code, err)
		}
		if got.Machine.Cores < 1 || len(got.Series) < 5 {
			t.Errorf("%s: result %+v, want the cores and at least 5 series", line, got)
		}
		for _, s := range got.Series {
			if s.Fit == nil {
				t.Errorf("%s: %s has no fit", line, s.Name)
			}
		}
	}
	checkNoFiles(t, dir)
}

// checkNoFiles checks that runs leave no files behind, although they kill the process of their stand-in.
func checkNoFiles(t *testing.T, dir string) {
	t.Helper()
	if files, err := os.ReadDir(dir); err != nil || len(files) > 0 {
		t.Errorf("files left: %v, %v", files, err)
	}
}

// Help, bad arguments and failed measurements have their own exit codes. Errors are one line on stderr.
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
		code, stdout, stderr := runLine(line)
		if code != want || want != exitOK && (strings.Count(stderr, "\n") != 1 || stdout != "") {
			t.Errorf("%q: exit code %d, want %d; stdout %q, stderr %q", line, code, want, stdout, stderr)
		}
	}
}
