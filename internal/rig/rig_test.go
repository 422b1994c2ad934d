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

const long = time.Minute // no test that passes waits for so long

// The test binary is the stand-in discovery's process as well.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "stand-in" {
		n, _ := strconv.Atoi(os.Args[2])
		if err := ServeDiscovery(context.Background(), n, os.Stdin, os.Stdout); err != nil {
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if built != "" {
		os.RemoveAll(built)
	}
	os.Exit(code)
}

var built string // folder of the program

// binary builds the sidecar once for all tests.
var binary = sync.OnceValues(func() (string, error) {
	var err error
	if built, err = os.MkdirTemp("", "rig"); err != nil {
		return "", err
	}
	return Build(context.Background(), built)
})

// running is a bench of so many sidecars that are ready, with pushed lists of three endpoints.
func running(ctx context.Context, t *testing.T, sidecars int) *bench {
	t.Helper()
	program, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	b, err := newBench(ctx, program, sidecars, 3, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.close)
	for i := range sidecars {
		if err := b.start(ctx, i, false); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// served makes calls until one is served; on a busy machine a first one may come too late.
func served(ctx context.Context, t *testing.T, w *way, addr, class string) {
	t.Helper()
	for i := 0; ; i++ {
		status, err := w.exchange(ctx, addr, class, class+addr+strconv.Itoa(i))
		if status == http.StatusOK && err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("%s: status %d, %v", class, status, err)
		}
	}
}

// Calls of each effect come through real sidecars to the stand-in endpoints, and what the sidecars used is told.
func TestCallsComeThroughRealSidecars(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), long)
	defer cancel()
	b := running(ctx, t, 2)
	w := newWay(nil)
	defer w.close()
	for i := range 2 {
		for _, class := range effects {
			served(ctx, t, w, b.addr(i), class)
		}
		u, err := b.programs[i].usage()
		if err != nil || u.CPU <= 0 || u.Resident < 1<<20 || u.Peak < u.Resident || u.Sockets < 3 {
			t.Errorf("usage %+v, %v", u, err)
		}
	}
	if n := b.endpoints.calls.Load(); n < 6 {
		t.Errorf("the endpoints saw %d calls", n)
	}
	if got := b.discovery.Traffic(); got.Calls < 2 || got.Wrote == 0 || got.Received == 0 {
		t.Errorf("the discovery saw %+v", got)
	}
}

// All children end with their context, however it ends, and none is left behind.
func TestChildrenEndWithTheirContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := running(ctx, t, 2)
	cancel()
	for _, p := range b.programs {
		select {
		case <-p.exited:
		case <-time.After(long):
			t.Fatalf("%s runs on", p.name)
		}
		if err := p.cmd.Process.Signal(os.Interrupt); !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("%s: %v", p.name, err)
		}
		if _, err := p.usage(); err == nil {
			t.Errorf("%s has ended and still tells what it uses", p.name)
		}
	}
	b.close()
	if _, err := os.Stat(b.dir); !os.IsNotExist(err) {
		t.Errorf("its folder is left: %v", err)
	}
}

// A fleet is away from discovery and back, and some of it restarts; every phase is measured.
func TestFleetPlaysOutagesAndRestarts(t *testing.T) {
	program, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*long)
	defer cancel()
	r, err := Fleet{
		Binary: program, Sidecars: 2, Endpoints: 3, Pushed: true, Rate: 20, Outages: []Outage{Refusing},
		Rest: 100 * time.Millisecond, Away: 100 * time.Millisecond, Killed: 0.5,
	}.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, p := range r.Phases {
		names = append(names, p.Name)
		if !(p.Seconds > 0) || p.CPU < 0 || p.CPUMost < p.CPU || !(p.ResidentMB > 1) || p.ResidentMost < p.ResidentMB {
			t.Errorf("phase %+v", p)
		}
		back := p.Name == "start" || strings.HasPrefix(p.Name, "back")
		if back && (p.Answered != 2 || p.Told < 0) {
			t.Errorf("%s: %d answered, the last after %v ms", p.Name, p.Answered, p.Told)
		}
	}
	if got := strings.Join(names, ", "); got != "start, at rest, away: 503, back: 503, restart wave" {
		t.Errorf("phases %s", got)
	}
	if last := r.Phases[len(r.Phases)-1]; last.Restarted != 1 || !(last.ReadyP50 > 0) || last.ReadyMax < last.ReadyP50 {
		t.Errorf("restart %+v", last)
	}
}

// A sidecar that does not start is told with what it said.
func TestASidecarThatDoesNotStartIsAnError(t *testing.T) {
	program, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), long)
	defer cancel()
	b, err := newBench(ctx, program, 1, 3, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	set := settings(1, 0, true, askEvery)
	set["classes"] = nil
	_, err = start(ctx, b.binary, b.dir, "n0", b.discovery.Addr(0), b.discovery.List(), b.seed(), set)
	if err == nil || !strings.Contains(err.Error(), "Classes is empty") {
		t.Errorf("error %v", err)
	}
}

// Sidecars of one seed would ask and come back in step, and their fleet would tell nothing.
func TestEachStartHasASeedOfItsOwn(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), long)
	defer cancel()
	b := running(ctx, t, 2)
	seeds := map[string]bool{}
	for i := range 2 {
		for range 2 {
			text, err := os.ReadFile(filepath.Join(b.dir, fmt.Sprint("n", i, ".json")))
			if err != nil {
				t.Fatal(err)
			}
			var cfg struct{ Seed string }
			if err := json.Unmarshal(text, &cfg); err != nil || cfg.Seed == "" || seeds[cfg.Seed] {
				t.Errorf("sidecar %d starts with the seed %q after %v, %v", i, cfg.Seed, seeds, err)
			}
			seeds[cfg.Seed] = true
			b.programs[i].kill()
			if err := b.start(ctx, i, false); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestLimitsAreKept(t *testing.T) {
	for _, n := range []int{0, MaxProcesses + 1} {
		if err := enough(n); err == nil {
			t.Errorf("%d sidecars were let through", n)
		}
		if _, err := NewEndpoints(n, 0); err == nil {
			t.Errorf("%d endpoints were started", n)
		}
	}
	if err := load(context.Background(), -1, time.Second, "read", 1); err == nil {
		t.Error("a negative rate was let through")
	}
}

// The stand-in discovery as a process of its own: all its series have a figure for each size, and bytes are exact.
func TestDiscoveryCostsAreMeasured(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), long)
	defer cancel()
	r, err := DiscoveryCost{
		Command: []string{os.Args[0], "stand-in"}, For: 100 * time.Millisecond, Watches: []int{1, 3}, Changes: 6000, Lists: []int{2, 20},
	}.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range r.Series {
		if len(s.Points) != 2 {
			t.Errorf("%s: %v", s.Name, s.Points)
		}
	}
	if bytes := r.Series[4].Points; bytes[1].Y < 9*bytes[0].Y || bytes[1].Y > 10*bytes[0].Y {
		t.Errorf("whole lists of 2 and 20 entries have %v bytes", bytes)
	}
	if _, err := (DiscoveryCost{Command: []string{"/nowhere"}}).Run(ctx); err == nil {
		t.Error("a command that is not there was run")
	}
}

// A call that a held-up schedule sends late counts from when it was due, not from when it went out.
func TestLatencyCountsFromTheSchedule(t *testing.T) {
	e, err := NewEndpoints(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	w := newWay(nil)
	defer w.close()
	w.call(context.Background(), e.Addr(0), "read", "1", time.Now().Add(-3*time.Second))
	if c := w.result(); c.Served != 1 || c.Latency.P50 < 2990 || c.Latency.Max < 2990 || c.Connections != 1 {
		t.Errorf("%+v", c)
	}
}

// Every call that the schedule sends ends in one count, on one way or the other; what was served, an endpoint saw.
func TestEveryCallIsCounted(t *testing.T) {
	e, err := NewEndpoints(2, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	a, b := newWay(rotate(1, 2, e.Addr)), newWay(rotate(2, 2, e.Addr))
	defer a.close()
	defer b.close()
	if err := load(context.Background(), 1000, 100*time.Millisecond, "pay", 7, a, b); err != nil {
		t.Fatal(err)
	}
	x, y := a.result(), b.result()
	if x.All() == 0 || y.All() == 0 || x.Served+y.Served > e.calls.Load() || x.All()+y.All() < 50 {
		t.Errorf("%+v and %+v of %d", x, y, e.calls.Load())
	}
}

// Endpoints keep the protocol: a request with no id is unknown, and entries past the last address use them again.
func TestEndpointsKeepTheProtocol(t *testing.T) {
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
		t.Errorf("%s with no id", res.Status)
	}
	list := e.Targets(5)
	if len(list) != 5 || list[4].Endpoint != list[0].Endpoint || list[4].UID == list[0].UID || list[1].Endpoint == list[0].Endpoint {
		t.Errorf("targets %v", list)
	}
}
