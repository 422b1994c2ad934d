package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"forkline/internal/experiment"
)

// testApp is the program with a fake fleet that returns a result at once.
type testApp struct {
	app
	stdout, stderr bytes.Buffer
	runs           []string // name and seed of each run so far
}

func newTestApp() *testApp {
	b := &testApp{}
	b.app = app{stdout: &b.stdout, stderr: &b.stderr, totalMemory: func() int64 { return 16 << 30 }, version: "abc go1",
		estimateMemory: func(e *experiment.Experiment) int64 { return int64(e.NumEndpoints()) << 20 },
		runExperiment: func(ctx context.Context, e *experiment.Experiment, p experiment.Progress) (*experiment.Result, error) {
			b.runs = append(b.runs, fmt.Sprint(e.Name, " ", e.Seed))
			p(time.Second, 4*time.Second)
			return sampleResult(e), ctx.Err()
		}}
	return b
}

// sampleResult returns a plausible result of a run.
func sampleResult(e *experiment.Experiment) *experiment.Result {
	calls := experiment.Calls{Offered: 1000, Served: 990, InTime: 975, Refused: 6, Failed: 4, Late: 15, P50: 12.34, P99: 123.4, P999: 456}
	return &experiment.Result{Name: e.Name, Seed: e.Seed, VirtualSeconds: 60, RealSeconds: 1.5, PeakHeapMB: 20, Sidecars: 14, HeapPerSidecarKB: 1463,
		SimulatedShares: map[string]float64{"svc-1": 0.02}, Calls: calls,
		Services: []experiment.ServiceResult{{Name: "svc-0", Calls: calls, WorstColdRatio: 0.5}, {Name: "svc-1", ColdCrashes: 1}},
		Faults: []experiment.FaultResult{{Fault: "machine svc-1", At: 10_000, LostCalls: 7, RecoveryTime: 1500, ListCalls: 3},
			{Fault: "down", At: 30_500, RecoveryTime: -1}},
		Series: []experiment.Second{{At: 0, Offered: 16}}}
}

// writeTempFile writes a file in a new directory and returns its path.
func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// listDir returns the names of the files in a directory, separated by spaces.
func listDir(t *testing.T, dir string) string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, e := range entries {
		all = append(all, e.Name())
	}
	return strings.Join(all, " ")
}

// Bad input is reported in one line on standard error with exit code 2, and nothing is run or written.
func TestBadInputIsReportedInOneLine(t *testing.T) {
	dir := t.TempDir()
	validFile := writeTempFile(t, "good.toml", experiment.Example)
	link := filepath.Join(dir, "link")
	if err := os.Symlink(filepath.Join(dir, "nothing"), link); err != nil {
		t.Fatal(err)
	}
	before := listDir(t, dir)
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "fleetlab: expected one of"},
		{[]string{"play", validFile}, "fleetlab: unexpected argument play"},
		{[]string{"run"}, `fleetlab: expected "<file> ..."`},
		{[]string{"run", validFile, "--often"}, "fleetlab: unknown flag --often"},
		{[]string{"run", validFile, "--seeds", "1,x"}, "fleetlab: --seeds: "},
		{[]string{"run", validFile, "--seeds="}, "fleetlab: --seeds: "},
		{[]string{"run", validFile, "--log-format", "xml"}, "fleetlab: --log-format must be one of"},
		{[]string{"run", validFile, "--log-level", "loud"}, "fleetlab: --log-level must be one of"},
		{[]string{"run", filepath.Join(dir, "none.toml")}, filepath.Join(dir, "none.toml") + ": there is no such file"},
		{[]string{"run", dir}, dir + ": is a directory"},
		{[]string{"run", validFile, writeTempFile(t, "empty.toml", "")}, "empty.toml: is empty"},
		{[]string{"run", validFile, writeTempFile(t, "bad.toml", "seed = 1\n[[service]]\nname = \"a\"\nendpoints = -1\n")},
			"bad.toml:4: service[0].endpoints: -1 is negative"},
		{[]string{"check", writeTempFile(t, "bad.toml", "sed = 1\n")}, "bad.toml:1: sed: is not a key"},
		{[]string{"run", writeTempFile(t, "big.toml", "memory_mb = 64\n[[service]]\nname = \"a\"\nendpoints = 2800\n")},
			"big.toml:1: memory_mb: 2800 endpoints and 0 sidecars need about 2800 MB, it allows 64"},
		{[]string{"run", writeTempFile(t, "big.toml", "[[service]]\nname = \"a\"\nendpoints = 9000\nfront = 1\n\n[sidecar]\n")},
			"big.toml:1: memory_mb: 9000 endpoints and 1 sidecars need about 9000 MB, it allows 4096"},
		{[]string{"run", writeTempFile(t, "big.toml", "seed = 1\nmemory_mb = 90000\n[[service]]\nname = \"a\"\nendpoints = 9000\n")},
			"big.toml:2: memory_mb: 9000 endpoints and 0 sidecars need about 9000 MB, half of this machine's memory is 8192 MB"},
		{[]string{"run", validFile, "-o", filepath.Join(dir, "no/where")}, "fleetlab: --out: " + filepath.Join(dir, "no/where") + ": no such file or directory"},
		{[]string{"run", validFile, "-t", filepath.Join(validFile, "x")}, "fleetlab: --table: " + filepath.Join(validFile, "x") + ": not a directory"},
		{[]string{"run", validFile, "-o", filepath.Join(dir, "x"), "-t", dir}, "fleetlab: --table: " + dir + ": is a directory"},
		{[]string{"run", validFile, "-o", os.DevNull}, "fleetlab: --out: " + os.DevNull + ": is not a regular file"},
		{[]string{"run", validFile, "-o", link}, "fleetlab: --out: " + link + ": is a link to nothing"},
		{[]string{"run", validFile, "-o", "-", "-t", "-"}, "fleetlab: --out and --table cannot both go to standard output"},
		{[]string{"run", validFile, "-o", filepath.Join(dir, "x"), "-t", filepath.Join(dir, "y/../x")}, "fleetlab: --out and --table name the same file"},
		{[]string{"run", validFile, "-o", validFile}, "fleetlab: --out: " + validFile + " is an experiment"},
	} {
		b := newTestApp()
		code := b.main(t.Context(), c.args)
		stderr := b.stderr.String()
		if code != exitBadInput || !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 || !strings.HasSuffix(stderr, "\n") {
			t.Errorf("%q: exit %d, stderr %q, want %q", c.args, code, stderr, c.want)
		}
		if b.stdout.Len() > 0 || len(b.runs) > 0 {
			t.Errorf("%q: stdout %q, runs %q", c.args, &b.stdout, b.runs)
		}
	}
	if after := listDir(t, dir); after != before {
		t.Errorf("the directory contains %q, before %q", after, before)
	}
	if text, err := os.ReadFile(validFile); err != nil || string(text) != experiment.Example {
		t.Errorf("the experiment file has changed, error %v", err)
	}
}

// An invalid type, value or name of any key in the example is reported in one line on standard error with the line number.
func TestEveryKeyOfTheExampleIsValidated(t *testing.T) {
	lines := strings.Split(experiment.Example, "\n")
	assignment := regexp.MustCompile(`^(\w+) = ("[^"]*"|\S+)`)
	path := filepath.Join(t.TempDir(), "e.toml")
	keys := 0
	for i, line := range lines {
		m := assignment.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		keys++
		invalid := []string{`true`, `[1]`, `[[1]]`, `{ a = 1 }`, `1979-05-27`, `07:32:00`, `nan`, `"`, `1 2`, ``}
		switch _, err := time.ParseDuration(strings.Trim(m[2], `"`)); {
		case m[2] == "true" || m[2] == "false":
			invalid = append(invalid[1:], `1`, `"true"`)
		case err == nil && m[2][0] == '"':
			invalid = append(invalid, `5`, `"5"`, `"soon"`, `""`, `"-5s"`, `"1000000h"`, `"1e300s"`, `"\u0000"`)
		case m[2][0] == '"':
			invalid = append(invalid, `5`, `5.5`, `""`, `"a b"`, `"a\nb"`, `"a|b"`, `"`+strings.Repeat("x", 300)+`"`, "\"\xff\"")
		default:
			invalid = append(invalid, `"5"`, `-5`, `-0.5`, `inf`, `-inf`, `1e300`, `99999999999999999999`, `0x`)
		}
		var texts []string
		for _, w := range invalid {
			if m[1] == "target" && w == `""` {
				continue // valid: it means any service, like an omitted target
			}
			texts = append(texts, m[1]+" = "+w)
		}
		texts = append(texts, "no_"+line, strings.ToUpper(m[1])+line[len(m[1]):], line+"\n"+m[1]+" = "+m[2])
		for _, text := range texts {
			edited := strings.Join(append(append(append([]string(nil), lines[:i]...), text), lines[i+1:]...), "\n")
			if err := os.WriteFile(path, []byte(edited), 0o600); err != nil {
				t.Fatal(err)
			}
			lineNumber := i + 1 + strings.Count(text, "\n")
			b := newTestApp()
			code := b.main(t.Context(), []string{"run", path})
			stderr := b.stderr.String()
			if code != exitBadInput || !strings.HasPrefix(stderr, fmt.Sprintf("%s:%d: ", path, lineNumber)) || strings.Count(stderr, "\n") != 1 ||
				b.stdout.Len() > 0 || len(b.runs) > 0 {
				t.Errorf("line %d, %q: exit %d, stderr %q", lineNumber, text, code, stderr)
			}
		}
	}
	if keys < 50 {
		t.Errorf("only %d keys were tested", keys)
	}
}

// Each file is run with each seed. The results are one JSON line for each run, and tables.
func TestRunWritesJSONLinesAndTables(t *testing.T) {
	dir := t.TempDir()
	first, second := writeTempFile(t, "first.toml", experiment.Example), writeTempFile(t, "second.toml", strings.Replace(experiment.Example, `"example"`, `"second"`, 1))
	out, tab := filepath.Join(dir, "results.jsonl"), filepath.Join(dir, "table.md")
	if err := os.WriteFile(out, []byte("old"), 0o640); err != nil {
		t.Fatal(err)
	}
	b := newTestApp()
	if code := b.main(t.Context(), []string{"run", first, second, "--seeds", "1,2", "--seeds", "18446744073709551615", "--out", out, "--table", tab, "-q"}); code != exitDone {
		t.Fatalf("exit %d, stderr %s", code, &b.stderr)
	}
	want := "[example 1 example 2 example 18446744073709551615 second 1 second 2 second 18446744073709551615]"
	if fmt.Sprint(b.runs) != want || b.stdout.Len() > 0 || b.stderr.Len() > 0 {
		t.Errorf("runs %q, stdout %q, stderr %q", b.runs, &b.stdout, &b.stderr)
	}
	text, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	var seen []string
	for line := range strings.Lines(string(text)) {
		var r experiment.Result
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(err)
		}
		seen = append(seen, fmt.Sprint(r.Name, " ", r.Seed))
		if r.Calls.InTime != 975 || len(r.Series) != 1 || !strings.Contains(line, `"in_time":975`) || !strings.Contains(line, `"p999_ms":456`) {
			t.Errorf("line %s", line)
		}
	}
	if fmt.Sprint(seen) != want {
		t.Errorf("lines of runs %q", seen)
	}
	if info, err := os.Stat(out); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("mode %v, error %v", info.Mode(), err)
	}
	if text, err = os.ReadFile(tab); err != nil || strings.Count(string(text), "\n## ") != 6 {
		t.Errorf("table %s, error %v", text, err)
	}
	if got := listDir(t, dir); got != "results.jsonl table.md" {
		t.Errorf("the directory contains %s", got)
	}
}

// Writing results to a symbolic link replaces the file that it points to and keeps the link.
func TestResultsAreWrittenThroughSymlink(t *testing.T) {
	dir, old := t.TempDir(), writeTempFile(t, "old.jsonl", "old")
	link := filepath.Join(dir, "link")
	if err := os.Symlink(old, link); err != nil {
		t.Fatal(err)
	}
	b := newTestApp()
	if code := b.main(t.Context(), []string{"run", "-o", link, writeTempFile(t, "first.toml", experiment.Example)}); code != exitDone {
		t.Fatalf("exit %d, stderr %s", code, &b.stderr)
	}
	info, err := os.Lstat(link)
	if err != nil || info.Mode()&os.ModeSymlink == 0 || listDir(t, dir) != "link" || listDir(t, filepath.Dir(old)) != "old.jsonl" {
		t.Errorf("link %v, error %v", info, err)
	}
	if text, err := os.ReadFile(old); err != nil || !strings.HasPrefix(string(text), "{") {
		t.Errorf("result %q, error %v", text, err)
	}
}

// The Markdown output of a run is as in the golden file.
func TestTable(t *testing.T) {
	b := newTestApp()
	if code := b.main(t.Context(), []string{"run", writeTempFile(t, "first.toml", experiment.Example)}); code != exitDone {
		t.Fatalf("exit %d, stderr %s", code, &b.stderr)
	}
	want, err := os.ReadFile("testdata/table.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := b.stdout.String(); got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// The share of calls in time is rounded down: "100.00 %" appears only if all calls are in time.
func TestInTimeShareIsNotRoundedUp(t *testing.T) {
	for inTime, want := range map[int64]string{1_000_000: "100.00 %", 999_999: "99.99 %", 975_000: "97.50 %", 0: "0.00 %"} {
		if got := callCells(experiment.Calls{Offered: 1_000_000, InTime: inTime})[1]; got != want {
			t.Errorf("%d of a million calls: %s, want %s", inTime, got, want)
		}
	}
}

// The table of many services shows only those with the lowest share of calls in time.
func TestTableOfManyServicesIsTruncated(t *testing.T) {
	r := &experiment.Result{Name: "x"}
	for i := range int64(98) {
		r.Services = append(r.Services, experiment.ServiceResult{Name: fmt.Sprintf("svc-%d", i), Calls: experiment.Calls{Offered: 100, InTime: i}})
	}
	text := string(markdown([]*experiment.Result{r}))
	if strings.Count(text, "| svc-") != maxServiceRows || !strings.Contains(text, "The 20 of 98 services") || !strings.Contains(text, "| svc-19 ") {
		t.Errorf("table\n%s", text)
	}
}

// A failed run ends with exit code 1 and an interrupted one with 130. Both leave existing result files unchanged.
func TestFailedRunLeavesOlderResults(t *testing.T) {
	for _, c := range []struct {
		end  func(cancel func()) error
		code int
		want string
	}{
		{func(func()) error { return errors.New("the model\nis at fault") }, exitFailed, "seed 2: the model is at fault\n"},
		{func(cancel func()) error { cancel(); return context.Canceled }, exitInterrupted, "seed 2: interrupted, no result is written: context canceled\n"},
		{func(cancel func()) error { cancel(); return nil }, exitInterrupted, "seed 3: interrupted, no result is written: context canceled\n"},
	} {
		dir := t.TempDir()
		out := filepath.Join(dir, "results.jsonl")
		if err := os.WriteFile(out, []byte("old"), 0o600); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := newTestApp()
		b.runExperiment = func(_ context.Context, e *experiment.Experiment, _ experiment.Progress) (*experiment.Result, error) {
			if e.Seed == 2 {
				if err := c.end(cancel); err != nil {
					return nil, err
				}
			}
			return sampleResult(e), nil
		}
		code := b.main(ctx, []string{"run", "-q", "--seeds", "1,2,3", "-o", out, "-t", filepath.Join(dir, "t.md"), writeTempFile(t, "first.toml", experiment.Example)})
		if stderr := b.stderr.String(); code != c.code || !strings.HasSuffix(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
			t.Errorf("exit %d, stderr %q, want %q", code, stderr, c.want)
		}
		if text, err := os.ReadFile(out); err != nil || string(text) != "old" || listDir(t, dir) != "results.jsonl" {
			t.Errorf("result %q, error %v, directory %s", text, err, listDir(t, dir))
		}
	}
}

// failingWriter is a writer that always fails.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrShortWrite }

// A run or check whose output cannot be written ends with exit code 1.
func TestWriteErrorsFailTheRun(t *testing.T) {
	for _, args := range [][]string{{"run", "-o", "-"}, {"run"}, {"check"}} {
		b := newTestApp()
		b.app.stdout = failingWriter{}
		code := b.main(t.Context(), append(args, "-q", writeTempFile(t, "first.toml", experiment.Example)))
		if code != exitFailed || strings.Count(b.stderr.String(), "\n") != 1 {
			t.Errorf("%q: exit %d, stderr %q", args, code, &b.stderr)
		}
	}
}

// Progress is shown only on a terminal, as a line that log messages and the end of the run erase.
func TestProgressIsShownOnTerminalOnly(t *testing.T) {
	file := writeTempFile(t, "first.toml", experiment.Example)
	b := newTestApp()
	b.terminal = true
	b.main(t.Context(), []string{"run", file})
	if stderr := b.stderr.String(); !strings.Contains(stderr, clearLine+"example, seed 1:  25 % of 4s, 0s left"+clearLine+"time=") {
		t.Errorf("on a terminal: %q", stderr)
	}
	for _, args := range [][]string{{"run", file}, {"run", file, "-q"}} {
		b = newTestApp()
		b.terminal = len(args) > 2
		b.main(t.Context(), args)
		if stderr := b.stderr.String(); strings.ContainsAny(stderr, "\r\x1b%") {
			t.Errorf("%q: %q", args, stderr)
		}
	}
	for elapsed, want := range map[time.Duration]string{0: "x, seed 3: begins", 10 * time.Second: "x, seed 3:  25 % of 2m0s, 30s left"} {
		if got := progressLine("x", 3, 3*elapsed, 2*time.Minute, elapsed); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// The log has the configured format and level.
func TestLog(t *testing.T) {
	file := writeTempFile(t, "first.toml", experiment.Example)
	b := newTestApp()
	b.main(t.Context(), []string{"run", "--log-format", "json", file})
	b.main(t.Context(), []string{"run", "--log-format=json", "--log-level=error", "none.toml"})
	var msgs []string
	for line := range strings.Lines(b.stderr.String()) {
		var rec struct{ Msg, Level string }
		if err := json.Unmarshal([]byte(line), &rec); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		msgs = append(msgs, rec.Level+" "+rec.Msg)
	}
	if got := strings.Join(msgs, "; "); got != "INFO run begins; INFO run done; ERROR none.toml: there is no such file" {
		t.Errorf("log %s", got)
	}
	b = newTestApp()
	b.main(t.Context(), []string{"run", "--log-level", "warn", file})
	if b.stderr.Len() > 0 {
		t.Errorf("log %s", &b.stderr)
	}
}

// Help, the example and the version are written to standard output.
func TestHelpAndExample(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"help"}, {"run", "--help"}, {"help", "run"}, {"example"}, {"version"}} {
		b := newTestApp()
		if code := b.main(t.Context(), args); code != exitDone || b.stdout.Len() == 0 || b.stderr.Len() > 0 {
			t.Errorf("%q: exit %d, stdout %q, stderr %q", args, code, &b.stdout, &b.stderr)
		}
		if text := b.stdout.String(); strings.Contains(args[0], "help") && len(args) == 1 &&
			(!strings.Contains(text, "Exit codes: 0 done") || !strings.Contains(text, "fleetlab run first.toml")) {
			t.Errorf("help %s", text)
		}
	}
	if got := formatVersion(&debug.BuildInfo{GoVersion: "go1.26", Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"}}}); got != "0123456789ab-dirty go1.26" {
		t.Errorf("version %q", got)
	}
	if got := formatVersion(&debug.BuildInfo{GoVersion: "go1.26"}); got != "unknown go1.26" {
		t.Errorf("version %q", got)
	}
}

// The built program returns the exit codes to the shell.
func TestProgramExitCodes(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "fleetlab")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	file := writeTempFile(t, "first.toml", experiment.Example)
	for _, c := range []struct {
		args []string
		code int
	}{{[]string{"version"}, exitDone}, {[]string{"check", file}, exitDone}, {[]string{"check", "none.toml"}, exitBadInput}} {
		cmd := exec.Command(bin, c.args...)
		if out, err := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != c.code || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%q: %v, %s", c.args, err, out)
		}
	}
}
