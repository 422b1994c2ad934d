// Package listwatch decides how a client keeps the list of a discovery service watched: which calls are out, how long
// each waits for its answer, when a watch counts as dead, and what a move of the service changes. It is sans-I/O:
// a Watcher turns events into actions, and its host makes the calls and keeps the time.
//
// Where the list is polled, the host decides when to call (EvPoll). Where it is pushed, the Watcher starts calls by itself
// from EvStart on. A call that exceeds SoftTimeout counts as failed, so that another one is started beside it. The first
// call that is answered becomes the watch.
package listwatch

import "time"

// Policy holds the timeouts of one way to watch a list.
type Policy struct {
	SilenceTimeout    time.Duration // a watch without any activity for this long is dead
	DialTimeout       time.Duration // a connection must be established within this time
	SoftTimeout       time.Duration // an unanswered call counts as failed after this time, but continues beside the next call
	CallTimeout       time.Duration // an unanswered call is cancelled after this time, unless it is the oldest one in flight
	OldestCallTimeout time.Duration // the oldest call is cancelled after this time; a server that handles calls in order answers it first
	RetryDelay        time.Duration // push only: mean delay from a failure to the next call, with a jitter of half of it either way
}

// PollPolicy is the policy for a discovery service that is polled. A watch sends a heartbeat every 2 s, and a change
// counts as notified 6 s after a silent watch misses it. SoftTimeout leaves time for a second call after one that
// hangs. A shorter one would repeat calls that wait in the queue of an overloaded discovery service.
var PollPolicy = Policy{
	SilenceTimeout: 3 * time.Second, DialTimeout: 2 * time.Second, SoftTimeout: 1700 * time.Millisecond,
	CallTimeout: 8 * time.Second, OldestCallTimeout: 30 * time.Second,
}

// PushPolicy is the policy for an agent that pushes the list. A change that the agent has counts as notified at once,
// whether or not a watch is open. The agent is nearby and answers immediately or not at all.
var PushPolicy = Policy{
	SilenceTimeout: 3 * time.Second, DialTimeout: 500 * time.Millisecond, SoftTimeout: 500 * time.Millisecond,
	CallTimeout: 4 * time.Second, OldestCallTimeout: 30 * time.Second, RetryDelay: 200 * time.Millisecond,
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of event.
const (
	EvPoll           EventKind = iota + 1 // ensure that the list is watched at the current discovery address
	EvStart                               // keep the list watched from now on
	EvAnswered                            // Call: the call was answered and is the current watch from now on
	EvActivity                            // Call: a complete object or a heartbeat was received
	EvCallEnded                           // Call: the call failed, or its watch broke
	EvAddressChanged                      // the next calls go to another address
	EvTick                                // a time returned by NextTick has come
)

// Event is one input of a Watcher. Calls are numbered from 1 in the order in which they are started.
type Event struct {
	Kind EventKind
	Call int
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of action.
const (
	ActStartCall     ActionKind = iota + 1 // Call: start it at the current discovery address
	ActCancelCall                          // Call: cancel it, answered or not; its EvCallEnded may or may not follow
	ActReportFailure                       // Call: there is no watch, and the latest call has failed or is overdue
)

// Action is one instruction of a Watcher to its host.
type Action struct {
	Kind ActionKind
	Call int
}

// call is one that waits for its answer.
type call struct {
	number int
	begun  time.Duration
}

// Watcher keeps one list watched. Times are relative to any fixed point in time and must not decrease.
type Watcher struct {
	policy  Policy
	random  func() float64 // the next number in [0, 1)
	now     time.Duration
	acts    []Action
	follows bool
	calls   []call        // that wait for their answers, the oldest first
	begun   int           // number of the last call that was begun
	latest  int           // of the one whose failure counts: the last one begun, or answered
	failed  bool          // and whether that was told
	watch   int           // of the call that is listened to; 0 = none
	moved   bool          // that one is where discovery was before
	signAt  time.Duration // last sign of life on it
	next    time.Duration // when to call again by itself, if again
	again   bool
}

// NewWatcher returns a Watcher without calls in flight.
func NewWatcher(p Policy, random func() float64) *Watcher { return &Watcher{policy: p, random: random} }

// ActiveCall returns the number of the call that is the current watch, or 0 if there is none.
func (w *Watcher) ActiveCall() int { return w.watch }

// Handle processes one event and appends the resulting actions to actions.
func (w *Watcher) Handle(now time.Duration, ev Event, actions []Action) []Action {
	w.now, w.acts = max(w.now, now), actions
	switch ev.Kind {
	case EvPoll:
		if w.watch == 0 || w.moved {
			w.begin()
		}
	case EvStart:
		if !w.follows {
			w.follows = true
			w.begin()
		}
	case EvAnswered:
		w.answered(ev.Call)
	case EvActivity:
		if ev.Call == w.watch {
			w.signAt = w.now
		}
	case EvCallEnded:
		w.ended(ev.Call)
	case EvAddressChanged:
		w.dropCalls()
		w.moved, w.again = w.watch != 0, false
		if w.follows {
			w.begin()
		}
	case EvTick:
		w.tick()
	}
	return w.acts
}

// NextTick returns the time at which EvTick is due unless another event comes first; ok is false if none is due.
func (w *Watcher) NextTick() (at time.Duration, ok bool) {
	earliest := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if w.watch != 0 {
		earliest(w.signAt + w.policy.SilenceTimeout)
	}
	for i, c := range w.calls {
		earliest(c.begun + w.patience(i))
		if c.number == w.latest && !w.failed {
			earliest(c.begun + w.policy.SoftTimeout)
		}
	}
	if w.again {
		earliest(w.next)
	}
	return at, ok
}

// patience is how long a waiting call may go on.
func (w *Watcher) patience(place int) time.Duration {
	if place == 0 {
		return w.policy.OldestCallTimeout
	}
	return w.policy.CallTimeout
}

func (w *Watcher) act(kind ActionKind, call int) {
	w.acts = append(w.acts, Action{Kind: kind, Call: call})
}

func (w *Watcher) begin() {
	w.begun++
	w.latest, w.failed, w.again = w.begun, false, false
	w.calls = append(w.calls, call{w.begun, w.now})
	w.act(ActStartCall, w.begun)
}

// answered makes a call the watch; whatever else is out has become needless.
func (w *Watcher) answered(number int) {
	if !w.remove(number) {
		return
	}
	w.dropCalls()
	if w.watch != 0 {
		w.act(ActCancelCall, w.watch)
	}
	w.watch, w.moved, w.signAt = number, false, w.now
	w.latest, w.failed, w.again = number, false, false
}

// ended forgets a call. Only the latest one's end is a failure: after an older one's another is out.
func (w *Watcher) ended(number int) {
	if number == w.watch && number != 0 {
		w.watch, w.moved = 0, false
	} else if !w.remove(number) {
		return
	}
	if number == w.latest {
		w.fail()
	}
}

// fail tells once of each call that it failed.
func (w *Watcher) fail() {
	if w.failed {
		return
	}
	w.failed = true
	w.act(ActReportFailure, w.latest)
	if w.follows {
		w.again, w.next = true, w.now+w.policy.RetryDelay/2+time.Duration(w.random()*float64(w.policy.RetryDelay))
	}
}

func (w *Watcher) tick() {
	if w.watch != 0 && w.now >= w.signAt+w.policy.SilenceTimeout {
		w.act(ActCancelCall, w.watch)
		w.ended(w.watch)
	}
	for i := 0; i < len(w.calls); i++ {
		c := w.calls[i]
		if c.number == w.latest && w.now >= c.begun+w.policy.SoftTimeout {
			w.fail()
		}
		if w.now >= c.begun+w.patience(i) {
			w.act(ActCancelCall, c.number)
			w.ended(c.number)
			i--
		}
	}
	if w.again && w.now >= w.next {
		w.begin()
	}
}

func (w *Watcher) dropCalls() {
	for _, c := range w.calls {
		w.act(ActCancelCall, c.number)
	}
	w.calls = w.calls[:0]
}

// remove takes a waiting call out and tells whether it was there.
func (w *Watcher) remove(number int) bool {
	for i, c := range w.calls {
		if c.number == number {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			return true
		}
	}
	return false
}
