package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"forkline/internal/experiment"
	"forkline/internal/fleet"
)

// SIGINT and SIGTERM end a run that would take hours, with exit code 130 and without result files.
func TestSignalInterruptsRun(t *testing.T) {
	dir := t.TempDir()
	bin := filepath.Join(t.TempDir(), "fleetlab")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	long := strings.NewReplacer(`"60s"     #`, `"168h" #`, "rate = 200.0", "rate = 2000.0").Replace(experiment.Example)
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		cmd := exec.Command(bin, "run", "-o", filepath.Join(dir, "r.jsonl"), "-t", filepath.Join(dir, "t.md"), writeTempFile(t, "long.toml", long))
		stderr, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill() })
		lines := bufio.NewScanner(stderr)
		if !lines.Scan() || !strings.Contains(lines.Text(), "run begins") {
			t.Fatalf("stderr begins with %q", lines.Text())
		}
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		last := ""
		for lines.Scan() {
			last = lines.Text()
		}
		cmd.Wait()
		if code := cmd.ProcessState.ExitCode(); code != exitInterrupted || !strings.Contains(last, "interrupted") || listDir(t, dir) != "" {
			t.Errorf("%v: exit %d, stderr ends with %q, the directory contains %q", sig, code, last, listDir(t, dir))
		}
	}
}

// The same file and seed give the same result except for the figures that depend on the machine; another seed gives another
// result.
func TestSameSeedGivesSameResult(t *testing.T) {
	b := newTestApp()
	b.runExperiment, b.estimateMemory = fleet.Run, fleet.Estimate
	if code := b.main(t.Context(), []string{"run", "-q", "-o", "-", "--seeds", "1,1,2", "../../experiments/small.toml"}); code != exitDone {
		t.Fatalf("exit %d, stderr %s", code, &b.stderr)
	}
	var results [][]byte
	for line := range bytes.Lines(b.stdout.Bytes()) {
		var r experiment.Result
		if err := json.Unmarshal(line, &r); err != nil {
			t.Fatal(err)
		}
		if r.Sidecars != 20 || r.Calls.Offered == 0 || len(r.Series) != 60 || len(r.Faults) != 1 {
			t.Errorf("result %s", line)
		}
		r.Seed, r.RealSeconds, r.PeakHeapMB, r.HeapPerSidecarKB, r.Control.ModuleMicrosPerCall, r.Control.ModuleMicrosPerList = 0, 0, 0, 0, 0, 0
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, text)
	}
	if len(results) != 3 || !bytes.Equal(results[0], results[1]) || bytes.Equal(results[0], results[2]) {
		t.Errorf("results\n%s", bytes.Join(results, []byte("\n")))
	}
}
