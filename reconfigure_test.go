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

// reconfigure puts the settings in force with an edit and returns the actions that are not timers or logs.
func (h *harness) reconfigure(edit func(*Settings)) []Action {
	h.t.Helper()
	set := h.b.cfg
	if !h.b.budgetConfigured { // it holds the module's own figures
		set.Safety.RetryBudgetMin, set.Safety.RetryBudgetRatio, set.Safety.RetryBudgetWindow = 0, 0, 0
	}
	set.Classes, set.Tenants = slices.Clone(set.Classes), slices.Clone(set.Tenants)
	edit(&set)
	acts, err := h.b.Reconfigure(h.now, set, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return slices.DeleteFunc(acts, func(a Action) bool { return a.Kind == ActTimer || a.Kind == ActLog })
}

// busy is a copy that has learned a little and has requests of each class open.
func busy(t *testing.T) *harness {
	t.Helper()
	set := plain()
	set.Copies, set.Rank = 3, 1
	set.Tenants = []Tenant{{"a", 30}, {"b", 60}}
	servers := ids(6)
	servers[5].Started = 900 // it is cold
	h := start(t, set, servers...)
	for id := uint32(1); id <= 60; id++ {
		h.now += 15
		for _, a := range h.do(Event{Kind: EvRequest, Request: id, Class: uint16(id % 3), Tenant: uint16(id % 2), Deadline: h.now + 900}) {
			if a.Kind == ActSend && id <= 50 {
				h.now += 5
				h.do(Event{Kind: EvOutcome, Request: id, Server: a.Server, Outcome: OK, Elapsed: 5 + float64(id), RequestDone: true})
			}
		}
	}
	if len(h.b.requests) < 8 {
		t.Fatalf("%d requests are open", len(h.b.requests))
	}
	return h
}

// What cannot be used, or cannot change, is named and changes nothing.
func TestReconfigureTakesAllOrNothing(t *testing.T) {
	for want, spoil := range map[string]func(*Settings){
		"Stage cannot change from 0 to 1":                func(s *Settings) { s.Stages, s.Stage = 1, 1; s.Stages = 2 },
		"Stages cannot change from 1 to 4":               func(s *Settings) { s.Stages = 4 },
		"ListOnRequest cannot change from false to true": func(s *Settings) { s.PollList = true },
		"Classes is empty":                               func(s *Settings) { s.Classes = nil },
		"GiveUp -1":                                      func(s *Settings) { s.Classes[0].Timeout = -1 },
		"Ramp NaN":                                       func(s *Settings) { s.Safety.RampTime = math.NaN() },
		"Effect 7":                                       func(s *Settings) { s.Classes[1].Effect = 7 },
	} {
		h, untouched := busy(t), busy(t)
		set := plain()
		set.Copies, set.Tenants = 9, nil // would change much
		spoil(&set)
		acts, err := h.b.Reconfigure(h.now, set, nil)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || len(acts) > 0 {
			t.Errorf("error %v and actions %v, want %q", err, acts, want)
		}
		if !reflect.DeepEqual(h.b, untouched.b) {
			t.Errorf("%s: the state has changed", want)
		}
	}
}

// The settings that are in force change nothing that a later event could show.
func TestReconfigureWithTheSameSettings(t *testing.T) {
	h, untouched := busy(t), busy(t)
	if acts := h.reconfigure(func(*Settings) {}); len(acts) > 0 {
		t.Errorf("actions %v", acts)
	}
	untouched.do(Event{Kind: EvTimer, Token: math.MaxUint64}) // an event at which nothing happens
	h.b.sweepAt, untouched.b.sweepAt = 0, 0                   // when it looks next
	h.b.actions, untouched.b.actions, h.b.scratch, untouched.b.scratch = nil, nil, nil, nil
	for i := range h.b.quotas {
		for _, b := range []*Balancer{h.b, untouched.b} { // refilled up to now or later, it is the same bucket
			t := &b.quotas[i]
			t.Tokens, t.UpdatedAt = math.Round(1e6*t.Available(b.now)), b.now
		}
	}
	if !reflect.DeepEqual(h.b, untouched.b) {
		t.Errorf("the state has changed:\n%+v\n%+v", h.b, untouched.b)
	}
}

// How far a request may be repeated that is out while its class changes: as far as both allow.
func TestOpenRequestsKeepTheStricterRule(t *testing.T) {
	keyed := func(window float64, g DedupScope) Class { return Class{Effect: Keyed, DedupWindow: window, Scope: g} }
	safe, unsafe := Class{Effect: Safe}, Class{Effect: Unsafe}
	for _, c := range []struct {
		name  string
		old   Class
		new   []Class // one change after another
		where string  // it is repeated: anywhere, zone, cell, both, nowhere
	}{
		{"safe stays", safe, []Class{safe}, "anywhere"},
		{"safe, then unsafe", safe, []Class{unsafe}, "nowhere"},
		{"unsafe, then safe", unsafe, []Class{safe}, "nowhere"},
		{"unsafe, then keyed", unsafe, []Class{keyed(900, ScopeAll)}, "nowhere"},
		{"keyed, then unsafe", keyed(900, ScopeAll), []Class{unsafe}, "nowhere"},
		{"safe, unsafe and safe again", safe, []Class{unsafe, safe}, "nowhere"},
		{"safe, then keyed", safe, []Class{keyed(900, ScopeCell)}, "cell"},
		{"keyed, then safe", keyed(900, ScopeCell), []Class{safe}, "cell"},
		{"shorter window", keyed(900, ScopeAll), []Class{keyed(50, ScopeAll)}, "nowhere"},
		{"longer window", keyed(50, ScopeAll), []Class{keyed(900, ScopeAll)}, "nowhere"},
		{"smaller group", keyed(900, ScopeAll), []Class{keyed(900, ScopeCell)}, "cell"},
		{"larger group", keyed(900, ScopeZone), []Class{keyed(900, ScopeAll)}, "zone"},
		{"another group", keyed(900, ScopeZone), []Class{keyed(900, ScopeCell)}, "both"},
		{"three groups", keyed(900, ScopeCell), []Class{keyed(900, ScopeAll), keyed(900, ScopeZone)}, "both"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for where, other := range map[string]ServerEntry{
				"anywhere": {Zone: 1, Cell: 1}, "zone": {Cell: 1}, "cell": {Zone: 1}, "both": {},
			} {
				class := func(r Class) Class {
					r.Name, r.Value, r.TargetLatency, r.Timeout = "x", 1, 500, 1000
					return r
				}
				set := plain()
				set.Classes = append(set.Classes[:1:1], class(c.old))
				h := start(t, set, ServerEntry{Server: 1})
				h.request(5, 1)
				other.Server = 2
				h.do(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{other}})
				h.now += 100
				for _, n := range c.new {
					h.reconfigure(func(s *Settings) { s.Classes = []Class{class(n), set.Classes[0]} })
				}
				acts := h.do(Event{Kind: EvOutcome, Request: 5, Server: 1, Outcome: Reset, Elapsed: 100})
				again := len(acts) == 1 && acts[0].Kind == ActSend && acts[0].Server == 2
				same := len(acts) == 1 && acts[0].Kind == ActSend && acts[0].Server == 1 // which is in all its groups
				want := c.where == "anywhere" || c.where == where || where == "both" && c.where != "nowhere"
				if again != want || same && (want || c.where == "nowhere") {
					t.Errorf("allowed %s, another server there is in the same %s: %+v", c.where, where, acts)
				}
				kind := ActFail // it may have run
				if c.old.Effect == Keyed && c.new[0] == keyed(c.new[0].DedupWindow, ScopeAll) {
					kind = ActRefuse // all servers know its key
				}
				if c.where == "nowhere" && (len(acts) != 1 || acts[0].Kind != kind) {
					t.Errorf("%+v, want an end of kind %d", acts, kind)
				}
			}
		})
	}
}

// A safe request may have run in two groups; under a key it must not run again in either, as the other would not know.
func TestNoRepeatAcrossGroupsAfterAChange(t *testing.T) {
	h := start(t, plain(), ServerEntry{Server: 1})
	h.request(5, 0)
	h.do(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{{Server: 2, Cell: 1}, {Server: 3}}})
	h.b.servers[3].State = Draining // the second attempt goes to the other cell
	acts := h.do(Event{Kind: EvOutcome, Request: 5, Server: 1, Outcome: Reset, Elapsed: 5})
	if len(acts) != 1 || acts[0].Server != 2 {
		t.Fatalf("second attempt: %+v", acts)
	}
	h.b.servers[3].State = Ready
	h.reconfigure(func(s *Settings) {
		s.Classes[0].Effect, s.Classes[0].DedupWindow, s.Classes[0].Scope = Keyed, 900, ScopeCell
	})
	acts = h.do(Event{Kind: EvOutcome, Request: 5, Attempt: 1, Server: 2, Outcome: Reset, Elapsed: 5})
	if len(acts) != 1 || acts[0].Kind != ActFail {
		t.Errorf("%+v, want a failure", acts)
	}
}

// A safe request that waits to be repeated must not block the queue, nor go out, when its class becomes unsafe.
func TestAWaitingRepeatEndsWithItsRule(t *testing.T) {
	h := start(t, plain(), ids(2)...)
	h.b.limit.reviseAt = math.Inf(1)
	h.request(1, 0)
	h.b.limit.maxInFlight = 0 // crowded from here on
	if acts := h.do(Event{Kind: EvOutcome, Request: 1, Server: h.b.requests[1].attempts[0].server.Server, Outcome: Reset, Elapsed: 5}); len(acts) > 0 {
		t.Fatalf("it must wait: %+v", acts)
	}
	h.request(2, 2)
	acts := h.reconfigure(func(s *Settings) { s.Classes[0].Effect = Unsafe })
	if len(acts) != 1 || acts[0].Kind != ActFail || acts[0].Request != 1 {
		t.Errorf("%+v, want that request 1 has failed", acts)
	}
	h.b.limit.maxInFlight = 9
	if acts := h.do(Event{Kind: EvTimer}); len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Request != 2 {
		t.Errorf("%+v, want that request 2 goes out", acts)
	}
}

// Classes go by their names: numbers move, one is gone while a request of it is open, another comes.
func TestClassesGoByName(t *testing.T) {
	h := start(t, plain(), ids(3)...)
	for i := range h.b.classes {
		h.b.classes[i].meanLatency, h.b.classes[i].servedShare = float64(10*(i+1)), 0.5+0.1*float64(i)
	}
	h.request(1, 0)
	h.request(2, 2)
	old := plain().Classes
	h.reconfigure(func(s *Settings) {
		s.Classes = []Class{{Name: "new", Value: 1, TargetLatency: 100, Timeout: 300}, old[2], old[1]}
	})
	c := h.b.classes
	if c[0].meanLatency != 0 || c[0].servedShare != 1 || c[1].meanLatency != 30 || c[1].servedShare != 0.7 || c[2].meanLatency != 20 {
		t.Errorf("learned %+v", c)
	}
	if q := h.b.requests[2]; c[q.class].Name != "book" || q.class != 1 {
		t.Errorf("request 2 is of class %d", q.class)
	}
	if q := h.b.requests[1]; c[q.class].Name != "read" || c[q.class].meanLatency != 10 {
		t.Errorf("request 1, whose class is gone, is of %+v", c[q.class])
	}
	if acts := h.request(3, 3); len(acts) > 0 { // the number of the class that is gone is none for new ones
		t.Errorf("%+v for a class that is no more", acts)
	}
	if acts := h.request(4, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("%+v for the new class", acts)
	}
	acts := h.do(Event{Kind: EvOutcome, Request: 1, Server: h.b.requests[1].attempts[0].server.Server, Outcome: Reset, Elapsed: 5})
	if len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("%+v, want that a safe request goes on in the class that is gone", acts)
	}
	h.do(Event{Kind: EvOutcome, Request: 1, Attempt: 1, Server: acts[0].Server, Outcome: OK, Elapsed: 5, RequestDone: true})
	h.reconfigure(func(*Settings) {})
	if len(h.b.classes) != 3 || h.b.requests[1] != nil {
		t.Errorf("%d classes, want that the one that is gone ends with its last request", len(h.b.classes))
	}
}

// Later outcomes are judged by the new thresholds; what was measured goes on, in the new unit where it is a mean.
func TestThresholdsChangeAndWhatIsLearnedStays(t *testing.T) {
	h := busy(t)
	was := *h.b
	server := *h.b.live[0]
	due, aimAt := h.b.requests[60].deadline, h.b.requests[60].targetAt
	h.reconfigure(func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].TargetLatency, s.Classes[i].Timeout = s.Classes[i].TargetLatency/2, 100
		}
	})
	s := h.b.live[0]
	if s.load != server.load || s.credit < server.credit || s.sampleCount != server.sampleCount || s.samples != server.samples || s.successes != server.successes {
		t.Error("what was learned of a server is lost")
	}
	if h.b.limit.maxInFlight != was.limit.maxInFlight || h.b.poolCount != was.poolCount || h.b.sends != was.sends || h.b.accepted.Len() != was.accepted.Len() {
		t.Error("what was learned of the tier is lost")
	}
	if q := h.b.requests[60]; q.deadline != due || q.targetAt != aimAt {
		t.Errorf("an open request is due at %v, before %v", q.deadline, due)
	}
	if got := h.b.tierRatio / was.tierRatio; math.Abs(got-2) > 1e-9 || math.Abs(s.meanRatio/server.meanRatio-2) > 1e-9 {
		t.Errorf("mean ratio %v of before, want 2 with half the threshold", got)
	}
	h.b.recordOutcome(s, 0, OK, 200) // the aim is 250, the threshold 175
	if last := s.samples[(s.sampleCount-1)%ringSize]; math.Abs(last.Value-200/175.0) > 1e-9 {
		t.Errorf("ratio %v", last.Value)
	}
	if h.b.meanTarget != 250 || h.b.maxThreshold != 175 {
		t.Errorf("mean aim %v, silence %v", h.b.meanTarget, h.b.maxThreshold)
	}
}

// A tenant's bucket goes by its name; a changed quota changes rate and burst.
func TestQuotasGoByName(t *testing.T) {
	set := plain()
	set.Tenants = []Tenant{{"a", 10}, {"b", 40}, {"c", 0}}
	h := start(t, set, ids(1)...)
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

// The deal of servers, the start of the limit and the order on cold servers are those of a copy that starts with the
// new settings.
func TestCopiesAndRankChange(t *testing.T) {
	servers := ids(40)
	servers[3].Started = 900
	set := plain()
	set.Copies, set.Rank = 40, 3
	h := start(t, set, servers...)
	change := func(s *Settings) { s.Copies, s.Rank = 7, 6 }
	change(&set)
	fresh := start(t, set, servers...)
	h.reconfigure(change)
	for i, s := range h.b.live {
		f := fresh.b.live[i]
		if s.subsetShare != f.subsetShare || s.ramp.position != f.ramp.position || s.cold != f.cold {
			t.Errorf("server %d: share %v and place %d, want %v and %d", s.Server, s.subsetShare, s.ramp.position, f.subsetShare, f.ramp.position)
		}
	}
	if h.b.limit.initial != fresh.b.limit.initial {
		t.Errorf("initial limit %v, want %v", h.b.limit.initial, fresh.b.limit.initial)
	}
}

// Limits count from the change on, for open requests too.
func TestLimitsChange(t *testing.T) {
	t.Run("attempts", func(t *testing.T) {
		h := start(t, plain(), ids(3)...)
		acts := h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Limits.MaxAttempts = 1 })
		if acts = h.do(Event{Kind: EvOutcome, Request: 1, Server: acts[0].Server, Outcome: Rejected, Elapsed: 1}); len(acts) != 1 || acts[0].Kind != ActRefuse {
			t.Errorf("%+v, want no second attempt", acts)
		}
	})
	t.Run("open", func(t *testing.T) {
		h := start(t, plain(), ids(3)...)
		h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Limits.MaxOpenRequests = 1 })
		if acts := h.request(2, 0); len(acts) != 1 || acts[0].Kind != ActRefuse {
			t.Errorf("%+v, want a refusal past the bound", acts)
		}
	})
	t.Run("no cancelling any more", func(t *testing.T) {
		set := plain()
		set.Limits.CancelAttempts = true
		h := start(t, set, ids(3)...)
		h.b.classes[0].meanLatency = 10
		h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Limits.CancelAttempts = false })
		h.now += 200
		if acts := h.do(Event{Kind: EvTimer}); len(acts) > 0 {
			t.Errorf("%+v: the site does not permit that any more", acts)
		}
	})
	t.Run("no second run of a silent attempt", func(t *testing.T) {
		set := plain()
		set.Limits.CancelAttempts = true
		h := start(t, set, ids(3)...)
		h.b.classes[0].meanLatency = 10
		h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Classes[0].Effect = Unsafe })
		h.now += 200
		if acts := h.do(Event{Kind: EvTimer}); len(acts) > 0 {
			t.Errorf("%+v: it may not be repeated any more", acts)
		}
	})
	t.Run("budget", func(t *testing.T) {
		h := start(t, plain(), ids(3)...)
		acts := h.request(1, 0)
		h.reconfigure(func(s *Settings) { s.Safety.RetryBudgetWindow = 1000 }) // none at all
		if acts = h.do(Event{Kind: EvOutcome, Request: 1, Server: acts[0].Server, Outcome: Rejected, Elapsed: 1}); len(acts) != 1 || acts[0].Kind != ActRefuse {
			t.Errorf("%+v, want no further attempt", acts)
		}
	})
	t.Run("idle connections in a drain", func(t *testing.T) {
		h := start(t, plain(), ids(2)...)
		h.do(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{{Server: 100, State: Draining}}})
		acts := h.reconfigure(func(s *Settings) { s.Safety.DrainCloseTimeout = 1000 })
		if len(acts) != 1 || acts[0].Kind != ActCloseIdle || acts[0].Server != 100 {
			t.Errorf("%+v, want that those to the server that drains are closed", acts)
		}
	})
	t.Run("warm-up", func(t *testing.T) {
		servers := ids(2)
		servers[0].Started = 900
		h := start(t, plain(), servers...)
		h.reconfigure(func(s *Settings) { s.Safety.RampTime = 50 }) // it is over
		h.request(1, 0)
		if h.b.servers[100].cold {
			t.Error("a server is cold past the new time")
		}
	})
}

// reconfigure changes the settings of a world at random and tells whether they could be used. Open requests are in one
// class more.
func (w *world) reconfigure() bool {
	w.t.Helper()
	set := w.set
	set.Classes = nil
	for _, i := range w.rng.Perm(5)[:1+w.rng.IntN(4)] {
		c := Class{Name: string(rune('a' + i)), Value: 1 + float64(i), TargetLatency: 200 + 600*w.rng.Float64(), Timeout: 1000,
			Effect: Effect(w.rng.IntN(3)), Scope: DedupScope(w.rng.IntN(3))}
		if c.Effect == Keyed {
			c.DedupWindow = 50 + 400*w.rng.Float64()
		}
		set.Classes = append(set.Classes, c)
	}
	set.Copies, set.Rank = 1+w.rng.IntN(7), w.rng.IntN(7)
	set.Limits.MaxAttempts, set.Limits.CancelAttempts, set.Limits.MaxOpenRequests = 1+w.rng.IntN(3), w.rng.IntN(2) == 0, 40*w.rng.IntN(2)
	set.Safety.RampTime, set.Safety.ColdCapacity = 20000*w.rng.Float64(), w.rng.Float64()
	set.Safety.DrainCloseTimeout = 1500 * float64(w.rng.IntN(2))
	set.Safety.RetryBudgetMin, set.Safety.RetryBudgetRatio = 3*w.rng.Float64(), 0.3*w.rng.Float64()
	set.Tenants = []Tenant{{Name: "t", Quota: 50 * w.rng.Float64()}, {Name: string(rune('t' + w.rng.IntN(3))), Quota: 5}}
	if w.rng.IntN(4) == 0 { // one that cannot be used counts for nothing
		set.Stages++
		if acts, err := w.b.Reconfigure(w.now, set, nil); err == nil || len(acts) > 0 {
			w.t.Fatalf("error %v, actions %v", err, acts)
		}
		return false
	}
	for _, c := range w.calls {
		if i := slices.IndexFunc(set.Classes, func(n Class) bool { return n.Name == c.under[0].Name }); i >= 0 {
			c.under = append(c.under, set.Classes[i])
		}
	}
	clear(w.used)
	for _, s := range w.servers {
		if s.State == Draining && set.Safety.DrainCloseTimeout > 0 {
			w.used[s.Server] = w.now
		}
	}
	w.set, w.further = set, nil // what was made under another budget is none of this one's
	acts, err := w.b.Reconfigure(w.now, set, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	w.check(acts)
	return true
}

// The rules hold for any legal order of events with changes of the settings in between.
func TestRulesHoldWhileSettingsChange(t *testing.T) {
	sends, retired := 0, 0
	for seed := range uint64(16) {
		w := newWorld(t, seed, []int{1, 2, 9, 40}[seed%4])
		changes := rand.New(rand.NewPCG(seed, 2))
		for range 3000 {
			w.step()
			if changes.IntN(50) == 0 {
				w.reconfigure()
				retired += len(w.b.classes) - len(w.set.Classes)
			}
		}
		w.advance(w.now + 5000)
		w.sweep()
		for _, a := range w.trace {
			if a.Kind == ActSend {
				sends++
			}
		}
		for !w.reconfigure() {
		}
		if len(w.order) != 0 || len(w.b.requests) != 0 || w.b.inFlight != 0 || len(w.b.classes) != len(w.set.Classes) {
			t.Errorf("seed %d: %d calls open, %d held, %d out, %d classes", seed, len(w.order), len(w.b.requests), w.b.inFlight, len(w.b.classes))
		}
	}
	if sends < 4000 || retired < 500 {
		t.Errorf("only %d sends and %d retired classes, too few to have tested the rules", sends, retired)
	}
}

// Calls that wait are looked through at once: by the new settings one may have to go out sooner, or end.
func TestWaitingCallsAreLookedThrough(t *testing.T) {
	h := start(t, plain(), ids(1)...)
	h.b.limit.reviseAt, h.b.limit.maxInFlight, h.b.classes[0].meanLatency = math.Inf(1), 0, 400
	h.request(1, 0) // its aim is in 500 ms, and its answer takes 350 of them at most
	h.reconfigure(func(s *Settings) { s.Classes[0].TargetLatency = 900 })
	h.now += 120
	if acts := h.do(Event{Kind: EvTimer}); len(acts) != 1 || acts[0].Kind != ActRefuse {
		t.Errorf("%+v, want its end, as an answer takes the 400 ms that are measured", acts)
	}
}
