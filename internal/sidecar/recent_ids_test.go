package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"forkline"
)

// A client whose connection was reset during the response retries some time after its request has ended. The retry must
// fail if the request may have run and must not run twice. It is served if the request did not run or is safe.
func TestClientRetryAfterEndRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		method, class         string
		firstResponse         string // response of the endpoint to the original request; "" serves it
		wantSends, wantStatus int
	}{
		"unsafe, served":         {"POST", "pay", "", 1, statusFailed},
		"unsafe, cut off":        {"POST", "pay", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 1, statusFailed},
		"unsafe, not run":        {"POST", "pay", notRunResponse, 2, 200},
		"keyed, served":          {"POST", "add", "", 1, statusFailed},
		"safe, served":           {"GET", "read", "", 2, 200},
		"unsafe, after abortAll": {"POST", "pay", "", 1, statusFailed},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{}, 10)
			cfg := testConfig(t, startServer(t, func(n int, conn net.Conn, r *http.Request) bool {
				received <- struct{}{}
				if len(received) == 1 && c.firstResponse != "" {
					io.WriteString(conn, c.firstResponse)
					return c.firstResponse == notRunResponse
				}
				return echo(n, conn, r)
			}).Addr().String())
			cfg.Site.Settings.Limits.MaxAttempts = 1
			s := startSidecar(t, cfg)
			first, second := dial(t, s), dial(t, s)
			first.send(c.method, c.class, "", "Idempotency-Key: k")
			first.readResponse(t)
			first.Close()
			for remaining := 1; remaining > 0; { // until the original request and its attempt have ended
				s.loop.postAndWait(func() { remaining = len(s.loop.calls) + len(s.loop.callsByID) })
			}
			if name == "unsafe, after abortAll" {
				s.loop.postAndWait(s.loop.abortAll)
			}
			second.send(c.method, c.class, "", "Idempotency-Key: k")
			if res, _ := second.readResponse(t); res.StatusCode != c.wantStatus || len(received) != c.wantSends {
				t.Errorf("status %d after %d sends, want %d after %d", res.StatusCode, len(received), c.wantStatus, c.wantSends)
			}
		})
	}
}

// A retry that arrives after abortAll must fail if the original request may still be running at an endpoint: a refusal
// would state that it cannot have run.
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
		t.Error("the retry was not answered exactly once, as failed")
	}
}

// The recent IDs must be bounded in time and in number.
func TestRecentIDsAreBounded(t *testing.T) {
	r := newRecentIDs(0)
	for i := range 3 * r.max {
		r.add(fmt.Sprint(i), nil, float64(i+100))
		r.expire(float64(i))
	}
	if len(r.ids) > 101 || len(r.entries) > 400 {
		t.Errorf("%d ids and %d entries are kept, want some 100 ids", len(r.ids), len(r.entries))
	}
	last := 3*r.max - 1
	if r.expire(float64(last + 99)); !r.contains(fmt.Sprint(last)) || r.isFull(0) {
		t.Error("the last id expired too soon, or no capacity is left")
	}
	if r.expire(float64(last + 100)); r.contains(fmt.Sprint(last)) || len(r.ids) > 0 {
		t.Error("the last id was kept too long")
	}
}

// While the recent IDs are full, requests whose IDs would have to be kept must be refused. Safe requests are accepted.
func TestRequestsWhileRecentIDsAreFull(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		accept := func(class uint16, safe bool) int { // returns the status of an immediate response; 0 = accepted
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
			for i := range f.loop.endedIDs.max {
				f.loop.endedIDs.add(fmt.Sprint(i), nil, f.loop.now()+f.loop.idRetention)
			}
		})
		if status := accept(1, false); status != statusRefused {
			t.Errorf("status %d of an unsafe request while the ids are full", status)
		}
		if status := accept(0, true); status != 0 {
			t.Errorf("status %d of a safe request while the ids are full, want it accepted", status)
		}
		synctest.Wait()
		time.Sleep(msToDuration(f.loop.idRetention) + time.Second)
		if status := accept(1, false); status != 0 {
			t.Errorf("status %d of an unsafe request after the ids have expired, want it accepted", status)
		}
	})
}

// Guards against one client that sends small unsafe requests at full speed under ever new IDs, so that no ID of other clients finds
// space: only its own requests must be refused then.
func TestRecentIDsOfOneConnectionLeaveSpaceForOthers(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		flood, other := &idOwner{}, &idOwner{}
		sent := 0
		f.loop.postAndWait(func() {
			mayHaveRun := func(owner *idOwner) (refused bool) {
				sent++
				c := &call{id: fmt.Sprint(sent), owner: owner, event: forkline.Event{Class: 1}, mayHaveRun: true, ended: true}
				if r, _ := f.loop.checkAdmission(c); r != nil {
					return true
				}
				f.loop.callsByID[c.id] = c
				f.loop.release(c)
				return false
			}
			for range 2 * f.loop.endedIDs.max {
				mayHaveRun(flood)
			}
			if !mayHaveRun(flood) {
				t.Error("the request of the client that took its share was accepted")
			}
			if mayHaveRun(other) {
				t.Error("the request of another client was refused")
			}
		})
		time.Sleep(msToDuration(f.loop.idRetention) + time.Second)
		f.loop.postAndWait(func() {
			if f.loop.endedIDs.expire(f.loop.now()); flood.kept != 0 || other.kept != 0 {
				t.Errorf("%d and %d IDs count as stored after they have expired", flood.kept, other.kept)
			}
		})
	})
}

// Guards against connections that stay in memory after they are closed: an ID that is kept must not keep the connection that it came on,
// with its buffers.
func TestRecentIDsKeepNoConnection(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		closed := func() weak.Pointer[downstreamConn] {
			_, remote := net.Pipe()
			c := f.downstream.admit(remote)
			f.loop.postAndWait(func() { f.loop.endedIDs.add("x", c.idOwner, f.loop.now()+f.loop.idRetention) })
			f.downstream.remove(c)
			return weak.Make(c)
		}()
		for range 3 {
			runtime.GC()
		}
		if closed.Value() != nil {
			t.Error("a closed connection is still in memory")
		}
		f.loop.postAndWait(func() {
			if !f.loop.endedIDs.contains("x") {
				t.Error("the ID is not kept")
			}
		})
	})
}
