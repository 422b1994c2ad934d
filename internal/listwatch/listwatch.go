// Package listwatch decides how a client keeps the server list of a discovery service watched: which calls are in
// flight, how long each waits for its answer, when a watch is considered dead, and what a change of the service's
// address means. It performs no I/O: a Watcher turns events into actions, and its host makes the calls and keeps the
// time.
//
// If the list is polled, the host decides when to call (EvPoll). If it is pushed, the Watcher starts calls by itself
// from EvStart on. A call that exceeds SoftTimeout counts as failed, so that another one is started beside it. The
// first call that is answered becomes the watch.
package listwatch

import "time"

// Policy holds the timeouts of one way to watch a list.
type Policy struct {
	SilenceTimeout time.Duration // a watch without any activity for this long is dead
	DialTimeout    time.Duration // a connection must be established within this time
	SoftTimeout    time.Duration // an unanswered call counts as failed after this time, but continues beside the next call
	CallTimeout    time.Duration // an unanswered call is cancelled after this time, unless it is the oldest one in flight
	// The oldest call is cancelled after this time, which is longer because a server that handles calls in order
	// answers it first.
	OldestCallTimeout time.Duration
	RetryDelay        time.Duration // push only: mean delay from a failure to the next call; the jitter is ±50 %
}

// PollPolicy is the policy for a discovery service that is polled. A watch sends a heartbeat every 2 s, and a change
// counts as notified 6 s after a silent watch misses it. SoftTimeout leaves time for a second call within these 6 s
// if the first one hangs. With a shorter one, calls that only wait in the queue of an overloaded discovery service
// would be repeated, which would add to the overload.
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
	ActCancelCall                          // Call, Silence: cancel it, answered or not; its EvCallEnded may or may not follow
	ActReportFailure                       // Call, Silence: the latest call has failed or is overdue, and there is no watch at the current address
)

// Action is one instruction of a Watcher to its host.
type Action struct {
	Kind    ActionKind
	Call    int
	Silence time.Duration // for how long the watch has been silent, if that has ended it
}

// call is an unanswered call.
type call struct {
	number    int
	startedAt time.Duration
}

// Watcher keeps one list watched. Times are relative to any fixed point in time and must not decrease.
type Watcher struct {
	policy          Policy
	random          func() float64 // returns numbers in [0, 1)
	now             time.Duration
	actions         []Action
	following       bool
	calls           []call        // unanswered calls, the oldest first
	callCount       int           // number of calls started; the last one has this number
	latestCall      int           // number of the call whose failure counts: the last one started or answered
	failureReported bool          // the failure of latestCall has been reported
	activeCall      int           // number of the call that is the current watch; 0 = none
	activeOutdated  bool          // activeCall was made to a previous address
	lastActivity    time.Duration // time of the last activity on activeCall
	nextCallAt      time.Duration // when to start the next call, if callScheduled
	callScheduled   bool
}

// NewWatcher returns a Watcher without calls in flight.
func NewWatcher(p Policy, random func() float64) *Watcher { return &Watcher{policy: p, random: random} }

// ActiveCall returns the number of the call that is the current watch, or 0 if there is none.
func (w *Watcher) ActiveCall() int { return w.activeCall }

// Handle processes one event and appends the resulting actions to actions.
func (w *Watcher) Handle(now time.Duration, ev Event, actions []Action) []Action {
	w.now, w.actions = max(w.now, now), actions
	switch ev.Kind {
	case EvPoll:
		if w.activeCall == 0 || w.activeOutdated {
			w.startCall()
		}
	case EvStart:
		if !w.following {
			w.following = true
			w.startCall()
		}
	case EvAnswered:
		w.callAnswered(ev.Call)
	case EvActivity:
		if ev.Call == w.activeCall {
			w.lastActivity = w.now
		}
	case EvCallEnded:
		w.callEnded(ev.Call, 0)
	case EvAddressChanged:
		w.cancelCalls()
		w.activeOutdated, w.callScheduled = w.activeCall != 0, false
		if w.following {
			w.startCall()
		}
	case EvTick:
		w.checkTimeouts()
	}
	return w.actions
}

// NextTick returns the time at which EvTick is due unless another event comes first; ok is false if none is due.
func (w *Watcher) NextTick() (at time.Duration, ok bool) {
	consider := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if w.activeCall != 0 {
		consider(w.lastActivity + w.policy.SilenceTimeout)
	}
	for i, c := range w.calls {
		consider(c.startedAt + w.callTimeout(i))
		if c.number == w.latestCall && !w.failureReported {
			consider(c.startedAt + w.policy.SoftTimeout)
		}
	}
	if w.callScheduled {
		consider(w.nextCallAt)
	}
	return at, ok
}

// callTimeout returns how long an unanswered call may wait, given its position among these calls.
func (w *Watcher) callTimeout(position int) time.Duration {
	if position == 0 {
		return w.policy.OldestCallTimeout
	}
	return w.policy.CallTimeout
}

func (w *Watcher) emit(kind ActionKind, call int) { w.emitAfterSilence(kind, call, 0) }

func (w *Watcher) emitAfterSilence(kind ActionKind, call int, silence time.Duration) {
	w.actions = append(w.actions, Action{Kind: kind, Call: call, Silence: silence})
}

func (w *Watcher) startCall() {
	w.callCount++
	w.latestCall, w.failureReported, w.callScheduled = w.callCount, false, false
	w.calls = append(w.calls, call{w.callCount, w.now})
	w.emit(ActStartCall, w.callCount)
}

// callAnswered makes a call the current watch and cancels all others.
func (w *Watcher) callAnswered(number int) {
	if !w.removeCall(number) {
		return
	}
	w.cancelCalls()
	if w.activeCall != 0 {
		w.emit(ActCancelCall, w.activeCall)
	}
	w.activeCall, w.activeOutdated, w.lastActivity = number, false, w.now
	w.latestCall, w.failureReported, w.callScheduled = number, false, false
}

// callEnded forgets a call, which has ended after the given silence or for another reason. Only the end of the latest call is a
// failure; when an older one ends, another is in flight.
func (w *Watcher) callEnded(number int, silence time.Duration) {
	if number == w.activeCall && number != 0 {
		w.activeCall, w.activeOutdated = 0, false
	} else if !w.removeCall(number) {
		return
	}
	if number == w.latestCall {
		w.reportFailure(silence)
	}
}

// reportFailure reports the failure of the latest call once. If the list is pushed, it schedules the next call.
func (w *Watcher) reportFailure(silence time.Duration) {
	if w.failureReported {
		return
	}
	w.failureReported = true
	w.emitAfterSilence(ActReportFailure, w.latestCall, silence)
	if w.following {
		w.callScheduled, w.nextCallAt = true, w.now+w.policy.RetryDelay/2+time.Duration(w.random()*float64(w.policy.RetryDelay))
	}
}

func (w *Watcher) checkTimeouts() {
	if silence := w.now - w.lastActivity; w.activeCall != 0 && silence >= w.policy.SilenceTimeout {
		w.emitAfterSilence(ActCancelCall, w.activeCall, silence)
		w.callEnded(w.activeCall, silence)
	}
	for i := 0; i < len(w.calls); i++ {
		c := w.calls[i]
		if c.number == w.latestCall && w.now >= c.startedAt+w.policy.SoftTimeout {
			w.reportFailure(0)
		}
		if w.now >= c.startedAt+w.callTimeout(i) {
			w.emit(ActCancelCall, c.number)
			w.callEnded(c.number, 0)
			i--
		}
	}
	if w.callScheduled && w.now >= w.nextCallAt {
		w.startCall()
	}
}

func (w *Watcher) cancelCalls() {
	for _, c := range w.calls {
		w.emit(ActCancelCall, c.number)
	}
	w.calls = w.calls[:0]
}

// removeCall removes an unanswered call and reports whether it was present.
func (w *Watcher) removeCall(number int) bool {
	for i, c := range w.calls {
		if c.number == number {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			return true
		}
	}
	return false
}
