package forkline

import (
	"math"
	"testing"
)

// limited has the module send a call each 20 ms, which gets the answer told, and its limit always reached.
func limited(t *testing.T, seconds int, answer func(i int) (service, took float64, fresh bool)) *harness {
	t.Helper()
	set := plain()
	for i := range set.Classes {
		set.Classes[i].Timeout = 60000
	}
	h := start(t, set, ids(4)...)
	for i := range 50 * seconds {
		h.now += 20
		id := uint32(i + 1)
		for _, a := range h.do(Event{Kind: EvRequest, Request: id, Class: 0, Deadline: h.now + 60000}) {
			if a.Kind != ActSend {
				t.Fatalf("request %d: %+v", id, a)
			}
			service, took, fresh := answer(i)
			h.do(Event{Kind: EvOutcome, Request: id, Server: a.Server, Elapsed: took, ServiceTime: service, NewConnection: fresh, RequestDone: true})
		}
		h.b.inFlight = int(h.b.limit.maxInFlight) // as many as may be are out, so that the limit may rise
		if h.now+20 >= h.b.limit.reviseAt {
			h.reviseLimit()
		}
		h.b.inFlight = 0
	}
	return h
}

// The network delays some answers, by much: connections come up late, are reset or silent. That is no waiting at
// servers, and the limit has to rise as it does without.
func TestDelayOfTheNetworkIsNoWaiting(t *testing.T) {
	for name, c := range map[string]struct {
		delayed func(i int) (service, took float64, fresh bool)
		rises   bool
	}{
		"none":                       {func(int) (float64, float64, bool) { return 10, 10, false }, true},
		"one answer in ten":          {func(int) (float64, float64, bool) { return 10, 10, false }, true},
		"late connections":           {func(int) (float64, float64, bool) { return 10, 200, false }, true},
		"handshakes":                 {func(int) (float64, float64, bool) { return 60, 60, true }, true},
		"each answer, by its server": {func(int) (float64, float64, bool) { return 20, 20, false }, false},
	} {
		h := limited(t, 20, func(i int) (float64, float64, bool) {
			switch {
			case i < 500: // quiet, so that there is a least
				return 10, 10, false
			case name == "one answer in ten" && i%10 == 0:
				return 250, 250, false
			case name == "handshakes" && i%3 > 0:
				return 10, 10, false
			}
			return c.delayed(i)
		})
		before := h.b.limit.maxInFlight
		h.b.limit.maxInFlight, h.b.inFlight = 4*h.b.limit.initial, int(4*h.b.limit.initial)
		if h.reviseLimit(); (h.b.limit.maxInFlight > 4*h.b.limit.initial) != c.rises {
			t.Errorf("%s: limit %.1f after %.1f, mean %.3f of %.3f; rises: want %v", name,
				h.b.limit.maxInFlight, 4*h.b.limit.initial, h.b.limit.meanRatio, h.b.limit.baseline, c.rises)
		}
		if before < h.b.limit.initial {
			t.Errorf("%s: limit %.1f is under its start %.1f", name, before, h.b.limit.initial)
		}
	}
}

// At its start the limit makes no waiting. Answers that stay slower than they ever were, but are not slow against the
// aim, must not keep it there for good; slow ones must.
func TestTheLimitLeavesItsStart(t *testing.T) {
	for took, rises := range map[float64]bool{60: true, 450: false} {
		l := concurrencyLimit{initial: 5, baseline: math.Inf(1)}
		for i := range 2000 {
			ratio := took / 350
			if i < 100 {
				ratio = 10.0 / 350
			}
			l.observe(float64(1000+20*i), ratio)
			if i >= 100 && i%50 == 0 {
				l.revise(l.maxInFlight, ratio, true, []float64{ratio})
			}
		}
		if l.maxInFlight > l.initial != rises {
			t.Errorf("answers in %v ms: limit %.1f of %.1f at first, mean %.3f of %.3f", took, l.maxInFlight, l.initial, l.meanRatio, l.baseline)
		}
	}
}

// A call whose connection is not up yet must not keep others from servers that are idle; it counts once it is up. So
// many may wait for connections as may be out.
func TestConnectingCallsHoldNoPlace(t *testing.T) {
	h := start(t, plain(), ids(2)...)
	h.b.limit.maxInFlight, h.b.limit.reviseAt = 2, math.Inf(1)
	h.b.sends.PerSecond, h.b.sends.UpdatedAt = 100, h.now
	sent := map[uint32]uint32{}
	note := func(acts []Action) {
		for _, a := range acts {
			if a.Kind == ActSend {
				sent[a.Request] = a.Server
			}
		}
	}
	for id := uint32(1); id <= 4; id++ {
		note(h.request(id, 0))
		note(h.do(Event{Kind: EvConnecting, Request: id}))
		note(h.do(Event{Kind: EvConnecting, Request: id})) // told twice, it counts once
	}
	if len(sent) != 2 || h.b.inFlight != 0 || h.b.connecting != 2 {
		t.Fatalf("%d sent, %d out, %d connecting; want 2, 0 and 2", len(sent), h.b.inFlight, h.b.connecting)
	}
	note(h.do(Event{Kind: EvConnected, Request: 1}))
	if len(sent) != 3 || h.b.inFlight != 2 || h.b.connecting != 1 {
		t.Errorf("%d sent, %d out, %d connecting; want 3, 2 and 1", len(sent), h.b.inFlight, h.b.connecting)
	}
	h.do(Event{Kind: EvOutcome, Request: 2, Server: sent[2], Outcome: ConnectFailed})
	h.do(Event{Kind: EvConnected, Request: 2, Attempt: 0}) // overtaken by the outcome
	h.do(Event{Kind: EvConnected, Request: 99})
	out, connecting := 0, 0
	for _, s := range h.b.live {
		out, connecting = out+s.inFlight, connecting+s.connecting
	}
	if h.b.connecting != connecting || h.b.inFlight != out-connecting {
		t.Errorf("%d out and %d connecting, want %d and %d", h.b.inFlight, h.b.connecting, out-connecting, connecting)
	}
}
