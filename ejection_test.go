package forkline

import (
	"math"
	"testing"
)

// A server may accept a request and never answer. An attempt at an unresponsive server is cancelled while
// there is time for another one, and counts as a failure of the server. A server that answers other requests
// is only slow and is waited for.
func TestUnresponsiveServerIsAbandoned(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     uint16
		active    bool
		stage     int
		ejected   bool
		cancelled bool
	}{
		{"unresponsive", 0, false, 0, false, true}, {"slow", 0, true, 0, false, false}, {"keyed", 1, false, 0, false, false},
		{"inner", 0, false, 1, false, false}, {"inner trial", 0, false, 1, true, true},
	} {
		settings := testSettings()
		settings.Stage, settings.Stages = c.stage, 2
		settings.Limits.CancelAttempts = true
		h := newHarness(t, settings, readyServers(2)...)
		h.b.classes[c.class].meanLatency = 10
		if s := h.b.live[0]; c.ejected {
			s.ejected, s.measured, s.load, s.credit = true, true, 1, 1
		}
		sent := h.request(1, c.class)
		s := h.b.servers[sent[0].Server]
		if s.ejected != c.ejected {
			t.Fatalf("%s: sent to the other server", c.name)
		}
		h.now += 40
		if c.active {
			s.lastActivity = h.now
		}
		h.now += 10*attemptTimeoutFactor - 40 + 1
		actions := h.handle(Event{Kind: EvTimer, Token: h.b.timerToken})
		if didCancel := len(actions) == 1 && actions[0].Kind == ActCancel && actions[0].Request == 1; didCancel != c.cancelled {
			t.Errorf("%s: %+v", c.name, actions)
		}
		if !c.cancelled {
			continue
		}
		actions = h.handle(Event{Kind: EvOutcome, Request: 1, Server: s.Server, Outcome: Cancelled, Elapsed: 61})
		if len(actions) != 1 || actions[0].Kind != ActSend || actions[0].Server == s.Server || s.failureRun != 1 {
			t.Errorf("%s: after the cancellation %+v, a run of %v failures", c.name, actions, s.failureRun)
		}
		h.now += 1000
		if h.handle(Event{Kind: EvTimer, Token: h.b.timerToken}); h.b.wakeAt != 0 && len(h.b.attemptTimers) == 0 {
			t.Errorf("%s: a timer is pending without reason", c.name)
		}
	}
}

// Attempts at an unresponsive server stay in flight until they time out. They must not use up the limit, or
// requests wait beside idle servers. Once the server is active again, it counts as before.
func TestUnresponsiveServerLeavesTheLimit(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].TargetLatency, settings.Classes[i].Timeout = 1000, 60000
	}
	h := newHarness(t, settings, readyServers(1)...)
	h.b.limit.maxInFlight, h.b.limit.reviseAt, h.b.limit.servers = 10, math.Inf(1), 2 // counts the second server too, which is listed below
	var stuck []Action
	for id := uint32(1); id <= 20; id++ {
		h.b.sends.Add(h.now, 10, demandTau) // makes the queue long enough
		stuck = append(stuck, h.handle(Event{Kind: EvRequest, Request: id, Class: 2, Deadline: h.now + 60000})...)
	}
	h.b.limit.servers = 2
	h.handle(Event{Kind: EvList, List: ListFull, Servers: readyServers(2)})
	hung, other := h.b.live[0], h.b.live[1]
	h.now += h.b.maxThreshold
	if h.handle(Event{Kind: EvTimer, Token: h.b.timerToken}); len(stuck) != 10 || other.inFlight != 0 {
		t.Fatalf("%d requests stuck, want 10; %d sent to the other server before the threshold, want 0", len(stuck), other.inFlight)
	}
	h.now++
	if h.handle(Event{Kind: EvTimer, Token: h.b.timerToken}); other.inFlight != 5 || hung.inFlight != 10 || h.b.limit.maxInFlight != 5 {
		t.Errorf("%d in flight at the other server with a limit of %v, %d at the unresponsive one; want 5 with 5, and 10",
			other.inFlight, h.b.limit.maxInFlight, hung.inFlight)
	}
	h.handle(Event{Kind: EvOutcome, Request: stuck[0].Request, Server: hung.Server, Outcome: Timeout, Elapsed: 1000})
	if !hung.unresponsive || h.b.limit.maxInFlight != 5 {
		t.Error("a timeout counts as a sign of life")
	}
	h.handle(Event{Kind: EvOutcome, Request: stuck[1].Request, Server: hung.Server, Elapsed: 1000, RequestDone: true})
	if hung.unresponsive || h.b.limit.maxInFlight != 10 || h.b.inFlight != hung.inFlight+other.inFlight {
		t.Errorf("active again: unresponsive %v, limit %v, %d in flight", hung.unresponsive, h.b.limit.maxInFlight, h.b.inFlight)
	}
}

// A stream may take long: its server has answered and is not overdue.
func TestStreamingServerIsNotOverdue(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Stream = true
	h := newHarness(t, settings, readyServers(2)...)
	sent := h.request(1, 0)
	s := h.b.servers[sent[0].Server]
	h.now += 300
	h.handle(Event{Kind: EvResponseStarted, Request: 1, Server: s.Server, Elapsed: 300})
	h.now += 10 * h.b.maxThreshold
	if h.handle(Event{Kind: EvTimer, Token: h.b.timerToken}); h.b.overdue(s) {
		t.Error("overdue with only a stream in flight")
	}
	h.handle(Event{Kind: EvOutcome, Request: 1, Server: s.Server, Elapsed: 9000, RequestDone: true})
	if s.streams != 0 || s.inFlight != 0 {
		t.Errorf("%d streams and %d attempts in flight after the end", s.streams, s.inFlight)
	}
}

// If no server answers, the cause is shared: the limit must hold, or each second would add to the load of all
// servers.
func TestSharedSilenceKeepsTheLimit(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].TargetLatency, settings.Classes[i].Timeout = 1000, 60000
	}
	h := newHarness(t, settings, readyServers(2)...)
	h.b.limit.maxInFlight, h.b.limit.reviseAt = 10, math.Inf(1)
	for id := uint32(1); id <= 20; id++ {
		h.b.sends.Add(h.now, 10, demandTau)
		h.handle(Event{Kind: EvRequest, Request: id, Class: 2, Deadline: h.now + 60000})
	}
	h.now += 10 * h.b.maxThreshold
	h.handle(Event{Kind: EvTimer, Token: h.b.timerToken})
	if inFlight := h.b.live[0].inFlight + h.b.live[1].inFlight; inFlight != 10 || h.b.limit.maxInFlight != 10 {
		t.Errorf("%d in flight with a limit of %v, want 10 with 10", inFlight, h.b.limit.maxInFlight)
	}
}

// An ejected server whose connections have closed as idle must still get trial requests while other servers
// have capacity, or it never returns. A request that may not run twice is not risked on it.
func TestEjectedServerGetsTrials(t *testing.T) {
	for class, want := range []bool{true, false, false} {
		settings := testSettings()
		settings.Limits.IdleTimeout = 1000
		h := newHarness(t, settings, readyServers(2)...)
		s := h.b.live[0]
		s.ejected, s.measured, s.load, s.failureRun = true, true, 0.1, 3
		h.now += 20000
		h.b.live[1].connected, h.b.live[1].lastActivity = true, h.now
		actions := h.request(1, uint16(class))
		if len(actions) != 1 || actions[0].Kind != ActSend || (actions[0].Server == s.Server) != want {
			t.Errorf("class %d: %+v, want a trial: %v", class, actions, want)
		}
	}
}

// A run of failures ejects a server between revisions, and successful trials bring it back.
func TestFailureRunEjectsAndTrialsRestore(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(10)...)
	s := h.b.live[0]
	for range 3 {
		h.b.recordOutcome(s, 0, Error, 1)
	}
	if !s.ejected || h.b.loadFor(s) > 1 {
		t.Fatalf("after three failures: ejected %v, load %v", s.ejected, h.b.loadFor(s))
	}
	for range trialSuccesses {
		h.b.recordOutcome(s, 0, OK, 20)
	}
	if s.ejected || s.measured {
		t.Errorf("after successful trials: ejected %v, measured %v", s.ejected, s.measured)
	}
}

// When nearly all servers fail together the cause is shared, and not all of them may be ejected.
func TestSharedFailuresDoNotEjectAllServers(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(10)...)
	for range 10 {
		for _, s := range h.b.live {
			h.b.recordOutcome(s, 0, Timeout, 500)
		}
	}
	ejected := 0
	for _, s := range h.b.live {
		if s.ejected {
			ejected++
		}
	}
	if ejected > 4 {
		t.Errorf("%d of 10 servers ejected", ejected)
	}
}

// Failures that all servers share, such as connection resets, say nothing of one server: none is ejected for
// them. A server that fails more often than the others still is.
func TestSharedFailuresEjectNoServer(t *testing.T) {
	for _, oneIsBad := range []bool{false, true} {
		h := newHarness(t, testSettings(), readyServers(8)...)
		ejected := map[*server]int{}
		for i := range 8000 {
			h.now += 5
			h.b.now = h.now
			s, outcome := h.b.live[i%8], OK
			if h.b.rng.Float64() < 0.2 || oneIsBad && i%8 == 3 && h.b.rng.Float64() < 0.75 {
				outcome = Reset
			}
			h.b.recordOutcome(s, 0, outcome, 50)
			if s.ejected {
				ejected[s]++
				s.resetMeasurements(h.b.now)
				h.b.recount()
			}
		}
		ejections := func(i int) float64 { return float64(ejected[h.b.live[i]]) }
		mean := 0.0 // of the others
		for i := range h.b.live {
			if i != 3 {
				mean += ejections(i) / 7
			}
		}
		if mean > 14 || oneIsBad && ejections(3) < 3*mean || !oneIsBad && ejections(3) > 14 {
			t.Errorf("one bad server: %v; it was ejected %v times in 1000 requests, the others %.1f times", oneIsBad, ejections(3), mean)
		}
	}
}

// If a server answers within a millisecond, a delay of a few milliseconds makes it look unresponsive. Three attempts that
// are cancelled for that eject it. If it is the only server, a new request must not wait longer than its target latency
// for the next trial, because nothing else can serve it.
func TestOnlyServerIsTriedSoonAfterEjection(t *testing.T) {
	settings := testSettings()
	settings.Limits.CancelAttempts = true
	h := newHarness(t, settings, readyServers(1)...)
	s := h.b.live[0]
	for id := uint32(1); id <= 5; id++ {
		if sent := h.request(id, 0); len(sent) != 1 || sent[0].Kind != ActSend {
			t.Fatalf("request %d: %+v, want a send", id, sent)
		}
		h.now += 0.5
		h.handle(Event{Kind: EvOutcome, Request: id, Server: s.Server, Outcome: OK, Elapsed: 0.5})
		h.now += 20
	}
	confirmCancellations := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == ActCancel {
				h.handle(Event{Kind: EvOutcome, Request: a.Request, Server: s.Server, Attempt: a.Attempt, Outcome: Cancelled, Elapsed: 5})
			}
		}
	}
	h.request(6, 0)
	h.request(7, 0)
	for timers := 0; !s.ejected; timers++ {
		if timers == 3 {
			t.Fatal("the server is not ejected after three attempt timeouts")
		}
		h.now += 5
		confirmCancellations(h.handle(Event{Kind: EvTimer, Token: h.b.timerToken}))
	}
	for id := uint32(6); id <= 7; id++ {
		confirmCancellations(h.handle(Event{Kind: EvClientGone, Request: id}))
	}
	if s.inFlight > 0 {
		t.Fatalf("%d attempts in flight after both clients left, want none", s.inFlight)
	}
	arrivedAt := h.now
	actions := h.request(8, 0)
	for len(actions) == 0 && h.now < arrivedAt+1000 {
		h.now += 20
		actions = h.handle(Event{Kind: EvTimer, Token: h.b.timerToken})
	}
	if len(actions) != 1 || actions[0].Kind != ActSend || h.now-arrivedAt > settings.Classes[0].TargetLatency {
		t.Errorf("%+v after %v ms, want a send within the target latency, %v ms", actions, h.now-arrivedAt, settings.Classes[0].TargetLatency)
	}
}
