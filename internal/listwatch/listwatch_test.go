package listwatch

import (
	"slices"
	"testing"
	"time"
)

// host carries a Watcher's actions out in virtual time, and notes them.
type host struct {
	w      *Watcher
	now    time.Duration
	out    []int // calls begun and not over
	begun  []time.Duration
	failed int
}

func newHost(p Policy) *host {
	return &host{w: NewWatcher(p, func() float64 { return 0.5 })}
}

func (h *host) do(kind EventKind, call int) {
	if kind == EvCallEnded {
		h.over(call)
	}
	for _, a := range h.w.Handle(h.now, Event{Kind: kind, Call: call}, nil) {
		switch a.Kind {
		case ActStartCall:
			h.out, h.begun = append(h.out, a.Call), append(h.begun, h.now)
		case ActCancelCall:
			h.over(a.Call)
		case ActReportFailure:
			h.failed++
		}
	}
}

func (h *host) over(call int) {
	h.out = slices.DeleteFunc(h.out, func(c int) bool { return c == call })
}

// until lets time go by.
func (h *host) until(end time.Duration) {
	for at, ok := h.w.NextTick(); ok && at <= end; at, ok = h.w.NextTick() {
		h.now = max(h.now, at)
		h.do(EvTick, 0)
	}
	h.now = end
}

func (h *host) wantOut(t *testing.T, what string, calls ...int) {
	t.Helper()
	if !slices.Equal(h.out, calls) {
		t.Errorf("%s: calls %v are out, want %v", what, h.out, calls)
	}
}

// A call that hangs counts as failed once it is overdue, and waits on beside the next; the first answer is the watch.
func TestAHangingCallIsNotTheOnlyHope(t *testing.T) {
	h := newHost(PollPolicy)
	h.do(EvPoll, 0)
	if h.until(PollPolicy.SoftTimeout + 100*time.Millisecond); h.failed != 1 {
		t.Errorf("%d failures of a call that is overdue", h.failed)
	}
	h.do(EvPoll, 0)
	h.wantOut(t, "overdue", 1, 2)
	h.do(EvCallEnded, 1)
	if h.failed != 1 {
		t.Error("the end of an older call was told as a failure")
	}
	h.do(EvPoll, 0)
	h.do(EvAnswered, 2)
	h.wantOut(t, "answered", 2)
	h.do(EvPoll, 0)
	if h.wantOut(t, "watched", 2); h.w.ActiveCall() != 2 {
		t.Errorf("watching %d", h.w.ActiveCall())
	}
	h.do(EvCallEnded, 3)
	if h.do(EvCallEnded, 2); h.failed != 2 || h.w.ActiveCall() != 0 {
		t.Errorf("%d failures after the watch broke", h.failed)
	}
}

// Where calls are handled in turn the oldest one's turn comes first: it is held, others are given up.
func TestTheOldestCallIsHeld(t *testing.T) {
	h := newHost(PollPolicy)
	for at := time.Duration(0); at < 28*time.Second; at += 4 * time.Second {
		h.until(at)
		h.do(EvPoll, 0)
		if len(h.out) > 3 {
			t.Fatalf("%d calls are out", len(h.out))
		}
	}
	h.wantOut(t, "still", 1, 6, 7)
	h.until(PollPolicy.OldestCallTimeout)
	h.wantOut(t, "after all", 7)
}

// A silent watch is dead, in time to call again; signs of life, on it alone, keep it.
func TestASilentWatchIsDead(t *testing.T) {
	h := newHost(PollPolicy)
	h.do(EvPoll, 0)
	h.do(EvAnswered, 1)
	h.until(2 * time.Second)
	h.do(EvActivity, 1)
	h.until(5*time.Second - 1)
	h.do(EvActivity, 7)
	h.wantOut(t, "before", 1)
	h.until(5 * time.Second)
	if h.wantOut(t, "after"); h.failed != 1 || h.w.ActiveCall() != 0 {
		t.Errorf("%d failures, watching %d", h.failed, h.w.ActiveCall())
	}
}

// A move ends calls that wait, keeps the watch until another call is answered, and its end is no failure then. Pushed
// lists are called for at once, and moves away and back leave one call.
func TestAMoveKeepsTheWatch(t *testing.T) {
	h := newHost(PushPolicy)
	h.do(EvStart, 0)
	h.do(EvStart, 0)
	h.do(EvAnswered, 1)
	h.do(EvAddressChanged, 0)
	h.wantOut(t, "moved", 1, 2)
	h.do(EvAddressChanged, 0)
	h.wantOut(t, "moved back", 1, 3)
	h.do(EvAnswered, 2)
	h.wantOut(t, "one that was given up is answered", 1, 3)
	h.do(EvAnswered, 3)
	h.wantOut(t, "answered", 3)
	h.do(EvCallEnded, 1)
	for range 10 {
		h.until(h.now + time.Second)
		h.do(EvActivity, 3)
	}
	if h.wantOut(t, "later", 3); len(h.begun) != 3 || h.failed != 0 {
		t.Errorf("%d calls, %d failures", len(h.begun), h.failed)
	}
}

// An agent that pushes is called again soon, whether calls fail or hang; each has a while to be answered.
func TestAnAgentIsCalledAgainSoon(t *testing.T) {
	h := newHost(PushPolicy)
	h.do(EvStart, 0)
	h.until(20 * time.Second)
	for i := 1; i < len(h.begun); i++ {
		if gap := h.begun[i] - h.begun[i-1]; gap > PushPolicy.SoftTimeout+3*PushPolicy.RetryDelay/2 {
			t.Errorf("called again after %v", gap)
		}
	}
	if len(h.begun) < 25 || len(h.out) > 8 {
		t.Errorf("%d calls begun, %d out", len(h.begun), len(h.out))
	}
	h.do(EvCallEnded, h.out[len(h.out)-1])
	from, n := h.now, len(h.begun)
	if h.until(from + 2*PushPolicy.RetryDelay); len(h.begun) == n {
		t.Error("not called again after a failure")
	}
}
