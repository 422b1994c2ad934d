package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
)

// newGetRequest returns a GET request.
func newGetRequest() *upstreamRequest {
	return &upstreamRequest{
		preamble: "GET /browse/x?q=%20 HTTP/1.1\r\nHost: backend.local\r\n",
		header:   http.Header{"X-Request-Id": {"1"}, "X-Deadline": {"99"}},
	}
}

// doAttempt makes one attempt at server 1 of u, with the given time until the deadline.
func doAttempt(u *upstream, timeLeft time.Duration) (forkline.Outcome, *response) {
	return u.do(newAttempt(time.Time{}), u.find(1), newGetRequest(), time.Now().Add(timeLeft))
}

// newTestUpstream returns a connection pool with one server, which has ID 1.
func newTestUpstream(addr string, maxConns int) *upstream {
	u := newUpstream(forkline.Limits{}, 0, maxConns)
	u.updateServer(1, addr, 0, forkline.Ready)
	u.reuseDelay = 0 // connections are reused at once
	return u
}

// A request whose connection breaks must not be sent again without a decision of the module. http.Transport would retry it
// by itself.
func TestNoRetryOnBrokenConnection(t *testing.T) {
	requests := make(chan int, 10)
	ln := startServer(t, func(n int, c net.Conn, _ *http.Request) bool {
		requests <- n
		if len(requests) == 2 {
			return false // the connection that served the first request breaks during the second
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	if got, _ := doAttempt(u, testTimeout); got != forkline.OK {
		t.Fatalf("outcome %v of the first request, want OK", got)
	}
	if got, _ := doAttempt(u, testTimeout); got != forkline.Reset {
		t.Errorf("outcome %v of the second request, want a reset", got)
	}
	if a, b := <-requests, <-requests; a != 0 || b != 0 || len(requests) != 0 {
		t.Errorf("requests on connections %d and %d and %d more, want both on the first", a, b, len(requests))
	}
}

// Guards against foreign bytes that are taken for a response (issue 36, related to review/8): a connection must not be used again
// after a response that announces a body which is not read, as its bytes may arrive under the next request.
func TestUnreadResponseBodyIsNotAResponse(t *testing.T) {
	const stray, own = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
	for name, tc := range map[string]struct {
		head    string
		hasBody bool
	}{
		"204 with a length": {fmt.Sprintf("HTTP/1.1 204 N\r\nContent-Length: %d\r\n\r\n", len(stray)), true},
		"204 in chunks":     {"HTTP/1.1 204 N\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"304 with a length": {fmt.Sprintf("HTTP/1.1 304 N\r\nContent-Length: %d\r\n\r\n", len(stray)), true},
		"204 without":       {"HTTP/1.1 204 N\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			u := newTestUpstream(startServer(t, func(n int, c net.Conn, _ *http.Request) bool {
				switch first := requests.Add(1) == 1; {
				case first:
					io.WriteString(c, tc.head)
				case n == 0 && tc.hasBody:
					io.WriteString(c, stray) // the body of the first response, under the second request
				default:
					io.WriteString(c, own)
				}
				return true
			}).Addr().String(), 4)
			if got, _ := doAttempt(u, testTimeout); got != forkline.Error {
				t.Errorf("outcome %v of the first request, want an error", got)
			}
			if got, r := doAttempt(u, testTimeout); got != forkline.OK || string(r.body) != "own" {
				t.Errorf("outcome %v with response %+v to the second request, want its own", got, r)
			}
			if u.open() != 1 {
				t.Errorf("%d connections are open, want 1", u.open())
			}
		})
	}
}

// An endpoint may close an idle connection at any time. A request must not be written to a closed connection, as that would
// count as a reset.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closeNow, closed := make(chan struct{}), make(chan struct{})
	ln := startServer(t, func(n int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if n == 0 {
			<-closeNow
			c.Close()
			close(closed)
		}
		return n > 0
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	doAttempt(u, testTimeout)
	close(closeNow)
	<-closed
	idle := u.find(1).idle
	if len(idle) != 1 {
		t.Fatalf("%d idle connections, want 1", len(idle))
	}
	for stillOpen(idle[0].Conn) { // until the close has arrived over the loopback
		time.Sleep(time.Millisecond)
	}
	if got, _ := doAttempt(u, testTimeout); got != forkline.OK {
		t.Errorf("outcome %v, want the request served on a new connection", got)
	}
	if u.openConns != 1 {
		t.Errorf("%d connections counted, want 1", u.openConns)
	}
}

// An endpoint may silently drop connections that were idle for a while, and an at-most-once request sent on one is lost.
// Once such a drop has been observed, these requests must use new connections, while others may try the idle ones.
func TestAtMostOnceRequestsAvoidIdleConnections(t *testing.T) {
	requests := make(chan int, 10)
	ln := startServer(t, func(n int, c net.Conn, req *http.Request) bool {
		if requests <- n; req.Header.Get("X-Request-Id") == "drop" {
			return false
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	sentOn := func(id string, atMostOnce bool, idleFor time.Duration) int {
		t.Helper()
		if e := u.find(1); len(e.idle) > 0 {
			e.idle[len(e.idle)-1].idleSince = time.Now().Add(-idleFor)
		}
		outgoing := newGetRequest()
		outgoing.header.Set("X-Request-Id", id)
		outgoing.atMostOnce = atMostOnce
		if got, _ := u.do(newAttempt(time.Time{}), u.find(1), outgoing, time.Now().Add(testTimeout)); (got == forkline.OK) == (id == "drop") {
			t.Fatalf("outcome %v", got)
		}
		return <-requests
	}
	sentOn("1", true, 0)
	if n := sentOn("2", true, time.Second); n != 0 {
		t.Errorf("sent on connection %d, want the idle one, as none was dropped yet", n)
	}
	sentOn("drop", false, time.Second) // on connection 0
	sentOn("3", false, 0)              // on connection 1
	if n := sentOn("4", true, time.Second); n != 2 {
		t.Errorf("sent on connection %d, want a new one", n)
	}
	if n := sentOn("5", true, 0); n != 2 {
		t.Errorf("sent on connection %d, want the one that was just used", n)
	}
	if n := sentOn("6", false, time.Second); n != 2 {
		t.Errorf("sent on connection %d, want the idle one, as this request may be retried", n)
	}
}

// If a connection breaks before the last byte of a request is written, the request cannot have run, and an at-most-once
// request is not lost. On an idle connection it must be sent on the next one. On a new connection the outcome must state
// that nothing ran.
func TestBreakBeforeTheLastByte(t *testing.T) {
	served := make(chan string, 10)
	ln := listenLoopback(t)
	go acceptConns(ln, func(n int, c net.Conn) {
		if n == 2 { // breaks during the first bytes
			c.Read(make([]byte, 1))
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // ends the wait for a break
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			t.Error(err)
			return
		}
		served <- fmt.Sprint(n, req.Header.Get("X-Request-Id"))
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if n == 0 {
			c.Read(make([]byte, 1))
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	u.breakCheckTime = testTimeout
	for i, want := range []forkline.Outcome{forkline.OK, forkline.OK, forkline.ConnectFailed} {
		outgoing := newGetRequest()
		outgoing.header.Set("X-Request-Id", fmt.Sprint("-", i))
		outgoing.atMostOnce = true
		if i == 2 {
			u.closeServerIdle(1)
		}
		if got, _ := u.do(newAttempt(time.Time{}), u.find(1), outgoing, time.Now().Add(2*testTimeout)); got != want {
			t.Errorf("request %d: outcome %v, want %v", i, got, want)
		}
	}
	if a, b := <-served, <-served; a != "0-0" || b != "1-1" || len(served) != 0 {
		t.Errorf("served %q, %q and %d more, want 0-0 and 1-1 only", a, b, len(served))
	}
}

// trustedIdle must follow the observed breaks, except for those that idle time cannot have caused.
func TestTrustedIdleTime(t *testing.T) {
	u := newTestUpstream("127.0.0.1:1", 4)
	u.recordReuse(0, true)
	u.recordReuse(minTrustedIdle, true)
	if u.trustedIdle != u.idleTimeout {
		t.Errorf("trusted idle time %v after breaks of new and busy connections, want the idle timeout", u.trustedIdle)
	}
	u.recordReuse(800*time.Millisecond, true)
	u.recordReuse(time.Second, true)
	if u.trustedIdle != 400*time.Millisecond {
		t.Errorf("trusted idle time %v, want half of the shortest that broke", u.trustedIdle)
	}
	for range reusesToDoubleTrust - 1 {
		u.recordReuse(time.Second, false)
		u.recordReuse(100*time.Millisecond, false) // proves nothing about longer idle times
	}
	if u.trustedIdle != 400*time.Millisecond {
		t.Errorf("trusted idle time %v, raised too early", u.trustedIdle)
	}
	if u.recordReuse(time.Second, false); u.trustedIdle != 800*time.Millisecond {
		t.Errorf("trusted idle time %v after enough successful reuses, want 800ms", u.trustedIdle)
	}
	if u.recordReuse(minTrustedIdle+1, true); u.trustedIdle != minTrustedIdle {
		t.Errorf("trusted idle time %v, want the minimum", u.trustedIdle)
	}
}

// An aborted attempt must not write anything, because its request already has a final response.
func TestAbortBeforeWriting(t *testing.T) {
	requests := make(chan struct{}, 1)
	ln := startServer(t, func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false })
	u := newTestUpstream(ln.Addr().String(), 4)
	c, err := u.connect(newAttempt(time.Time{}), u.find(1), time.Now().Add(testTimeout), false)
	if err != nil {
		t.Fatal(err)
	}
	a := newAttempt(time.Time{})
	a.abort()
	if got, _, _ := exchange(a, c, newGetRequest(), time.Now().Add(testTimeout), 0); got != forkline.Cancelled {
		t.Errorf("outcome %v", got)
	}
	c.Close()
	if len(requests) != 0 {
		t.Error("the request was sent")
	}
}

// Aborting an attempt must close its connection, as this notifies the endpoint.
func TestAbortWhileWaiting(t *testing.T) {
	received, closed := make(chan struct{}), make(chan error, 1)
	ln := startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		close(received)
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	a := newAttempt(time.Time{})
	go func() { <-received; a.abort() }()
	if got, _ := u.do(a, u.find(1), newGetRequest(), time.Now().Add(testTimeout)); got != forkline.Cancelled {
		t.Errorf("outcome %v", got)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the connection was not closed")
	}
}

// Between the decision and the first byte, the sidecar may be notified that the endpoint drains, and a dial or a stall may
// last longer than the drain grace. A late attempt must not be written, and counts as not run.
func TestLateAttemptIsNotWritten(t *testing.T) {
	requests := make(chan struct{}, 1)
	ln := startServer(t, func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false })
	u := newTestUpstream(ln.Addr().String(), 4)
	a := newAttempt(time.Now().Add(-time.Millisecond))
	if got, _ := u.do(a, u.find(1), newGetRequest(), time.Now().Add(testTimeout)); got != forkline.ConnectFailed {
		t.Errorf("outcome %v", got)
	}
	if len(u.find(1).idle) != 1 {
		t.Error("the unused connection was not returned to the pool")
	}
	if len(requests) != 0 {
		t.Error("the request was sent")
	}
}

// The module states by when the last byte of a retry must be written. The sidecar must observe this limit, even if the
// drain grace is longer or not stated. A late retry counts as not run.
func TestLateRetryIsNotWritten(t *testing.T) {
	for _, grace := range []float64{0, 1e6} {
		requests := make(chan struct{}, 1)
		ln := startServer(t, func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false })
		cfg := testConfig(t)
		u := newTestUpstream(ln.Addr().String(), 4)
		u.firstByteTimeout = msToDuration(grace)
		l, err := newLoop(&cfg, u)
		if err != nil {
			t.Fatal(err)
		}
		now := l.now()
		c := &call{outgoing: *newGetRequest()}
		l.send(c, &forkline.Action{Kind: forkline.ActSend, Server: 1, Deadline: now + 1e6, LastByteBy: now - 1})
		for c.openAttempts > 0 { // reports on the connection come before the outcome
			(<-l.queue)()
		}
		if len(requests) != 0 || len(u.find(1).idle) != 1 {
			t.Errorf("drain grace %v: the request was sent, or its connection was not returned to the pool", grace)
		}
	}
}

// At the connection limit an idle connection must be closed in favor of a new one. Only if none is idle must an attempt
// fail, as one that did not run.
func TestConnectionLimit(t *testing.T) {
	release, received := make(chan struct{}), make(chan struct{}, 1)
	serve := func(n int, c net.Conn, req *http.Request) bool {
		if req.Header.Get("X-Request-Id") == "hold" {
			received <- struct{}{}
			<-release
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	first, second := startServer(t, serve), startServer(t, serve)
	u := newTestUpstream(first.Addr().String(), 1)
	u.updateServer(2, second.Addr().String(), 0, forkline.Ready)
	doAttempt(u, testTimeout)
	if len(u.find(1).idle) != 1 {
		t.Fatal("the first attempt left no idle connection")
	}
	done := make(chan forkline.Outcome)
	go func() {
		outgoing := newGetRequest()
		outgoing.header.Set("X-Request-Id", "hold")
		got, _ := u.do(newAttempt(time.Time{}), u.find(2), outgoing, time.Now().Add(testTimeout))
		done <- got
	}()
	<-received
	if got, _ := doAttempt(u, testTimeout); got != forkline.ConnectFailed {
		t.Errorf("outcome %v at the connection limit, want a failed connect", got)
	}
	close(release)
	if got := <-done; got != forkline.OK || u.openConns != 1 {
		t.Errorf("outcome %v with %d connections, want OK on a connection that replaced the idle one", got, u.openConns)
	}
}

// idleConn opens a connection to ln and adds it to the pool, as if a request with the given duration had just ended on it.
// It also returns the remote end.
func idleConn(t *testing.T, u *upstream, ln net.Listener, lastDuration time.Duration) (c *conn, remote net.Conn) {
	t.Helper()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if remote, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close(); remote.Close() })
	c = &conn{Conn: raw, reader: bufio.NewReader(raw), server: u.find(1), takenAt: time.Now().Add(-lastDuration)}
	u.openConns++
	u.putIdle(c)
	return c, remote
}

// An attempt must wait for the reuse delay of a connection that was just used instead of dialing a new one. A new
// connection costs its endpoint work and stays open, so sequential calls would use two connections where one suffices. But
// an attempt must not wait longer than requests take, because the module would mistake the wait for that of a silent
// endpoint and cancel the attempt. The test runs in virtual time.
func TestReuseDelayIsAwaited(t *testing.T) {
	const reuseDelay = 10 * time.Millisecond
	for name, c := range map[string]struct {
		// setup runs before the attempt; may be nil.
		setup        func(u *upstream, first, second *conn, remote net.Conn, cancel func())
		lastDuration time.Duration // duration of the last request on each connection
		timeLeft     time.Duration // time until the deadline
		atMostOnce   bool
		want         int           // connection that is used, of two added to the pool 1 ms apart; 0 = a new one is dialed
		waited       time.Duration // time until then, from the last use of the second
		open         int           // connections open at the end
	}{
		"the one idle longer":     {nil, reuseDelay, testTimeout, false, 1, reuseDelay - time.Millisecond, 2},
		"at most once":            {nil, reuseDelay, testTimeout, true, 1, reuseDelay - time.Millisecond, 2},
		"not beyond the deadline": {nil, reuseDelay, reuseDelay - 2*time.Millisecond, false, 0, 0, 2},
		"one delay has passed": {func(*upstream, *conn, *conn, net.Conn, func()) {
			time.Sleep(reuseDelay - time.Millisecond)
		}, reuseDelay, testTimeout, false, 1, reuseDelay - time.Millisecond, 2},
		"both delays have passed": {func(*upstream, *conn, *conn, net.Conn, func()) {
			time.Sleep(reuseDelay)
		}, reuseDelay, testTimeout, false, 2, reuseDelay, 2},
		"the other is not trusted": {func(u *upstream, first, _ *conn, _ net.Conn, _ func()) {
			u.trustedIdle, first.idleSince = minTrustedIdle, first.idleSince.Add(-time.Second)
		}, reuseDelay, testTimeout, true, 2, reuseDelay, 2},
		"the other is too old": {func(u *upstream, first, _ *conn, _ net.Conn, _ func()) {
			first.idleSince = first.idleSince.Add(-time.Hour)
		}, reuseDelay, testTimeout, false, 2, reuseDelay, 1},
		"not for longer than a request takes": {nil, reuseDelay - 2*time.Millisecond, testTimeout, false, 0, 0, 2},
		"not for longer than is trusted": {func(u *upstream, _, _ *conn, _ net.Conn, _ func()) {
			u.trustedIdle = reuseDelay - 1
		}, reuseDelay, testTimeout, true, 0, 0, 2},
		"a duplicate response meanwhile": {func(_ *upstream, first, _ *conn, remote net.Conn, _ func()) {
			time.AfterFunc(reuseDelay/2, func() {
				io.WriteString(remote, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				for stillOpen(first.Conn) { // until the response has arrived over the loopback
					runtime.Gosched()
				}
			})
		}, reuseDelay, testTimeout, false, 2, reuseDelay, 1},
		"aborted meanwhile": {func(_ *upstream, _, _ *conn, _ net.Conn, cancel func()) {
			time.AfterFunc(reuseDelay/2, cancel)
		}, reuseDelay, testTimeout, false, 0, reuseDelay / 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listenLoopback(t)
			synctest.Test(t, func(t *testing.T) {
				u := newTestUpstream("127.0.0.1:1", 4) // nothing listens there
				u.reuseDelay = reuseDelay
				first, remote := idleConn(t, u, ln, c.lastDuration)
				time.Sleep(time.Millisecond)
				second, _ := idleConn(t, u, ln, c.lastDuration)
				start := time.Now()
				a := newAttempt(time.Time{})
				defer a.cancel()
				if c.setup != nil {
					c.setup(u, first, second, remote, a.cancel)
				}
				got, err := u.connect(a, u.find(1), time.Now().Add(c.timeLeft), c.atMostOnce)
				if want := []*conn{nil, first, second}[c.want]; got != want || (err == nil) != (want != nil) {
					t.Errorf("connection %p and error %v, want connection %d of %p and %p", got, err, c.want, first, second)
				}
				if d := time.Since(start); d != c.waited || u.openConns != c.open {
					t.Errorf("took %v with %d connections open, want %v and %d", d, u.openConns, c.waited, c.open)
				}
			})
		})
	}
}

// The idle connections to a server must be closed when it drains, leaves, moves or restarts.
func TestServerChangeClosesIdleConnections(t *testing.T) {
	ln := startServer(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	addr := ln.Addr().String()
	for name, change := range map[string]func(u *upstream){
		"draining":  func(u *upstream) { u.updateServer(1, addr, 0, forkline.Draining) },
		"gone":      func(u *upstream) { u.updateServer(1, addr, 0, forkline.Removed) },
		"restarted": func(u *upstream) { u.updateServer(1, addr, 9, forkline.Ready) },
		"moved":     func(u *upstream) { u.updateServer(1, "127.0.0.1:1", 0, forkline.Ready) },
		"closed":    func(u *upstream) { u.closeServerIdle(1) },
	} {
		u := newTestUpstream(addr, 4)
		doAttempt(u, testTimeout)
		if u.openConns != 1 {
			t.Fatalf("%s: %d connections after the first attempt, want 1", name, u.openConns)
		}
		if change(u); u.openConns != 0 {
			t.Errorf("%s: %d connections still open", name, u.openConns)
		}
	}
}

// An idle connection must be closed well before the endpoint's idle timeout, even if no further request is sent.
func TestIdleConnectionsTimeOut(t *testing.T) {
	ln := startServer(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	u := newTestUpstream(ln.Addr().String(), 4)
	u.idleTimeout = 20 * time.Millisecond
	doAttempt(u, testTimeout)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		u.mu.Lock()
		open := u.openConns
		u.mu.Unlock()
		if open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections still open", open)
		}
	}
}

// A request must be forwarded unchanged, except for the remaining time in X-Deadline.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	received := make(chan string, 1)
	ln := startServer(t, func(_ int, c net.Conn, r *http.Request) bool {
		received <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header["X-Request-Id"], r.Header["User-Agent"])
		remaining := r.Header.Get("X-Deadline")
		if !(remaining > "9.0" && remaining < "9.9999") {
			t.Errorf("X-Deadline %q, want just under ten seconds", remaining)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	doAttempt(newTestUpstream(ln.Addr().String(), 4), testTimeout-10*time.Millisecond)
	if got, want := <-received, "GET /browse/x?q=%20 backend.local [1] []"; got != want {
		t.Errorf("forwarded request %q, want %q", got, want)
	}
}
