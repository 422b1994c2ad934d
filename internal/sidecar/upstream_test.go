package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
)

const long = 10 * time.Second // no test that passes waits for so long

// listen opens a loopback listener that ends with the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// script serves every connection with f, which gets the requests one by one; it is closed when f says so.
func script(t *testing.T, f func(n int, c net.Conn, req *http.Request) (more bool)) net.Listener {
	t.Helper()
	ln := listen(t)
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					if !f(n, c, req) {
						return
					}
				}
			}()
		}
	}()
	return ln
}

func get() *upstreamRequest {
	return &upstreamRequest{
		preamble: "GET /browse/x?q=%20 HTTP/1.1\r\nHost: backend.local\r\n",
		header:   http.Header{"X-Request-Id": {"1"}, "X-Deadline": {"99"}},
	}
}

// attemptOn carries out one attempt on the server 1 of u.
func attemptOn(u *upstream, wait time.Duration) (forkline.Outcome, *response) {
	return u.do(newAttempt(time.Time{}), u.find(1), get(), time.Now().Add(wait))
}

func pool(addr string, most int) *upstream {
	u := newUpstream(forkline.Limits{}, 0, most)
	u.updateServer(1, addr, 0, forkline.Ready)
	u.reuseDelay = 0 // tests use connections again at once
	return u
}

// What an endpoint does must reach the module as the outcome that says truly whether the request can have run:
// the module sends again and refuses by it.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name string
		does string // what is written before the connection ends
		want forkline.Outcome
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", forkline.OK},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", forkline.Error},
		{"turned away", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", forkline.Rejected},
		{"over already", "HTTP/1.1 504 G\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", forkline.Rejected},
		{"503 that does not say so", "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n", forkline.Error},
		{"500 is no turning away", "HTTP/1.1 500 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", forkline.Error},
		{"the request's own fault", "HTTP/1.1 400 B\r\nContent-Length: 0\r\n\r\n", forkline.Cancelled},
		{"closed unanswered", "", forkline.Reset},
		{"cut in the header", "HTTP/1.1 200 OK\r\nContent-", forkline.Reset},
		{"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", forkline.Reset},
		{"cut in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", forkline.Reset},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", maxBodyBytes+1), forkline.Reset},
		{"body without end", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxyz", forkline.Reset},
		{"chunks over the limit", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", maxBodyBytes+1), forkline.Reset},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-T: 1\r\n\r\n", forkline.OK},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhi", forkline.Reset}, // it may have been cut off
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", forkline.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", forkline.Reset},
		{"noise", "\x16\x03\x01\x00\n\n\n\n", forkline.Reset},
		{"no status", "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"another protocol", "ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"a header that is none", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", maxHeadBytes), forkline.Reset},
		{"spoilt, yet said not to have run", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\nhi", forkline.Reset},
		{"interim answers ahead", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", forkline.OK},
		{"interim answers without end", strings.Repeat("HTTP/1.1 103 E\r\n\r\n", maxInterimResponses+1), forkline.Reset},
		{"another copy behind", strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 2), forkline.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln := script(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.does)
				return false
			})
			got, a := attemptOn(pool(ln.Addr().String(), 4), long)
			final := c.want == forkline.OK || c.want == forkline.Cancelled
			if got != c.want || (a != nil) != final {
				t.Fatalf("outcome %v with answer %v, want %v", got, a, c.want)
			}
			if got == forkline.OK && string(a.body) != "hi" {
				t.Errorf("body %q", a.body)
			}
		})
	}
	t.Run("silent", func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		ln := script(t, func(int, net.Conn, *http.Request) bool { <-release; return false })
		if got, _ := attemptOn(pool(ln.Addr().String(), 4), time.Second); got != forkline.Timeout {
			t.Errorf("outcome %v, want a timeout", got)
		}
	})
	t.Run("refused", func(t *testing.T) {
		ln := listen(t)
		ln.Close()
		if got, _ := attemptOn(pool(ln.Addr().String(), 4), long); got != forkline.ConnectFailed {
			t.Errorf("outcome %v, want a failed connect", got)
		}
	})
}

// http.Transport would send this request again by itself: a second attempt that nobody decided on.
func TestBrokenConnectionIsNotSentAgain(t *testing.T) {
	requests := make(chan int, 10)
	ln := script(t, func(n int, c net.Conn, _ *http.Request) bool {
		requests <- n
		if len(requests) == 2 {
			return false // the connection that served the first one breaks under the second
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	u := pool(ln.Addr().String(), 4)
	if got, _ := attemptOn(u, long); got != forkline.OK {
		t.Fatalf("first outcome %v", got)
	}
	if got, _ := attemptOn(u, long); got != forkline.Reset {
		t.Errorf("second outcome %v, want a reset", got)
	}
	if a, b := <-requests, <-requests; a != 0 || b != 0 || len(requests) != 0 {
		t.Errorf("requests on connections %d and %d and %d more, want both on the first", a, b, len(requests))
	}
}

// An endpoint may close an idle connection at any time; a request written to it would count as a reset.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	kept, closed := make(chan struct{}), make(chan struct{})
	ln := script(t, func(n int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if n == 0 {
			<-kept
			c.Close()
			close(closed)
		}
		return n > 0
	})
	u := pool(ln.Addr().String(), 4)
	attemptOn(u, long)
	close(kept)
	<-closed
	idle := u.find(1).idle
	if len(idle) != 1 {
		t.Fatalf("%d idle connections, want 1", len(idle))
	}
	for stillOpen(idle[0].Conn) { // until the end of the stream has come over the loopback
		time.Sleep(time.Millisecond)
	}
	if got, _ := attemptOn(u, long); got != forkline.OK {
		t.Errorf("outcome %v, want the request served on a new connection", got)
	}
	if u.openConns != 1 {
		t.Errorf("%d connections counted, want 1", u.openConns)
	}
}

// An endpoint may drop connections that were idle for a while without a sign. A request that must never run twice is
// lost with one, so it must go on a new connection once that has been seen, while others may try the old ones.
func TestDroppedConnectionsAreNotTrusted(t *testing.T) {
	requests := make(chan int, 10)
	ln := script(t, func(n int, c net.Conn, req *http.Request) bool {
		if requests <- n; req.Header.Get("X-Request-Id") == "drop" {
			return false
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	u := pool(ln.Addr().String(), 4)
	on := func(id string, once bool, idle time.Duration) int {
		t.Helper()
		if e := u.find(1); len(e.idle) > 0 {
			e.idle[len(e.idle)-1].idleSince = time.Now().Add(-idle)
		}
		out := get()
		out.header.Set("X-Request-Id", id)
		out.atMostOnce = once
		if got, _ := u.do(newAttempt(time.Time{}), u.find(1), out, time.Now().Add(long)); (got == forkline.OK) == (id == "drop") {
			t.Fatalf("outcome %v", got)
		}
		return <-requests
	}
	on("1", true, 0)
	if n := on("2", true, time.Second); n != 0 {
		t.Errorf("on connection %d, want the idle one: none was dropped yet", n)
	}
	on("drop", false, time.Second) // on 0
	on("3", false, 0)              // on 1
	if n := on("4", true, time.Second); n != 2 {
		t.Errorf("on connection %d, want a new one", n)
	}
	if n := on("5", true, 0); n != 2 {
		t.Errorf("on connection %d, want the one that was just used", n)
	}
	if n := on("6", false, time.Second); n != 2 {
		t.Errorf("on connection %d, want the idle one: this one may be sent again", n)
	}
}

// A connection that breaks before the last byte of a request has carried none: one that must never run twice is not
// lost with it. An idle connection gives way to the next, and a new one proves that nothing ran.
func TestBreakBeforeTheLastByteLosesNothing(t *testing.T) {
	served := make(chan string, 10)
	ln := listen(t)
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if n == 2 { // breaks under its first bytes
				c.Read(make([]byte, 1))
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				continue
			}
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // ends the look for a break
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
		}
	}()
	u := pool(ln.Addr().String(), 4)
	u.breakCheckTime = long
	for i, want := range []forkline.Outcome{forkline.OK, forkline.OK, forkline.ConnectFailed} {
		out := get()
		out.header.Set("X-Request-Id", fmt.Sprint("-", i))
		out.atMostOnce = true
		if i == 2 {
			u.closeServerIdle(1)
		}
		if got, _ := u.do(newAttempt(time.Time{}), u.find(1), out, time.Now().Add(2*long)); got != want {
			t.Errorf("request %d: outcome %v, want %v", i, got, want)
		}
	}
	if a, b := <-served, <-served; a != "0-0" || b != "1-1" || len(served) != 0 {
		t.Errorf("%q, %q and %d more were served", a, b, len(served))
	}
}

// What is trusted follows what is seen, and no break that idleness cannot have caused.
func TestTrustInIdleConnections(t *testing.T) {
	u := pool("127.0.0.1:1", 4)
	u.recordReuse(0, true)
	u.recordReuse(minTrustedIdle, true)
	if u.trustedIdle != u.idleTimeout {
		t.Errorf("trust %v after new and busy connections broke", u.trustedIdle)
	}
	u.recordReuse(800*time.Millisecond, true)
	u.recordReuse(time.Second, true)
	if u.trustedIdle != 400*time.Millisecond {
		t.Errorf("trust %v, want half the shortest time", u.trustedIdle)
	}
	for range reusesToDoubleTrust - 1 {
		u.recordReuse(time.Second, false)
		u.recordReuse(100*time.Millisecond, false) // tells nothing of longer times
	}
	if u.trustedIdle != 400*time.Millisecond {
		t.Errorf("trust %v, too soon", u.trustedIdle)
	}
	if u.recordReuse(time.Second, false); u.trustedIdle != 800*time.Millisecond {
		t.Errorf("trust %v after a run of sound connections", u.trustedIdle)
	}
	if u.recordReuse(minTrustedIdle+1, true); u.trustedIdle != minTrustedIdle {
		t.Errorf("trust %v, want the least", u.trustedIdle)
	}
}

// Once an attempt is called off its request has a final answer, and nothing may go out for it.
func TestCalledOffBeforeWriting(t *testing.T) {
	requests := make(chan struct{}, 1)
	ln := script(t, func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false })
	u := pool(ln.Addr().String(), 4)
	c, err := u.connect(newAttempt(time.Time{}), u.find(1), time.Now().Add(long), false)
	if err != nil {
		t.Fatal(err)
	}
	a := newAttempt(time.Time{})
	a.abort()
	if got, _, _ := exchange(a, c, get(), time.Now().Add(long), 0); got != forkline.Cancelled {
		t.Errorf("outcome %v", got)
	}
	c.Close()
	if len(requests) != 0 {
		t.Error("the request went out")
	}
}

// Calling an attempt off closes its connection, which is how an endpoint learns of it.
func TestCalledOffWhileWaiting(t *testing.T) {
	came, left := make(chan struct{}), make(chan error, 1)
	ln := script(t, func(_ int, c net.Conn, _ *http.Request) bool {
		close(came)
		_, err := c.Read(make([]byte, 1))
		left <- err
		return false
	})
	u := pool(ln.Addr().String(), 4)
	a := newAttempt(time.Time{})
	go func() { <-came; a.abort() }()
	if got, _ := u.do(a, u.find(1), get(), time.Now().Add(long)); got != forkline.Cancelled {
		t.Errorf("outcome %v", got)
	}
	select {
	case <-left:
	case <-time.After(long):
		t.Error("the connection stayed open")
	}
}

// Between the decision and the first byte the sidecar may be told that the endpoint drains, and a dial or a stall
// may outlast the grace: an attempt that is late stays in, and never ran.
func TestLateAttemptStaysIn(t *testing.T) {
	requests := make(chan struct{}, 1)
	ln := script(t, func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false })
	u := pool(ln.Addr().String(), 4)
	a := newAttempt(time.Now().Add(-time.Millisecond))
	if got, _ := u.do(a, u.find(1), get(), time.Now().Add(long)); got != forkline.ConnectFailed {
		t.Errorf("outcome %v", got)
	}
	if len(u.find(1).idle) != 1 {
		t.Error("the connection, unused, was not kept")
	}
	if len(requests) != 0 {
		t.Error("the request went out")
	}
}

// The module says how late a repeat may be whole; the sidecar keeps to it, also where a drain leaves more time or none is
// told. A late repeat has not run: its call is over or goes elsewhere.
func TestALateRepeatStaysIn(t *testing.T) {
	for _, grace := range []float64{0, 1e6} {
		requests := make(chan struct{}, 1)
		ln := script(t, func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false })
		cfg := config(t)
		u := pool(ln.Addr().String(), 4)
		u.firstByteTimeout = msToDuration(grace)
		l, err := newLoop(&cfg, u)
		if err != nil {
			t.Fatal(err)
		}
		now := l.now()
		c := &call{outgoing: *get()}
		l.send(c, &forkline.Action{Kind: forkline.ActSend, Server: 1, Deadline: now + 1e6, LastByteBy: now - 1})
		for c.openAttempts > 0 { // ahead of the outcome comes news of the connection
			(<-l.queue)()
		}
		if len(requests) != 0 || len(u.find(1).idle) != 1 {
			t.Errorf("grace %v: the request went out, or its connection was not kept", grace)
		}
	}
}

// At the descriptor limit idle connections give way, and only with none left does an attempt fail,
// as one that never ran.
func TestConnectionLimit(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	serve := func(n int, c net.Conn, req *http.Request) bool {
		if req.Header.Get("X-Request-Id") == "hold" {
			held <- struct{}{}
			<-hold
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	first, second := script(t, serve), script(t, serve)
	u := pool(first.Addr().String(), 1)
	u.updateServer(2, second.Addr().String(), 0, forkline.Ready)
	attemptOn(u, long)
	if len(u.find(1).idle) != 1 {
		t.Fatal("no idle connection to begin with")
	}
	done := make(chan forkline.Outcome)
	go func() {
		out := get()
		out.header.Set("X-Request-Id", "hold")
		got, _ := u.do(newAttempt(time.Time{}), u.find(2), out, time.Now().Add(long))
		done <- got
	}()
	<-held
	if got, _ := attemptOn(u, long); got != forkline.ConnectFailed {
		t.Errorf("outcome %v with no descriptor left", got)
	}
	close(hold)
	if got := <-done; got != forkline.OK || u.openConns != 1 {
		t.Errorf("outcome %v with %d connections, want it served in place of the idle one", got, u.openConns)
	}
}

// idleConn opens a connection to ln and puts it into u's pool, as one that a request has just been on for so long; it
// returns the far end too.
func idleConn(t *testing.T, u *upstream, ln net.Listener, took time.Duration) (c *conn, far net.Conn) {
	t.Helper()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close(); far.Close() })
	c = &conn{Conn: raw, reader: bufio.NewReader(raw), server: u.find(1), takenAt: time.Now().Add(-took)}
	u.openConns++
	u.putIdle(c)
	return c, far
}

// A connection that was used just now is waited for: a new one costs its endpoint work and stays open. With calls one
// after another there would be two where one does. But where answers come at once the wait would seem a silence, for
// which the module calls an attempt off. All on virtual time.
func TestAConnectionsRestIsWaitedFor(t *testing.T) {
	const rest = 10 * time.Millisecond
	for name, c := range map[string]struct {
		before func(u *upstream, first, second *conn, far net.Conn, cancel func())
		took   time.Duration // the last request on each
		until  time.Duration
		once   bool
		want   int           // the connection that is taken, of two put away 1 ms apart; 0 is none: it dials
		after  time.Duration // from the later one's last use
		open   int
	}{
		"the one first put away":   {nil, rest, long, false, 1, rest - time.Millisecond, 2},
		"also by the unsafe":       {nil, rest, long, true, 1, rest - time.Millisecond, 2},
		"not beyond the time left": {nil, rest, rest - 2*time.Millisecond, false, 0, 0, 2},
		"one that has rested goes ahead": {func(*upstream, *conn, *conn, net.Conn, func()) {
			time.Sleep(rest - time.Millisecond)
		}, rest, long, false, 1, rest - time.Millisecond, 2},
		"the later one, once both have": {func(*upstream, *conn, *conn, net.Conn, func()) {
			time.Sleep(rest)
		}, rest, long, false, 2, rest, 2},
		"in place of one that is not trusted": {func(u *upstream, first, _ *conn, _ net.Conn, _ func()) {
			u.trustedIdle, first.idleSince = minTrustedIdle, first.idleSince.Add(-time.Second)
		}, rest, long, true, 2, rest, 2},
		"in place of one that is too old": {func(u *upstream, first, _ *conn, _ net.Conn, _ func()) {
			first.idleSince = first.idleSince.Add(-time.Hour)
		}, rest, long, false, 2, rest, 1},
		"not for longer than a request takes": {nil, rest - 2*time.Millisecond, long, false, 0, 0, 2},
		"not for longer than is trusted": {func(u *upstream, _, _ *conn, _ net.Conn, _ func()) {
			u.trustedIdle = rest - 1
		}, rest, long, true, 0, 0, 2},
		"a second answer meanwhile": {func(_ *upstream, first, _ *conn, far net.Conn, _ func()) {
			time.AfterFunc(rest/2, func() {
				io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				for stillOpen(first.Conn) { // until it has come over the loopback
					runtime.Gosched()
				}
			})
		}, rest, long, false, 2, rest, 1},
		"called off meanwhile": {func(_ *upstream, _, _ *conn, _ net.Conn, cancel func()) {
			time.AfterFunc(rest/2, cancel)
		}, rest, long, false, 0, rest / 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			synctest.Test(t, func(t *testing.T) {
				u := pool("127.0.0.1:1", 4) // nobody listens there
				u.reuseDelay = rest
				first, far := idleConn(t, u, ln, c.took)
				time.Sleep(time.Millisecond)
				second, _ := idleConn(t, u, ln, c.took)
				start := time.Now()
				a := newAttempt(time.Time{})
				defer a.cancel()
				if c.before != nil {
					c.before(u, first, second, far, a.cancel)
				}
				got, err := u.connect(a, u.find(1), time.Now().Add(c.until), c.once)
				if want := []*conn{nil, first, second}[c.want]; got != want || (err == nil) != (want != nil) {
					t.Errorf("connection %p and %v, want %d of %p and %p", got, err, c.want, first, second)
				}
				if d := time.Since(start); d != c.after || u.openConns != c.open {
					t.Errorf("after %v with %d connections, want %v and %d", d, u.openConns, c.after, c.open)
				}
			})
		})
	}
}

// Connections to a server that drains, moved or started anew are of its former life.
func TestIdleConnectionsEndWithTheServer(t *testing.T) {
	ln := script(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	addr := ln.Addr().String()
	for name, change := range map[string]func(u *upstream){
		"draining":  func(u *upstream) { u.updateServer(1, addr, 0, forkline.Draining) },
		"gone":      func(u *upstream) { u.updateServer(1, addr, 0, forkline.Removed) },
		"restarted": func(u *upstream) { u.updateServer(1, addr, 9, forkline.Ready) },
		"moved":     func(u *upstream) { u.updateServer(1, "127.0.0.1:1", 0, forkline.Ready) },
		"closed":    func(u *upstream) { u.closeServerIdle(1) },
	} {
		u := pool(addr, 4)
		attemptOn(u, long)
		if u.openConns != 1 {
			t.Fatalf("%s: %d connections to begin with", name, u.openConns)
		}
		if change(u); u.openConns != 0 {
			t.Errorf("%s: %d connections left", name, u.openConns)
		}
	}
}

// An idle connection must be gone well before the endpoint's own limit, also where no request comes by.
func TestIdleConnectionsAreRetired(t *testing.T) {
	ln := script(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	u := pool(ln.Addr().String(), 4)
	u.idleTimeout = 20 * time.Millisecond
	attemptOn(u, long)
	for end := time.Now().Add(long); ; time.Sleep(time.Millisecond) {
		u.mu.Lock()
		open := u.openConns
		u.mu.Unlock()
		if open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections left", open)
		}
	}
}

// The time left is told to the endpoint, and the request goes on as it came.
func TestRequestGoesOnUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	ln := script(t, func(_ int, c net.Conn, r *http.Request) bool {
		seen <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header["X-Request-Id"], r.Header["User-Agent"])
		left := r.Header.Get("X-Deadline")
		if !(left > "9.0" && left < "9.9999") {
			t.Errorf("X-Deadline %q of ten seconds", left)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	attemptOn(pool(ln.Addr().String(), 4), long-10*time.Millisecond)
	if got, want := <-seen, "GET /browse/x?q=%20 backend.local [1] []"; got != want {
		t.Errorf("request %q, want %q", got, want)
	}
}
