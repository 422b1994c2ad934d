package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"forkline"
)

// Tests of clients that leave. In each the loop is kept busy while a client leaves, as on a core that is short or with
// its mail full: it decides on what waited for it before it hears of the leaving. No attempt may begin all the same.

// seize has the loop busy, once it has done what is in its mail, until it is freed.
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

// seized is a loop that does only what its test gives it.
type occupiedLoop struct {
	s    *Sidecar
	work chan func()
	done chan struct{}
}

func (o *occupiedLoop) do(f func()) { o.work <- f; <-o.done }
func (o *occupiedLoop) release()    { close(o.work) }

// settle waits until every attempt that the loop knows of is over.
func (o *occupiedLoop) awaitAttempts() {
	var attempts []*attempt
	o.do(func() {
		for _, c := range o.s.loop.calls {
			attempts = append(attempts, c.attempts...)
		}
	})
	for _, a := range attempts {
		<-a.ctx.Done()
	}
}

// leaver is a client together with the sidecar's end of its connection.
type trackedClient struct {
	*client
	serverConn *net.TCPConn
}

// watched runs a sidecar that serves its callers through connections which the test can look at, and returns what
// makes a client of it.
func startTracked(t *testing.T, cfg Config, configure func(*Sidecar)) (*Sidecar, func(id string) trackedClient) {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
	if configure != nil {
		configure(s)
	}
	serverConns := make(chan *net.TCPConn, 100)
	withConnWrapper(func(c *net.TCPConn) net.Conn { serverConns <- c; return c })(s)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() { s.discovery.move(nowhere()); s.front.drainAcceptTime = 0; cancel() })
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

// leaves has the client leave, and waits until the sidecar's machine knows.
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

// leavings are the ways to leave.
var disconnectModes = map[string]func(*net.TCPConn){
	"closed": closeConn,
	"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"ended":  func(c *net.TCPConn) { c.CloseWrite() },
}

// mailed waits until something is in the loop's mail.
func awaitQueuedEvent(t *testing.T, s *Sidecar) {
	t.Helper()
	eventually(t, "the loop's mail", func() bool { return len(s.loop.queue) > 0 })
}

// forgets sees that nothing is kept of those that left, that the next request to come out is a further one, and that
// it is served.
func expectNothingKept(t *testing.T, s *Sidecar, received <-chan string) {
	t.Helper()
	eventually(t, "the end of all that was kept", func() (none bool) {
		s.loop.postAndWait(func() { none = len(s.loop.calls)+len(s.loop.callsByID)+len(s.loop.pendingRetries) == 0 })
		return none
	})
	c := dial(t, s)
	c.id = "mark"
	c.send("GET", "read", "")
	if res, _ := c.answer(t); res.StatusCode != 200 {
		t.Errorf("status %d for a further request", res.StatusCode)
	}
	if id := <-received; id != "mark" {
		t.Errorf("request %q was sent on though its client had left", id)
	}
}

// noting serves every request and notes its id.
func recordingServer(t *testing.T) (string, chan string) {
	received := make(chan string, 100)
	return script(t, func(n int, c net.Conn, r *http.Request) bool {
		received <- r.Header.Get("X-Request-Id")
		return echo(n, c, r)
	}).Addr().String(), received
}

// The client leaves while its request is in the loop's mail.
func TestDisconnectBeforeLoopAcceptsRequest(t *testing.T) {
	for mode, how := range disconnectModes {
		t.Run(mode, func(t *testing.T) {
			addr, received := recordingServer(t)
			s, connect := startTracked(t, patient(t, addr), nil)
			occupied := occupyLoop(s)
			c := connect("left")
			c.send("GET", "read", "")
			awaitQueuedEvent(t, s)
			reoccupied := occupyLoop(s) // ahead of the news
			c.disconnect(t, how)
			occupied.release()
			reoccupied.awaitAttempts()
			reoccupied.release()
			expectNothingKept(t, s, received)
		})
	}
}

// The client leaves while its request is queued. What it had sent behind the request may hide that.
func TestDisconnectWhileQueued(t *testing.T) {
	for mode, how := range disconnectModes {
		for pipelined, n := range map[string]int{"nothing": 0, "a little": 9, "more than is read": 9000} {
			for _, fullQueue := range []bool{false, true} {
				t.Run(fmt.Sprint(mode, "/", pipelined, "/full ", fullQueue), func(t *testing.T) {
					addr, received := recordingServer(t)
					cfg := patient(t, addr)
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

// Client after client leaves just before its request is sent. The module must not count those attempts as open for
// good: a further request finds room.
func TestManyDisconnectsWhileQueued(t *testing.T) {
	addr, received := recordingServer(t)
	cfg := patient(t, addr)
	cfg.InitialList.Targets[0].State = "Terminating"
	s, connect := startTracked(t, cfg, nil)
	for startedAttempts, end := 0, time.Now().Add(long); startedAttempts < 50; {
		if time.Now().After(end) {
			t.Fatalf("no more than %d attempts are decided on", startedAttempts)
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

// The client leaves while a connection for its request comes up late.
func TestDisconnectWhileDialing(t *testing.T) {
	ln, filler := listenWithFullBacklog(t)
	s, connect := startTracked(t, patient(t, ln.Addr().String()), func(s *Sidecar) { s.loop.upstream.firstByteTimeout = 0 }) // else it is late
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

// The client of a request that must not run twice leaves while all but its last byte is out.
func TestDisconnectBeforeLastByte(t *testing.T) {
	ln, started, resume, received := listen(t), make(chan struct{}, 10), make(chan struct{}), make(chan string, 10)
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
				io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // ends the look for a break
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				received <- req.Header.Get("X-Request-Id")
				echo(0, conn, req)
			}()
		}
	}()
	cfg := patient(t, ln.Addr().String())
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

// The client leaves between two attempts: what the first one ended with is in the loop's mail.
func TestDisconnectBetweenAttempts(t *testing.T) {
	for mode, how := range disconnectModes {
		t.Run(mode, func(t *testing.T) {
			received, reject := make(chan string, 10), make(chan struct{})
			respond := func(n int, c net.Conn, r *http.Request) bool {
				if received <- r.Header.Get("X-Request-Id"); r.Header.Get("X-Request-Id") == "mark" {
					return echo(n, c, r)
				}
				<-reject
				io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			s, connect := startTracked(t, patient(t, script(t, respond).Addr().String(), script(t, respond).Addr().String()), nil)
			c := connect("left")
			c.send("GET", "read", "")
			<-received
			occupied := occupyLoop(s)
			close(reject)
			occupied.awaitAttempts()
			awaitQueuedEvent(t, s)
			reoccupied := occupyLoop(s) // ahead of the news
			c.disconnect(t, how)
			occupied.release()
			reoccupied.awaitAttempts()
			reoccupied.release()
			expectNothingKept(t, s, received)
		})
	}
}

// The client leaves while its request waits for the end of an earlier copy of it, just as that comes.
func TestDisconnectOfRetryAsOriginalEnds(t *testing.T) {
	received, release := make(chan string, 10), make(chan struct{})
	s, connect := startTracked(t, patient(t, script(t, func(n int, c net.Conn, r *http.Request) bool {
		if received <- r.Header.Get("X-Request-Id"); n == 0 {
			<-release // until the first attempt is called off
		}
		return echo(n, c, r)
	}).Addr().String()), nil)
	defer close(release)
	original, retry := startRetry(t, s, connect, func() bool { return len(received) == 1 })
	occupied := occupyLoop(s)
	reoccupied := occupyLoop(s) // ahead of the news
	retry.disconnect(t, closeConn)
	occupied.do(func() { original.openAttempts--; s.loop.release(original) })
	occupied.release()
	reoccupied.awaitAttempts()
	reoccupied.release()
	<-received // the first copy
	expectNothingKept(t, s, received)
}

// copies has a client leave while its request is out, and another one ask for the same. What ends the attempt of the
// first one is held back until the test lowers old.open.
func startRetry(t *testing.T, s *Sidecar, connect func(string) trackedClient, sent func() bool) (original *call, retry trackedClient) {
	t.Helper()
	first := connect("copy")
	retry = connect("copy")
	first.send("GET", "read", "")
	eventually(t, "the first attempt", sent)
	s.loop.postAndWait(func() { original = s.loop.callsByID["copy"]; original.openAttempts++ })
	first.disconnect(t, closeConn)
	eventually(t, "the leaving", func() (ended bool) { s.loop.postAndWait(func() { ended = original.ended }); return ended })
	retry.send("GET", "read", "")
	eventually(t, "the second copy", func() (waiting bool) { s.loop.postAndWait(func() { waiting = original.retry != nil }); return waiting })
	return original, retry
}

// A client that leaves while its request waits for an earlier copy makes room for a third one: none of them is open.
func TestSecondRetryIsServed(t *testing.T) {
	received, release := make(chan string, 10), make(chan struct{})
	s, connect := startTracked(t, patient(t, script(t, func(n int, c net.Conn, r *http.Request) bool {
		if received <- r.Header.Get("X-Request-Id"); n == 0 {
			<-release // until the first attempt is called off
		}
		return echo(n, c, r)
	}).Addr().String()), nil)
	defer close(release)
	original, retry := startRetry(t, s, connect, func() bool { return len(received) == 1 })
	var retryCall *call
	s.loop.postAndWait(func() { retryCall = original.retry })
	retry.disconnect(t, closeConn)
	eventually(t, "the leaving", func() (ended bool) { s.loop.postAndWait(func() { ended = retryCall.ended }); return ended })
	secondRetry := connect("copy")
	secondRetry.send("GET", "read", "")
	answered := make(chan int, 1)
	go func() {
		if res, err := http.ReadResponse(secondRetry.reader, nil); err == nil {
			answered <- res.StatusCode
		}
		close(answered)
	}()
	eventually(t, "the third copy", func() (accepted bool) {
		s.loop.postAndWait(func() { accepted = original.retry != retryCall || len(answered) > 0 })
		return accepted
	})
	s.loop.post(func() { original.openAttempts--; s.loop.release(original) })
	if status := <-answered; status != 200 || len(received) != 2 {
		t.Errorf("status %d after %d sends", status, len(received))
	}
}

// writes is a connection that notes what is written to it, and how often.
type writeRecorder struct {
	net.Conn
	buf     bytes.Buffer
	onWrite func()
}

func (c *writeRecorder) Write(b []byte) (int, error) {
	defer c.onWrite()
	return c.buf.Write(b)
}

// A request that is too long to be written at once goes without its last byte if its client leaves meanwhile, and one
// whose client has left before is not begun and leaves its connection as it was. Neither can have run.
func TestDisconnectDuringLongWrite(t *testing.T) {
	for name, disconnectAfter := range map[string]int{"before it is begun": 0, "ahead of its last byte": 1} {
		remote, local := net.Pipe()
		defer remote.Close()
		defer local.Close()
		written := 0
		w := &writeRecorder{Conn: local, onWrite: func() { written++ }}
		a := newAttempt(time.Time{})
		a.clientDisconnected = func() bool { return written >= disconnectAfter }
		outgoing := get()
		outgoing.body = bytes.Repeat([]byte("x"), maxBodyBytes)
		got, resp, reusable := exchange(a, &conn{Conn: w, reader: bufio.NewReader(w)}, outgoing, time.Now().Add(long), 0)
		if got != forkline.NotSent || resp != nil || reusable != (disconnectAfter == 0) || written != disconnectAfter {
			t.Errorf("%s: outcome %v, keep %v after %d writes", name, got, reusable, written)
		}
		if _, err := http.ReadRequest(bufio.NewReader(&w.buf)); disconnectAfter > 0 && err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if n := w.buf.Len(); disconnectAfter > 0 && n >= maxBodyBytes {
			t.Errorf("%s: all of the body is out", name)
		}
	}
}

// A request takes the id of one whose client has left and one that waits for it may have left as well, before the
// loop has heard of either.
func TestIDOfDisconnectedRequestIsReusable(t *testing.T) {
	cfg := patient(t, "127.0.0.1:1")
	cfg.InitialList.Targets[0].State = "Terminating"
	s := start(t, cfg)
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
		first.openAttempts++ // an attempt is out
		s.loop.accept(second)
		if !first.ended || first.retry != second {
			t.Error("the second does not wait for the end of the first")
		}
		*secondGone = true
		s.loop.accept(third)
		if !second.ended || first.retry != third {
			t.Error("the third does not wait for the end of the first")
		}
		s.loop.handleDisconnect(first) // the news
		s.loop.handleDisconnect(second)
		first.openAttempts--
		s.loop.release(first)
		s.loop.runDue()
		if s.loop.callsByID["id"] != third || third.ended || len(s.loop.calls) != 1 {
			t.Error("the third is not taken")
		}
	})
	if len(statuses) > 0 {
		t.Errorf("status %d", <-statuses)
	}
}

// A request that has come in time, but that nobody had the core to look at before its connection had been quiet for too
// long, is not closed upon.
func TestRequestAtRequestTimeoutIsServed(t *testing.T) {
	reading, resume := make(chan struct{}, 1), make(chan struct{})
	s := startWithoutDrain(t, echo, func(s *Sidecar) {
		s.front.requestTimeout = time.Nanosecond
		withConnWrapper(func(c *net.TCPConn) net.Conn { return delayedReadConn{c, false, reading, resume} })(s)
	})
	c := dial(t, s)
	c.send("GET", "read", "")
	<-reading
	eventually(t, "the request", func() bool {
		s.front.downstream.mu.Lock()
		defer s.front.downstream.mu.Unlock()
		e := s.front.downstream.idle.Front()
		return e != nil && e.Value.(*downstreamConn).hasUnread()
	})
	close(resume)
	if res, _ := c.answer(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}

// Bad clients are owed an error or a close within 3 s of connecting, whatever they send or leave out.
func TestBadClientsAreClosedInTime(t *testing.T) {
	const limit, schedulingDelay = 3 * time.Second, 250 * time.Millisecond
	if longest := defaultRequestTimeout + lingerTimeout + schedulingDelay; longest > limit {
		t.Errorf("a connection may stay for %v", longest)
	}
}

// An idle connection that an attempt took but did not use is not kept as if just used: its endpoint may drop it any
// time, as it has not heard of it for longer than it looks.
func TestUnusedIdleConnectionIsNotKept(t *testing.T) {
	for name, change := range map[string]func(*attempt){
		"client left": func(a *attempt) { a.clientDisconnected = func() bool { return true } },
		"late":        func(a *attempt) { a.firstByteBy = time.Now().Add(-time.Second) },
	} {
		addr, received := recordingServer(t)
		u := pool(addr, 4)
		if got, _ := attemptOn(u, long); got != forkline.OK {
			t.Fatalf("outcome %v", got)
		}
		u.find(1).idle[0].idleSince = time.Now().Add(-time.Second)
		a := newAttempt(time.Time{})
		change(a)
		u.do(a, u.find(1), get(), time.Now().Add(long))
		if u.openConns != 0 || len(received) != 1 {
			t.Errorf("%s: %d connections are kept after %d requests", name, u.openConns, len(received))
		}
	}
}

// slowCaller is a caller's connection on which the time to take an answer has passed whenever more is waited for.
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

// A caller that waits for leave to send its body gets it as well on a connection that it has used before.
func TestExpectContinueOnReusedConnection(t *testing.T) {
	s := startWithoutDrain(t, echo, func(s *Sidecar) {
		withConnWrapper(func(c *net.TCPConn) net.Conn { return &expiredWriteDeadlineConn{TCPConn: c} })(s)
	})
	c := dial(t, s)
	for i := range 3 {
		fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: %d\r\n"+
			"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", i)
		c.SetReadDeadline(time.Now().Add(long))
		if line, err := c.reader.ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 100") {
			t.Fatalf("%q, %v", line, err)
		}
		c.reader.ReadString('\n')
		io.WriteString(c, "hi")
		if res, _ := c.answer(t); res.StatusCode != 200 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
}

// An answer that is reset on its way is no answer, whatever has come of it and however its end would be told.
func TestResetIsNotEndOfResponse(t *testing.T) {
	for name, text := range map[string]string{
		"nothing yet": "", "no length": "HTTP/1.1 200 OK\r\n\r\nhi", "in the head": "HTTP/1.1 200 OK\r\nCont",
		"in the body":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi",
		"in a chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhi",
		"between two":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"half a refusal": "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\n",
	} {
		ln := script(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, text)
			c.(*net.TCPConn).SetLinger(0)
			return false
		})
		if got, a := attemptOn(pool(ln.Addr().String(), 4), long); got != forkline.Reset || a != nil {
			t.Errorf("%s: outcome %v, answer %v", name, got, a)
		}
	}
}
