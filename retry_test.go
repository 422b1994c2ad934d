package forkline

import (
	"math"
	"testing"
)

// What may follow an attempt that ended without an answer, for each kind of effect.
func TestRepeatsByEffect(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    uint16
		outcome  Outcome
		want     ActionKind
		sameCell bool // the repeat must stay in the cell of the first attempt
	}{
		{"safe after an error", 0, Error, ActSend, false},
		{"safe after a reset", 0, Reset, ActSend, false},
		{"keyed after an error", 1, Error, ActSend, true},
		{"keyed after a rejection", 1, Rejected, ActSend, false},
		{"unsafe after an error", 2, Error, ActFail, false},
		{"unsafe after a timeout", 2, Timeout, ActFail, false},
		{"unsafe after a cancel", 2, Cancelled, ActFail, false},
		{"unsafe after a rejection", 2, Rejected, ActSend, false},
		{"unsafe after a failed connect", 2, ConnectFailed, ActSend, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), readyServers(8)...)
			first := h.request(1, c.class)
			h.now += 50
			actions := h.handle(Event{Kind: EvOutcome, Request: 1, Server: first[0].Server, Outcome: c.outcome, Elapsed: 50})
			if len(actions) != 1 || actions[0].Kind != c.want {
				t.Fatalf("actions %+v, want kind %d", actions, c.want)
			}
			cell := func(id uint32) uint32 { return (id - 100) / 2 }
			if c.sameCell && cell(actions[0].Server) != cell(first[0].Server) {
				t.Errorf("sent to server %d, outside the cell of %d", actions[0].Server, first[0].Server)
			}
		})
	}
}

// The scope that remembers a keyed request is the one its server was in when the request was sent, whatever a
// later list says of that server, and also if the server is removed and comes back.
func TestKeyedRepeatStaysInScopeOfFirstAttempt(t *testing.T) {
	moved := func(s ServerEntry) []ServerEntry { s.Zone, s.Cell = 1, 3; return []ServerEntry{s} }
	for name, lists := range map[string]func(s ServerEntry) [][]ServerEntry{
		"moved": func(s ServerEntry) [][]ServerEntry { return [][]ServerEntry{moved(s)} },
		"moved and restarted": func(s ServerEntry) [][]ServerEntry {
			s.Started = 1040
			return [][]ServerEntry{moved(s)}
		},
		"removed, and back elsewhere": func(s ServerEntry) [][]ServerEntry {
			removed := s
			removed.State = Removed
			return [][]ServerEntry{{removed}, moved(s)}
		},
	} {
		for _, scope := range []DedupScope{ScopeZone, ScopeCell} {
			settings, servers := testSettings(), readyServers(8)
			settings.Classes[1].Scope = scope
			for i := range servers {
				servers[i].Zone = uint8(i / 4)
			}
			h := newHarness(t, settings, servers...)
			first := h.request(1, 1)
			for h.b.requests[1].attempts[0].cell != 0 { // the move below must leave its scope
				id := uint32(len(h.b.requests) + 1)
				if first = h.request(id, 1); h.b.requests[id].attempts[0].cell == 0 {
					first[0].Request = id
					break
				}
			}
			h.now += 50
			sent := servers[first[0].Server-100]
			for _, list := range lists(sent) {
				h.handle(Event{Kind: EvList, List: ListDelta, Servers: list})
			}
			ev := Event{Kind: EvOutcome, Request: first[0].Request, Server: sent.Server, Outcome: Reset, Elapsed: 50}
			for _, a := range h.handle(ev) {
				to := servers[max(a.Server, 100)-100]
				if a.Kind == ActSend && (scope == ScopeZone && to.Zone != 0 || scope == ScopeCell && to.Cell != 0) {
					t.Errorf("%s, scope %d: sent to %+v after %+v", name, scope, to, sent)
				}
			}
		}
	}
}

func TestKeyedIsNotRepeatedAfterItsWindow(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(8)...)
	first := h.request(1, 1)
	h.now += 301
	actions := h.handle(Event{Kind: EvOutcome, Request: 1, Server: first[0].Server, Outcome: Reset, Elapsed: 301})
	if len(actions) != 1 || actions[0].Kind != ActFail {
		t.Errorf("actions %+v, want a failure", actions)
	}
}

// A repeat that is decided in time may arrive late on a connection that is slow to open. So its action states
// the latest time for its last byte. No other attempt is bound that way.
func TestRepeatMustArriveWithinItsWindow(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(8)...)
	for id, class := range []uint16{0, 1} {
		request := uint32(id + 1)
		at := h.now
		first := h.request(request, class)
		h.now += 200
		ev := Event{Kind: EvOutcome, Request: request, Server: first[0].Server, Outcome: Reset, Elapsed: 200}
		repeat := h.handle(ev)
		if len(repeat) != 1 || repeat[0].Kind != ActSend {
			t.Fatalf("class %d: actions %+v, want a repeat", class, repeat)
		}
		want := 0.0
		if class == 1 {
			want = at + 300
		}
		if first[0].LastByteBy != 0 || repeat[0].LastByteBy != want {
			t.Errorf("class %d: last byte by %v, of the repeat by %v, want 0 and %v", class, first[0].LastByteBy, repeat[0].LastByteBy, want)
		}
	}
}

// A server that rejects a request at once must not attract it again while other servers are untried.
func TestRepeatGoesToAnotherServer(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(3)...)
	actions := h.request(1, 0)
	tried := map[uint32]bool{}
	for attempt := uint16(0); len(actions) == 1 && actions[0].Kind == ActSend; attempt++ {
		if tried[actions[0].Server] {
			t.Fatalf("server %d tried twice", actions[0].Server)
		}
		tried[actions[0].Server] = true
		actions = h.handle(Event{Kind: EvOutcome, Request: 1, Attempt: attempt, Server: actions[0].Server, Outcome: Rejected})
	}
	if len(tried) != 3 {
		t.Errorf("%d servers tried of 3", len(tried))
	}
}

// budgetSettings returns settings of a site with a retry budget of one attempt plus a tenth of the requests.
func budgetSettings() Settings {
	settings := testSettings()
	settings.Safety.RetryBudgetMin, settings.Safety.RetryBudgetRatio, settings.Safety.RetryBudgetWindow = 1, 0.1, 10000
	return settings
}

// Outcomes that prove that nothing ran count against a configured budget too. Unless send counts them, every
// rejection would be followed by another attempt.
func TestBudgetBoundsEveryRepeat(t *testing.T) {
	h := newHarness(t, budgetSettings(), readyServers(20)...)
	var accepted, repeats []float64
	for id := uint32(1); id <= 400; id++ {
		h.now += 37
		accepted = append(accepted, h.now)
		actions := h.request(id, uint16(id%3))
		for attempt := uint16(0); len(actions) > 0 && actions[0].Kind == ActSend; attempt++ {
			if attempt > 0 {
				repeats = append(repeats, h.now)
				from, safety := h.now-10000, &h.b.cfg.Safety
				allowed := safety.RetryBudgetMin + safety.RetryBudgetRatio*countSince(accepted, from+1e-6)
				if used := countSince(repeats, from); used > allowed+1e-9 {
					t.Fatalf("%v: %v repeats in the window, %v allowed", h.now, used, allowed)
				}
			}
			h.now++
			outcome := []Outcome{Rejected, ConnectFailed, Error}[id%3]
			actions = h.handle(Event{Kind: EvOutcome, Request: id, Attempt: attempt, Server: actions[0].Server, Outcome: outcome, Elapsed: 1})
		}
	}
	if len(repeats) < 20 {
		t.Errorf("only %d repeats: the budget was not used", len(repeats))
	}
	if n := h.b.accepted.Len(); n > 1200 {
		t.Errorf("%d entries kept for a window that holds 270", n)
	}
}

// A request that waits for its second attempt while others use up the budget must be answered, and must not
// block those behind it.
func TestWaitingRepeatEndsWhenBudgetIsUsedUp(t *testing.T) {
	h := newHarness(t, budgetSettings(), readyServers(4)...)
	sent := map[uint32]uint32{}
	for id := uint32(1); id <= 2; id++ {
		for _, a := range h.request(id, 2) {
			sent[id] = a.Server
		}
	}
	h.b.limit.maxInFlight, h.b.limit.reviseAt = 0, math.Inf(1)
	for id := uint32(1); id <= 2; id++ {
		if actions := h.handle(Event{Kind: EvOutcome, Request: id, Server: sent[id], Outcome: Rejected, Elapsed: 1}); len(actions) != 0 {
			t.Fatalf("want both to wait: %+v", actions)
		}
	}
	h.b.limit.maxInFlight = 10
	actions := h.handle(Event{Kind: EvTimer})
	if len(actions) != 2 || actions[0].Kind != ActSend || actions[1].Kind != ActRefuse {
		t.Errorf("want one sent and one refused: %+v", actions)
	}
}
