package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
)

// A client whose connection was reset under the answer sends its request once more, some time after it has ended. What
// may have run and must not simply run twice fails then; what did not run, or is safe, is served.
func TestClientRetryAfterEndRunsOnce(t *testing.T) {
	const notRun = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		method, class         string
		firstResponse         string // answer of the endpoint to the first copy; "" = it is served
		wantSends, wantStatus int
	}{
		"unsafe, served":         {"POST", "pay", "", 1, statusFailed},
		"unsafe, cut off":        {"POST", "pay", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 1, statusFailed},
		"unsafe, turned away":    {"POST", "pay", notRun, 2, 200},
		"keyed, served":          {"POST", "add", "", 1, statusFailed},
		"safe, served":           {"GET", "read", "", 2, 200},
		"unsafe, while all ends": {"POST", "pay", "", 1, statusFailed},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{}, 10)
			cfg := config(t, script(t, func(n int, conn net.Conn, r *http.Request) bool {
				received <- struct{}{}
				if len(received) == 1 && c.firstResponse != "" {
					io.WriteString(conn, c.firstResponse)
					return c.firstResponse == notRun
				}
				return echo(n, conn, r)
			}).Addr().String())
			cfg.Site.Settings.Limits.MaxAttempts = 1
			s := start(t, cfg)
			first, second := dial(t, s), dial(t, s)
			first.send(c.method, c.class, "", "Idempotency-Key: k")
			first.answer(t)
			first.Close()
			for remaining := 1; remaining > 0; { // the first copy is over, and its attempt closed
				s.loop.postAndWait(func() { remaining = len(s.loop.calls) + len(s.loop.callsByID) })
			}
			if name == "unsafe, while all ends" {
				s.loop.postAndWait(s.loop.abortAll)
			}
			second.send(c.method, c.class, "", "Idempotency-Key: k")
			if res, _ := second.answer(t); res.StatusCode != c.wantStatus || len(received) != c.wantSends {
				t.Errorf("status %d after %d sends, want %d after %d", res.StatusCode, len(received), c.wantStatus, c.wantSends)
			}
		})
	}
}

// While all is given up, a copy of what may still run at an endpoint has failed: a refusal would say that it cannot have run.
func TestClientRetryAfterAbortAllFails(t *testing.T) {
	s := startWithoutDrain(t, echo, nil)
	statuses := make(chan int, 2)
	s.loop.postAndWait(func() {
		original := &call{id: "id", event: forkline.Event{Deadline: s.loop.now() + 1e6}, ended: true, openAttempts: 1}
		s.loop.callsByID["id"], s.loop.calls[9] = original, original
		s.loop.abortAll()
		s.loop.accept(&call{id: "id", event: forkline.Event{Deadline: s.loop.now() + 1e6}, respond: func(a response) { statuses <- a.status }})
	})
	if len(statuses) != 1 || <-statuses != statusFailed {
		t.Error("it was not answered, or not as one that may have run")
	}
}

// What is remembered is bounded in time and in number, and while there is no room for more nothing is taken that would
// have to be remembered.
func TestRecentIDsAreBounded(t *testing.T) {
	r := newRecentIDs()
	for i := range 3 * maxRecentIDs {
		r.add(fmt.Sprint(i), float64(i+100))
		r.expire(float64(i))
	}
	if len(r.ids) > 101 || len(r.entries) > 400 {
		t.Errorf("%d ids in %d places are kept of 100", len(r.ids), len(r.entries))
	}
	last := 3*maxRecentIDs - 1
	if r.expire(float64(last + 99)); !r.contains(fmt.Sprint(last)) || r.isFull(0) {
		t.Error("the last id is forgotten too soon, or there is no room")
	}
	if r.expire(float64(last + 100)); r.contains(fmt.Sprint(last)) || len(r.ids) > 0 {
		t.Error("the last id is kept too long")
	}
}

func TestRequestsWhileRecentIDsAreFull(t *testing.T) {
	socketless(t, func(t *testing.T, f *front) {
		accept := func(class uint16, safe bool) int { // the status that it is answered with at once; 0 = it is taken
			statuses := make(chan int, 1)
			f.loop.postAndWait(func() {
				f.loop.accept(&call{
					id: "new", event: forkline.Event{Class: class, Deadline: f.loop.now() + 1000}, safe: safe,
					respond: func(a response) { statuses <- a.status },
				})
			})
			select {
			case status := <-statuses:
				return status
			default:
				return 0
			}
		}
		f.loop.postAndWait(func() {
			for i := range maxRecentIDs {
				f.loop.endedIDs.add(fmt.Sprint(i), f.loop.now()+f.loop.idRetention)
			}
		})
		if status := accept(1, false); status != statusRefused {
			t.Errorf("status %d of an unsafe request without room", status)
		}
		if status := accept(0, true); status != 0 {
			t.Errorf("status %d of a safe request without room, want it taken", status)
		}
		synctest.Wait()
		time.Sleep(msToDuration(f.loop.idRetention) + time.Second)
		if status := accept(1, false); status != 0 {
			t.Errorf("status %d of an unsafe request with room, want it taken", status)
		}
	})
}
