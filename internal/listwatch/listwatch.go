// Package listwatch decides how a client keeps the list of a discovery service watched: which calls are out, how long
// each waits for its answer, when a watch counts as dead, and what a move of the service changes. It is sans-I/O:
// a Watcher turns events into actions, and its host makes the calls and keeps the time.
//
// Where the list is asked for, the host says when to call (EvAsk); where it is pushed, the Watcher calls by itself from
// EvFollow on. A call that waits is never the only hope: once overdue it counts as failed, so that another is begun
// beside it, and the first of them to be answered is the watch.
package listwatch

import "time"

// Policy holds the times of one way to follow a list.
type Policy struct {
	SilenceTimeout    time.Duration // a watch without a sign of life for so long is dead
	DialTimeout       time.Duration // a connection has to be up within
	SoftTimeout       time.Duration // an unanswered call counts as failed then, and waits on beside the next
	CallTimeout       time.Duration // an unanswered call ends then, unless it is the oldest one out
	OldestCallTimeout time.Duration // and the oldest ends then: where calls are handled in turn, its turn comes first
	RetryDelay        time.Duration // pushed only: from a failure to the next call, give or take a half
}

// PollPolicy is the policy where discovery is asked. A watch beats every 2 s, and what a silent one misses counts as told
// 6 s after. A call that hangs is overdue with time left for another; sooner, calls that wait their turn would be
// repeated, which a crowded discovery cannot bear.
var PollPolicy = Policy{
	SilenceTimeout: 3 * time.Second, DialTimeout: 2 * time.Second, SoftTimeout: 1700 * time.Millisecond,
	CallTimeout: 8 * time.Second, OldestCallTimeout: 30 * time.Second,
}

// PushPolicy is the policy where an agent pushes. What the agent has counts as told at once, whether or not a watch is open:
// it is nearby, and serves at once or not at all.
var PushPolicy = Policy{
	SilenceTimeout: 3 * time.Second, DialTimeout: 500 * time.Millisecond, SoftTimeout: 500 * time.Millisecond,
	CallTimeout: 4 * time.Second, OldestCallTimeout: 30 * time.Second, RetryDelay: 200 * time.Millisecond,
}

// EventKind tells what a Watcher hears.
type EventKind uint8

// The events.
const (
	EvPoll           EventKind = iota + 1 // the list is to be watched; nothing to do if it is, where discovery is now
	EvStart                               // the list is to be watched from now on
	EvAnswered                            // Call: it was answered, and is a watch from now on
	EvActivity                            // Call: a whole object or a beat came on it
	EvCallEnded                           // Call: it failed, or its watch broke
	EvAddressChanged                      // the next calls go to another address
	EvTick                                // time has passed
)

// Event is one of them. Calls are numbered from 1 in the order in which they are begun.
type Event struct {
	Kind EventKind
	Call int
}

// ActionKind tells what a Watcher asks of its host.
type ActionKind uint8

// The actions.
const (
	ActStartCall     ActionKind = iota + 1 // Call: begin it, where discovery is now
	ActCancelCall                          // Call: end it, whether answered or not; its EvEnded may come or not
	ActReportFailure                       // there is no watch, and the latest call is not to be waited for
)

// Action is one of them.
type Action struct {
	Kind ActionKind
	Call int
}

// call is one that waits for its answer.
type call struct {
	number int
	begun  time.Duration
}

// Watcher follows one list. Times are since any fixed moment and do not run backwards.
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

// NewWatcher returns one that has no call out.
func NewWatcher(p Policy, random func() float64) *Watcher { return &Watcher{policy: p, random: random} }

// ActiveCall is the number of the call that is listened to; 0 if there is none.
func (w *Watcher) ActiveCall() int { return w.watch }

// Handle takes one event and appends the actions that answer it.
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

// NextTick is when the Watcher has to hear EvTick, unless an event comes before; ok is false if it need not.
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
