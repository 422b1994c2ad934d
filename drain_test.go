package forkline

import (
	"testing"
)

func TestDrainingServerGetsNoRequests(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(2)...)
	h.handle(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{{Server: 100, State: Draining}}})
	for id := uint32(1); id < 6; id++ {
		for _, a := range h.request(id, 0) {
			if a.Server == 100 {
				t.Fatal("sent to a draining server")
			}
		}
	}
	h.handle(Event{Kind: EvList, List: ListFull, Servers: readyServers(1)})
	for id := uint32(10); id < 16; id++ {
		for _, a := range h.request(id, 0) {
			if a.Kind == ActSend && a.Server == 101 {
				t.Fatal("sent to a server that is absent from the full list")
			}
		}
	}
}

// countCloses returns the number of close actions for a server.
func countCloses(actions []Action, server uint32) (n int) {
	for _, a := range actions {
		if a.Kind == ActCloseIdle && a.Server == server {
			n++
		}
	}
	return n
}

// Idle connections to a draining server are closed on the notice, after the last outcome there, and once more
// by timer on a copy that receives no other event; never if the site has no such rule.
func TestIdleConnectionsAreClosedOnDrain(t *testing.T) {
	drain := Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{{Server: 100, State: Draining}}}
	settings := testSettings()
	h := newHarness(t, settings, readyServers(1)...)
	if actions := h.handle(drain); countCloses(actions, 100) != 0 {
		t.Errorf("closed without a configured timeout: %+v", actions)
	}
	settings.Safety.DrainCloseTimeout = 1500
	h = newHarness(t, settings, readyServers(1)...)
	if actions := h.request(1, 0); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Fatalf("want a send: %+v", actions)
	}
	h.now += 10
	if actions := h.handle(drain); countCloses(actions, 100) != 1 {
		t.Errorf("on the notice: %+v", actions)
	}
	h.now += 300
	end := Event{Kind: EvOutcome, Request: 1, Server: 100, Outcome: OK, Elapsed: 310, RequestDone: true}
	if actions := h.handle(end); countCloses(actions, 100) != 1 {
		t.Errorf("on the last outcome: %+v", actions)
	}
	last, closed := h.now, 0
	for ; h.now < last+settings.Safety.DrainCloseTimeout-1; h.now += 10 {
		closed += countCloses(h.handle(Event{Kind: EvTimer, Token: h.b.timerToken}), 100)
	}
	if closed != 1 {
		t.Errorf("closed %d times by timer, want once", closed)
	}
	for range 100 {
		h.now += 50
		closed += countCloses(h.handle(Event{Kind: EvTimer, Token: h.b.timerToken}), 100)
	}
	if closed != 1 || len(h.b.closing) != 0 {
		t.Errorf("closed %d times in total, %d servers still waiting for it", closed, len(h.b.closing))
	}
}

// A server that is ready again before the second close keeps its connections; one that is removed does not.
func TestReadyServerKeepsItsConnections(t *testing.T) {
	settings := testSettings()
	settings.Safety.DrainCloseTimeout = 1500
	for _, state := range []ServerState{Ready, Removed} {
		h := newHarness(t, settings, readyServers(2)...)
		for _, s := range []ServerState{Draining, state} {
			h.handle(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{{Server: 100, State: s}}})
		}
		h.now += 1000
		if n := countCloses(h.handle(Event{Kind: EvTimer, Token: h.b.timerToken}), 100); (n == 1) != (state == Removed) {
			t.Errorf("state %d: closed %d times", state, n)
		}
	}
}

// Idle connections close after a while: a server that answered long ago has none open.
func TestIdleConnectionsExpire(t *testing.T) {
	settings := testSettings()
	settings.Limits.IdleTimeout, settings.Limits.MaxStreams = 5000, 1
	h := newHarness(t, settings, readyServers(1)...)
	s := h.b.live[0]
	s.connected, s.lastActivity = true, h.b.now
	if !h.b.hasOpenConn(s) {
		t.Error("a recent idle connection is taken as closed")
	}
	if s.inFlight = 1; h.b.hasOpenConn(s) {
		t.Error("a connection in use is taken as free")
	}
	if s.inFlight, h.b.now = 0, h.b.now+5001; h.b.hasOpenConn(s) {
		t.Error("a connection idle for too long is taken as open")
	}
}
