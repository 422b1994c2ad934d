package forkline

import (
	"testing"
)

// Where probes are nearly free, a copy with little traffic must choose by the servers' reports, and must not
// wait for reports that do not arrive.
func TestCheapProbesSelectTheServer(t *testing.T) {
	settings := testSettings()
	settings.Limits.Probing, settings.ReportField, settings.ProbeCost = true, 2, 0.001
	h := newHarness(t, settings, readyServers(8)...)
	h.b.meanReported = 10 // most servers report more than the probed ones: no second round of probes
	probed := h.request(1, 0)
	if len(probed) < 2 || probed[0].Kind != ActProbe {
		t.Fatalf("want probes before the send: %+v", probed)
	}
	var actions []Action
	for i, p := range probed {
		calls := float32(9 - i)
		actions = h.handle(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, Report: [4]float32{5, calls}, ReportLen: 2})
	}
	if least := probed[len(probed)-1].Server; len(actions) != 1 || actions[0].Kind != ActSend || actions[0].Server != least {
		t.Errorf("actions %+v, want a send to server %d, the least busy one", actions, least)
	}
	h.now += 1000
	h.request(2, 0)
	h.now += probeTimeoutShare*settings.Classes[0].TargetLatency + 1
	if actions = h.handle(Event{Kind: EvTimer}); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Errorf("actions %+v, want a send though no report arrived", actions)
	}
	settings.ProbeCost = 0.05
	h = newHarness(t, settings, readyServers(8)...)
	if actions = h.request(1, 0); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Errorf("actions %+v, want no probes where they are expensive", actions)
	}
}

// A front that probes must not send if every probed server reports more requests than the target latency
// allows. It waits, probes again, and sends when a server has capacity.
func TestProbesDelayLateRequests(t *testing.T) {
	settings := testSettings()
	settings.Limits.Probing, settings.ReportField = true, 1
	h := newHarness(t, settings, readyServers(8)...)
	h.b.callTime = 150    // ms for each reported request; the target is 500
	h.b.meanReported = 10 // most servers report more than the probed ones: no second round of probes
	answer := func(probes []Action, calls float32) (actions []Action) {
		for _, p := range probes {
			actions = h.handle(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, Report: [4]float32{calls}, ReportLen: 1})
		}
		return actions
	}
	if actions := answer(h.request(1, 2), 5); len(actions) != 0 {
		t.Fatalf("sent to a server with five requests: %+v", actions)
	}
	h.now += 100
	secondRound := h.handle(Event{Kind: EvTimer, Token: h.b.timerToken})
	if len(secondRound) == 0 || secondRound[0].Kind != ActProbe {
		t.Fatalf("want other servers probed while the request waits: %+v", secondRound)
	}
	if actions := answer(secondRound, 0); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Errorf("want a send to an idle server: %+v", actions)
	}
}

// A request whose probes all report busy servers must probe others, a bounded number of times.
func TestBusyReportsAreProbedAgain(t *testing.T) {
	settings := testSettings()
	settings.Limits.Probing, settings.ReportField = true, 1
	h := newHarness(t, settings, readyServers(30)...)
	h.b.meanReported = 0.5
	actions, rounds := h.request(1, 0), 0
	for len(actions) > 0 && actions[0].Kind == ActProbe {
		rounds++
		for _, p := range actions {
			actions = h.handle(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, Report: [4]float32{3}, ReportLen: 1})
		}
	}
	if rounds != maxProbeRounds || len(actions) != 1 || actions[0].Kind != ActSend {
		t.Errorf("%d rounds of probes, then %+v; want %d rounds and a send", rounds, actions, maxProbeRounds)
	}
}

// A request that may be repeated must not be ended because all probed servers happen to be busy.
func TestRepeatSurvivesBusyReports(t *testing.T) {
	settings := testSettings()
	settings.Limits.Probing, settings.ReportField = true, 1
	h := newHarness(t, settings, readyServers(12)...)
	answer := func(actions []Action, calls float32) (last []Action) {
		for _, a := range actions {
			if a.Kind == ActProbe {
				last = h.handle(Event{Kind: EvProbeResult, Server: a.Server, Outcome: OK, ReportLen: 1, Report: [4]float32{calls}})
			}
		}
		return last
	}
	sent := answer(h.request(1, 0), 0)
	if len(sent) != 1 || sent[0].Kind != ActSend {
		t.Fatalf("want a send: %+v", sent)
	}
	for _, s := range h.b.live {
		s.reportedCalls, s.reportedAt = 5, h.b.now
	}
	actions := h.handle(Event{Kind: EvOutcome, Request: 1, Server: sent[0].Server, Outcome: Error, Elapsed: 1})
	for range maxProbeRounds + 1 {
		for _, a := range actions {
			switch a.Kind {
			case ActRefuse, ActFail:
				t.Fatalf("ended: %+v", actions)
			case ActSend:
				return
			}
		}
		actions = answer(actions, 5)
	}
	t.Error("the repeat was never sent")
}
