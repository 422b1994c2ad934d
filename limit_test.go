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
