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

// small is a calm fleet of 20 hollow sidecars: 8 at the front of one service, 12 beside its endpoints, which call another.
func small() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "small", Seed: 7, Duration: dur(20 * time.Second), Warmup: dur(10 * time.Second),
		Regions: []experiment.Region{{Name: "north", Zones: 2, Racks: 3}, {Name: "south", Zones: 1, Racks: 3}},
		Services: []experiment.Service{
			{Name: "front", Endpoints: 12, FrontSidecars: 8, ClientRate: 120, Cores: 4, MeanWork: dur(20 * time.Millisecond), Slots: 64, SimulatedShare: 1,
				Calls: []experiment.Call{{To: "store", Times: 1.5}}},
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

func run(t testing.TB, e *experiment.Experiment) *experiment.Result {
	t.Helper()
	r, err := Run(context.Background(), e, nil)
	if err != nil {
		t.Fatal(err)
	}
	conserved(t, r)
	return r
}

// conserved checks what holds of every run: each call has one end, in all scopes, and no rule is broken.
func conserved(t testing.TB, r *experiment.Result) {
	t.Helper()
	whole := func(scope string, c experiment.Calls) {
		if got := c.Served + c.Refused + c.Failed + c.Late; got != c.Offered {
			t.Errorf("%s: %d asked, %d ended: %+v", scope, c.Offered, got, c)
		}
	}
	whole("all", r.Calls)
	for _, s := range r.Services {
		whole(s.Name, s.Calls)
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
		t.Errorf("the seconds sum up to %+v, all is %+v", sum, c)
	}
	if r.Violations.Unanswered+r.Violations.DuplicateAnswers+r.Violations.UnsafeRepeats+r.Violations.DrainingSends > 0 {
		t.Errorf("rules: %+v", r.Violations)
	}
}

func show(t testing.TB, r *experiment.Result) {
	t.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", text)
}

// plain leaves out what the machine measured.
func plain(r *experiment.Result) string {
	c := *r
	c.RealSeconds, c.PeakHeapMB, c.HeapPerSidecarKB, c.Control.ModuleMicrosPerCall, c.Control.ModuleMicrosPerList = 0, 0, 0, 0, 0
	return fmt.Sprintf("%+v", c)
}

func TestCalmFleetServesAllWithinTheAim(t *testing.T) {
	r := run(t, small())
	if r.Sidecars != 20 || r.Calls.Offered < 2000 {
		t.Errorf("%d processes, %d calls", r.Sidecars, r.Calls.Offered)
	}
	if c := r.Calls; c.InTime != c.Offered {
		t.Errorf("%d of %d calls in time: %+v", c.InTime, c.Offered, c)
	}
}

func TestOneSeedGivesOneResult(t *testing.T) {
	e := small()
	e.Duration = dur(8 * time.Second)
	e.Faults = []experiment.Fault{
		{Kind: "zone", At: dur(time.Second), Duration: dur(2 * time.Second), Target: "0/1"},
		{Kind: "restart", At: dur(2 * time.Second), Duration: dur(3 * time.Second), Target: "store", Count: 3},
		{Kind: "down", At: dur(3 * time.Second), Duration: dur(2 * time.Second)},
	}
	first, again := plain(run(t, e)), plain(run(t, e))
	if first != again {
		t.Errorf("one seed, two results:\n%s\n%s", first, again)
	}
	e.Seed++
	if other := plain(run(t, e)); other == first {
		t.Error("two seeds, one result")
	}
}

func TestFaultsAreGotOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault experiment.Fault
		told  float64 // ms at most: what discovery knows counts as told then; 0 = not looked at
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
				e := small()
				e.Duration = dur(25 * time.Second)
				e.Discovery.Pushed = pushed
				c.fault.At = dur(5 * time.Second)
				e.Faults = []experiment.Fault{c.fault}
				r := run(t, e)
				got := r.Faults[0]
				if got.RecoveryTime < 0 {
					t.Errorf("pushed %v: never served as before: %+v", pushed, got)
				}
				if got.ResyncMax < 0 || c.told > 0 && got.ResyncMax > c.told {
					t.Errorf("pushed %v: some sidecar was told %v ms after the end", pushed, got.ResyncMax)
				}
			}
		})
	}
}

func TestCallsGo24Deep(t *testing.T) {
	e := small()
	e.Services = nil
	for i := range e.Classes { // where each tier keeps its most, a tenth of the time left, 24 need long deadlines
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
	r := run(t, e)
	if c := r.Calls; float64(c.Served) < 0.99*float64(c.Offered) {
		t.Errorf("%d of %d calls served through 24 tiers", c.Served, c.Offered)
	}
	if deep := r.Services[23].Calls.Offered; float64(deep) < 0.99*float64(r.Calls.Served) {
		t.Errorf("the last tier saw %d of %d calls", deep, r.Calls.Served)
	}
}

// TestCallsGo24DeepInAShortTime: a call through 24 tiers takes about 0.12 s, and its clients wait 0.6 s for it. Where calls
// are rare, a sidecar has little to measure.
func TestCallsGo24DeepInAShortTime(t *testing.T) {
	for _, c := range []struct {
		rate             float64 // calls a second, by three sidecars in each tier
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
		r := run(t, e)
		if got := r.Calls; got.Offered < c.least || float64(got.InTime) < 0.99*float64(got.Offered) {
			t.Errorf("%v calls a second: %d of %d in time through 24 tiers", c.rate, got.InTime, got.Offered)
		}
		if deep := r.Services[23].Calls.Offered; float64(deep) < 0.99*float64(r.Calls.Served) {
			t.Errorf("%v calls a second: the last tier saw %d of %d", c.rate, deep, r.Calls.Served)
		}
		if r.Violations.Backstops > 0 {
			t.Errorf("%v calls a second: %d answered for the module", c.rate, r.Violations.Backstops)
		}
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if r, err := Run(ctx, small(), nil); !errors.Is(err, context.Canceled) || r != nil {
		t.Errorf("a run with no context to run in gave %v, %v", r, err)
	}
}

// TestThinnedCallsLoadEndpointsInFull: the calls that are not played still take their part of the cores.
func TestThinnedCallsLoadEndpointsInFull(t *testing.T) {
	e := small()
	e.Services[1].Cores, e.Services[1].MeanWork = 1, dur(30*time.Millisecond) // six tenths busy
	whole := run(t, e)
	for i := range e.Services {
		e.Services[i].SimulatedShare = 0.2
	}
	thin := run(t, e)
	if share := float64(thin.Calls.Offered) / float64(whole.Calls.Offered); share < 0.17 || share > 0.23 {
		t.Errorf("%d of %d calls were played", thin.Calls.Offered, whole.Calls.Offered)
	}
	if thin.SimulatedShares["store"] != 0.2 || len(whole.SimulatedShares) > 0 {
		t.Errorf("thinned: %v and %v", thin.SimulatedShares, whole.SimulatedShares)
	}
	a, b := whole.Services[1].Calls.P50, thin.Services[1].Calls.P50
	if b < 0.5*a || b > 2*a {
		t.Errorf("half of the calls take %v ms in full and %v ms thinned", a, b)
	}
}

func TestWhatCannotBePlayedIsSaid(t *testing.T) {
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
		e := small()
		spoil(e)
		if _, err := Run(context.Background(), e, nil); err == nil {
			t.Errorf("%s: played", name)
		}
	}
}

func TestEventsComeInOrder(t *testing.T) {
	var c clock
	s := newSource(3, actorFault, 0)
	for i := range 5000 {
		c.at(int64(s.below(500)), evTimer, int32(i), 0, 0)
	}
	var last event
	for i := 0; len(c.heap) > 0; i++ {
		ev := c.next()
		if i > 0 && !last.before(&ev) || c.now != ev.at {
			t.Fatalf("%+v came after %+v", ev, last)
		}
		last = ev
	}
}
