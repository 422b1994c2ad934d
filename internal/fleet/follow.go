package fleet

import "time"

// The discovery policy of internal/sidecar, as far as it does without sockets: which calls for the list are out, how
// long each waits, when a watch is dead. It stands in until that policy is a package of its own.
type (
	watchEvent struct {
		kind watchEventKind
		call int
	}
	watchAction struct {
		kind watchActionKind
		call int
	}
	watchEventKind  uint8
	watchActionKind uint8
)

const (
	wAsk      watchEventKind = iota + 1 // the list is to be watched
	wFollow                             // the list is to be watched from now on
	wAnswered                           // a call was answered, and is a watch from now on
	wAlive                              // a sign of life on a watch
	wEnded                              // a call failed, or its watch broke
	wTick                               // time has passed
)

const (
	actCall   watchActionKind = iota + 1 // begin a call
	actDrop                              // end it
	actFailed                            // the latest call failed or its watch broke
)

const (
	watchSilence = 3 * time.Second
	callTime     = 4 * time.Second
	agentTime    = 500 * time.Millisecond
	agentPause   = 200 * time.Millisecond
	dialList     = 2 * time.Second
)

type waiting struct {
	number int
	begun  time.Duration
}

// watcher follows one list.
type watcher struct {
	patience      time.Duration
	random        func() float64
	follows       bool
	calls         []waiting
	begun, heard  int
	signAt, again time.Duration // 0 = not again
}

func newWatcher(pushed bool, random func() float64) *watcher {
	if pushed {
		return &watcher{patience: agentTime, random: random}
	}
	return &watcher{patience: callTime, random: random}
}

// Watching is the number of the call that is listened to; 0 if there is none.
func (w *watcher) Watching() int { return w.heard }

// Handle takes one event and appends the actions that answer it.
func (w *watcher) Handle(now time.Duration, ev watchEvent, acts []watchAction) []watchAction {
	begin := func() {
		w.begun++
		w.again = 0
		w.calls = append(w.calls, waiting{w.begun, now})
		acts = append(acts, watchAction{actCall, w.begun})
	}
	end := func(call int) {
		known := call == w.heard && call > 0
		if known {
			w.heard = 0
		}
		if w.remove(call) || known {
			if call == w.begun {
				acts = append(acts, watchAction{actFailed, call})
				if w.follows {
					w.again = now + agentPause/2 + time.Duration(w.random()*float64(agentPause))
				}
			}
		}
	}
	switch ev.kind {
	case wAsk:
		begin()
	case wFollow:
		w.follows = true
		begin()
	case wAnswered:
		if !w.remove(ev.call) {
			break
		}
		if ev.call < w.heard {
			acts = append(acts, watchAction{actDrop, ev.call})
			break
		}
		if w.heard != 0 {
			acts = append(acts, watchAction{actDrop, w.heard})
		}
		w.heard, w.signAt = ev.call, now
	case wAlive:
		if ev.call == w.heard {
			w.signAt = now
		}
	case wEnded:
		end(ev.call)
	case wTick:
		for len(w.calls) > 0 && now >= w.calls[0].begun+w.patience {
			call := w.calls[0].number
			acts = append(acts, watchAction{actDrop, call})
			end(call)
		}
		if w.heard != 0 && now >= w.signAt+watchSilence {
			acts = append(acts, watchAction{actDrop, w.heard})
			end(w.heard)
		}
		if w.again != 0 && now >= w.again {
			begin()
		}
	}
	return acts
}

// Next is when the watcher has to hear the time.
func (w *watcher) Next() (at time.Duration, ok bool) {
	earliest := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if w.heard != 0 {
		earliest(w.signAt + watchSilence)
	}
	if len(w.calls) > 0 {
		earliest(w.calls[0].begun + w.patience)
	}
	if w.again != 0 {
		earliest(w.again)
	}
	return at, ok
}

func (w *watcher) remove(number int) bool {
	for i, c := range w.calls {
		if c.number == number {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			return true
		}
	}
	return false
}
