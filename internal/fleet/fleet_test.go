package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"forkline/internal/experiment"
)

func dur(d time.Duration) experiment.Duration { return experiment.Duration(d) }

// smallExperiment returns an experiment without faults and with 20 hollow sidecars: 8 front sidecars of one service, and 12
// beside its endpoints, which call another service.
func smallExperiment() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "small", Seed: 7, Duration: dur(20 * time.Second), Warmup: dur(10 * time.Second),
		Regions: []experiment.Region{{Name: "north", Zones: 2, Racks: 3}, {Name: "south", Zones: 1, Racks: 3}},
		Services: []experiment.Service{
			{Name: "front", Endpoints: 12, FrontSidecars: 8, ClientRate: 120, Cores: 4, MeanWork: dur(20 * time.Millisecond),
				Slots: 64, SimulatedShare: 1, Calls: []experiment.Call{{To: "store", Times: 1.5}}},
			{Name: "store", Endpoints: 9, Cores: 4, MeanWork: dur(10 * time.Millisecond), Slots: 64, SimulatedShare: 1},
		},
		Classes: []experiment.Class{
			{Name: "read", Share: 0.6, Effect: "safe", TargetLatency: dur(600 * time.Millisecond), Timeout: dur(2 * time.Second), Value: 1},
			{Name: "put", Share: 0.2, Effect: "keyed", TargetLatency: dur(800 * time.Millisecond), Timeout: dur(2 * time.Second), Value: 2},
			{Name: "pay", Share: 0.2, Effect: "unsafe", TargetLatency: dur(time.Second), Timeout: dur(3 * time.Second), Value: 4},
		},
		Sidecar: experiment.Sidecar{MaxAttempts: 3, DrainGrace: dur(750 * time.Millisecond), ColdCapacity: 0.35,
			RampTime: dur(6 * time.Second), OverloadMultiple: 3, OverloadWindow: dur(2 * time.Second), PollInterval: dur(10 * time.Second),
			IdleTimeout: dur(5 * time.Second)},
		Discovery: experiment.Discovery{Instances: 2, CallTime: dur(3 * time.Millisecond), WriteTime: dur(50 * time.Microsecond),
			MaxQueueTime: dur(2 * time.Second), Lag: dur(300 * time.Millisecond), EntryBytes: 150},
		Network: experiment.Network{SameZone: dur(250 * time.Microsecond), SameRegion: dur(time.Millisecond),
			BetweenRegions: dur(12 * time.Millisecond), LossRate: 0.0005, RetransmitDelay: dur(200 * time.Millisecond)},
	}
}

func runExperiment(t testing.TB, e *experiment.Experiment) *experiment.Result {
	t.Helper()
	r, err := Run(context.Background(), e, nil)
	if err != nil {
		t.Fatal(err)
	}
	checkInvariants(t, r)
	return r
}

// checkInvariants checks what must hold for every run: each call ends exactly once, the counts of all scopes agree, and there
// are no violations.
func checkInvariants(t testing.TB, r *experiment.Result) {
	t.Helper()
	checkSum := func(scope string, c experiment.Calls) {
		if got := c.Served + c.Refused + c.Failed + c.Late; got != c.Offered {
			t.Errorf("%s: %d calls offered, %d ended: %+v", scope, c.Offered, got, c)
		}
	}
	checkSum("all", r.Calls)
	for _, s := range r.Services {
		checkSum(s.Name, s.Calls)
	}
	var sum experiment.Calls
	for _, s := range r.Series {
		sum.Offered += s.Offered
		sum.Served += s.Served
		sum.Refused += s.Refused
		sum.Failed += s.Failed
		sum.Late += s.Late
	}
	if c := r.Calls; sum.Offered != c.Offered || sum.Served != c.Served || sum.Refused != c.Refused || sum.Failed != c.Failed {
		t.Errorf("the sum of the series is %+v, the total is %+v", sum, c)
	}
	if r.Violations.Unanswered+r.Violations.DuplicateAnswers+r.Violations.UnsafeRepeats+r.Violations.DrainingSends > 0 {
		t.Errorf("violations: %+v", r.Violations)
	}
}

func logResult(t testing.TB, r *experiment.Result) {
	t.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", text)
}

// reproduciblePart formats a result without the figures that depend on the machine.
func reproduciblePart(r *experiment.Result) string {
	c := *r
	c.RealSeconds, c.PeakHeapMB, c.HeapPerSidecarKB, c.Control.ModuleMicrosPerCall, c.Control.ModuleMicrosPerList = 0, 0, 0, 0, 0
	return fmt.Sprintf("%+v", c)
}

func TestCalmFleetServesAllCallsInTime(t *testing.T) {
	r := runExperiment(t, smallExperiment())
	if r.Sidecars != 20 || r.Calls.Offered < 2000 {
		t.Errorf("%d sidecars, %d calls", r.Sidecars, r.Calls.Offered)
	}
	if c := r.Calls; c.InTime != c.Offered {
		t.Errorf("%d of %d calls in time: %+v", c.InTime, c.Offered, c)
	}
}

func TestOneSeedGivesOneResult(t *testing.T) {
	e := smallExperiment()
	e.Duration = dur(8 * time.Second)
	e.Faults = []experiment.Fault{
		{Kind: "zone", At: dur(time.Second), Duration: dur(2 * time.Second), Target: "0/1"},
		{Kind: "restart", At: dur(2 * time.Second), Duration: dur(3 * time.Second), Target: "store", Count: 3},
		{Kind: "down", At: dur(3 * time.Second), Duration: dur(2 * time.Second)},
	}
	first, second := reproduciblePart(runExperiment(t, e)), reproduciblePart(runExperiment(t, e))
	if first != second {
		t.Errorf("two runs with the same seed differ:\n%s\n%s", first, second)
	}
	e.Seed++
	if other := reproduciblePart(runExperiment(t, e)); other == first {
		t.Error("two seeds give the same result")
	}
}

func TestFleetRecoversFromFaults(t *testing.T) {
	for _, c := range []struct {
		name      string
		fault     experiment.Fault
		maxResync float64 // upper bound of ResyncMax in ms, the time after which sidecars count as notified; 0 for no bound
	}{
		{"discovery down", experiment.Fault{Kind: "down", Duration: dur(5 * time.Second)}, 6000},
		{"discovery silent", experiment.Fault{Kind: "silent", Duration: dur(5 * time.Second)}, 6000},
		{"discovery refusing", experiment.Fault{Kind: "refusing", Duration: dur(5 * time.Second)}, 6000},
		{"zone", experiment.Fault{Kind: "zone", Duration: dur(4 * time.Second), Target: "0/1"}, 0},
		{"rack", experiment.Fault{Kind: "rack", Duration: dur(4 * time.Second), Target: "0/0/1"}, 0},
		{"machines", experiment.Fault{Kind: "machine", Duration: dur(4 * time.Second), Count: 3}, 0},
		{"split", experiment.Fault{Kind: "split", Duration: dur(4 * time.Second), Target: "south"}, 0},
		{"restarts", experiment.Fault{Kind: "restart", Duration: dur(6 * time.Second), Target: "front", Count: 6}, 0},
		{"changes", experiment.Fault{Kind: "changes", Duration: dur(time.Second), Count: 20}, 0},
		{"burst", experiment.Fault{Kind: "burst", Duration: dur(2 * time.Second), Factor: 3}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, pushed := range []bool{false, true} {
				e := smallExperiment()
				e.Duration = dur(25 * time.Second)
				e.Discovery.Pushed = pushed
				c.fault.At = dur(5 * time.Second)
				e.Faults = []experiment.Fault{c.fault}
				r := runExperiment(t, e)
				result := r.Faults[0]
				if result.RecoveryTime < 0 {
					t.Errorf("pushed %v: the fleet did not recover: %+v", pushed, result)
				}
				if result.ResyncMax < 0 || c.maxResync > 0 && result.ResyncMax > c.maxResync {
					t.Errorf("pushed %v: discovery reached the last sidecar %v ms after the end", pushed, result.ResyncMax)
				}
			}
		})
	}
}

func TestCallChainOf24Services(t *testing.T) {
	e := smallExperiment()
	e.Services = nil
	for i := range e.Classes { // each tier reserves up to a tenth of the remaining time, so 24 tiers need long timeouts
		e.Classes[i].TargetLatency, e.Classes[i].Timeout = dur(3*time.Second), dur(6*time.Second)
	}
	for i := range 24 {
		s := experiment.Service{Name: fmt.Sprint("tier", i), Endpoints: 3, Cores: 4, MeanWork: dur(4 * time.Millisecond),
			Slots: 64, SimulatedShare: 1}
		if i == 0 {
			s.FrontSidecars, s.ClientRate = 3, 30
		}
		if i < 23 {
			s.Calls = []experiment.Call{{To: fmt.Sprint("tier", i+1), Times: 1}}
		}
		e.Services = append(e.Services, s)
	}
	r := runExperiment(t, e)
	if c := r.Calls; float64(c.Served) < 0.99*float64(c.Offered) {
		t.Errorf("%d of %d calls through 24 tiers were served", c.Served, c.Offered)
	}
	if deep := r.Services[23].Calls.Offered; float64(deep) < 0.99*float64(r.Calls.Served) {
		t.Errorf("%d of %d calls arrived at the last tier", deep, r.Calls.Served)
	}
}

// TestCallChainOf24ServicesWithShortTimeout: a call through 24 tiers takes about 0.12 s and has a timeout of 0.6 s. It must
// also be served at a low rate, at which a sidecar has few measurements of its own delays.
func TestCallChainOf24ServicesWithShortTimeout(t *testing.T) {
	for _, c := range []struct {
		rate             float64 // calls per second over the three sidecars of each tier
		warmup, duration time.Duration
		least            int64 // calls
	}{
		{30, 10 * time.Second, 20 * time.Second, 500},
		{0.3, 2 * time.Minute, 10 * time.Minute, 150},
	} {
		e, err := experiment.Read("../../experiments/deep.toml")
		if err != nil {
			t.Fatal(err)
		}
		e.Seed, e.Services[0].ClientRate, e.Warmup, e.Duration = 1, c.rate, dur(c.warmup), dur(c.duration)
		r := runExperiment(t, e)
		if got := r.Calls; got.Offered < c.least || float64(got.InTime) < 0.99*float64(got.Offered) {
			t.Errorf("%v calls per second: %d of %d calls through 24 tiers in time", c.rate, got.InTime, got.Offered)
		}
		if deep := r.Services[23].Calls.Offered; float64(deep) < 0.99*float64(r.Calls.Served) {
			t.Errorf("%v calls per second: %d of %d calls arrived at the last tier", c.rate, deep, r.Calls.Served)
		}
		if r.Violations.Backstops > 0 {
			t.Errorf("%v calls per second: the sidecars answered %d calls for the module", c.rate, r.Violations.Backstops)
		}
	}
}

func TestRunReturnsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if r, err := Run(ctx, smallExperiment(), nil); !errors.Is(err, context.Canceled) || r != nil {
		t.Errorf("a run with a cancelled context returned %v, %v", r, err)
	}
}

// TestCallsNotSimulatedStillLoadEndpoints: if only a share of the calls is simulated, the others still take their share of
// the endpoints' cores.
func TestCallsNotSimulatedStillLoadEndpoints(t *testing.T) {
	e := smallExperiment()
	e.Services[1].Cores, e.Services[1].MeanWork = 1, dur(30*time.Millisecond) // 60 % utilization
	full := runExperiment(t, e)
	for i := range e.Services {
		e.Services[i].SimulatedShare = 0.2
	}
	partial := runExperiment(t, e)
	if share := float64(partial.Calls.Offered) / float64(full.Calls.Offered); share < 0.17 || share > 0.23 {
		t.Errorf("%d of %d calls were simulated", partial.Calls.Offered, full.Calls.Offered)
	}
	if partial.SimulatedShares["store"] != 0.2 || len(full.SimulatedShares) > 0 {
		t.Errorf("simulated shares: %v and %v", partial.SimulatedShares, full.SimulatedShares)
	}
	a, b := full.Services[1].Calls.P50, partial.Services[1].Calls.P50
	if b < 0.5*a || b > 2*a {
		t.Errorf("the median latency is %v ms if all calls are simulated and %v ms otherwise", a, b)
	}
}

func TestInvalidExperimentsAreRejected(t *testing.T) {
	for name, spoil := range map[string]func(*experiment.Experiment){
		"no regions":      func(e *experiment.Experiment) { e.Regions = nil },
		"no services":     func(e *experiment.Experiment) { e.Services = nil },
		"no classes":      func(e *experiment.Experiment) { e.Classes = nil },
		"an effect":       func(e *experiment.Experiment) { e.Classes[0].Effect = "odd" },
		"no time":         func(e *experiment.Experiment) { e.Duration = 0 },
		"no deadline":     func(e *experiment.Experiment) { e.Classes[0].Timeout = 0 },
		"a ring":          func(e *experiment.Experiment) { e.Services[1].Calls = []experiment.Call{{To: "front", Times: 1}} },
		"a lost service":  func(e *experiment.Experiment) { e.Services[1].Calls = []experiment.Call{{To: "lost", Times: 1}} },
		"no cores":        func(e *experiment.Experiment) { e.Services[1].Cores = 0 },
		"a fault's kind":  func(e *experiment.Experiment) { e.Faults = []experiment.Fault{{Kind: "odd"}} },
		"a fault's zone":  func(e *experiment.Experiment) { e.Faults = []experiment.Fault{{Kind: "zone", Target: "0/9"}} },
		"a fault's place": func(e *experiment.Experiment) { e.Faults = []experiment.Fault{{Kind: "rack", Target: "0/1"}} },
		"a fault's time":  func(e *experiment.Experiment) { e.Faults = []experiment.Fault{{Kind: "down", At: -1}} },
	} {
		e := smallExperiment()
		spoil(e)
		if _, err := Run(context.Background(), e, nil); err == nil {
			t.Errorf("%s: Run returned no error", name)
		}
	}
}

func TestEventsAreOrderedByTime(t *testing.T) {
	var c clock
	s := newRandSource(3, actorFault, 0)
	for i := range 5000 {
		c.schedule(int64(s.intn(500)), evModuleTimer, int32(i), 0, 0)
	}
	var last event
	for i := 0; len(c.heap) > 0; i++ {
		ev := c.pop()
		if i > 0 && !last.less(&ev) || c.now != ev.at {
			t.Fatalf("%+v was handled after %+v", ev, last)
		}
		last = ev
	}
}
