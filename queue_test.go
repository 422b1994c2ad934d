package forkline

import (
	"math"
	"testing"

	"forkline/internal/stats"
)

func TestQueueIsOrderedAndBounded(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, readyServers(1)...)
	h.b.limit.maxInFlight, h.b.limit.reviseAt = 1, math.Inf(1)
	h.b.sends = stats.Rate{PerSecond: 20, UpdatedAt: h.now}
	if actions := h.request(1, 0); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Fatalf("first request: %+v", actions)
	}
	var refused int
	for id := uint32(2); id < 20; id++ {
		actions := h.request(id, 2)
		if len(actions) > 0 && actions[0].Kind == ActRefuse {
			refused++
		}
	}
	queued := len(h.b.queue)
	if queued < 2 || refused != 18-queued {
		t.Fatalf("%d of 18 requests queued and %d refused", queued, refused)
	}
	actions := h.handle(Event{Kind: EvOutcome, Request: 1, Server: 100, Outcome: OK, Elapsed: 20, RequestDone: true})
	if len(actions) != 1 || actions[0].Kind != ActSend || actions[0].Request != 2 {
		t.Errorf("%+v, want the head of the queue sent first", actions)
	}
}

func TestCheapRequestsAreRefusedFirst(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(1)...)
	h.b.limit.maxInFlight, h.b.limit.reviseAt, h.b.sends = 1, math.Inf(1), stats.Rate{PerSecond: 60, UpdatedAt: h.now}
	h.request(1, 2)
	for id := uint32(2); id < 5; id++ {
		h.request(id, 2)
	}
	if actions := h.request(9, 0); len(actions) != 1 || actions[0].Kind != ActRefuse {
		t.Errorf("a request of value 1 behind three of value 5: %+v, want a refusal", actions)
	}
	if actions := h.request(10, 2); len(actions) != 0 {
		t.Errorf("a request of value 5: %+v, want it queued", actions)
	}
}

// If the goal weights the worst-served class, that class must not be the one that is always refused: its
// requests gain value the rarer they are, until another class is served worse.
func TestWorstServedClassGainsValue(t *testing.T) {
	settings := testSettings()
	settings.WorstClassWeight = 0.5
	h := newHarness(t, settings, readyServers(1)...)
	otherValue := h.b.value(1)
	for range 200 { // requests of the cheapest class that end unserved
		h.b.endRequest(&request{class: 0})
	}
	if worst := h.b.worstServedClass(); worst != 0 || h.b.value(1) != otherValue {
		t.Fatalf("class %d is the worst served, want 0; value of another %v, before %v", worst, h.b.value(1), otherValue)
	}
	mean := (1 + 2 + 5) / 3.0
	if want := (1 + 0.5*mean*3) / 500; math.Abs(h.b.value(0)-want) > 1e-9 {
		t.Errorf("value %v, want %v", h.b.value(0), want)
	}
	for range 400 {
		h.b.endRequest(&request{class: 2})
	}
	if worst := h.b.worstServedClass(); worst != 2 {
		t.Errorf("worst-served class %d, want 2", worst)
	}
}

// A queued request behind a head with a later deadline must still be answered in time.
func TestRequestBehindQueueHeadExpiresInTime(t *testing.T) {
	h := newHarness(t, testSettings())
	h.request(1, 0)
	h.handle(Event{Kind: EvRequest, Request: 2, Class: 0, Deadline: h.now + 100})
	h.now += 120
	actions := h.handle(Event{Kind: EvTimer, Token: 1})
	if len(actions) != 1 || actions[0].Kind != ActRefuse || actions[0].Request != 2 {
		t.Errorf("want request 2 refused: %+v", actions)
	}
	h.now += 1000
	if actions = h.handle(Event{Kind: EvTimer, Token: 1}); len(actions) != 1 || actions[0].Request != 1 {
		t.Errorf("want request 1 refused when its target has passed: %+v", actions)
	}
}

// Requests beyond a tenant's quota must leave capacity for those within theirs: the queue is first-in,
// first-out, and most of its requests would be the greedy tenant's.
func TestOverQuotaLeavesCapacity(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	h := newHarness(t, settings, readyServers(4)...)
	h.b.limit.maxInFlight, h.b.limit.reviseAt, h.b.sends = 20, math.Inf(1), stats.Rate{PerSecond: 1000, UpdatedAt: h.now}
	h.b.inFlight = 12
	send := func(id uint32, tenant uint16) []Action {
		return h.handle(Event{Kind: EvRequest, Request: id, Tenant: tenant, Deadline: h.now + 1000})
	}
	for id := uint32(1); id <= 2; id++ {
		send(id, 0) // its burst
	}
	if actions := send(3, 0); len(actions) != 1 || actions[0].Kind != ActRefuse || actions[0].Delay <= 0 {
		t.Errorf("beyond the quota with half of the limit used: %+v, want a refusal with a Retry-After", actions)
	}
	if actions := send(4, 1); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Errorf("within the quota: %+v, want a send", actions)
	}
}

// If a class's target grows with the work of a request, heavy requests must not be ended early.
func TestTargetGrowsWithWorkHint(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].TargetWorkFactor = 2
	for hint, target := range map[float64]float64{0: 500, 100: 700, 900: 1000} {
		h := newHarness(t, settings)
		h.handle(Event{Kind: EvRequest, Request: 1, Deadline: h.now + 5000, WorkHint: hint})
		if got := h.b.requests[1].targetAt - h.now; got != target {
			t.Errorf("hint %v: target after %v, want %v", hint, got, target)
		}
	}
}

// An unresponsive server at an inner tier must not hold its caller's slot longer than an answer can be of
// value.
func TestInnerRequestsTimeOutAtTheTarget(t *testing.T) {
	for _, c := range []struct {
		stage     int
		lateValue float64
		want      float64
	}{{1, 0, 500}, {0, 0, 1000}, {1, 0.5, 1000}} {
		settings := testSettings()
		settings.Stages, settings.Stage = 2, c.stage
		settings.Classes[0].LateValue = c.lateValue
		h := newHarness(t, settings, readyServers(2)...)
		if actions := h.request(1, 0); len(actions) != 1 || actions[0].Deadline != h.now+c.want {
			t.Errorf("tier %d, late value %v: %+v, want a deadline after %v", c.stage, c.lateValue, actions, c.want)
		}
	}
}

// If the mean latency of a class exceeds its target, its requests must still be sent: otherwise no answer
// could correct the mean.
func TestSlowClassIsStillSent(t *testing.T) {
	h := newHarness(t, testSettings(), readyServers(2)...)
	h.b.classes[2].meanLatency = 900 // the target is 500
	if actions := h.request(1, 2); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Fatalf("with an idle server: %+v", actions)
	}
	h.b.limit.maxInFlight, h.b.limit.reviseAt, h.b.sends = 1, math.Inf(1), stats.Rate{PerSecond: 20, UpdatedAt: h.now}
	if actions := h.request(2, 2); len(actions) != 0 {
		t.Errorf("want the request to wait: %+v", actions)
	}
	h.now += 20
	actions := h.handle(Event{Kind: EvOutcome, Request: 1, Server: h.b.requests[1].attempts[0].server.Server, Outcome: OK, RequestDone: true})
	if len(actions) != 1 || actions[0].Kind != ActSend || actions[0].Request != 2 {
		t.Errorf("want the waiting request sent: %+v", actions)
	}
}

// Work still in flight for a client that left is of use to nobody.
func TestRequestOfGoneClientIsCancelled(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		settings := testSettings()
		settings.Limits.CancelAttempts = allowed
		h := newHarness(t, settings, readyServers(2)...)
		h.request(1, 0)
		actions := h.handle(Event{Kind: EvClientGone, Request: 1})
		if allowed != (len(actions) == 1 && actions[0].Kind == ActCancel && actions[0].Request == 1) {
			t.Errorf("cancellation allowed %v: %+v", allowed, actions)
		}
	}
}

// Requests that arrive before the first list, as at a new process, must be sent as soon as there is one.
func TestRequestsBeforeFirstListAreSent(t *testing.T) {
	b, err := New(testSettings(), 7, 1000)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: 1000}
	if actions := h.request(1, 0); len(actions) != 0 {
		t.Fatalf("%v without a list, want the request to wait", actions)
	}
	h.now += 10
	if actions := h.handle(Event{Kind: EvList, List: ListFull, Servers: readyServers(4)}); len(actions) != 1 || actions[0].Kind != ActSend {
		t.Errorf("%v, want the request sent", actions)
	}
}
