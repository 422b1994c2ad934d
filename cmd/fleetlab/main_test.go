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

// bench is the command on a fleet that answers at once.
type bench struct {
	lab
	stdout, stderr bytes.Buffer
	played         []string // name and seed of each run
}

func newBench() *bench {
	b := &bench{}
	b.lab = lab{stdout: &b.stdout, stderr: &b.stderr, memory: func() int64 { return 16 << 30 }, version: "abc go1",
		estimate: func(e *experiment.Experiment) int64 { return int64(e.Endpoints()) << 20 },
		play: func(ctx context.Context, e *experiment.Experiment, p experiment.Progress) (*experiment.Result, error) {
			b.played = append(b.played, fmt.Sprint(e.Name, " ", e.Seed))
			p(time.Second, 4*time.Second)
			return result(e), ctx.Err()
		}}
	return b
}

// result is what a run might measure.
func result(e *experiment.Experiment) *experiment.Result {
	calls := experiment.Calls{Asked: 1000, Served: 990, InTime: 975, Refused: 6, Failed: 4, Late: 15, P50: 12.34, P99: 123.4, P999: 456}
	return &experiment.Result{Name: e.Name, Seed: e.Seed, Virtual: 60, Real: 1.5, HeapMB: 20, Processes: 14, PerKB: 1463,
		Thinned: map[string]float64{"svc-1": 0.02}, Calls: calls,
		Services: []experiment.ServiceResult{{Name: "svc-0", Calls: calls, WorstCold: 0.5}, {Name: "svc-1", Falls: 1}},
		Faults: []experiment.FaultResult{{Fault: "machine svc-1", At: 10_000, Lost: 7, Recovered: 1500, ListCalls: 3},
			{Fault: "down", At: 30_500, Recovered: -1}},
		Series: []experiment.Second{{At: 0, Asked: 16}}}
}

// write puts a file into a new folder and returns its path.
func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// names lists a folder.
func names(t *testing.T, dir string) string {
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

// Bad input is told in one line on standard error, with exit code 2, and nothing is run or written.
func TestBadInputIsToldInOneLine(t *testing.T) {
	dir := t.TempDir()
	good := write(t, "good.toml", experiment.Example)
	link := filepath.Join(dir, "link")
	if err := os.Symlink(filepath.Join(dir, "nothing"), link); err != nil {
		t.Fatal(err)
	}
	before := names(t, dir)
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "fleetlab: expected one of"},
		{[]string{"play", good}, "fleetlab: unexpected argument play"},
		{[]string{"run"}, `fleetlab: expected "<file> ..."`},
		{[]string{"run", good, "--often"}, "fleetlab: unknown flag --often"},
		{[]string{"run", good, "--seeds", "1,x"}, "fleetlab: --seeds: "},
		{[]string{"run", good, "--seeds="}, "fleetlab: --seeds: "},
		{[]string{"run", good, "--log-format", "xml"}, "fleetlab: --log-format must be one of"},
		{[]string{"run", good, "--log-level", "loud"}, "fleetlab: --log-level must be one of"},
		{[]string{"run", filepath.Join(dir, "none.toml")}, filepath.Join(dir, "none.toml") + ": there is no such file"},
		{[]string{"run", dir}, dir + ": is a directory"},
		{[]string{"run", good, write(t, "empty.toml", "")}, "empty.toml: is empty"},
		{[]string{"run", good, write(t, "bad.toml", "seed = 1\n[[service]]\nname = \"a\"\nendpoints = -1\n")},
			"bad.toml:4: service[0].endpoints: -1 is negative"},
		{[]string{"check", write(t, "bad.toml", "sed = 1\n")}, "bad.toml:1: sed: is not a key"},
		{[]string{"run", write(t, "big.toml", "memory_mb = 64\n[[service]]\nname = \"a\"\nendpoints = 2800\n")},
			"big.toml:1: memory_mb: 2800 endpoints and 0 sidecars need about 2800 MB, it allows 64"},
		{[]string{"run", write(t, "big.toml", "[[service]]\nname = \"a\"\nendpoints = 9000\nfront = 1\n\n[sidecar]\n")},
			"big.toml:1: memory_mb: 9000 endpoints and 1 sidecars need about 9000 MB, it allows 4096"},
		{[]string{"run", write(t, "big.toml", "seed = 1\nmemory_mb = 90000\n[[service]]\nname = \"a\"\nendpoints = 9000\n")},
			"big.toml:2: memory_mb: 9000 endpoints and 0 sidecars need about 9000 MB, half of this machine's memory is 8192 MB"},
		{[]string{"run", good, "-o", filepath.Join(dir, "no/where")}, "fleetlab: --out: " + filepath.Join(dir, "no/where") + ": no such file or directory"},
		{[]string{"run", good, "-t", filepath.Join(good, "x")}, "fleetlab: --table: " + filepath.Join(good, "x") + ": not a directory"},
		{[]string{"run", good, "-o", filepath.Join(dir, "x"), "-t", dir}, "fleetlab: --table: " + dir + ": is a directory"},
		{[]string{"run", good, "-o", os.DevNull}, "fleetlab: --out: " + os.DevNull + ": is not a regular file"},
		{[]string{"run", good, "-o", link}, "fleetlab: --out: " + link + ": is a link to nothing"},
		{[]string{"run", good, "-o", "-", "-t", "-"}, "fleetlab: --out and --table cannot both go to standard output"},
		{[]string{"run", good, "-o", filepath.Join(dir, "x"), "-t", filepath.Join(dir, "y/../x")}, "fleetlab: --out and --table name the same file"},
		{[]string{"run", good, "-o", good}, "fleetlab: --out: " + good + " is an experiment"},
	} {
		b := newBench()
		code := b.main(t.Context(), c.args)
		told := b.stderr.String()
		if code != exitBadInput || !strings.Contains(told, c.want) || strings.Count(told, "\n") != 1 || !strings.HasSuffix(told, "\n") {
			t.Errorf("%q: exit %d, told %q, want %q", c.args, code, told, c.want)
		}
		if b.stdout.Len() > 0 || len(b.played) > 0 {
			t.Errorf("%q: printed %q, played %q", c.args, &b.stdout, b.played)
		}
	}
	if after := names(t, dir); after != before {
		t.Errorf("the folder holds %q, before %q", after, before)
	}
	if text, err := os.ReadFile(good); err != nil || string(text) != experiment.Example {
		t.Errorf("the experiment has changed, error %v", err)
	}
}

// Whatever key of the example has a wrong type or value, or a wrong name, one line on standard error names its line.
func TestEveryKeyOfTheExampleIsChecked(t *testing.T) {
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
		wrong := []string{`true`, `[1]`, `[[1]]`, `{ a = 1 }`, `1979-05-27`, `07:32:00`, `nan`, `"`, `1 2`, ``}
		switch _, err := time.ParseDuration(strings.Trim(m[2], `"`)); {
		case m[2] == "true" || m[2] == "false":
			wrong = append(wrong[1:], `1`, `"true"`)
		case err == nil && m[2][0] == '"':
			wrong = append(wrong, `5`, `"5"`, `"soon"`, `""`, `"-5s"`, `"1000000h"`, `"1e300s"`, `"\u0000"`)
		case m[2][0] == '"':
			wrong = append(wrong, `5`, `5.5`, `""`, `"a b"`, `"a\nb"`, `"a|b"`, `"`+strings.Repeat("x", 300)+`"`, "\"\xff\"")
		default:
			wrong = append(wrong, `"5"`, `-5`, `-0.5`, `inf`, `-inf`, `1e300`, `99999999999999999999`, `0x`)
		}
		var texts []string
		for _, w := range wrong {
			if m[1] == "target" && w == `""` {
				continue // means any service, as no target does
			}
			texts = append(texts, m[1]+" = "+w)
		}
		texts = append(texts, "no_"+line, strings.ToUpper(m[1])+line[len(m[1]):], line+"\n"+m[1]+" = "+m[2])
		for _, text := range texts {
			whole := strings.Join(append(append(append([]string(nil), lines[:i]...), text), lines[i+1:]...), "\n")
			if err := os.WriteFile(path, []byte(whole), 0o600); err != nil {
				t.Fatal(err)
			}
			at := i + 1 + strings.Count(text, "\n")
			b := newBench()
			code := b.main(t.Context(), []string{"run", path})
			told := b.stderr.String()
			if code != exitBadInput || !strings.HasPrefix(told, fmt.Sprintf("%s:%d: ", path, at)) || strings.Count(told, "\n") != 1 ||
				b.stdout.Len() > 0 || len(b.played) > 0 {
				t.Errorf("line %d, %q: exit %d, told %q", at, text, code, told)
			}
		}
	}
	if keys < 50 {
		t.Errorf("only %d keys were tried", keys)
	}
}

// Each file is played with each seed; results are one JSON line a run, and tables.
func TestRunWritesLinesAndTables(t *testing.T) {
	dir := t.TempDir()
	first, second := write(t, "first.toml", experiment.Example), write(t, "second.toml", strings.Replace(experiment.Example, `"example"`, `"second"`, 1))
	out, tab := filepath.Join(dir, "results.jsonl"), filepath.Join(dir, "table.md")
	if err := os.WriteFile(out, []byte("old"), 0o640); err != nil {
		t.Fatal(err)
	}
	b := newBench()
	if code := b.main(t.Context(), []string{"run", first, second, "--seeds", "1,2", "--seeds", "18446744073709551615", "--out", out, "--table", tab, "-q"}); code != exitDone {
		t.Fatalf("exit %d, told %s", code, &b.stderr)
	}
	want := "[example 1 example 2 example 18446744073709551615 second 1 second 2 second 18446744073709551615]"
	if fmt.Sprint(b.played) != want || b.stdout.Len() > 0 || b.stderr.Len() > 0 {
		t.Errorf("played %q, printed %q, told %q", b.played, &b.stdout, &b.stderr)
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
		t.Errorf("lines of %q", seen)
	}
	if info, err := os.Stat(out); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("mode %v, error %v", info.Mode(), err)
	}
	if text, err = os.ReadFile(tab); err != nil || strings.Count(string(text), "\n## ") != 6 {
		t.Errorf("table %s, error %v", text, err)
	}
	if got := names(t, dir); got != "results.jsonl table.md" {
		t.Errorf("the folder holds %s", got)
	}
}

// A result may be named by a link, which stays one.
func TestResultsThroughALink(t *testing.T) {
	dir, old := t.TempDir(), write(t, "old.jsonl", "old")
	link := filepath.Join(dir, "link")
	if err := os.Symlink(old, link); err != nil {
		t.Fatal(err)
	}
	b := newBench()
	if code := b.main(t.Context(), []string{"run", "-o", link, write(t, "first.toml", experiment.Example)}); code != exitDone {
		t.Fatalf("exit %d, told %s", code, &b.stderr)
	}
	info, err := os.Lstat(link)
	if err != nil || info.Mode()&os.ModeSymlink == 0 || names(t, dir) != "link" || names(t, filepath.Dir(old)) != "old.jsonl" {
		t.Errorf("link %v, error %v", info, err)
	}
	if text, err := os.ReadFile(old); err != nil || !strings.HasPrefix(string(text), "{") {
		t.Errorf("result %q, error %v", text, err)
	}
}

// The table is aligned, and tells the runs, the services, the faults and the control traffic.
func TestTable(t *testing.T) {
	b := newBench()
	if code := b.main(t.Context(), []string{"run", write(t, "first.toml", experiment.Example)}); code != exitDone {
		t.Fatalf("exit %d, told %s", code, &b.stderr)
	}
	want, err := os.ReadFile("testdata/table.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := b.stdout.String(); got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// No share is rounded up to all.
func TestOneCallLateIsNotAllInTime(t *testing.T) {
	for inTime, want := range map[int64]string{1_000_000: "100.00 %", 999_999: "99.99 %", 975_000: "97.50 %", 0: "0.00 %"} {
		if got := callCells(experiment.Calls{Asked: 1_000_000, InTime: inTime})[1]; got != want {
			t.Errorf("%d of a million: %s, want %s", inTime, got, want)
		}
	}
}

// Many services are cut to those that serve worst.
func TestTableOfManyServicesIsShort(t *testing.T) {
	r := &experiment.Result{Name: "x"}
	for i := range int64(98) {
		r.Services = append(r.Services, experiment.ServiceResult{Name: fmt.Sprintf("svc-%d", i), Calls: experiment.Calls{Asked: 100, InTime: i}})
	}
	text := string(markdown([]*experiment.Result{r}))
	if strings.Count(text, "| svc-") != maxRows || !strings.Contains(text, "The 20 of 98 services") || !strings.Contains(text, "| svc-19 ") {
		t.Errorf("table\n%s", text)
	}
}

// A run that fails is told with exit code 1, one that is interrupted with 130. An older result stays as it is.
func TestNothingHalfWritten(t *testing.T) {
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
		b := newBench()
		b.play = func(_ context.Context, e *experiment.Experiment, _ experiment.Progress) (*experiment.Result, error) {
			if e.Seed == 2 {
				if err := c.end(cancel); err != nil {
					return nil, err
				}
			}
			return result(e), nil
		}
		code := b.main(ctx, []string{"run", "-q", "--seeds", "1,2,3", "-o", out, "-t", filepath.Join(dir, "t.md"), write(t, "first.toml", experiment.Example)})
		if told := b.stderr.String(); code != c.code || !strings.HasSuffix(told, c.want) || strings.Count(told, "\n") != 1 {
			t.Errorf("exit %d, told %q, want %q", code, told, c.want)
		}
		if text, err := os.ReadFile(out); err != nil || string(text) != "old" || names(t, dir) != "results.jsonl" {
			t.Errorf("result %q, error %v, folder %s", text, err, names(t, dir))
		}
	}
}

// full is a place with no room left.
type full struct{}

func (full) Write([]byte) (int, error) { return 0, io.ErrShortWrite }

// Results that cannot be written fail the run.
func TestResultsThatCannotBeWritten(t *testing.T) {
	for _, args := range [][]string{{"run", "-o", "-"}, {"run"}, {"check"}} {
		b := newBench()
		b.lab.stdout = full{}
		code := b.main(t.Context(), append(args, "-q", write(t, "first.toml", experiment.Example)))
		if code != exitFailed || strings.Count(b.stderr.String(), "\n") != 1 {
			t.Errorf("%q: exit %d, told %q", args, code, &b.stderr)
		}
	}
}

// Progress is a line on a terminal that the log and the end wipe away; in a pipe there is none.
func TestProgressOnATerminalOnly(t *testing.T) {
	file := write(t, "first.toml", experiment.Example)
	b := newBench()
	b.terminal = true
	b.main(t.Context(), []string{"run", file})
	if told := b.stderr.String(); !strings.Contains(told, clearLine+"example, seed 1:  25 % of 4s, 0s left"+clearLine+"time=") {
		t.Errorf("on a terminal: %q", told)
	}
	for _, args := range [][]string{{"run", file}, {"run", file, "-q"}} {
		b = newBench()
		b.terminal = len(args) > 2
		b.main(t.Context(), args)
		if told := b.stderr.String(); strings.ContainsAny(told, "\r\x1b%") {
			t.Errorf("%q: %q", args, told)
		}
	}
	for took, want := range map[time.Duration]string{0: "x, seed 3: begins", 10 * time.Second: "x, seed 3:  25 % of 2m0s, 30s left"} {
		if got := progressLine("x", 3, 3*took, 2*time.Minute, took); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// The log is text or JSON, of the level that was asked for.
func TestLog(t *testing.T) {
	file := write(t, "first.toml", experiment.Example)
	b := newBench()
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
	b = newBench()
	b.main(t.Context(), []string{"run", "--log-level", "warn", file})
	if b.stderr.Len() > 0 {
		t.Errorf("log %s", &b.stderr)
	}
}

// Help and the example go to standard output, and the example is one that runs.
func TestHelpAndExample(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"help"}, {"run", "--help"}, {"help", "run"}, {"example"}, {"version"}} {
		b := newBench()
		if code := b.main(t.Context(), args); code != exitDone || b.stdout.Len() == 0 || b.stderr.Len() > 0 {
			t.Errorf("%q: exit %d, printed %q, told %q", args, code, &b.stdout, &b.stderr)
		}
		if text := b.stdout.String(); strings.Contains(args[0], "help") && len(args) == 1 &&
			(!strings.Contains(text, "Exit codes: 0 done") || !strings.Contains(text, "fleetlab run first.toml")) {
			t.Errorf("help %s", text)
		}
	}
	if got := versionOf(&debug.BuildInfo{GoVersion: "go1.26", Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"}}}); got != "0123456789ab-dirty go1.26" {
		t.Errorf("version %q", got)
	}
	if got := versionOf(&debug.BuildInfo{GoVersion: "go1.26"}); got != "unknown go1.26" {
		t.Errorf("version %q", got)
	}
}

// The program's exit code is what a shell sees.
func TestProgram(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "fleetlab")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	file := write(t, "first.toml", experiment.Example)
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
