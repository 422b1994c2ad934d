package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"forkline"
)

// Tests of clients that disconnect while the loop is busy, as on an overloaded core or with its queue full. The loop
// then handles the events that were queued before the disconnect without knowing of it. Even so, no endpoint
// may receive the complete request after the disconnect.

// occupyLoop blocks the loop until release is called. The loop first runs what is already in its queue.
func occupyLoop(s *Sidecar) *occupiedLoop {
	o := &occupiedLoop{s, make(chan func()), make(chan struct{})}
	s.loop.post(func() {
		for f := range o.work {
			f()
			o.done <- struct{}{}
		}
	})
	return o
}

// occupiedLoop is a blocked loop that runs only the functions passed to do.
type occupiedLoop struct {
	sidecar *Sidecar
	work    chan func()
	done    chan struct{}
}

func (o *occupiedLoop) do(f func()) { o.work <- f; <-o.done }
func (o *occupiedLoop) release()    { close(o.work) }

// awaitAttempts waits until every attempt that the loop knows of has ended.
func (o *occupiedLoop) awaitAttempts() {
	var attempts []*attempt
	o.do(func() {
		for _, c := range o.sidecar.loop.calls {
			attempts = append(attempts, c.attempts...)
		}
	})
	for _, a := range attempts {
		<-a.ctx.Done()
	}
}

// trackedClient is a client together with the sidecar's end of its connection.
type trackedClient struct {
	*client
	serverConn *net.TCPConn
}

// startTracked runs a sidecar whose ends of the client connections are available to the test. It returns the sidecar
// and a function that connects a client, whose requests have the given ID.
func startTracked(t *testing.T, cfg Config, configure func(*Sidecar)) (*Sidecar, func(id string) trackedClient) {
	t.Helper()
	serverConns := make(chan *net.TCPConn, 100)
	s := startConfiguredSidecar(t, cfg, func(s *Sidecar) {
		if configure != nil {
			configure(s)
		}
		withConnWrapper(func(c *net.TCPConn) net.Conn { serverConns <- c; return c })(s)
	})
	eventually(t, "the list", func() (applied bool) {
		s.loop.postAndWait(func() { applied = len(s.loop.serverReady) > 0 })
		return applied
	})
	return s, func(id string) trackedClient {
		c := dial(t, s)
		c.id = id
		return trackedClient{c, <-serverConns}
	}
}

// disconnect ends the client's connection and waits until the sidecar's kernel has seen that.
func (c trackedClient) disconnect(t *testing.T, how func(*net.TCPConn)) {
	t.Helper()
	how(c.Conn.(*net.TCPConn))
	raw, err := c.serverConn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of the connection", func() (closed bool) {
		err := raw.Control(func(fd uintptr) { closed = hungUp(fd) })
		return closed || err != nil // the sidecar has closed its end by now
	})
}

func closeConn(c *net.TCPConn) { c.Close() }

// disconnectModes are the ways in which a client disconnects.
var disconnectModes = map[string]func(*net.TCPConn){
	"closed": closeConn,
	"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"ended":  func(c *net.TCPConn) { c.CloseWrite() },
}

// awaitQueuedEvent waits until something is in the loop's queue.
func awaitQueuedEvent(t *testing.T, s *Sidecar) {
	t.Helper()
	eventually(t, "an event in the loop's queue", func() bool { return len(s.loop.queue) > 0 })
}

// expectNothingKept checks that no state remains of requests whose clients have disconnected, that a new request is
// served, and that it is the next one that the endpoint receives.
func expectNothingKept(t *testing.T, s *Sidecar, received <-chan string) {
	t.Helper()
	eventually(t, "the release of all requests", func() (none bool) {
		s.loop.postAndWait(func() { none = len(s.loop.calls)+len(s.loop.callsByID)+len(s.loop.pendingRetries) == 0 })
		return none
	})
	c := dial(t, s)
	c.id = "mark"
	c.send("GET", "read", "")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d for a new request", res.StatusCode)
	}
	if id := <-received; id != "mark" {
		t.Errorf("request %q was sent although its client had disconnected", id)
	}
}

// recordingServer starts an endpoint that serves every request. It returns its address and the IDs of the requests.
func recordingServer(t *testing.T) (string, chan string) {
	received := make(chan string, 100)
	return startServer(t, func(n int, c net.Conn, r *http.Request) bool {
		received <- r.Header.Get("X-Request-Id")
		return echo(n, c, r)
	}).Addr().String(), received
}

// The client disconnects while its request is in the loop's queue.
func TestDisconnectBeforeLoopAcceptsRequest(t *testing.T) {
	for mode, how := range disconnectModes {
		t.Run(mode, func(t *testing.T) {
			addr, received := recordingServer(t)
			s, connect := startTracked(t, longTimeoutConfig(t, addr), nil)
			occupied := occupyLoop(s)
			c := connect("left")
			c.send("GET", "read", "")
			awaitQueuedEvent(t, s)
			reoccupied := occupyLoop(s) // queued ahead of the disconnect
			c.disconnect(t, how)
			occupied.release()
			reoccupied.awaitAttempts()
			reoccupied.release()
			expectNothingKept(t, s, received)
		})
	}
}

// The client disconnects while its request is queued. Bytes that it sent behind the request may hide the disconnect.
func TestDisconnectWhileQueued(t *testing.T) {
	for mode, how := range disconnectModes {
		for pipelined, n := range map[string]int{"nothing": 0, "a little": 9, "more than is read": 9000} {
			for _, fullQueue := range []bool{false, true} {
				t.Run(fmt.Sprint(mode, "/", pipelined, "/full queue ", fullQueue), func(t *testing.T) {
					addr, received := recordingServer(t)
					cfg := longTimeoutConfig(t, addr)
					cfg.InitialList.Targets[0].State = "Terminating"
					s, connect := startTracked(t, cfg, nil)
					c := connect("left")
					c.send("GET", "read", "")
					awaitCall(t, s, func(*call) bool { return true })
					occupied := occupyLoop(s)
					for fullQueue && len(s.loop.queue) < cap(s.loop.queue) {
						s.loop.queue <- func() {}
					}
					io.WriteString(c, strings.Repeat("x", n))
					c.disconnect(t, how)
					occupied.do(func() {
						target := cfg.InitialList.Targets[0]
						target.State = "Ready"
						s.loop.updateList(List{Targets: []Target{target}}, forkline.ListDelta)
					})
					occupied.awaitAttempts()
					occupied.release()
					expectNothingKept(t, s, received)
				})
			}
		}
	}
}

// Clients disconnect one after another just before their requests are sent. The module must not count those attempts as
// open forever: the limit on open attempts would then leave no capacity for a new request.
func TestManyDisconnectsWhileQueued(t *testing.T) {
	addr, received := recordingServer(t)
	cfg := longTimeoutConfig(t, addr)
	cfg.InitialList.Targets[0].State = "Terminating"
	s, connect := startTracked(t, cfg, nil)
	for startedAttempts, end := 0, time.Now().Add(testTimeout); startedAttempts < 50; {
		if time.Now().After(end) {
			t.Fatalf("the module started only %d attempts", startedAttempts)
		}
		setServerState(s, &cfg, "Terminating")
		c := connect("left")
		c.send("GET", "read", "")
		awaitCall(t, s, func(*call) bool { return true })
		occupied := occupyLoop(s)
		c.disconnect(t, closeConn)
		occupied.do(func() {
			target := cfg.InitialList.Targets[0]
			target.State = "Ready"
			s.loop.updateList(List{Targets: []Target{target}}, forkline.ListDelta)
			for _, c := range s.loop.calls {
				startedAttempts += len(c.attempts)
			}
		})
		occupied.awaitAttempts()
		occupied.release()
		eventually(t, "the end of the request", func() (none bool) {
			s.loop.postAndWait(func() { none = len(s.loop.calls) == 0 })
			return none
		})
	}
	expectNothingKept(t, s, received)
}

// The client disconnects while the connection for its request is slow to be established.
func TestDisconnectWhileDialing(t *testing.T) {
	ln, filler := listenWithFullBacklog(t)
	s, connect := startTracked(t, longTimeoutConfig(t, ln.Addr().String()), func(s *Sidecar) {
		s.loop.upstream.firstByteTimeout = 0 // or the attempt would be too late
	})
	c := connect("left")
	c.send("GET", "read", "")
	awaitCall(t, s, func(c *call) bool { return c.openAttempts == 1 })
	occupied := occupyLoop(s)
	c.disconnect(t, closeConn)
	filler.Close()
	received := make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for r := bufio.NewReader(conn); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					received <- req.Header.Get("X-Request-Id")
					echo(0, conn, req)
				}
			}()
		}
	}()
	occupied.awaitAttempts()
	occupied.release()
	expectNothingKept(t, s, received)
}

// The client of a request that must not run twice disconnects when all of the request but its last byte is written.
func TestDisconnectBeforeLastByte(t *testing.T) {
	ln, started, resume, received := listenLoopback(t), make(chan struct{}, 10), make(chan struct{}), make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				if _, err := r.Peek(1); err != nil {
					return
				}
				started <- struct{}{}
				<-resume
				io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // ends the check for a broken connection
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				received <- req.Header.Get("X-Request-Id")
				echo(0, conn, req)
			}()
		}
	}()
	cfg := longTimeoutConfig(t, ln.Addr().String())
	cfg.Site.Settings.Classes[1].TargetLatency, cfg.Site.Settings.Classes[1].Timeout = 100000, 100000
	s, connect := startTracked(t, cfg, func(s *Sidecar) { s.loop.upstream.breakCheckTime = time.Hour })
	c := connect("left")
	c.send("POST", "pay", "")
	<-started
	occupied := occupyLoop(s)
	c.disconnect(t, closeConn)
	close(resume)
	occupied.awaitAttempts()
	occupied.release()
	expectNothingKept(t, s, received)
}

// The client disconnects between two attempts, while the outcome of the first one is in the loop's queue.
func TestDisconnectBetweenAttempts(t *testing.T) {
	for mode, how := range disconnectModes {
		t.Run(mode, func(t *testing.T) {
			received, reject := make(chan string, 10), make(chan struct{})
			respond := func(n int, c net.Conn, r *http.Request) bool {
				if received <- r.Header.Get("X-Request-Id"); r.Header.Get("X-Request-Id") == "mark" {
					return echo(n, c, r)
				}
				<-reject
				io.WriteString(c, notRunResponse)
				return true
			}
			s, connect := startTracked(t, longTimeoutConfig(t, startServer(t, respond).Addr().String(), startServer(t, respond).Addr().String()), nil)
			c := connect("left")
			c.send("GET", "read", "")
			<-received
			occupied := occupyLoop(s)
			close(reject)
			occupied.awaitAttempts()
			awaitQueuedEvent(t, s)
			reoccupied := occupyLoop(s) // queued ahead of the disconnect
			c.disconnect(t, how)
			occupied.release()
			reoccupied.awaitAttempts()
			reoccupied.release()
			expectNothingKept(t, s, received)
		})
	}
}

// The client disconnects while its retry waits for the end of the original request, just as that ends.
func TestDisconnectOfRetryAsOriginalEnds(t *testing.T) {
	received, release := make(chan string, 10), make(chan struct{})
	s, connect := startTracked(t, longTimeoutConfig(t, startServer(t, func(n int, c net.Conn, r *http.Request) bool {
		if received <- r.Header.Get("X-Request-Id"); n == 0 {
			<-release // until the first attempt is canceled
		}
		return echo(n, c, r)
	}).Addr().String()), nil)
	defer close(release)
	original, retry := startRetry(t, s, connect, func() bool { return len(received) == 1 })
	occupied := occupyLoop(s)
	reoccupied := occupyLoop(s) // queued ahead of the disconnect
	retry.disconnect(t, closeConn)
	occupied.do(func() { original.openAttempts--; s.loop.release(original) })
	occupied.release()
	reoccupied.awaitAttempts()
	reoccupied.release()
	<-received // the original request
	expectNothingKept(t, s, received)
}

// startRetry has a client disconnect while its request is open and another connection send the same request. The
// original request stays open until the test decrements original.openAttempts and releases it.
func startRetry(t *testing.T, s *Sidecar, connect func(string) trackedClient, sent func() bool) (original *call, retry trackedClient) {
	t.Helper()
	first := connect("copy")
	retry = connect("copy")
	first.send("GET", "read", "")
	eventually(t, "the first attempt", sent)
	s.loop.postAndWait(func() { original = s.loop.callsByID["copy"]; original.openAttempts++ })
	first.disconnect(t, closeConn)
	eventually(t, "the disconnect", func() (ended bool) { s.loop.postAndWait(func() { ended = original.ended }); return ended })
	retry.send("GET", "read", "")
	eventually(t, "the waiting retry", func() (waiting bool) {
		s.loop.postAndWait(func() { waiting = original.retry != nil })
		return waiting
	})
	return original, retry
}

// A client disconnects while its retry waits for the end of the original request. A second retry must take its place
// and be served: it must not be rejected as a duplicate, as the clients of the other two have disconnected.
func TestSecondRetryIsServed(t *testing.T) {
	received, release := make(chan string, 10), make(chan struct{})
	s, connect := startTracked(t, longTimeoutConfig(t, startServer(t, func(n int, c net.Conn, r *http.Request) bool {
		if received <- r.Header.Get("X-Request-Id"); n == 0 {
			<-release // until the first attempt is canceled
		}
		return echo(n, c, r)
	}).Addr().String()), nil)
	defer close(release)
	original, retry := startRetry(t, s, connect, func() bool { return len(received) == 1 })
	var retryCall *call
	s.loop.postAndWait(func() { retryCall = original.retry })
	retry.disconnect(t, closeConn)
	eventually(t, "the disconnect", func() (ended bool) { s.loop.postAndWait(func() { ended = retryCall.ended }); return ended })
	secondRetry := connect("copy")
	secondRetry.send("GET", "read", "")
	answered := make(chan int, 1)
	go func() {
		if res, err := http.ReadResponse(secondRetry.reader, nil); err == nil {
			answered <- res.StatusCode
		}
		close(answered)
	}()
	eventually(t, "the second retry", func() (accepted bool) {
		s.loop.postAndWait(func() { accepted = original.retry != retryCall || len(answered) > 0 })
		return accepted
	})
	s.loop.post(func() { original.openAttempts--; s.loop.release(original) })
	if status := <-answered; status != 200 || len(received) != 2 {
		t.Errorf("status %d after %d sends", status, len(received))
	}
}

// writeRecorder is a connection that records what is written to it and calls onWrite after each write.
type writeRecorder struct {
	net.Conn
	buf     bytes.Buffer
	onWrite func()
}

func (c *writeRecorder) Write(b []byte) (int, error) {
	defer c.onWrite()
	return c.buf.Write(b)
}

// If the client disconnects while a request that is too long for a single write is being written, the last byte must
// not be written. If it disconnects before, nothing must be written and the connection stays reusable. Neither request
// can have run.
func TestDisconnectDuringLongWrite(t *testing.T) {
	for name, disconnectAfter := range map[string]int{"before the first byte": 0, "before the last byte": 1} {
		remote, local := net.Pipe()
		defer remote.Close()
		defer local.Close()
		written := 0
		w := &writeRecorder{Conn: local, onWrite: func() { written++ }}
		a := newAttempt(time.Time{})
		a.clientMayHaveLeft = func() bool { return written >= disconnectAfter }
		outgoing := newGetRequest()
		outgoing.body = bytes.Repeat([]byte("x"), maxBodyBytes)
		got, resp, reusable := exchange(a, &conn{Conn: w, reader: bufio.NewReader(w)}, outgoing, time.Now().Add(testTimeout), 0)
		if got != forkline.NotSent || resp != nil || reusable != (disconnectAfter == 0) || written != disconnectAfter {
			t.Errorf("%s: outcome %v, reusable %v after %d writes", name, got, reusable, written)
		}
		if _, err := http.ReadRequest(bufio.NewReader(&w.buf)); disconnectAfter > 0 && err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if n := w.buf.Len(); disconnectAfter > 0 && n >= maxBodyBytes {
			t.Errorf("%s: the entire body was written", name)
		}
	}
}

// A request must be able to reuse the ID of a request whose client has disconnected, and to replace a retry that waits
// under that ID and whose client has disconnected too, even before the loop is notified of either disconnect.
func TestIDOfDisconnectedRequestIsReusable(t *testing.T) {
	cfg := longTimeoutConfig(t, "127.0.0.1:1")
	cfg.InitialList.Targets[0].State = "Terminating"
	s := startSidecar(t, cfg)
	statuses := make(chan int, 10)
	newCall := func() (*call, *bool) {
		disconnected := false
		return &call{
			id: "id", event: forkline.Event{Deadline: s.loop.now() + 1e6}, clientGone: func() bool { return disconnected },
			respond: func(a response) { statuses <- a.status },
		}, &disconnected
	}
	s.loop.postAndWait(func() {
		first, firstGone := newCall()
		second, secondGone := newCall()
		third, _ := newCall()
		s.loop.accept(first)
		*firstGone = true
		first.openAttempts++ // an attempt is open
		s.loop.accept(second)
		if !first.ended || first.retry != second {
			t.Error("the second request does not wait for the end of the first")
		}
		*secondGone = true
		s.loop.accept(third)
		if !second.ended || first.retry != third {
			t.Error("the third request does not wait for the end of the first")
		}
		s.loop.handleDisconnect(first) // the late notifications
		s.loop.handleDisconnect(second)
		first.openAttempts--
		s.loop.release(first)
		s.loop.runDue()
		if s.loop.callsByID["id"] != third || third.ended || len(s.loop.calls) != 1 {
			t.Error("the third request is not accepted")
		}
	})
	if len(statuses) > 0 {
		t.Errorf("status %d", <-statuses)
	}
}

// A request that arrives in time must be served even if the sidecar gets no core to read it until after the request
// timeout of its connection.
func TestRequestAtRequestTimeoutIsServed(t *testing.T) {
	_, c, resume := sendDelayedRequest(t, time.Nanosecond, false)
	close(resume)
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}

// A client that sends an invalid or incomplete request must get an error or a close within 3 s of connecting.
func TestBadClientsAreClosedInTime(t *testing.T) {
	const limit, schedulingDelay = 3 * time.Second, 250 * time.Millisecond
	if longest := defaultRequestTimeout + lingerTimeout + schedulingDelay; longest > limit {
		t.Errorf("a connection may stay open for %v", longest)
	}
}

// An idle connection that an attempt took but wrote nothing to must not be kept as if it had just been used. Its
// endpoint has seen it idle for longer than its new idle time would show and may close it at any time.
func TestUnusedIdleConnectionIsNotKept(t *testing.T) {
	for name, change := range map[string]func(*attempt){
		"client disconnected": func(a *attempt) { a.clientMayHaveLeft = func() bool { return true } },
		"late":                func(a *attempt) { a.firstByteBy = time.Now().Add(-time.Second) },
	} {
		addr, received := recordingServer(t)
		u := newTestUpstream(addr, 4)
		if got, _ := doAttempt(u, testTimeout); got != forkline.OK {
			t.Fatalf("outcome %v", got)
		}
		u.find(1).idle[0].idleSince = time.Now().Add(-time.Second)
		a := newAttempt(time.Time{})
		change(a)
		u.do(a, u.find(1), newGetRequest(), time.Now().Add(testTimeout))
		if u.openConns != 0 || len(received) != 1 {
			t.Errorf("%s: %d connections are kept after %d requests", name, u.openConns, len(received))
		}
	}
}

// expiredWriteDeadlineConn is a client's connection whose write deadline, once one was set, has expired whenever a read
// deadline is set, as if the time to write the last response had passed.
type expiredWriteDeadlineConn struct {
	*net.TCPConn
	responded bool
}

func (c *expiredWriteDeadlineConn) SetWriteDeadline(at time.Time) error {
	c.responded = true
	return c.TCPConn.SetWriteDeadline(at)
}

func (c *expiredWriteDeadlineConn) SetReadDeadline(at time.Time) error {
	if c.responded {
		c.TCPConn.SetWriteDeadline(time.Unix(1, 0))
	}
	return c.TCPConn.SetReadDeadline(at)
}

// A client that sends Expect: 100-continue must get the interim response on a reused connection as well: the write
// deadline of the previous response may have passed by then.
func TestExpectContinueOnReusedConnection(t *testing.T) {
	s := startWithoutDrain(t, echo, func(s *Sidecar) {
		withConnWrapper(func(c *net.TCPConn) net.Conn { return &expiredWriteDeadlineConn{TCPConn: c} })(s)
	})
	c := dial(t, s)
	for i := range 3 {
		fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: %d\r\n"+
			"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", i)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if line, err := c.reader.ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 100") {
			t.Fatalf("%q, %v", line, err)
		}
		c.reader.ReadString('\n')
		io.WriteString(c, "hi")
		if res, _ := c.readResponse(t); res.StatusCode != 200 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
}

// A response that breaks off with a reset must not count as a response, whatever part of it was received and however
// its end is marked.
func TestResetIsNotEndOfResponse(t *testing.T) {
	for name, text := range map[string]string{
		"nothing yet": "", "no length": "HTTP/1.1 200 OK\r\n\r\nhi", "in the head": "HTTP/1.1 200 OK\r\nCont",
		"in the body":            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi",
		"in a chunk":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhi",
		"between chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"half a refusal":         "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\n",
		"no length, no body yet": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"no length, HTTP/1.0":    "HTTP/1.0 200 OK\r\n\r\nhi",
		"no length, a refusal":   "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\n\r\n",
		"no length, long":        "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxBodyBytes),
	} {
		ln := startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, text)
			c.(*net.TCPConn).SetLinger(0)
			return false
		})
		if got, a := doAttempt(newTestUpstream(ln.Addr().String(), 4), testTimeout); got != forkline.Reset || a != nil {
			t.Errorf("%s: outcome %v, response %v", name, got, a)
		}
	}
}
