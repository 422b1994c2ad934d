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
func seize(s *Sidecar) *seized {
	z := &seized{s, make(chan func()), make(chan struct{})}
	s.loop.post(func() {
		for f := range z.work {
			f()
			z.done <- struct{}{}
		}
	})
	return z
}

// seized is a loop that does only what its test gives it.
type seized struct {
	s    *Sidecar
	work chan func()
	done chan struct{}
}

func (z *seized) do(f func()) { z.work <- f; <-z.done }
func (z *seized) free()       { close(z.work) }

// settle waits until every attempt that the loop knows of is over.
func (z *seized) settle() {
	var attempts []*attempt
	z.do(func() {
		for _, c := range z.s.loop.calls {
			attempts = append(attempts, c.attempts...)
		}
	})
	for _, a := range attempts {
		<-a.ctx.Done()
	}
}

// leaver is a client together with the sidecar's end of its connection.
type leaver struct {
	*client
	far *net.TCPConn
}

// watched runs a sidecar that serves its callers through connections which the test can look at, and returns what
// makes a client of it.
func watched(t *testing.T, cfg Config, change func(*Sidecar)) (*Sidecar, func(id string) leaver) {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
	if change != nil {
		change(s)
	}
	far := make(chan *net.TCPConn, 100)
	hooked(func(c *net.TCPConn) net.Conn { far <- c; return c })(s)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() { s.discovery.move(nowhere()); s.front.drainAcceptTime = 0; cancel() })
	eventually(t, "the list", func() (has bool) {
		s.loop.postAndWait(func() { has = len(s.loop.serverReady) > 0 })
		return has
	})
	return s, func(id string) leaver {
		c := dial(t, s)
		c.id = id
		return leaver{c, <-far}
	}
}

// leaves has the client leave, and waits until the sidecar's machine knows.
func (l leaver) leaves(t *testing.T, way func(*net.TCPConn)) {
	t.Helper()
	way(l.Conn.(*net.TCPConn))
	raw, err := l.far.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of the connection", func() (left bool) {
		err := raw.Control(func(fd uintptr) { left = hungUp(fd) })
		return left || err != nil // the sidecar has closed its end by now
	})
}

func closes(c *net.TCPConn) { c.Close() }

// leavings are the ways to leave.
var leavings = map[string]func(*net.TCPConn){
	"closed": closes,
	"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"ended":  func(c *net.TCPConn) { c.CloseWrite() },
}

// mailed waits until something is in the loop's mail.
func mailed(t *testing.T, s *Sidecar) {
	t.Helper()
	eventually(t, "the loop's mail", func() bool { return len(s.loop.queue) > 0 })
}

// forgets sees that nothing is kept of those that left, that the next request to come out is a further one, and that
// it is served.
func forgets(t *testing.T, s *Sidecar, came <-chan string) {
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
	if id := <-came; id != "mark" {
		t.Errorf("request %q was sent on though its client had left", id)
	}
}

// noting serves every request and notes its id.
func noting(t *testing.T) (string, chan string) {
	came := make(chan string, 100)
	return script(t, func(n int, c net.Conn, r *http.Request) bool {
		came <- r.Header.Get("X-Request-Id")
		return echo(n, c, r)
	}).Addr().String(), came
}

// The client leaves while its request is in the loop's mail.
func TestLeavingBeforeTheLoopTakesTheRequest(t *testing.T) {
	for way, leave := range leavings {
		t.Run(way, func(t *testing.T) {
			addr, came := noting(t)
			s, arrive := watched(t, patient(t, addr), nil)
			first := seize(s)
			c := arrive("left")
			c.send("GET", "read", "")
			mailed(t, s)
			second := seize(s) // ahead of the news
			c.leaves(t, leave)
			first.free()
			second.settle()
			second.free()
			forgets(t, s, came)
		})
	}
}

// The client leaves while its request is queued. What it had sent behind the request may hide that.
func TestLeavingWhileQueued(t *testing.T) {
	for way, leave := range leavings {
		for behind, n := range map[string]int{"nothing": 0, "a little": 9, "more than is read": 9000} {
			for _, full := range []bool{false, true} {
				t.Run(fmt.Sprint(way, "/", behind, "/full ", full), func(t *testing.T) {
					addr, came := noting(t)
					cfg := patient(t, addr)
					cfg.InitialList.Targets[0].State = "Terminating"
					s, arrive := watched(t, cfg, nil)
					c := arrive("left")
					c.send("GET", "read", "")
					taken(t, s, func(*call) bool { return true })
					z := seize(s)
					for full && len(s.loop.queue) < cap(s.loop.queue) {
						s.loop.queue <- func() {}
					}
					io.WriteString(c, strings.Repeat("x", n))
					c.leaves(t, leave)
					z.do(func() {
						target := cfg.InitialList.Targets[0]
						target.State = "Ready"
						s.loop.updateList(List{Targets: []Target{target}}, forkline.ListDelta)
					})
					z.settle()
					z.free()
					forgets(t, s, came)
				})
			}
		}
	}
}

// Client after client leaves just before its request is sent. The module must not count those attempts as open for
// good: a further request finds room.
func TestManyLeaveWhileQueued(t *testing.T) {
	addr, came := noting(t)
	cfg := patient(t, addr)
	cfg.InitialList.Targets[0].State = "Terminating"
	s, arrive := watched(t, cfg, nil)
	for decided, end := 0, time.Now().Add(long); decided < 50; {
		if time.Now().After(end) {
			t.Fatalf("no more than %d attempts are decided on", decided)
		}
		told(s, &cfg, "Terminating")
		c := arrive("left")
		c.send("GET", "read", "")
		taken(t, s, func(*call) bool { return true })
		z := seize(s)
		c.leaves(t, closes)
		z.do(func() {
			target := cfg.InitialList.Targets[0]
			target.State = "Ready"
			s.loop.updateList(List{Targets: []Target{target}}, forkline.ListDelta)
			for _, c := range s.loop.calls {
				decided += len(c.attempts)
			}
		})
		z.settle()
		z.free()
		eventually(t, "the end of the request", func() (none bool) {
			s.loop.postAndWait(func() { none = len(s.loop.calls) == 0 })
			return none
		})
	}
	forgets(t, s, came)
}

// The client leaves while a connection for its request comes up late.
func TestLeavingWhileDialling(t *testing.T) {
	ln, filler := crowded(t)
	s, arrive := watched(t, patient(t, ln.Addr().String()), func(s *Sidecar) { s.loop.upstream.firstByteTimeout = 0 }) // else it is late
	c := arrive("left")
	c.send("GET", "read", "")
	taken(t, s, func(c *call) bool { return c.openAttempts == 1 })
	z := seize(s)
	c.leaves(t, closes)
	filler.Close()
	came := make(chan string, 10)
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
					came <- req.Header.Get("X-Request-Id")
					echo(0, conn, req)
				}
			}()
		}
	}()
	z.settle()
	z.free()
	forgets(t, s, came)
}

// The client of a request that must not run twice leaves while all but its last byte is out.
func TestLeavingAheadOfTheLastByte(t *testing.T) {
	ln, began, goOn, came := listen(t), make(chan struct{}, 10), make(chan struct{}), make(chan string, 10)
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
				began <- struct{}{}
				<-goOn
				io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // ends the look for a break
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				came <- req.Header.Get("X-Request-Id")
				echo(0, conn, req)
			}()
		}
	}()
	cfg := patient(t, ln.Addr().String())
	cfg.Site.Settings.Classes[1].TargetLatency, cfg.Site.Settings.Classes[1].Timeout = 100000, 100000
	s, arrive := watched(t, cfg, func(s *Sidecar) { s.loop.upstream.breakCheckTime = time.Hour })
	c := arrive("left")
	c.send("POST", "pay", "")
	<-began
	z := seize(s)
	c.leaves(t, closes)
	close(goOn)
	z.settle()
	z.free()
	forgets(t, s, came)
}

// The client leaves between two attempts: what the first one ended with is in the loop's mail.
func TestLeavingBetweenAttempts(t *testing.T) {
	for way, leave := range leavings {
		t.Run(way, func(t *testing.T) {
			came, end := make(chan string, 10), make(chan struct{})
			full := func(n int, c net.Conn, r *http.Request) bool {
				if came <- r.Header.Get("X-Request-Id"); r.Header.Get("X-Request-Id") == "mark" {
					return echo(n, c, r)
				}
				<-end
				io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			s, arrive := watched(t, patient(t, script(t, full).Addr().String(), script(t, full).Addr().String()), nil)
			c := arrive("left")
			c.send("GET", "read", "")
			<-came
			first := seize(s)
			close(end)
			first.settle()
			mailed(t, s)
			second := seize(s) // ahead of the news
			c.leaves(t, leave)
			first.free()
			second.settle()
			second.free()
			forgets(t, s, came)
		})
	}
}

// The client leaves while its request waits for the end of an earlier copy of it, just as that comes.
func TestLeavingAsTheCopyBeforeEnds(t *testing.T) {
	came, hold := make(chan string, 10), make(chan struct{})
	s, arrive := watched(t, patient(t, script(t, func(n int, c net.Conn, r *http.Request) bool {
		if came <- r.Header.Get("X-Request-Id"); n == 0 {
			<-hold // until the first attempt is called off
		}
		return echo(n, c, r)
	}).Addr().String()), nil)
	defer close(hold)
	old, again := copies(t, s, arrive, func() bool { return len(came) == 1 })
	first := seize(s)
	second := seize(s) // ahead of the news
	again.leaves(t, closes)
	first.do(func() { old.openAttempts--; s.loop.release(old) })
	first.free()
	second.settle()
	second.free()
	<-came // the first copy
	forgets(t, s, came)
}

// copies has a client leave while its request is out, and another one ask for the same. What ends the attempt of the
// first one is held back until the test lowers old.open.
func copies(t *testing.T, s *Sidecar, arrive func(string) leaver, out func() bool) (old *call, again leaver) {
	t.Helper()
	first := arrive("copy")
	again = arrive("copy")
	first.send("GET", "read", "")
	eventually(t, "the first attempt", out)
	s.loop.postAndWait(func() { old = s.loop.callsByID["copy"]; old.openAttempts++ })
	first.leaves(t, closes)
	eventually(t, "the leaving", func() (ended bool) { s.loop.postAndWait(func() { ended = old.ended }); return ended })
	again.send("GET", "read", "")
	eventually(t, "the second copy", func() (waits bool) { s.loop.postAndWait(func() { waits = old.retry != nil }); return waits })
	return old, again
}

// A client that leaves while its request waits for an earlier copy makes room for a third one: none of them is open.
func TestAThirdCopyIsServed(t *testing.T) {
	came, hold := make(chan string, 10), make(chan struct{})
	s, arrive := watched(t, patient(t, script(t, func(n int, c net.Conn, r *http.Request) bool {
		if came <- r.Header.Get("X-Request-Id"); n == 0 {
			<-hold // until the first attempt is called off
		}
		return echo(n, c, r)
	}).Addr().String()), nil)
	defer close(hold)
	old, second := copies(t, s, arrive, func() bool { return len(came) == 1 })
	var waits *call
	s.loop.postAndWait(func() { waits = old.retry })
	second.leaves(t, closes)
	eventually(t, "the leaving", func() (ended bool) { s.loop.postAndWait(func() { ended = waits.ended }); return ended })
	third := arrive("copy")
	third.send("GET", "read", "")
	answered := make(chan int, 1)
	go func() {
		if res, err := http.ReadResponse(third.reader, nil); err == nil {
			answered <- res.StatusCode
		}
		close(answered)
	}()
	eventually(t, "the third copy", func() (taken bool) {
		s.loop.postAndWait(func() { taken = old.retry != waits || len(answered) > 0 })
		return taken
	})
	s.loop.post(func() { old.openAttempts--; s.loop.release(old) })
	if status := <-answered; status != 200 || len(came) != 2 {
		t.Errorf("status %d after %d sends", status, len(came))
	}
}

// writes is a connection that notes what is written to it, and how often.
type writes struct {
	net.Conn
	text  bytes.Buffer
	wrote func()
}

func (c *writes) Write(b []byte) (int, error) {
	defer c.wrote()
	return c.text.Write(b)
}

// A request that is too long to be written at once goes without its last byte if its client leaves meanwhile, and one
// whose client has left before is not begun and leaves its connection as it was. Neither can have run.
func TestLeavingUnderALongWrite(t *testing.T) {
	for name, leftAfter := range map[string]int{"before it is begun": 0, "ahead of its last byte": 1} {
		far, near := net.Pipe()
		defer far.Close()
		defer near.Close()
		written := 0
		w := &writes{Conn: near, wrote: func() { written++ }}
		a := newAttempt(time.Time{})
		a.clientDisconnected = func() bool { return written >= leftAfter }
		out := get()
		out.body = bytes.Repeat([]byte("x"), maxBodyBytes)
		got, answer, keep := exchange(a, &conn{Conn: w, reader: bufio.NewReader(w)}, out, time.Now().Add(long), 0)
		if got != forkline.NotSent || answer != nil || keep != (leftAfter == 0) || written != leftAfter {
			t.Errorf("%s: outcome %v, keep %v after %d writes", name, got, keep, written)
		}
		if _, err := http.ReadRequest(bufio.NewReader(&w.text)); leftAfter > 0 && err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if n := w.text.Len(); leftAfter > 0 && n >= maxBodyBytes {
			t.Errorf("%s: all of the body is out", name)
		}
	}
}

// A request takes the id of one whose client has left and one that waits for it may have left as well, before the
// loop has heard of either.
func TestTheIDOfOneThatLeftIsFree(t *testing.T) {
	cfg := patient(t, "127.0.0.1:1")
	cfg.InitialList.Targets[0].State = "Terminating"
	s := start(t, cfg)
	statuses := make(chan int, 10)
	request := func() (*call, *bool) {
		left := false
		return &call{
			id: "id", event: forkline.Event{Deadline: s.loop.now() + 1e6}, clientGone: func() bool { return left },
			respond: func(a response) { statuses <- a.status },
		}, &left
	}
	s.loop.postAndWait(func() {
		first, firstLeft := request()
		second, secondLeft := request()
		third, _ := request()
		s.loop.accept(first)
		*firstLeft = true
		first.openAttempts++ // an attempt is out
		s.loop.accept(second)
		if !first.ended || first.retry != second {
			t.Error("the second does not wait for the end of the first")
		}
		*secondLeft = true
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
func TestARequestAtTheEndOfTheQuietTime(t *testing.T) {
	at, on := make(chan struct{}, 1), make(chan struct{})
	s := undrained(t, echo, func(s *Sidecar) {
		s.front.requestTimeout = time.Nanosecond
		hooked(func(c *net.TCPConn) net.Conn { return lateReader{c, false, at, on} })(s)
	})
	c := dial(t, s)
	c.send("GET", "read", "")
	<-at
	eventually(t, "the request", func() bool {
		s.front.downstream.mu.Lock()
		defer s.front.downstream.mu.Unlock()
		e := s.front.downstream.idle.Front()
		return e != nil && e.Value.(*downstreamConn).hasUnread()
	})
	close(on)
	if res, _ := c.answer(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}

// Bad clients are owed an error or a close within 3 s of connecting, whatever they send or leave out.
func TestBadClientsEndInTime(t *testing.T) {
	const owed, turn = 3 * time.Second, 250 * time.Millisecond
	if end := defaultRequestTimeout + lingerTimeout + turn; end > owed {
		t.Errorf("a connection may stay for %v", end)
	}
}

// An idle connection that an attempt took but did not use is not kept as if just used: its endpoint may drop it any
// time, as it has not heard of it for longer than it looks.
func TestAnUnusedConnectionDoesNotLookFresh(t *testing.T) {
	for name, change := range map[string]func(*attempt){
		"client left": func(a *attempt) { a.clientDisconnected = func() bool { return true } },
		"late":        func(a *attempt) { a.firstByteBy = time.Now().Add(-time.Second) },
	} {
		addr, came := noting(t)
		u := pool(addr, 4)
		if got, _ := attemptOn(u, long); got != forkline.OK {
			t.Fatalf("outcome %v", got)
		}
		u.find(1).idle[0].idleSince = time.Now().Add(-time.Second)
		a := newAttempt(time.Time{})
		change(a)
		u.do(a, u.find(1), get(), time.Now().Add(long))
		if u.openConns != 0 || len(came) != 1 {
			t.Errorf("%s: %d connections are kept after %d requests", name, u.openConns, len(came))
		}
	}
}

// slowCaller is a caller's connection on which the time to take an answer has passed whenever more is waited for.
type slowCaller struct {
	*net.TCPConn
	answered bool
}

func (c *slowCaller) SetWriteDeadline(at time.Time) error {
	c.answered = true
	return c.TCPConn.SetWriteDeadline(at)
}

func (c *slowCaller) SetReadDeadline(at time.Time) error {
	if c.answered {
		c.TCPConn.SetWriteDeadline(time.Unix(1, 0))
	}
	return c.TCPConn.SetReadDeadline(at)
}

// A caller that waits for leave to send its body gets it as well on a connection that it has used before.
func TestExpectContinueOnAKeptConnection(t *testing.T) {
	s := undrained(t, echo, func(s *Sidecar) { hooked(func(c *net.TCPConn) net.Conn { return &slowCaller{TCPConn: c} })(s) })
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
func TestAResetIsNoEndOfAnAnswer(t *testing.T) {
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
