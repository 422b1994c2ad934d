package forkline

import (
	"math"
	"testing"
)

// A server's mean latency is that of requests sent a while ago. Until it reflects the present concurrency,
// the fastest server must not attract all requests: it would be overloaded, and then the next one.
func TestFastServerIsNotOverloaded(t *testing.T) {
	settings := testSettings()
	settings.Classes[2].TargetLatency, settings.Classes[2].Timeout = 5000, 10000
	h := newHarness(t, settings, readyServers(4)...)
	h.b.limit.maxInFlight, h.b.limit.reviseAt, h.b.poolCount, h.b.tierRatio = 100, math.Inf(1), 100, 0.1
	for i, s := range h.b.live { // at three requests each, one server answers in two thirds of the others' time
		s.connected, s.meanRatio, s.meanConcurrency, s.sampleCount, s.reviseAt = true, 0.12, 3, ringSize, math.Inf(1)
		s.measured, s.load = true, 100
		if i == 0 {
			s.meanRatio = 0.08
		}
	}
	h.b.recount()
	for id := uint32(1); id <= 36; id++ { // none is answered meanwhile
		h.b.sends.Add(h.now, 10, demandTau)
		h.handle(Event{Kind: EvRequest, Request: id, Class: 2, Deadline: h.now + 10000})
	}
	for i, s := range h.b.live {
		if s.inFlight < 6 || s.inFlight > 15 {
			t.Errorf("%d of 36 requests at server %d", s.inFlight, i)
		}
	}
}

// Subsets must cover all servers completely and evenly, without communication between copies.
func TestSubsetsCoverEveryServerOnce(t *testing.T) {
	for _, c := range []struct{ copies, servers int }{{1, 1}, {1, 7}, {3, 10}, {7, 3}, {80, 44}, {5, 5}} {
		total := map[uint32]float64{}
		for rank := range c.copies {
			settings := testSettings()
			settings.Copies, settings.Rank = c.copies, rank
			h := newHarness(t, settings, readyServers(c.servers)...)
			share := 0.0
			for _, s := range h.b.live {
				total[s.Server] += s.subsetShare
				share += s.subsetShare
			}
			if want := float64(c.servers) / float64(c.copies); math.Abs(share-want) > 1e-9 {
				t.Errorf("%d copies, %d servers: rank %d has a subset of %v servers, want %v", c.copies, c.servers, rank, share, want)
			}
		}
		for id, sum := range total {
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("%d copies, %d servers: server %d is assigned %v times", c.copies, c.servers, id, sum)
			}
		}
	}
}

// Servers that admit few connections would leave none to copies that use all servers in turn. Beyond its
// subset, a copy must prefer idle servers that have already answered it.
func TestOverflowPrefersConnectedServers(t *testing.T) {
	settings := testSettings()
	settings.Copies, settings.Rank = 40, 3
	h := newHarness(t, settings, readyServers(20)...)
	used := map[uint32]bool{}
	for id := uint32(1); id <= 120; id++ {
		var sends []Action
		for k := range uint32(2) { // two requests at a time need the subset and one more server
			for _, a := range h.request(1000*k+id, 0) {
				if a.Kind == ActSend {
					sends = append(sends, a)
				}
			}
		}
		h.now += 40
		for _, a := range sends {
			used[a.Server] = true
			h.handle(Event{Kind: EvOutcome, Request: a.Request, Server: a.Server, Outcome: OK, Elapsed: 40, RequestDone: true})
		}
	}
	if len(used) > 4 {
		t.Errorf("%d of 20 servers used with two requests at a time", len(used))
	}
}

// If the own zone fails, not all of its servers may be ejected, and its subset must not be tried again and
// again while another zone answers.
func TestFailedZoneIsAvoided(t *testing.T) {
	entries := readyServers(12)
	for i := range entries {
		entries[i].Zone = uint8(i % 2)
	}
	h := newHarness(t, testSettings(), entries...)
	failed := 0
	for id := uint32(1); id <= 200; id++ {
		for queue := h.request(id, 0); len(queue) > 0; queue = queue[1:] {
			a := queue[0]
			if a.Kind != ActSend {
				continue
			}
			ev := Event{Kind: EvOutcome, Request: id, Server: a.Server, Outcome: OK, Elapsed: 20, RequestDone: true}
			if (a.Server-100)%2 == 0 {
				if id > 100 {
					failed++
				}
				ev.Outcome, ev.RequestDone = ConnectFailed, false
			}
			h.now += 10
			for k := range h.b.requests[id].attempts {
				ev.Attempt = uint16(k)
			}
			queue = append(queue, h.handle(ev)...)
		}
	}
	if failed > 10 {
		t.Errorf("%d of the last 100 requests still went to the failed zone", failed)
	}
}

// Old credit must not outweigh attempts in flight on a copy with much traffic: a slow server would accumulate
// both.
func TestInFlightOutweighsOldCredit(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(2)...)
	for _, s := range h.b.live {
		s.measured, s.load, s.reviseAt = true, 40, math.Inf(1)
	}
	h.b.recount()
	slow, fast := h.b.live[0], h.b.live[1]
	slow.inFlight, slow.credit, slow.accruedAt = 5, 40, h.now
	fast.inFlight, fast.credit, fast.accruedAt = 3, 3, h.now
	slow.lastActivity, fast.lastActivity = h.now, h.now
	if got := h.b.choose(&request{deadline: h.now + 1000, targetAt: h.now + 500}); got != fast {
		t.Errorf("chose server %d with %d in flight", got.Server, got.inFlight)
	}
}

// A copy with little traffic must be able to measure: with one request at a time it never has enough samples
// for a p95.
func TestSparseCopyMaySendTwo(t *testing.T) {
	settings := testSettings()
	settings.Copies = 700
	h := newHarness(t, settings, readyServers(100)...)
	for id := uint32(1); id <= 2; id++ {
		if actions := h.request(id, 0); len(actions) != 1 || actions[0].Kind != ActSend {
			t.Errorf("request %d: %+v, want a send", id, actions)
		}
	}
}

// If new connections fail, requests keep to servers with an open connection, and only those are probed. This
// guards against slow handshakes and against full connection tables.
func TestConnectFailuresPreferOpenConnections(t *testing.T) {
	for _, probes := range []bool{false, true} {
		settings := testSettings()
		settings.Limits.Probing, settings.ReportField, settings.Limits.MaxStreams, settings.Limits.IdleTimeout = probes, 1, 100, 30000
		h := newHarness(t, settings, readyServers(40)...)
		h.b.connFailureRate = 0.5
		for i, s := range h.b.live {
			s.connected, s.lastActivity = i%8 == 0, h.now
		}
		unconnected := 0
		for id := uint32(1); id <= 50; id++ {
			h.now += 20
			queue := h.request(id, 0)
			for ; len(queue) > 0; queue = queue[1:] {
				switch a := queue[0]; a.Kind {
				case ActProbe:
					queue = append(queue, h.handle(Event{Kind: EvProbeResult, Server: a.Server, Outcome: OK, ReportLen: 1})...)
				case ActSend:
					if (a.Server-100)%8 != 0 {
						unconnected++
					}
					h.b.connFailureRate = 0.5
					queue = append(queue, h.handle(Event{Kind: EvOutcome, Request: id, Server: a.Server, Outcome: OK, Elapsed: 5, RequestDone: true})...)
				}
			}
		}
		if unconnected > 5 {
			t.Errorf("probing %v: %d of 50 requests needed a new connection", probes, unconnected)
		}
	}
}

// Servers of different speeds must not get equal load: a slow server of the subset gets only a part of its
// requests.
func TestSlowSubsetServerGetsLess(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(4)...)
	latency := func(server uint32) float64 {
		if server == 100 {
			return 150
		}
		return 50
	}
	got := 0
	for id := uint32(1); id <= 600; id++ {
		h.now += 20
		for _, a := range h.request(id, 0) {
			if a.Kind == ActSend {
				if a.Server == 100 && id > 200 {
					got++
				}
				h.handle(Event{Kind: EvOutcome, Request: id, Server: a.Server, Outcome: OK, Elapsed: latency(a.Server), RequestDone: true})
			}
		}
	}
	if got > 50 {
		t.Errorf("a server three times slower got %d of 400 requests, an even share is 100", got)
	}
}

// send checks the rules itself, whatever was decided before.
func TestSendChecksTheRules(t *testing.T) {
	for _, c := range []struct {
		name      string
		breakRule func(h *harness, q *request, s *server)
	}{
		{"the request has ended", func(_ *harness, q *request, _ *server) { q.ended = true }},
		{"a stream has begun", func(_ *harness, q *request, _ *server) { q.streaming = true }},
		{"another attempt is in flight", func(_ *harness, q *request, _ *server) { q.inFlight = 1 }},
		{"past its deadline", func(h *harness, q *request, _ *server) { q.deadline = h.b.now }},
		{"no attempts left", func(_ *harness, q *request, _ *server) { q.attempts = make([]attempt, 3) }},
		{"the server drains", func(_ *harness, _ *request, s *server) { s.State = Draining }},
		{"the server is off the list", func(_ *harness, _ *request, s *server) { s.listed = false }},
		{"a cold server without credit", func(_ *harness, _ *request, s *server) { s.cold, s.credit = true, 0.9 }},
		{"it may have run", func(_ *harness, q *request, _ *server) { q.class, q.mayHaveRun = 2, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), readyServers(2)...)
			newReq := func() *request { return &request{deadline: h.now + 900, targetAt: h.now + 500} }
			if !h.b.send(newReq(), h.b.live[0]) {
				t.Fatal("an allowed send was rejected")
			}
			q := newReq()
			c.breakRule(h, q, h.b.live[1])
			before := len(h.b.actions)
			if h.b.send(q, h.b.live[1]) || len(h.b.actions) != before {
				t.Error("sent against the rules")
			}
		})
	}
}
