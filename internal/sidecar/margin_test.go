package sidecar

import (
	"bufio"
	"container/heap"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
)

// withoutSockets runs f with a front and its loop, without sockets and in virtual time. Virtual time does not advance
// while code runs, so sleeps stand for the time that code takes on a busy core. The sidecar has no server list.
func withoutSockets(t *testing.T, f func(t *testing.T, front *front)) {
	cfg := testConfig(t)
	synctest.Test(t, func(t *testing.T) {
		l, err := newLoop(&cfg, newUpstream(forkline.Limits{}, 0, 4))
		if err != nil {
			t.Fatal(err)
		}
		go l.run()
		f(t, newFront(l, &cfg.Site.Settings, 64))
		close(l.done)
	})
}

// requestHead returns the head of a request with the given X-Deadline, in seconds.
func requestHead(deadline string) message {
	return message{startLine: "GET /read/x HTTP/1.1", header: http.Header{
		"X-Class": {"read"}, "X-Request-Id": {"1"}, "X-Deadline": {deadline},
	}}
}

// makeCalls makes sequential calls for the given duration. Each has a deadline of 0.1 s, which passes as there is no list.
func makeCalls(t *testing.T, f *front, duration time.Duration) { makeDelayedCalls(t, f, duration, 0) }

// makeDelayedCalls makes the same calls on a connection whose goroutine gets the core only wakeDelay after it is woken.
func makeDelayedCalls(t *testing.T, f *front, duration, wakeDelay time.Duration) {
	t.Helper()
	local, remote := net.Pipe()
	defer local.Close()
	go f.serveConn(f.downstream.admit(lateWakeConn{remote, wakeDelay}))
	reader := bufio.NewReader(local)
	for startedAt := time.Now(); time.Since(startedAt) < duration; {
		sentAt := time.Now()
		go io.WriteString(local, "GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 0.1\r\n\r\n")
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != statusRefused {
			t.Fatalf("response %v, error %v; want a refusal", res, err)
		}
		io.Copy(io.Discard, res.Body)
		if time.Since(sentAt) == 0 {
			t.Fatal("a call was refused immediately")
		}
	}
}

// lateWakeConn is a connection on which a read that is interrupted returns after a delay.
type lateWakeConn struct {
	net.Conn
	delay time.Duration
}

func (c lateWakeConn) SetReadDeadline(at time.Time) error {
	if at.Equal(time.Unix(1, 0)) {
		time.Sleep(c.delay)
	}
	return c.Conn.SetReadDeadline(at)
}

// The margin must include every kind of wait for the core.
func TestEveryWaitForTheCoreIsMeasured(t *testing.T) {
	const delay = 12 * time.Millisecond
	for name, causeDelay := range map[string]func(t *testing.T, f *front){
		"a request": func(t *testing.T, f *front) {
			f.loop.post(func() { time.Sleep(delay) })
			synctest.Wait()
			makeCalls(t, f, time.Millisecond)
		},
		"a timer": func(t *testing.T, f *front) {
			l := f.loop
			l.postAndWait(func() {
				heap.Push(&l.timerQueue, &timerEntry{at: l.now() + 1, token: 1 << 60})
				time.Sleep(delay + time.Millisecond)
			})
		},
		"a response": func(t *testing.T, f *front) { makeDelayedCalls(t, f, time.Millisecond, delay) },
		"an outcome": func(t *testing.T, f *front) {
			l := f.loop
			l.postAndWait(func() {
				c := &call{respond: func(response) {}}
				l.calls[1<<30] = c
				l.send(c, &forkline.Action{Kind: forkline.ActSend, Request: 1 << 30, Server: 1 << 30})
				time.Sleep(delay)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			withoutSockets(t, func(t *testing.T, f *front) {
				makeCalls(t, f, 2*time.Second)
				causeDelay(t, f)
				synctest.Wait()
				if got := f.loop.margin.reserve(2000); got < 5+11 || got > 5+25 {
					t.Errorf("%v ms are reserved after a delay of %v", got, delay)
				}
			})
		})
	}
}

// The margin must be small on an idle core. On a core where each event waits for 30 ms it must be as large as before the
// first measurement, but only as long as the core is busy.
func TestMarginFollowsTheLoadOfTheCore(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		reserved := func() float64 { return f.loop.margin.reserve(2000) }
		if got := reserved(); got != 50 {
			t.Errorf("%v ms are reserved before anything was measured, want 50", got)
		}
		makeCalls(t, f, 2*time.Second)
		if got := reserved(); got > 6 {
			t.Errorf("%v ms are reserved on an idle core, want at most 6", got)
		}
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			for range 40 {
				f.loop.post(func() { time.Sleep(30 * time.Millisecond) })
			}
		}()
		makeCalls(t, f, time.Second)
		if got := reserved(); got != 50 {
			t.Errorf("%v ms are reserved after a second on a busy core, want 50", got)
		}
		<-finished
		makeCalls(t, f, 15*time.Second)
		if got := reserved(); got > 6 {
			t.Errorf("%v ms are reserved 15 s later, want at most 6", got)
		}
	})
}

// The X-Deadline sent to an endpoint must be at most the remaining time of the client, in any notation.
func TestForwardedDeadlineIsAtMostTheRemainingTime(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		for _, idle := range []bool{false, true} {
			if idle {
				makeCalls(t, f, 2*time.Second)
			}
			for _, deadline := range []string{"0.0001", "0.0009", "0.0029", "0.0127", "0.0506", "0.1", "0.6", "0.9999", "2.0004", "60"} {
				for _, delay := range []time.Duration{0, 300 * time.Microsecond, 17 * time.Millisecond, 700 * time.Millisecond} {
					sentAt := time.Now()
					request, reason := f.parse(requestHead(deadline))
					if request == nil {
						t.Fatal(reason)
					}
					request.setDeadline(f.loop.clockMS(sentAt))
					time.Sleep(delay)
					forwarded := make(chan float64, 1)
					local, remote := net.Pipe()
					go func() {
						r, err := http.ReadRequest(bufio.NewReader(remote))
						if err == nil {
							seconds, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
							forwarded <- seconds
						}
						close(forwarded)
						remote.Close()
					}()
					exchange(newAttempt(time.Time{}), &conn{Conn: local, reader: bufio.NewReader(local)}, &request.outgoing, f.loop.timeAt(request.event.Deadline), 0)
					local.Close()
					requested, _ := strconv.ParseFloat(deadline, 64)
					remaining := min(requested, 2.5) - time.Since(sentAt).Seconds()
					if seconds, received := <-forwarded; received && seconds > remaining || received != (f.loop.now() < request.event.Deadline) {
						t.Errorf("idle %v, deadline %s s: forwarded %v s after a delay of %v, request sent: %v", idle, deadline, seconds, delay, received)
					}
				}
			}
		}
	})
}

// A call that the module does not answer must be answered before the client times out, even if the margin is small.
func TestBackstopAnswersBeforeTheClientTimesOut(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		for _, idle := range []bool{false, true} {
			if idle {
				makeCalls(t, f, 2*time.Second)
			}
			for _, deadline := range []string{"0.01", "0.1", "0.6", "2"} {
				request, reason := f.parse(requestHead(deadline))
				if request == nil {
					t.Fatal(reason)
				}
				request.event.Class = 99 // unknown to the module, which does not answer
				answeredAfter := make(chan float64, 1)
				sentAt := time.Now()
				request.respond = func(response) { answeredAfter <- time.Since(sentAt).Seconds() }
				request.setDeadline(f.loop.clockMS(sentAt))
				f.loop.post(func() { f.loop.accept(request) })
				requested, _ := strconv.ParseFloat(deadline, 64)
				if got := <-answeredAfter; got >= requested || got < request.answerWithin/1000 {
					t.Errorf("idle %v: answered after %v s; the client waits for %v s, the module had %v s", idle, got, requested, request.answerWithin/1000)
				}
			}
		}
	})
}
