package probe

import (
	"forkline"
)

// Times of the simulated calls, in milliseconds.
const (
	targetLatency   = 1000.0
	callTimeout     = 2500.0
	serviceTime     = 20.0         // from a send to its answer
	defaultInterval = 1000.0 / 168 // between calls, at 168 calls a second
)

// tier hosts one module on a virtual clock. Every attempt is answered after serviceTime.
type tier struct {
	balancer      *forkline.Balancer
	entries       []forkline.ServerEntry
	actions       []forkline.Action
	now, interval float64   // virtual time and time between calls, ms
	lastRequest   uint32    // id of the latest request
	requests      int       // requests given to the module
	unserved      int       // calls that the module itself refused or failed
	inFlight      []attempt // in the order of their answers
	timers        []timer
	sent          int // attempts sent
}

// attempt is a send that has not been answered yet.
type attempt struct {
	request, server uint32
	answerAt        float64 // ms
}

// timer is a timer that the module has set.
type timer struct {
	dueAt float64 // ms
	token uint64
}

// newTier creates the module of one of the given number of copies, which knows n servers in one zone. With n = 0 it has
// received no list.
func newTier(n, copies int) (*tier, error) {
	b, err := forkline.New(forkline.Settings{
		Copies:  copies,
		Classes: []forkline.Class{{Name: "read", Value: 1, TargetLatency: targetLatency, Timeout: callTimeout, Effect: forkline.Safe}},
		Limits:  forkline.Limits{MaxAttempts: 3, CancelAttempts: true, IdleTimeout: 10000},
		Safety:  forkline.Safety{ColdCapacity: 0.3, RampTime: 8000, PollInterval: 10000},
	}, 1, 1e6)
	if err != nil {
		return nil, err
	}
	t := &tier{balancer: b, now: 1e6, interval: defaultInterval}
	for i := range n {
		t.entries = append(t.entries, forkline.ServerEntry{Server: uint32(i + 1), Weight: 1})
	}
	if n > 0 {
		t.sendFullList()
	}
	return t, nil
}

// handle gives the module an event at the current virtual time and carries out its actions.
func (t *tier) handle(ev *forkline.Event) {
	t.actions = t.balancer.Handle(t.now, ev, t.actions[:0])
	for i := range t.actions {
		switch a := &t.actions[i]; a.Kind {
		case forkline.ActSend:
			t.inFlight = append(t.inFlight, attempt{a.Request, a.Server, t.now + serviceTime})
			t.sent++
		case forkline.ActRefuse, forkline.ActFail:
			t.unserved++
		case forkline.ActTimer:
			t.timers = append(t.timers, timer{t.now + a.Delay, a.Token})
		}
	}
}

// addRequest gives the module one call at the current virtual time.
func (t *tier) addRequest() {
	t.lastRequest++
	t.requests++
	t.handle(&forkline.Event{Kind: forkline.EvRequest, Request: t.lastRequest, Deadline: t.now + callTimeout})
}

// advanceToNextRequest moves the clock to the next call and gives it to the module, after all timers and answers that
// are due earlier.
func (t *tier) advanceToNextRequest() {
	for next := t.now + t.interval; ; {
		first := -1
		for i := range t.timers {
			if t.timers[i].dueAt <= next && (first < 0 || t.timers[i].dueAt < t.timers[first].dueAt) {
				first = i
			}
		}
		switch {
		case len(t.inFlight) > 0 && t.inFlight[0].answerAt <= next && (first < 0 || t.inFlight[0].answerAt <= t.timers[first].dueAt):
			a := t.inFlight[0]
			t.inFlight = t.inFlight[:copy(t.inFlight, t.inFlight[1:])]
			t.now = max(t.now, a.answerAt)
			t.handle(&forkline.Event{
				Kind: forkline.EvOutcome, Request: a.request, Server: a.server, Outcome: forkline.OK, Elapsed: serviceTime, RequestDone: true,
			})
		case first >= 0:
			due := t.timers[first]
			t.timers[first] = t.timers[len(t.timers)-1]
			t.timers = t.timers[:len(t.timers)-1]
			t.now = max(t.now, due.dueAt)
			t.handle(&forkline.Event{Kind: forkline.EvTimer, Token: due.token})
		default:
			t.now = next
			t.addRequest()
			return
		}
	}
}

// queued returns the number of calls in the module's queue.
func (t *tier) queued() int { return t.requests - t.unserved - t.sent }

// fireNoopTimer gives the module an event that changes nothing.
func (t *tier) fireNoopTimer() { t.handle(&forkline.Event{Kind: forkline.EvTimer}) }

// sendFullList gives the module the full list.
func (t *tier) sendFullList() {
	t.handle(&forkline.Event{Kind: forkline.EvList, List: forkline.ListFull, Servers: t.entries})
}

// changeEntry gives the module a change of one entry: step 0 drains it, 1 removes it, 2 adds it again.
func (t *tier) changeEntry(entry, step int) {
	e := t.entries[entry]
	e.State = [...]forkline.ServerState{forkline.Draining, forkline.Removed, forkline.Ready}[step]
	t.handle(&forkline.Event{Kind: forkline.EvList, List: forkline.ListDelta, Servers: []forkline.ServerEntry{e}})
}
