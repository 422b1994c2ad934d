package forkline

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"forkline/internal/stats"
)

// newBusyHarness returns a copy that has learned a little and has open requests of each class.
func newBusyHarness(t *testing.T) *harness {
	t.Helper()
	settings := testSettings()
	settings.Copies, settings.Rank = 3, 1
	settings.Tenants = []Tenant{{"a", 30}, {"b", 60}}
	servers := readyServers(6)
	servers[5].Started = 900 // it is cold
	h := newHarness(t, settings, servers...)
	for id := uint32(1); id <= 60; id++ {
		h.now += 15
		for _, a := range h.handle(Event{Kind: EvRequest, Request: id, Class: uint16(id % 3), Tenant: uint16(id % 2), Deadline: h.now + 900}) {
			if a.Kind == ActSend && id <= 50 {
				h.now += 5
				h.handle(Event{Kind: EvOutcome, Request: id, Server: a.Server, Outcome: OK, Elapsed: 5 + float64(id), RequestDone: true})
			}
		}
	}
	if len(h.b.requests) < 8 {
		t.Fatalf("only %d requests are open", len(h.b.requests))
	}
	return h
}

// Settings that are invalid, or cannot change, must be named in the error and change nothing.
func TestReconfigureIsAtomic(t *testing.T) {
	for want, edit := range map[string]func(*Settings){
		"Stage cannot change from 0 to 1":                func(s *Settings) { s.Stages, s.Stage = 1, 1; s.Stages = 2 },
		"Stages cannot change from 1 to 4":               func(s *Settings) { s.Stages = 4 },
		"ListOnRequest cannot change from false to true": func(s *Settings) { s.PollList = true },
		"Classes is empty":                               func(s *Settings) { s.Classes = nil },
		"GiveUp -1":                                      func(s *Settings) { s.Classes[0].Timeout = -1 },
		"Ramp NaN":                                       func(s *Settings) { s.Safety.RampTime = math.NaN() },
		"Effect 7":                                       func(s *Settings) { s.Classes[1].Effect = 7 },
	} {
		h, reference := newBusyHarness(t), newBusyHarness(t)
		settings := testSettings()
		settings.Copies, settings.Tenants = 9, nil // would change a lot
		edit(&settings)
		actions, err := h.b.Reconfigure(h.now, settings, nil)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || len(actions) > 0 {
			t.Errorf("error %v and actions %v, want %q", err, actions, want)
		}
		if !reflect.DeepEqual(h.b, reference.b) {
			t.Errorf("%s: the state has changed", want)
		}
	}
}

// The present settings, applied again, must change nothing that a later event could show.
func TestReconfigureWithTheSameSettings(t *testing.T) {
	h, reference := newBusyHarness(t), newBusyHarness(t)
	if actions := h.reconfigure(func(*Settings) {}); len(actions) > 0 {
		t.Errorf("actions %v", actions)
	}
	reference.handle(Event{Kind: EvTimer, Token: math.MaxUint64}) // an event without effect
	h.b.sweepAt, reference.b.sweepAt = 0, 0                       // time of the next sweep
	h.b.actions, reference.b.actions, h.b.scratch, reference.b.scratch = nil, nil, nil, nil
	for i := range h.b.quotas {
		for _, b := range []*Balancer{h.b, reference.b} { // the same bucket, whenever it was refilled
			t := &b.quotas[i]
			t.Tokens, t.UpdatedAt = math.Round(1e6*t.Available(b.now)), b.now
		}
	}
	if !reflect.DeepEqual(h.b, reference.b) {
		t.Errorf("the state has changed:\n%+v\n%+v", h.b, reference.b)
	}
}

// A request that is in flight while its class changes may be repeated only as far as both classes allow.
func TestOpenRequestsKeepTheStricterRule(t *testing.T) {
	keyed := func(window float64, g DedupScope) Class { return Class{Effect: Keyed, DedupWindow: window, Scope: g} }
	safe, unsafe := Class{Effect: Safe}, Class{Effect: Unsafe}
	for _, c := range []struct {
		name    string
		old     Class
		new     []Class // one change after another
		allowed string  // where it may be repeated: anywhere, zone, cell, both, nowhere
	}{
		{"safe stays safe", safe, []Class{safe}, "anywhere"},
		{"safe, then unsafe", safe, []Class{unsafe}, "nowhere"},
		{"unsafe, then safe", unsafe, []Class{safe}, "nowhere"},
		{"unsafe, then keyed", unsafe, []Class{keyed(900, ScopeAll)}, "nowhere"},
		{"keyed, then unsafe", keyed(900, ScopeAll), []Class{unsafe}, "nowhere"},
		{"safe, unsafe and safe again", safe, []Class{unsafe, safe}, "nowhere"},
		{"safe, then keyed", safe, []Class{keyed(900, ScopeCell)}, "cell"},
		{"keyed, then safe", keyed(900, ScopeCell), []Class{safe}, "cell"},
		{"shorter window", keyed(900, ScopeAll), []Class{keyed(50, ScopeAll)}, "nowhere"},
		{"longer window", keyed(50, ScopeAll), []Class{keyed(900, ScopeAll)}, "nowhere"},
		{"smaller scope", keyed(900, ScopeAll), []Class{keyed(900, ScopeCell)}, "cell"},
		{"larger scope", keyed(900, ScopeZone), []Class{keyed(900, ScopeAll)}, "zone"},
		{"another scope", keyed(900, ScopeZone), []Class{keyed(900, ScopeCell)}, "both"},
		{"three scopes", keyed(900, ScopeCell), []Class{keyed(900, ScopeAll), keyed(900, ScopeZone)}, "both"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for shared, other := range map[string]ServerEntry{
				"anywhere": {Zone: 1, Cell: 1}, "zone": {Cell: 1}, "cell": {Zone: 1}, "both": {},
			} {
				class := func(r Class) Class {
					r.Name, r.Value, r.TargetLatency, r.Timeout = "x", 1, 500, 1000
					return r
				}
				settings := testSettings()
				settings.Classes = append(settings.Classes[:1:1], class(c.old))
				h := newHarness(t, settings, ServerEntry{Server: 1})
				h.request(5, 1)
				other.Server = 2
				h.handle(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{other}})
				h.now += 100
				for _, n := range c.new {
					h.reconfigure(func(s *Settings) { s.Classes = []Class{class(n), settings.Classes[0]} })
				}
				actions := h.handle(Event{Kind: EvOutcome, Request: 5, Server: 1, Outcome: Reset, Elapsed: 100})
				repeated := len(actions) == 1 && actions[0].Kind == ActSend && actions[0].Server == 2
				sameServer := len(actions) == 1 && actions[0].Kind == ActSend && actions[0].Server == 1 // in all scopes of the first attempt
				want := c.allowed == "anywhere" || c.allowed == shared || shared == "both" && c.allowed != "nowhere"
				if repeated != want || sameServer && (want || c.allowed == "nowhere") {
					t.Errorf("allowed %s, the other server is in the same %s: %+v", c.allowed, shared, actions)
				}
				kind := ActFail // it may have run
				if c.old.Effect == Keyed && c.new[0] == keyed(c.new[0].DedupWindow, ScopeAll) {
					kind = ActRefuse // all servers remember its key
				}
				if c.allowed == "nowhere" && (len(actions) != 1 || actions[0].Kind != kind) {
					t.Errorf("%+v, want a final answer of kind %d", actions, kind)
				}
			}
		})
	}
}

// A safe request may have run in two scopes. Once it is keyed it must not run again in either, as the other
// scope would not know of it.
func TestNoRepeatAcrossScopesAfterAChange(t *testing.T) {
	h := newHarness(t, testSettings(), ServerEntry{Server: 1})
	h.request(5, 0)
	h.handle(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{{Server: 2, Cell: 1}, {Server: 3}}})
	h.b.servers[3].State = Draining // sends the second attempt to the other cell
	actions := h.handle(Event{Kind: EvOutcome, Request: 5, Server: 1, Outcome: Reset, Elapsed: 5})
	if len(actions) != 1 || actions[0].Server != 2 {
		t.Fatalf("second attempt: %+v", actions)
	}
	h.b.servers[3].State = Ready
	h.reconfigure(func(s *Settings) {
		s.Classes[0].Effect, s.Classes[0].DedupWindow, s.Classes[0].Scope = Keyed, 900, ScopeCell
	})
	actions = h.handle(Event{Kind: EvOutcome, Request: 5, Attempt: 1, Server: 2, Outcome: Reset, Elapsed: 5})
	if len(actions) != 1 || actions[0].Kind != ActFail {
		t.Errorf("%+v, want a failure", actions)
	}
}

// A safe request that waits for its repeat must neither block the queue nor be sent when its class becomes
// unsafe.
func TestWaitingRepeatEndsWhenClassBecomesUnsafe(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(2)...)
	h.b.limit.reviseAt = math.Inf(1)
	h.request(1, 0)
	h.b.limit.maxInFlight = 0 // the limit is reached from here on
	if actions := h.handle(Event{Kind: EvOutcome, Request: 1, Server: h.b.requests[1].attempts[0].server.Server, Outcome: Reset, Elapsed: 5}); len(actions) > 0 {
		t.Fatalf("%+v, want it to wait", actions)
	}
	h.request(2, 2)
	actions := h.reconfigure(func(s *Settings) { s.Classes[0].Effect = Unsafe })
	if len(actions) != 1 || actions[0].Kind != ActFail || actions[0].Request != 1 {
		t.Errorf("%+v, want a failure of request 1", actions)
	}
	h.b.limit.maxInFlight = 9
	if actions := h.handle(Event{Kind: EvTimer}); len(actions) != 1 || actions[0].Kind != ActSend || actions[0].Request != 2 {
		t.Errorf("%+v, want a send of request 2", actions)
	}
}

// Classes keep their state by name: indices move, one class is removed while a request of it is open, one is
// added.
func TestClassesKeepStateByName(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(3)...)
	for i := range h.b.classes {
		h.b.classes[i].meanLatency, h.b.classes[i].servedShare = float64(10*(i+1)), 0.5+0.1*float64(i)
	}
	h.request(1, 0)
	h.request(2, 2)
	old := testSettings().Classes
	h.reconfigure(func(s *Settings) {
		s.Classes = []Class{{Name: "new", Value: 1, TargetLatency: 100, Timeout: 300}, old[2], old[1]}
	})
	c := h.b.classes
	if c[0].meanLatency != 0 || c[0].servedShare != 1 || c[1].meanLatency != 30 || c[1].servedShare != 0.7 || c[2].meanLatency != 20 {
		t.Errorf("learned state %+v", c)
	}
	if q := h.b.requests[2]; c[q.class].Name != "book" || q.class != 1 {
		t.Errorf("request 2 is of class %d", q.class)
	}
	if q := h.b.requests[1]; c[q.class].Name != "read" || c[q.class].meanLatency != 10 {
		t.Errorf("request 1, whose class was removed, is of class %+v", c[q.class])
	}
	if actions := h.request(3, 3); len(actions) > 0 { // the index of the removed class is invalid for new requests
		t.Errorf("%+v for a removed class", actions)
	}
	if actions := h.request(4, 0); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Errorf("%+v for the new class", actions)
	}
	actions := h.handle(Event{Kind: EvOutcome, Request: 1, Server: h.b.requests[1].attempts[0].server.Server, Outcome: Reset, Elapsed: 5})
	if len(actions) != 1 || actions[0].Kind != ActSend {
		t.Errorf("%+v, want a repeat of a safe request in the removed class", actions)
	}
	h.handle(Event{Kind: EvOutcome, Request: 1, Attempt: 1, Server: actions[0].Server, Outcome: OK, Elapsed: 5, RequestDone: true})
	h.reconfigure(func(*Settings) {})
	if len(h.b.classes) != 3 || h.b.requests[1] != nil {
		t.Errorf("%d classes, want the removed one dropped with its last request", len(h.b.classes))
	}
}

// Later outcomes are judged by the new thresholds. Measurements stay, and mean ratios are scaled to the new
// unit.
func TestThresholdChangeKeepsLearnedState(t *testing.T) {
	h := newBusyHarness(t)
	before := *h.b
	server := *h.b.live[0]
	deadline, targetAt := h.b.requests[60].deadline, h.b.requests[60].targetAt
	h.reconfigure(func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].TargetLatency, s.Classes[i].Timeout = s.Classes[i].TargetLatency/2, 100
		}
	})
	s := h.b.live[0]
	if s.load != server.load || s.credit < server.credit || s.sampleCount != server.sampleCount || s.samples != server.samples || s.successes != server.successes {
		t.Error("learned state of a server is lost")
	}
	if h.b.limit.maxInFlight != before.limit.maxInFlight || h.b.poolCount != before.poolCount || h.b.sends != before.sends || h.b.accepted.Len() != before.accepted.Len() {
		t.Error("learned state of the tier is lost")
	}
	if q := h.b.requests[60]; q.deadline != deadline || q.targetAt != targetAt {
		t.Errorf("deadline of an open request is %v, before %v", q.deadline, deadline)
	}
	if got := h.b.tierRatio / before.tierRatio; math.Abs(got-2) > 1e-9 || math.Abs(s.meanRatio/server.meanRatio-2) > 1e-9 {
		t.Errorf("mean ratio changed by a factor of %v, want 2 with half the threshold", got)
	}
	h.b.recordOutcome(s, 0, OK, 200) // the target is 250, the threshold 175
	if last := s.samples[(s.sampleCount-1)%ringSize]; math.Abs(last.Value-200/175.0) > 1e-9 {
		t.Errorf("latency ratio %v", last.Value)
	}
	if h.b.meanTarget != 250 || h.b.maxThreshold != 175 {
		t.Errorf("mean target %v, largest threshold %v", h.b.meanTarget, h.b.maxThreshold)
	}
}

// A tenant's bucket is kept by name; a new quota changes its rate and burst.
func TestQuotasKeepTokensByName(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{"a", 10}, {"b", 40}, {"c", 0}}
	h := newHarness(t, settings, readyServers(1)...)
	h.b.quotas[0].Tokens, h.b.quotas[1].Tokens = 3, 60
	h.now += 100 // b gets 4, a gets 1
	h.b.Handle(h.now, &Event{Kind: EvTimer}, nil)
	h.reconfigure(func(s *Settings) { s.Tenants = []Tenant{{"new", 7}, {"b", 20}, {"a", 100}, {"c", 5}} })
	for i, want := range []stats.TokenBucket{
		{Tokens: 14, UpdatedAt: h.now, Rate: 7, Capacity: 14}, {Tokens: 40, UpdatedAt: h.now, Rate: 20, Capacity: 40},
		{Tokens: 4, UpdatedAt: h.now, Rate: 100, Capacity: 200}, {Tokens: 10, UpdatedAt: h.now, Rate: 5, Capacity: 10},
	} {
		if got := h.b.quotas[i]; math.Abs(got.Tokens-want.Tokens) > 1e-9 || got.Rate != want.Rate || got.Capacity != want.Capacity || got.UpdatedAt != want.UpdatedAt {
			t.Errorf("bucket %d: %+v, want %+v", i, got, want)
		}
	}
}

// Subsets, the initial limit and the positions for cold servers must be those of a copy that starts with the
// new settings.
func TestCopiesAndRankChange(t *testing.T) {
	servers := readyServers(40)
	servers[3].Started = 900
	settings := testSettings()
	settings.Copies, settings.Rank = 40, 3
	h := newHarness(t, settings, servers...)
	change := func(s *Settings) { s.Copies, s.Rank = 7, 6 }
	change(&settings)
	fresh := newHarness(t, settings, servers...)
	h.reconfigure(change)
	for i, s := range h.b.live {
		f := fresh.b.live[i]
		if s.subsetShare != f.subsetShare || s.ramp.position != f.ramp.position || s.cold != f.cold {
			t.Errorf("server %d: share %v and position %d, want %v and %d", s.Server, s.subsetShare, s.ramp.position, f.subsetShare, f.ramp.position)
		}
	}
	if h.b.limit.initial != fresh.b.limit.initial {
		t.Errorf("initial limit %v, want %v", h.b.limit.initial, fresh.b.limit.initial)
	}
}

// Limits apply from the change on, to open requests too.
func TestLimitsChange(t *testing.T) {
	t.Run("attempts", func(t *testing.T) {
		h := newHarness(t, testSettings(), readyServers(3)...)
		actions := h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Limits.MaxAttempts = 1 })
		if actions = h.handle(Event{Kind: EvOutcome, Request: 1, Server: actions[0].Server, Outcome: Rejected, Elapsed: 1}); len(actions) != 1 || actions[0].Kind != ActRefuse {
			t.Errorf("%+v, want no second attempt", actions)
		}
	})
	t.Run("open", func(t *testing.T) {
		h := newHarness(t, testSettings(), readyServers(3)...)
		h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Limits.MaxOpenRequests = 1 })
		if actions := h.request(2, 0); len(actions) != 1 || actions[0].Kind != ActRefuse {
			t.Errorf("%+v, want a refusal beyond the bound", actions)
		}
	})
	t.Run("cancellation is no longer allowed", func(t *testing.T) {
		settings := testSettings()
		settings.Limits.CancelAttempts = true
		h := newHarness(t, settings, readyServers(3)...)
		h.b.classes[0].meanLatency = 10
		h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Limits.CancelAttempts = false })
		h.now += 200
		if actions := h.handle(Event{Kind: EvTimer}); len(actions) > 0 {
			t.Errorf("%+v: want none, as cancellation is no longer allowed", actions)
		}
	})
	t.Run("no second run of an unresponsive attempt", func(t *testing.T) {
		settings := testSettings()
		settings.Limits.CancelAttempts = true
		h := newHarness(t, settings, readyServers(3)...)
		h.b.classes[0].meanLatency = 10
		h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Classes[0].Effect = Unsafe })
		h.now += 200
		if actions := h.handle(Event{Kind: EvTimer}); len(actions) > 0 {
			t.Errorf("%+v: want none, as it may not be repeated any more", actions)
		}
	})
	t.Run("budget", func(t *testing.T) {
		h := newHarness(t, testSettings(), readyServers(3)...)
		actions := h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Safety.RetryBudgetWindow = 1000 }) // no budget at all
		if actions = h.handle(Event{Kind: EvOutcome, Request: 1, Server: actions[0].Server, Outcome: Rejected, Elapsed: 1}); len(actions) != 1 || actions[0].Kind != ActRefuse {
			t.Errorf("%+v, want no further attempt", actions)
		}
	})
	t.Run("idle connections while draining", func(t *testing.T) {
		h := newHarness(t, testSettings(), readyServers(2)...)
		h.handle(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{{Server: 100, State: Draining}}})
		actions := h.reconfigure(func(s *Settings) { s.Safety.DrainCloseTimeout = 1000 })
		if len(actions) != 1 || actions[0].Kind != ActCloseIdle || actions[0].Server != 100 {
			t.Errorf("%+v, want the connections to the draining server closed", actions)
		}
	})
	t.Run("warm-up", func(t *testing.T) {
		servers := readyServers(2)
		servers[0].Started = 900
		h := newHarness(t, testSettings(), servers...)
		h.reconfigure(func(s *Settings) { s.Safety.RampTime = 50 }) // already over
		h.request(1, 0)
		if h.b.servers[100].cold {
			t.Error("a server is cold after the new ramp time")
		}
	})
}

// reconfigure changes the settings at random and reports whether they were valid. Open requests then have one
// more class whose rules apply.
func (sim *simulation) reconfigure() bool {
	sim.t.Helper()
	settings := sim.settings
	settings.Classes = nil
	for _, i := range sim.rng.Perm(5)[:1+sim.rng.IntN(4)] {
		c := Class{Name: string(rune('a' + i)), Value: 1 + float64(i), TargetLatency: 200 + 600*sim.rng.Float64(), Timeout: 1000,
			Effect: Effect(sim.rng.IntN(3)), Scope: DedupScope(sim.rng.IntN(3))}
		if c.Effect == Keyed {
			c.DedupWindow = 50 + 400*sim.rng.Float64()
		}
		settings.Classes = append(settings.Classes, c)
	}
	settings.Copies, settings.Rank = 1+sim.rng.IntN(7), sim.rng.IntN(7)
	settings.Limits.MaxAttempts, settings.Limits.CancelAttempts, settings.Limits.MaxOpenRequests = 1+sim.rng.IntN(3), sim.rng.IntN(2) == 0, 40*sim.rng.IntN(2)
	settings.Safety.RampTime, settings.Safety.ColdCapacity = 20000*sim.rng.Float64(), sim.rng.Float64()
	settings.Safety.DrainCloseTimeout = 1500 * float64(sim.rng.IntN(2))
	settings.Safety.RetryBudgetMin, settings.Safety.RetryBudgetRatio = 3*sim.rng.Float64(), 0.3*sim.rng.Float64()
	settings.Tenants = []Tenant{{Name: "t", Quota: 50 * sim.rng.Float64()}, {Name: string(rune('t' + sim.rng.IntN(3))), Quota: 5}}
	if sim.rng.IntN(4) == 0 { // invalid settings change nothing
		settings.Stages++
		if actions, err := sim.b.Reconfigure(sim.now, settings, nil); err == nil || len(actions) > 0 {
			sim.t.Fatalf("error %v, actions %v", err, actions)
		}
		return false
	}
	for _, c := range sim.requests {
		if i := slices.IndexFunc(settings.Classes, func(n Class) bool { return n.Name == c.classes[0].Name }); i >= 0 {
			c.classes = append(c.classes, settings.Classes[i])
		}
	}
	clear(sim.drainUse)
	for _, s := range sim.servers {
		if s.State == Draining && settings.Safety.DrainCloseTimeout > 0 {
			sim.drainUse[s.Server] = sim.now
		}
	}
	sim.settings, sim.repeats = settings, nil // repeats under the old budget do not count in the new one
	actions, err := sim.b.Reconfigure(sim.now, settings, nil)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.checkActions(actions)
	return true
}

// The rules hold for any legal order of events with changes of the settings in between.
func TestRulesHoldWhileSettingsChange(t *testing.T) {
	sends, retired := 0, 0
	for seed := range uint64(16) {
		sim := newSimulation(t, seed, []int{1, 2, 9, 40}[seed%4])
		changes := rand.New(rand.NewPCG(seed, 2))
		for range 3000 {
			sim.step()
			if changes.IntN(50) == 0 {
				sim.reconfigure()
				retired += len(sim.b.classes) - len(sim.settings.Classes)
			}
		}
		sim.advance(sim.now + 5000)
		sim.checkState()
		for _, a := range sim.trace {
			if a.Kind == ActSend {
				sends++
			}
		}
		for !sim.reconfigure() {
		}
		if len(sim.order) != 0 || len(sim.b.requests) != 0 || sim.b.inFlight != 0 || len(sim.b.classes) != len(sim.settings.Classes) {
			t.Errorf("seed %d: %d requests open, %d records held, %d in flight, %d classes", seed, len(sim.order), len(sim.b.requests), sim.b.inFlight, len(sim.b.classes))
		}
	}
	if sends < 4000 || retired < 500 {
		t.Errorf("only %d sends and %d retired classes, too few to test the rules", sends, retired)
	}
}

// A change sweeps the queue at once: under the new settings a request may have to be sent earlier, or end.
func TestReconfigureSweepsTheQueue(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(1)...)
	h.b.limit.reviseAt, h.b.limit.maxInFlight, h.b.classes[0].meanLatency = math.Inf(1), 0, 400
	h.request(1, 0) // the target is 500 ms, and at most 350 of them are kept for an answer
	h.reconfigure(func(s *Settings) { s.Classes[0].TargetLatency = 900 })
	h.now += 120
	if actions := h.handle(Event{Kind: EvTimer}); len(actions) != 1 || actions[0].Kind != ActRefuse {
		t.Errorf("%+v, want a refusal, as an answer takes the measured 400 ms", actions)
	}
}
