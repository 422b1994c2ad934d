package listwatch

import (
	"slices"
	"testing"
	"time"
)

// fakeHost carries out a Watcher's actions in virtual time and records them.
type fakeHost struct {
	watcher    *Watcher
	now        time.Duration
	inFlight   []int // calls started and not ended, the oldest first
	startTimes []time.Duration
	failures   int
	silence    time.Duration // that the last failure was reported with
}

func newFakeHost(p Policy) *fakeHost {
	return &fakeHost{watcher: NewWatcher(p, func() float64 { return 0.5 })}
}

func (h *fakeHost) handle(kind EventKind, call int) {
	if kind == EvCallEnded {
		h.forget(call)
	}
	for _, a := range h.watcher.Handle(h.now, Event{Kind: kind, Call: call}, nil) {
		switch a.Kind {
		case ActStartCall:
			h.inFlight, h.startTimes = append(h.inFlight, a.Call), append(h.startTimes, h.now)
		case ActCancelCall:
			h.forget(a.Call)
		case ActReportFailure:
			h.failures++
			h.silence = a.Silence
		}
	}
}

func (h *fakeHost) forget(call int) {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(c int) bool { return c == call })
}

// advanceTo lets time pass and sends the ticks that are due.
func (h *fakeHost) advanceTo(end time.Duration) {
	for at, ok := h.watcher.NextTick(); ok && at <= end; at, ok = h.watcher.NextTick() {
		h.now = max(h.now, at)
		h.handle(EvTick, 0)
	}
	h.now = end
}

func (h *fakeHost) wantInFlight(t *testing.T, when string, calls ...int) {
	t.Helper()
	if !slices.Equal(h.inFlight, calls) {
		t.Errorf("%s: calls %v in flight, want %v", when, h.inFlight, calls)
	}
}

// The failure of a silent watch must be reported with the time for which it was silent, other failures without.
func TestSilenceIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(h *fakeHost)
		want time.Duration
	}{
		"silent": {func(h *fakeHost) { h.advanceTo(h.now + PollPolicy.SilenceTimeout) }, PollPolicy.SilenceTimeout},
		"detected late": {func(h *fakeHost) {
			h.now += PollPolicy.SilenceTimeout + time.Second
			h.handle(EvTick, 0)
		}, PollPolicy.SilenceTimeout + time.Second},
		"ended": {func(h *fakeHost) { h.handle(EvCallEnded, 1) }, 0},
	} {
		h := newFakeHost(PollPolicy)
		h.handle(EvPoll, 0)
		h.handle(EvAnswered, 1)
		h.advanceTo(time.Second)
		h.handle(EvActivity, 1)
		if c.end(h); h.failures != 1 || h.silence != c.want {
			t.Errorf("%s: %d failures, the last after a silence of %v, want %v", name, h.failures, h.silence, c.want)
		}
		h.handle(EvPoll, 0)
		if h.handle(EvCallEnded, 2); h.failures != 2 || h.silence != 0 {
			t.Errorf("%s: %d failures, that of the next call after a silence of %v", name, h.failures, h.silence)
		}
	}
}

// A call that hangs is reported as failed after SoftTimeout but continues beside the next one. The first call that is
// answered becomes the watch, and the end of an older call is no failure.
func TestHangingCallDoesNotBlockTheNext(t *testing.T) {
	h := newFakeHost(PollPolicy)
	h.handle(EvPoll, 0)
	if h.advanceTo(PollPolicy.SoftTimeout + 100*time.Millisecond); h.failures != 1 {
		t.Errorf("%d failures reported for an overdue call, want 1", h.failures)
	}
	h.handle(EvPoll, 0)
	h.wantInFlight(t, "overdue", 1, 2)
	h.handle(EvCallEnded, 1)
	if h.failures != 1 {
		t.Error("the end of an older call was reported as a failure")
	}
	h.handle(EvPoll, 0)
	h.handle(EvAnswered, 2)
	h.wantInFlight(t, "answered", 2)
	h.handle(EvPoll, 0)
	if h.wantInFlight(t, "watched", 2); h.watcher.ActiveCall() != 2 {
		t.Errorf("active call %d, want 2", h.watcher.ActiveCall())
	}
	h.handle(EvCallEnded, 3)
	if h.handle(EvCallEnded, 2); h.failures != 2 || h.watcher.ActiveCall() != 0 {
		t.Errorf("%d failures after the watch broke, want 2 and no active call", h.failures)
	}
}

// A discovery service that handles calls in order answers the oldest one first. So the oldest call waits for
// OldestCallTimeout, while others are cancelled after CallTimeout.
func TestOldestCallHasLongerTimeout(t *testing.T) {
	h := newFakeHost(PollPolicy)
	for at := time.Duration(0); at < 28*time.Second; at += 4 * time.Second {
		h.advanceTo(at)
		h.handle(EvPoll, 0)
		if len(h.inFlight) > 3 {
			t.Fatalf("%d calls in flight, want at most 3", len(h.inFlight))
		}
	}
	h.wantInFlight(t, "before OldestCallTimeout", 1, 6, 7)
	h.advanceTo(PollPolicy.OldestCallTimeout)
	h.wantInFlight(t, "after OldestCallTimeout", 7)
}

// A watch without activity is cancelled after SilenceTimeout. Only activity on the watch itself keeps it, not activity
// on another call.
func TestSilentWatchTimesOut(t *testing.T) {
	h := newFakeHost(PollPolicy)
	h.handle(EvPoll, 0)
	h.handle(EvAnswered, 1)
	h.advanceTo(2 * time.Second)
	h.handle(EvActivity, 1)
	h.advanceTo(5*time.Second - 1)
	h.handle(EvActivity, 7)
	h.wantInFlight(t, "before SilenceTimeout", 1)
	h.advanceTo(5 * time.Second)
	if h.wantInFlight(t, "after SilenceTimeout"); h.failures != 1 || h.watcher.ActiveCall() != 0 {
		t.Errorf("%d failures, want 1; active call %d, want 0", h.failures, h.watcher.ActiveCall())
	}
}

// A change of address cancels unanswered calls and keeps the watch until another call is answered; the end of the old
// watch is no failure then. If the list is pushed, a call to the new address starts at once. A change to another
// address and back leaves a single call.
func TestAddressChangeKeepsWatchUntilNextAnswer(t *testing.T) {
	h := newFakeHost(PushPolicy)
	h.handle(EvStart, 0)
	h.handle(EvStart, 0)
	h.handle(EvAnswered, 1)
	h.handle(EvAddressChanged, 0)
	h.wantInFlight(t, "moved", 1, 2)
	h.handle(EvAddressChanged, 0)
	h.wantInFlight(t, "moved back", 1, 3)
	h.handle(EvAnswered, 2)
	h.wantInFlight(t, "a cancelled call is answered", 1, 3)
	h.handle(EvAnswered, 3)
	h.wantInFlight(t, "answered", 3)
	h.handle(EvCallEnded, 1)
	for range 10 {
		h.advanceTo(h.now + time.Second)
		h.handle(EvActivity, 3)
	}
	if h.wantInFlight(t, "later", 3); len(h.startTimes) != 3 || h.failures != 0 {
		t.Errorf("%d calls started, want 3; %d failures, want 0", len(h.startTimes), h.failures)
	}
}

// An agent that pushes the list is called again soon, whether calls fail or hang, and the calls in flight stay few.
func TestPushedListIsRetriedSoon(t *testing.T) {
	h := newFakeHost(PushPolicy)
	h.handle(EvStart, 0)
	h.advanceTo(20 * time.Second)
	for i := 1; i < len(h.startTimes); i++ {
		if gap := h.startTimes[i] - h.startTimes[i-1]; gap > PushPolicy.SoftTimeout+3*PushPolicy.RetryDelay/2 {
			t.Errorf("next call started after %v", gap)
		}
	}
	if len(h.startTimes) < 25 || len(h.inFlight) > 8 {
		t.Errorf("%d calls started, want at least 25; %d in flight, want at most 8", len(h.startTimes), len(h.inFlight))
	}
	h.handle(EvCallEnded, h.inFlight[len(h.inFlight)-1])
	from, calls := h.now, len(h.startTimes)
	if h.advanceTo(from + 2*PushPolicy.RetryDelay); len(h.startTimes) == calls {
		t.Error("no call started after a failure")
	}
}
