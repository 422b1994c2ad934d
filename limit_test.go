package forkline

import (
	"math"
	"testing"
)

// runAtLimit sends a request every 20 ms, which gets the given answer, with the limit always reached.
func runAtLimit(t *testing.T, seconds int, answer func(i int) (serviceTime, elapsed float64, newConn bool)) *harness {
	t.Helper()
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].Timeout = 60000
	}
	h := newHarness(t, settings, readyServers(4)...)
	for i := range 50 * seconds {
		h.now += 20
		id := uint32(i + 1)
		for _, a := range h.handle(Event{Kind: EvRequest, Request: id, Class: 0, Deadline: h.now + 60000}) {
			if a.Kind != ActSend {
				t.Fatalf("request %d: %+v", id, a)
			}
			serviceTime, elapsed, newConn := answer(i)
			h.handle(Event{Kind: EvOutcome, Request: id, Server: a.Server, Elapsed: elapsed, ServiceTime: serviceTime, NewConnection: newConn, RequestDone: true})
		}
		h.b.inFlight = int(h.b.limit.maxInFlight) // the limit is used up, so that it may rise
		if h.now+20 >= h.b.limit.reviseAt {
			h.reviseLimit()
		}
		h.b.inFlight = 0
	}
	return h
}

// The network delays some answers by much: connections open late, are reset or hang. That is not waiting at
// servers, and the limit must rise as it does without it.
func TestNetworkDelayIsNotWaiting(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(i int) (serviceTime, elapsed float64, newConn bool)
		rises  bool
	}{
		"none":                       {func(int) (float64, float64, bool) { return 10, 10, false }, true},
		"one answer in ten":          {func(int) (float64, float64, bool) { return 10, 10, false }, true},
		"late connections":           {func(int) (float64, float64, bool) { return 10, 200, false }, true},
		"handshakes":                 {func(int) (float64, float64, bool) { return 60, 60, true }, true},
		"each answer, by its server": {func(int) (float64, float64, bool) { return 20, 20, false }, false},
	} {
		h := runAtLimit(t, 20, func(i int) (float64, float64, bool) {
			switch {
			case i < 500: // no load, so that there is a baseline
				return 10, 10, false
			case name == "one answer in ten" && i%10 == 0:
				return 250, 250, false
			case name == "handshakes" && i%3 > 0:
				return 10, 10, false
			}
			return c.answer(i)
		})
		before := h.b.limit.maxInFlight
		h.b.limit.maxInFlight, h.b.inFlight = 4*h.b.limit.initial, int(4*h.b.limit.initial)
		if h.reviseLimit(); (h.b.limit.maxInFlight > 4*h.b.limit.initial) != c.rises {
			t.Errorf("%s: limit %.1f after %.1f, mean %.3f with baseline %.3f; want a rise: %v", name,
				h.b.limit.maxInFlight, 4*h.b.limit.initial, h.b.limit.meanRatio, h.b.limit.baseline, c.rises)
		}
		if before < h.b.limit.initial {
			t.Errorf("%s: limit %.1f is below its initial value %.1f", name, before, h.b.limit.initial)
		}
	}
}

// At its initial value the limit causes no waiting. Answers that stay slower than the first ones, but are not
// slow against the target, must not keep it there for good. Slow ones must.
func TestLimitLeavesItsInitialValue(t *testing.T) {
	for latency, rises := range map[float64]bool{60: true, 450: false} {
		l := concurrencyLimit{initial: 5, baseline: math.Inf(1)}
		for i := range 2000 {
			ratio := latency / 350
			if i < 100 {
				ratio = 10.0 / 350
			}
			l.observe(float64(1000+20*i), ratio)
			if i >= 100 && i%50 == 0 {
				l.revise(l.maxInFlight, ratio, true, []float64{ratio})
			}
		}
		if l.maxInFlight > l.initial != rises {
			t.Errorf("answers in %v ms: limit %.1f, initially %.1f; mean %.3f with baseline %.3f", latency, l.maxInFlight, l.initial, l.meanRatio, l.baseline)
		}
	}
}

// An attempt whose connection is not open yet must not keep other requests from idle servers. It counts once
// it is connected. At most as many attempts may wait for connections as may be in flight.
func TestConnectingAttemptsDoNotCount(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(2)...)
	h.b.limit.maxInFlight, h.b.limit.reviseAt = 2, math.Inf(1)
	h.b.sends.PerSecond, h.b.sends.UpdatedAt = 100, h.now
	sent := map[uint32]uint32{}
	record := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == ActSend {
				sent[a.Request] = a.Server
			}
		}
	}
	for id := uint32(1); id <= 4; id++ {
		record(h.request(id, 0))
		record(h.handle(Event{Kind: EvConnecting, Request: id}))
		record(h.handle(Event{Kind: EvConnecting, Request: id})) // reported twice, it counts once
	}
	if len(sent) != 2 || h.b.inFlight != 0 || h.b.connecting != 2 {
		t.Fatalf("%d sent, %d in flight, %d connecting; want 2, 0 and 2", len(sent), h.b.inFlight, h.b.connecting)
	}
	record(h.handle(Event{Kind: EvConnected, Request: 1}))
	if len(sent) != 3 || h.b.inFlight != 2 || h.b.connecting != 1 {
		t.Errorf("%d sent, %d in flight, %d connecting; want 3, 2 and 1", len(sent), h.b.inFlight, h.b.connecting)
	}
	h.handle(Event{Kind: EvOutcome, Request: 2, Server: sent[2], Outcome: ConnectFailed})
	h.handle(Event{Kind: EvConnected, Request: 2, Attempt: 0}) // later than the outcome
	h.handle(Event{Kind: EvConnected, Request: 99})
	inFlight, connecting := 0, 0
	for _, s := range h.b.live {
		inFlight, connecting = inFlight+s.inFlight, connecting+s.connecting
	}
	if h.b.connecting != connecting || h.b.inFlight != inFlight-connecting {
		t.Errorf("%d in flight and %d connecting, want %d and %d", h.b.inFlight, h.b.connecting, inFlight-connecting, connecting)
	}
}

// When servers leave the list, attempts in flight at them no longer count and the limit falls with the number
// of servers. Otherwise the remaining servers would be overloaded by the load of all. Servers that join raise
// the limit again, a cold one by its share.
func TestLimitFollowsServerList(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(4)...)
	for id := uint32(1); id <= 8; id++ {
		h.request(id, 0)
	}
	h.b.limit.maxInFlight = 40
	leaving := h.b.live[3]
	if h.b.inFlight != 8 || leaving.inFlight == 0 {
		t.Fatalf("%d attempts in flight, %d at the server that leaves", h.b.inFlight, leaving.inFlight)
	}
	entry := leaving.ServerEntry
	entry.State = Draining
	h.handle(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{entry}})
	if h.b.limit.maxInFlight != 30 || h.b.inFlight != 8-leaving.inFlight {
		t.Errorf("limit %v and %d in flight, want 30 and %d", h.b.limit.maxInFlight, h.b.inFlight, 8-leaving.inFlight)
	}
	for id, q := range h.b.requests { // an answer from the removed server changes nothing any more
		if q.attempts[0].server == leaving {
			inFlight := h.b.inFlight
			h.handle(Event{Kind: EvOutcome, Request: id, Server: leaving.Server, Outcome: OK, Elapsed: 5, RequestDone: true})
			if h.b.inFlight != inFlight {
				t.Errorf("%d in flight, want %d", h.b.inFlight, inFlight)
			}
		}
	}
	added := []ServerEntry{{Server: 90, State: Ready}, {Server: 91, State: Draining}}
	h.handle(Event{Kind: EvList, List: ListDelta, Servers: added})
	if h.b.limit.maxInFlight != 40 {
		t.Errorf("limit %v with the fourth server back, want 40", h.b.limit.maxInFlight)
	}
	h.b.cfg.Safety.RampTime, h.b.cfg.Safety.ColdCapacity = 1000, 0.4
	h.handle(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{{Server: 92, State: Ready, Started: h.now}}})
	if h.b.limit.maxInFlight != 44 {
		t.Errorf("limit %v with a cold fifth server, want 44", h.b.limit.maxInFlight)
	}
	for range 3 {
		h.b.recordOutcome(h.b.live[0], 0, Error, 1)
	}
	if !h.b.live[0].ejected || math.Round(h.b.limit.maxInFlight) != 34 {
		t.Errorf("limit %v with one server ejected, want 34", h.b.limit.maxInFlight)
	}
	for range trialSuccesses {
		h.b.recordOutcome(h.b.live[0], 0, OK, 1)
	}
	if h.b.live[0].ejected || math.Round(h.b.limit.maxInFlight) != 44 {
		t.Errorf("limit %v with that server back, want 44", h.b.limit.maxInFlight)
	}
}

// The front must not raise its limit while answers wait longer than they used to, even if they are not slow
// yet: attempts already in flight will slow them further. Without a baseline, slow answers alone must stop
// the rise.
func TestLimitRisesOnlyWithoutWaiting(t *testing.T) {
	for _, c := range []struct {
		mean, baseline, elapsed float64
		rises                   bool
	}{
		{0.3, 0.3, 200, true}, {0.5, 0.3, 350, false},
		{0.3, math.Inf(1), 200, true}, {1.3, math.Inf(1), 910, false},
	} {
		h := newHarness(t, testSettings(), readyServers(4)...)
		for range minSamples {
			h.recordOutcome(h.b.live[0], 0, OK, c.elapsed)
		}
		h.b.limit.meanRatio, h.b.limit.baseline, h.b.limit.maxInFlight, h.b.inFlight = c.mean, c.baseline, 40, 40
		if h.reviseLimit(); h.b.limit.maxInFlight > 40 != c.rises {
			t.Errorf("%+v: limit %v after 40", c, h.b.limit.maxInFlight)
		}
	}
}

// The front must reduce its limit because of waiting, not for a latency tail of the work itself, nor for some
// unresponsive servers.
func TestOnlyWaitingLowersTheLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  Outcome
		elapsed  float64 // of one request in ten
		slowdown float64 // of all others, from halfway on
		lowers   bool
	}{
		{"heavy tail", OK, 900, 1, false},
		{"unresponsive servers", Timeout, 900, 1, false},
		{"all answers wait", OK, 900, 6, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), readyServers(4)...)
			before := 0.0
			for i := range 6000 {
				h.now += 10
				h.b.now = h.now
				s, outcome, elapsed := h.b.live[i%4], OK, 80.0
				if i > 3000 {
					elapsed *= c.slowdown
				}
				if i%10 == 0 {
					outcome, elapsed = c.outcome, c.elapsed
				}
				h.recordOutcome(s, 0, outcome, elapsed)
				s.ejected, s.failureRun = false, 0
				h.b.sends.Add(h.now, 1, demandTau)
				h.b.inFlight = 40
				if h.now >= h.b.limit.reviseAt {
					h.reviseLimit()
				}
				if i == 3000 {
					before = h.b.limit.maxInFlight
				}
			}
			if lowers := h.b.limit.maxInFlight < before; lowers != c.lowers || before < 40 {
				t.Errorf("limit went from %.1f to %.1f", before, h.b.limit.maxInFlight)
			}
		})
	}
}

// A copy with too little traffic for a p95 must still adjust its limit, by its mean ratio.
func TestSparseCopyAdjustsItsLimit(t *testing.T) {
	for _, slowdown := range []float64{1, 8} {
		h := newHarness(t, testSettings(), readyServers(4)...)
		s := h.b.live[0]
		for i := range 60 {
			h.now += 1000
			h.b.now = h.now
			elapsed := 80.0
			if i >= 30 {
				elapsed *= slowdown
			}
			h.recordOutcome(s, 0, OK, elapsed)
			s.ejected, s.failureRun = false, 0
			h.b.inFlight = 25
			h.reviseLimit()
		}
		if rose := h.b.limit.maxInFlight > h.b.limit.initial; rose != (slowdown == 1) {
			t.Errorf("answers %v times slower: limit %.1f, initially %.1f", slowdown, h.b.limit.maxInFlight, h.b.limit.initial)
		}
	}
}
