package forkline

import (
	"slices"
	"testing"
)

// testSettings returns settings with one class of each effect, for one copy at the front.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "read", Value: 1, TargetLatency: 500, Timeout: 1000, Effect: Safe},
			{Name: "keyed", Value: 2, TargetLatency: 500, Timeout: 1000, Effect: Keyed, Scope: ScopeCell, DedupWindow: 300},
			{Name: "book", Value: 5, TargetLatency: 500, Timeout: 1000, Effect: Unsafe},
		},
		Limits: Limits{MaxAttempts: 3, SendRetryAfter: true},
		Safety: Safety{ColdCapacity: 0.2, RampTime: 20000, OverloadMultiple: 3, OverloadWindow: 1500, PollInterval: 10000},
	}
}

// harness drives one balancer with a clock of its own.
type harness struct {
	t   *testing.T
	b   *Balancer
	now float64
}

// handle passes an event to the balancer and returns the resulting actions, without timers and logs.
func (h *harness) handle(ev Event) []Action {
	var kept []Action
	for _, a := range h.b.Handle(h.now, &ev, nil) {
		if a.Kind != ActTimer && a.Kind != ActLog {
			kept = append(kept, a)
		}
	}
	return kept
}

// recordOutcome passes an outcome to the balancer and, if it is an answer, its latency to the limit.
func (h *harness) recordOutcome(s *server, class int, outcome Outcome, elapsed float64) {
	h.b.recordOutcome(s, class, outcome, elapsed)
	if outcome == OK {
		h.b.limit.observe(h.b.now, elapsed/h.b.classes[class].threshold)
	}
}

// reviseLimit revises the concurrency limit now.
func (h *harness) reviseLimit() {
	p95, ok := h.b.p95(nil)
	h.b.limit.revise(float64(h.b.inFlight), p95, ok, h.b.scratch)
	h.b.limit.reviseAt = h.b.now + latencyWindow
}

func (h *harness) request(id uint32, class uint16) []Action {
	return h.handle(Event{Kind: EvRequest, Request: id, Class: class, Deadline: h.now + 1000})
}

// reconfigure applies an edit to the settings and returns the actions, without timers and logs.
func (h *harness) reconfigure(edit func(*Settings)) []Action {
	h.t.Helper()
	settings := h.b.cfg
	if !h.b.budgetConfigured { // the balancer has filled in its defaults
		settings.Safety.RetryBudgetMin, settings.Safety.RetryBudgetRatio, settings.Safety.RetryBudgetWindow = 0, 0, 0
	}
	settings.Classes, settings.Tenants = slices.Clone(settings.Classes), slices.Clone(settings.Tenants)
	edit(&settings)
	actions, err := h.b.Reconfigure(h.now, settings, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return slices.DeleteFunc(actions, func(a Action) bool { return a.Kind == ActTimer || a.Kind == ActLog })
}

func newHarness(t *testing.T, settings Settings, servers ...ServerEntry) *harness {
	t.Helper()
	b, err := New(settings, 7, 1000)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: 1000}
	h.handle(Event{Kind: EvList, List: ListCached, Servers: servers})
	return h
}

func readyServers(n int) []ServerEntry {
	entries := make([]ServerEntry, n)
	for i := range entries {
		entries[i] = ServerEntry{Server: uint32(100 + i), Cell: uint16(i / 2), Weight: 1}
	}
	return entries
}
