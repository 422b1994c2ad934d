package sidecar

import (
	"net"
	"net/http"
	"testing"

	"forkline"
)

// A second request with the ID of an open one is rejected just as its client disconnects. That must not release the ID:
// a third request with it would be sent while the first is open.
func TestDisconnectOfRejectedDuplicateKeepsID(t *testing.T) {
	cfg := longTimeoutConfig(t, "127.0.0.1:1")
	cfg.InitialList.Targets[0].State = "Terminating"
	s := startSidecar(t, cfg)
	statuses := make(chan int, 3)
	newCall := func() *call {
		return &call{id: "id", event: forkline.Event{Deadline: s.loop.now() + 1e6}, respond: func(a response) { statuses <- a.status }}
	}
	second := newCall()
	s.loop.postAndWait(func() { s.loop.accept(newCall()) })
	s.loop.postAndWait(func() { s.loop.accept(second) })
	s.loop.postAndWait(func() { s.loop.handleDisconnect(second) }) // its client disconnects as the response is written
	s.loop.postAndWait(func() { s.loop.accept(newCall()) })
	if len(statuses) != 2 || <-statuses != http.StatusConflict || <-statuses != http.StatusConflict {
		t.Fatal("a request was accepted while one with the same id is open")
	}
	if s.loop.postAndWait(func() { s.loop.abortAll() }); <-statuses != statusRefused {
		t.Error("the first request was not kept")
	}
}

// abortAll runs while a client's retry waits for the end of the original request, whose client has disconnected. The
// retry must be answered too, as failed, because the original may have run.
func TestAbortAllAnswersWaitingRetry(t *testing.T) {
	s := startWithoutDrain(t, echo, nil)
	statuses := make(chan int, 2)
	newCall := func() *call {
		return &call{id: "id", event: forkline.Event{Deadline: s.loop.now() + 1e6}, respond: func(a response) { statuses <- a.status }}
	}
	original := newCall()
	s.loop.postAndWait(func() {
		original.ended, original.openAttempts = true, 1
		s.loop.callsByID["id"], s.loop.calls[9] = original, original
		s.loop.accept(newCall())
		s.loop.abortAll()
	})
	if len(statuses) != 1 || <-statuses != statusFailed {
		t.Error("the retry was not answered exactly once, as failed")
	}
}

// A client disconnects and retries with the same ID on another connection while the attempt for the original request is
// being canceled. The retry is served if the request is safe or cannot have run, and fails otherwise, as the request
// must not run twice. It is not rejected as a duplicate ID.
func TestClientRetryWhileAttemptIsCanceled(t *testing.T) {
	for _, c := range []struct {
		method, class         string
		wantStatus, wantSends int
	}{{"GET", "read", 200, 2}, {"POST", "pay", statusFailed, 1}} {
		received, release := make(chan struct{}, 10), make(chan struct{})
		s := startSidecar(t, testConfig(t, startServer(t, func(n int, conn net.Conn, r *http.Request) bool {
			if received <- struct{}{}; len(received) == 1 {
				<-release
			}
			return echo(n, conn, r)
		}).Addr().String()))
		first, second := dial(t, s), dial(t, s)
		first.send(c.method, c.class, "")
		eventually(t, "the first attempt", func() bool { return len(received) == 1 })
		// The original request stays open until the second one has been accepted.
		var original *call
		s.loop.postAndWait(func() { original = s.loop.callsByID["id"]; original.openAttempts++ })
		first.Close()
		eventually(t, "the client's disconnect", func() (ended bool) {
			s.loop.postAndWait(func() { ended = original.ended })
			return ended
		})
		second.send(c.method, c.class, "")
		eventually(t, "the second request", func() (waits bool) {
			s.loop.postAndWait(func() { waits = original.retry != nil })
			return waits
		})
		s.loop.post(func() { original.openAttempts--; s.loop.release(original) })
		if res, _ := second.readResponse(t); res.StatusCode != c.wantStatus || len(received) != c.wantSends {
			t.Errorf("%s: status %d after %d sends, want %d after %d", c.class, res.StatusCode, len(received), c.wantStatus, c.wantSends)
		}
		close(release)
		for remaining := 1; remaining > 0; {
			s.loop.postAndWait(func() { remaining = len(s.loop.calls) + len(s.loop.callsByID) + len(s.loop.timerQueue) })
		}
	}
}
