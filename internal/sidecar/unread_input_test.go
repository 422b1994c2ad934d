package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"forkline"
)

// Tests of clients that send more than the sidecar reads while a request is open. A close behind so many bytes does not reach the
// sidecar's machine.

// unreadableInput is more than the sidecar reads ahead and the kernel's receive buffer holds, but less than a client's send buffer.
const (
	unreadableInput = 2 * maxReadAhead
	clientBuffer    = 8 * maxReadAhead
)

// startSmallBuffers runs a sidecar whose connections from clients have small receive buffers.
func startSmallBuffers(t *testing.T, cfg Config) (*Sidecar, func(id string) trackedClient) {
	t.Helper()
	s, connect := startTracked(t, cfg, func(s *Sidecar) {
		withConnWrapper(func(c *net.TCPConn) net.Conn { c.SetReadBuffer(maxReadAhead / 8); return c })(s)
	})
	return s, func(id string) trackedClient {
		c := connect(id)
		c.Conn.(*net.TCPConn).SetWriteBuffer(clientBuffer)
		return c
	}
}

// awaitHiddenEnd waits until the end of the client's connection is hidden from the only call.
func awaitHiddenEnd(t *testing.T, s *Sidecar) {
	t.Helper()
	awaitCall(t, s, func(c *call) bool { return c.endIsHidden() })
}

// Guards against requests that are sent after their client has left: the client closes its connection behind more bytes than the
// sidecar's machine takes, so that nothing shows the close, while its request waits for a server.
func TestQueuedRequestIsNotSentIfCloseMayBeHidden(t *testing.T) {
	addr, received := recordingServer(t)
	cfg := longTimeoutConfig(t, addr)
	cfg.InitialList.Targets[0].State = "Terminating"
	s, connect := startSmallBuffers(t, cfg)
	c := connect("left")
	c.send("GET", "read", "")
	awaitCall(t, s, func(*call) bool { return true })
	io.WriteString(c, strings.Repeat("x", unreadableInput))
	c.Close()
	awaitHiddenEnd(t, s)
	setServerState(s, &cfg, "Ready")
	expectNothingKept(t, s, received)
}

// Guards against the same for a request that is read only after its client has left, as on a busy core.
func TestLateReadRequestIsNotSentIfCloseMayBeHidden(t *testing.T) {
	addr, received := recordingServer(t)
	reading, resume := make(chan struct{}, 1), make(chan struct{})
	s := startConfiguredSidecar(t, longTimeoutConfig(t, addr), withConnWrapper(func(c *net.TCPConn) net.Conn {
		c.SetReadBuffer(maxReadAhead / 8)
		return delayedReadConn{c, false, reading, resume}
	}))
	c := dial(t, s)
	c.Conn.(*net.TCPConn).SetWriteBuffer(clientBuffer)
	<-reading
	c.id = "left"
	c.send("GET", "read", strings.Repeat("x", 100))
	io.WriteString(c, strings.Repeat("x", unreadableInput))
	c.Close()
	close(resume)
	expectNothingKept(t, s, received)
}

// Guards against the same between two attempts: the first attempt ends with the proof that it did not run.
func TestRequestIsNotRepeatedIfCloseMayBeHidden(t *testing.T) {
	received, reject := make(chan string, 10), make(chan struct{})
	s, connect := startSmallBuffers(t, longTimeoutConfig(t, startServer(t, func(n int, c net.Conn, r *http.Request) bool {
		if received <- r.Header.Get("X-Request-Id"); r.Header.Get("X-Request-Id") == "mark" {
			return echo(n, c, r)
		}
		<-reject
		io.WriteString(c, notRunResponse)
		return true
	}).Addr().String()))
	c := connect("left")
	c.send("GET", "read", "")
	<-received
	io.WriteString(c, strings.Repeat("x", unreadableInput))
	c.Close()
	awaitHiddenEnd(t, s)
	close(reject)
	expectNothingKept(t, s, received)
}

// A client that pipelines more than the sidecar reads ahead, and stays, must get one final response to each request: a refusal while
// its close could not be seen, and the service of the endpoint afterwards.
func TestEachPipelinedRequestIsAnsweredOnce(t *testing.T) {
	addr, received := recordingServer(t)
	s, connect := startSmallBuffers(t, longTimeoutConfig(t, addr))
	c := connect("")
	const count = 1000
	go func() {
		padding := strings.Repeat("p", 2*unreadableInput/count)
		for i := range count {
			fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: b\r\nX-Class: read\r\nX-Request-Id: %d\r\nX-Pad: %s\r\n\r\n", i, padding)
		}
	}()
	go func() { // more than the channel holds may be served
		for range received {
		}
	}()
	statuses := map[int]int{}
	last := 0
	for range count {
		last = c.readStatus(t)
		statuses[last]++
	}
	if statuses[200]+statuses[statusRefused] != count || last != 200 {
		t.Errorf("statuses %v, the last %d; want 200 or %d for each, and 200 at the end", statuses, last, statusRefused)
	}
	c.Close()
	expectMemoryReturned(t, s)
}

// expectDeadline waits until the request with the given ID is open, and checks that it may be answered for no longer than the given
// time after it was sent.
func expectDeadline(t *testing.T, f *front, id string, sentAt time.Time, timeout time.Duration) {
	t.Helper()
	for range 1000 {
		deadline := time.Time{}
		f.loop.postAndWait(func() {
			if c := f.loop.callsByID[id]; c != nil {
				deadline = f.loop.timeAt(c.event.Deadline)
			}
		})
		if !deadline.IsZero() {
			if d := deadline.Sub(sentAt); d > timeout {
				t.Errorf("the request may be answered until %v after it was sent, want %v at most", d, timeout)
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the request is not open")
}

// Guards against a deadline that grows: the time of a pipelined request counts from its last byte, not from the response to the
// request before it.
func TestPipelinedRequestKeepsItsDeadline(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		local, remote := net.Pipe()
		defer local.Close()
		go f.serveConn(f.downstream.admit(remote))
		sentAt := time.Now()
		go func() {
			for i, id := range []string{"first", "second"} { // the first is refused at its deadline, as there is no list
				fmt.Fprintf(local, "GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: %s\r\nX-Deadline: %v\r\n\r\n", id, 0.5+float64(i))
			}
		}()
		go io.Copy(io.Discard, local)
		expectDeadline(t, f, "second", sentAt, 1500*time.Millisecond)
	})
}

// Guards against the same while a request waits, unread, for memory.
func TestRequestThatWaitedForMemoryKeepsItsDeadline(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		held, _ := f.downstream.requestMemory.tryReserve(f.downstream.requestMemory.limit)
		local, remote := net.Pipe()
		defer local.Close()
		go f.serveConn(f.downstream.admit(remote))
		sentAt := time.Now()
		go fmt.Fprintf(local, "POST /pay/x HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: large\r\nX-Deadline: 1\r\nContent-Length: %d\r\n\r\n%s",
			maxBodyBytes, strings.Repeat("x", maxBodyBytes))
		go io.Copy(io.Discard, local)
		time.Sleep(500 * time.Millisecond)
		held.release()
		expectDeadline(t, f, "large", sentAt, time.Second)
	})
}

// Guards against an ID that runs twice: a request that may have run is sent again under its ID some time after its client has left, and
// later than any deadline.
func TestIDOfClientThatLeftDoesNotRunAgain(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		settings := f.index.Load().settings
		for i := range settings.Classes {
			settings.Classes[i].Timeout = 250
		}
		f.loop.idRetention = idRetentionFor(&settings)
		statuses := make(chan int, 1)
		f.loop.postAndWait(func() {
			first := &call{id: "x", event: forkline.Event{Class: 1, Deadline: f.loop.now() + 250}, mayHaveRun: true, ended: true}
			f.loop.callsByID["x"] = first
			f.loop.release(first)
		})
		time.Sleep(5 * time.Second)
		f.loop.postAndWait(func() {
			f.loop.accept(&call{
				id: "x", event: forkline.Event{Class: 1, Deadline: f.loop.now() + 250}, respond: func(r response) { statuses <- r.status },
			})
		})
		select {
		case status := <-statuses:
			if status != statusFailed {
				t.Errorf("status %d, want %d", status, statusFailed)
			}
		default:
			t.Error("the request was accepted once more")
		}
	})
}
