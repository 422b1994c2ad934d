package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = time.Minute // longer than any wait of a passing test

// TestMain also runs the stand-in discovery, as the tests start their own binary for its process.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "stand-in" {
		n, _ := strconv.Atoi(os.Args[2])
		if err := ServeDiscovery(context.Background(), n, os.Stdin, os.Stdout); err != nil {
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

var buildDir string // directory of the sidecar binary; empty if it was not built

// buildBinary builds the sidecar once for all tests and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	var err error
	if buildDir, err = os.MkdirTemp("", "rig"); err != nil {
		return "", err
	}
	return Build(context.Background(), buildDir)
})

// newRunningTestbed returns a testbed with the given number of ready sidecars and pushed lists of three endpoints.
func newRunningTestbed(ctx context.Context, t *testing.T, sidecars int) *testbed {
	t.Helper()
	program, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	b, err := newTestbed(ctx, program, sidecars, 3, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.close)
	for i := range sidecars {
		if err := b.startSidecar(ctx, i, false); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// callUntilServed makes calls until one is served. On a busy machine the first may time out.
func callUntilServed(ctx context.Context, t *testing.T, r *route, addr, class string) {
	t.Helper()
	for i := 0; ; i++ {
		status, err := r.roundTrip(ctx, addr, class, class+addr+strconv.Itoa(i))
		if status == http.StatusOK && err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("%s: status %d, error %v", class, status, err)
		}
	}
}

// Calls of each effect go through real sidecars to the stand-in endpoints, and the usage of the sidecars is reported.
func TestCallsGoThroughRealSidecars(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	b := newRunningTestbed(ctx, t, 2)
	r := newRoute(nil)
	defer r.close()
	for i := range 2 {
		for _, class := range classByEffect {
			callUntilServed(ctx, t, r, b.addr(i), class)
		}
		u, err := b.processes[i].usage()
		if err != nil || u.CPU <= 0 || u.Resident < 1<<20 || u.Peak < u.Resident || u.Descriptors < 3 {
			t.Errorf("usage %+v, error %v", u, err)
		}
	}
	if n := b.endpoints.calls.Load(); n < 6 {
		t.Errorf("the endpoints received %d calls, want at least 6", n)
	}
	if got := b.discovery.Traffic(); got.Calls < 2 || got.Sent == 0 || got.Received == 0 {
		t.Errorf("discovery traffic %+v", got)
	}
}

// All sidecar processes end when their context does, and the working directory is removed.
func TestSidecarProcessesEndWithTheirContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newRunningTestbed(ctx, t, 2)
	cancel()
	for _, p := range b.processes {
		select {
		case <-p.exited:
		case <-time.After(testTimeout):
			t.Fatalf("%s is still running", p.name)
		}
		if err := p.cmd.Process.Signal(os.Interrupt); !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("%s: signal: %v, want os.ErrProcessDone", p.name, err)
		}
		if _, err := p.usage(); err == nil {
			t.Errorf("%s has ended, but its usage is no error", p.name)
		}
	}
	b.close()
	if _, err := os.Stat(b.dir); !os.IsNotExist(err) {
		t.Errorf("the working directory still exists: %v", err)
	}
}

// A fleet goes through an outage of discovery, and some of it restarts. Every phase is measured.
func TestFleetMeasuresOutagesAndRestarts(t *testing.T) {
	program, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	r, err := Fleet{
		Binary: program, Sidecars: 2, Endpoints: 3, PushLists: true, Rate: 20, Outages: []Outage{Unavailable},
		RestTime: 100 * time.Millisecond, OutageTime: 100 * time.Millisecond, KilledShare: 0.5,
	}.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, p := range r.Phases {
		names = append(names, p.Name)
		if !(p.Seconds > 0) || p.CPUMean < 0 || p.CPUMax < p.CPUMean || !(p.ResidentMean > 1) || p.ResidentMax < p.ResidentMean {
			t.Errorf("phase %+v", p)
		}
		back := p.Name == "start" || strings.HasPrefix(p.Name, "back")
		if back && (p.Answered != 2 || p.LastAnswer < 0) {
			t.Errorf("%s: %d sidecars answered, the last after %v ms, want 2", p.Name, p.Answered, p.LastAnswer)
		}
	}
	if got := strings.Join(names, ", "); got != "start, at rest, away: 503, back: 503, restart wave" {
		t.Errorf("phases %s", got)
	}
	if last := r.Phases[len(r.Phases)-1]; last.Restarted != 1 || !(last.ReadyP50 > 0) || last.ReadyMax < last.ReadyP50 {
		t.Errorf("phase with restarts: %+v", last)
	}
}

// The error of a sidecar that fails to start contains the reason that it logged.
func TestSidecarThatFailsToStartIsAnError(t *testing.T) {
	program, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	b, err := newTestbed(ctx, program, 1, 3, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	settings := sidecarSettings(1, 0, true, defaultPollInterval)
	settings["classes"] = nil
	_, err = startProcess(ctx, b.binary, b.dir, "n0", b.discovery.Addr(0), b.discovery.List(), b.nextSeed(), settings)
	if err == nil || !strings.Contains(err.Error(), "Classes is empty") {
		t.Errorf("error %v, want the reason for the failure", err)
	}
}

// Sidecars with equal seeds would poll and reconnect in step, and measurements of their fleet would mean nothing.
func TestEachStartHasANewSeed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	b := newRunningTestbed(ctx, t, 2)
	seeds := map[string]bool{}
	for i := range 2 {
		for range 2 {
			text, err := os.ReadFile(filepath.Join(b.dir, fmt.Sprint("n", i, ".json")))
			if err != nil {
				t.Fatal(err)
			}
			var cfg struct{ Seed string }
			if err := json.Unmarshal(text, &cfg); err != nil || cfg.Seed == "" || seeds[cfg.Seed] {
				t.Errorf("sidecar %d starts with the seed %q, earlier seeds %v, error %v", i, cfg.Seed, seeds, err)
			}
			seeds[cfg.Seed] = true
			b.processes[i].kill()
			if err := b.startSidecar(ctx, i, false); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestLimitsAreEnforced(t *testing.T) {
	for _, n := range []int{0, MaxSidecars + 1} {
		if err := checkMemory(n); err == nil {
			t.Errorf("no error for %d sidecars", n)
		}
		if _, err := NewEndpoints(n, 0); err == nil {
			t.Errorf("no error for %d endpoints", n)
		}
	}
	if err := sendCalls(context.Background(), -1, time.Second, "read", 1); err == nil {
		t.Error("no error for a negative rate")
	}
}

// The stand-in discovery runs in a separate process. Each of its series has a figure for each size, and full lists of 20
// entries have 9 to 10 times the bytes of lists of 2.
func TestDiscoveryCostsAreMeasured(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r, err := DiscoveryCost{
		Command: []string{os.Args[0], "stand-in"}, Duration: 100 * time.Millisecond, Watches: []int{1, 3},
		ChangesPerMinute: 6000, ListLengths: []int{2, 20},
	}.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range r.Series {
		if len(s.Points) != 2 {
			t.Errorf("%s: points %v, want 2", s.Name, s.Points)
		}
	}
	if bytes := r.Series[4].Points; bytes[1].Y < 9*bytes[0].Y || bytes[1].Y > 10*bytes[0].Y {
		t.Errorf("full lists of 2 and 20 entries have %v bytes", bytes)
	}
	if _, err := (DiscoveryCost{Command: []string{"/nowhere"}}).Run(ctx); err == nil {
		t.Error("no error for a command that does not exist")
	}
}

// The latency of a call that is sent late counts from its scheduled time, not from when it was sent. Otherwise slow
// answers that hold up later calls would be undercounted.
func TestLatencyCountsFromTheSchedule(t *testing.T) {
	e, err := NewEndpoints(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	r := newRoute(nil)
	defer r.close()
	r.call(context.Background(), e.Addr(0), "read", "1", time.Now().Add(-3*time.Second))
	if c := r.results(); c.Served != 1 || c.Latency.P50 < 2990 || c.Latency.Max < 2990 || c.Connections != 1 {
		t.Errorf("calls %+v, want one with a latency of at least 2990 ms", c)
	}
}

// Every call is counted on one of the two routes, and endpoints have received at least the served ones.
func TestEveryCallIsCounted(t *testing.T) {
	e, err := NewEndpoints(2, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	a, b := newRoute(randomAddr(1, 2, e.Addr)), newRoute(randomAddr(2, 2, e.Addr))
	defer a.close()
	defer b.close()
	if err := sendCalls(context.Background(), 1000, 100*time.Millisecond, "pay", 7, a, b); err != nil {
		t.Fatal(err)
	}
	x, y := a.results(), b.results()
	if x.Total() == 0 || y.Total() == 0 || x.Served+y.Served > e.calls.Load() || x.Total()+y.Total() < 50 {
		t.Errorf("calls %+v and %+v, %d received by endpoints", x, y, e.calls.Load())
	}
}

// A request without an id gets status 404, and list entries past the last address reuse the addresses.
func TestEndpointsFollowTheProtocol(t *testing.T) {
	e, err := NewEndpoints(2, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	res, err := http.Get("http://" + e.Addr(1) + "/read/x")
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	if res.StatusCode != http.StatusNotFound || e.calls.Load() != 0 {
		t.Errorf("%s for a request without an id, want 404", res.Status)
	}
	list := e.Targets(5)
	if len(list) != 5 || list[4].Endpoint != list[0].Endpoint || list[4].UID == list[0].UID || list[1].Endpoint == list[0].Endpoint {
		t.Errorf("targets %v", list)
	}
}
