package probe

import (
	"forkline"
)

// What the module is told of calls, in milliseconds.
const (
	aim    = 1000.0
	giveUp = 2500.0
	took   = 20.0         // an answer
	gap    = 1000.0 / 168 // between calls
)

// tier hosts one module on a clock that it moves itself. Every attempt is answered after took.
type tier struct {
	balancer *forkline.Balancer
	entries  []forkline.ServerEntry
	actions  []forkline.Action
	now, gap float64
	last     uint32 // request
	taken    int
	ended    int       // by the module itself: refused or failed
	out      []attempt // the one answered next first
	timers   []timer
	sent     int
}

// attempt is a send that has no answer yet.
type attempt struct {
	request, server uint32
	at              float64
}

type timer struct {
	at    float64
	token uint64
}

// newTier makes a module of one of so many copies that knows n servers in one zone; with none it has no list at all.
func newTier(n, copies int) (*tier, error) {
	b, err := forkline.New(forkline.Settings{
		Copies:  copies,
		Classes: []forkline.Class{{Name: "read", Value: 1, TargetLatency: aim, Timeout: giveUp, Effect: forkline.Safe}},
		Limits:  forkline.Limits{MaxAttempts: 3, CancelAttempts: true, IdleTimeout: 10000},
		Safety:  forkline.Safety{ColdCapacity: 0.3, RampTime: 8000, PollInterval: 10000},
	}, 1, 1e6)
	if err != nil {
		return nil, err
	}
	t := &tier{balancer: b, now: 1e6, gap: gap}
	for i := range n {
		t.entries = append(t.entries, forkline.ServerEntry{Server: uint32(i + 1), Weight: 1})
	}
	if n > 0 {
		t.whole()
	}
	return t, nil
}

// handle gives the module an event at the clock's time and carries its actions out.
func (t *tier) handle(ev *forkline.Event) {
	t.actions = t.balancer.Handle(t.now, ev, t.actions[:0])
	for i := range t.actions {
		switch a := &t.actions[i]; a.Kind {
		case forkline.ActSend:
			t.out = append(t.out, attempt{a.Request, a.Server, t.now + took})
			t.sent++
		case forkline.ActRefuse, forkline.ActFail:
			t.ended++
		case forkline.ActTimer:
			t.timers = append(t.timers, timer{t.now + a.Delay, a.Token})
		}
	}
}

// request brings one call at the clock's time.
func (t *tier) request() {
	t.last++
	t.taken++
	t.handle(&forkline.Event{Kind: forkline.EvRequest, Request: t.last, Deadline: t.now + giveUp})
}

// arrive moves the clock to the next call and brings it, with all timers and answers that come before.
func (t *tier) arrive() {
	for next := t.now + t.gap; ; {
		first := -1
		for i := range t.timers {
			if t.timers[i].at <= next && (first < 0 || t.timers[i].at < t.timers[first].at) {
				first = i
			}
		}
		switch {
		case len(t.out) > 0 && t.out[0].at <= next && (first < 0 || t.out[0].at <= t.timers[first].at):
			a := t.out[0]
			t.out = t.out[:copy(t.out, t.out[1:])]
			t.now = max(t.now, a.at)
			t.handle(&forkline.Event{
				Kind: forkline.EvOutcome, Request: a.request, Server: a.server, Outcome: forkline.OK, Elapsed: took, RequestDone: true,
			})
		case first >= 0:
			due := t.timers[first]
			t.timers[first] = t.timers[len(t.timers)-1]
			t.timers = t.timers[:len(t.timers)-1]
			t.now = max(t.now, due.at)
			t.handle(&forkline.Event{Kind: forkline.EvTimer, Token: due.token})
		default:
			t.now = next
			t.request()
			return
		}
	}
}

// waits is how many calls wait in the module's queue.
func (t *tier) waits() int { return t.taken - t.ended - t.sent }

// timer brings an event that changes nothing.
func (t *tier) timer() { t.handle(&forkline.Event{Kind: forkline.EvTimer}) }

// whole brings the whole list.
func (t *tier) whole() {
	t.handle(&forkline.Event{Kind: forkline.EvList, List: forkline.ListFull, Servers: t.entries})
}

// change brings a change of one entry: 0 drains it, 1 takes it away, 2 has it come again.
func (t *tier) change(entry, step int) {
	e := t.entries[entry]
	e.State = [...]forkline.ServerState{forkline.Draining, forkline.Removed, forkline.Ready}[step]
	t.handle(&forkline.Event{Kind: forkline.EvList, List: forkline.ListDelta, Servers: []forkline.ServerEntry{e}})
}
