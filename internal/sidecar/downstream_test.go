package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// expectNewClientServed checks that a client on a new connection is served.
func expectNewClientServed(t *testing.T, s *Sidecar) {
	t.Helper()
	c := dial(t, s)
	c.send("GET", "read", "")
	if status := c.readStatus(t); status != http.StatusOK {
		t.Errorf("status %d of a new client", status)
	}
}

// occupySlots opens as many connections as there are slots and sends half a request on each.
func occupySlots(t *testing.T, s *Sidecar) {
	t.Helper()
	for range s.front.downstream.maxConns {
		sendFirstHalf(t, s, dial(t, s))
	}
}

// At the connection limit, idle connections must be evicted so that new clients are served.
func TestIdleClientsAreEvicted(t *testing.T) {
	cfg := testConfig(t, startServer(t, echo).Addr().String())
	cfg.Sockets = MinSockets
	s := startConfiguredSidecar(t, cfg, func(s *Sidecar) {
		s.front.requestTimeout = time.Hour // the timeout alone would close them too late
	})
	for range 2 * s.maxDownstream {
		dial(t, s)
	}
	expectNewClientServed(t, s)
}

// Connections on which requests arrive too slowly must be evicted for a new client.
func TestSlowRequestsAreEvicted(t *testing.T) {
	s, _ := startWithRecordingServer(t, func(s *Sidecar) {
		s.front.downstream.maxConns, s.front.downstream.slowRequestTime = 2*evictionHeadroom, 0
	})
	occupySlots(t, s)
	expectNewClientServed(t, s)
}

// Guards against requests that are answered a second late behind clients that stop half-way (issue 25, 5): a request that makes no
// progress must be evicted for a new client long before it counts as slow.
func TestStalledRequestsAreEvicted(t *testing.T) {
	s, _ := startWithRecordingServer(t, func(s *Sidecar) {
		s.front.downstream.maxConns, s.front.downstream.slowRequestTime, s.front.requestTimeout = 2*evictionHeadroom, time.Hour, time.Hour
		s.front.downstream.stallTime = time.Millisecond
	})
	occupySlots(t, s)
	expectNewClientServed(t, s)
}

// Guards against new clients that wait behind large requests: while requests that wait for memory hold all slots, one of them must be
// refused for a new client, whose request needs none.
func TestRequestsThatWaitForMemoryMakeRoom(t *testing.T) {
	s, _ := startWithRecordingServer(t, func(s *Sidecar) {
		s.front.downstream.maxConns, s.front.requestTimeout = 2*evictionHeadroom, time.Hour
		s.front.downstream.requestMemory.tryReserve(s.front.downstream.requestMemory.limit)
	})
	waiting := make([]*client, 2*evictionHeadroom)
	for i := range waiting {
		waiting[i] = dial(t, s)
		waiting[i].id = fmt.Sprint(i)
		waiting[i].send("POST", "pay", strings.Repeat("x", maxBodyBytes))
		eventually(t, "a request that waits for memory behind those before it", func() bool {
			s.front.downstream.requestMemory.mu.Lock()
			defer s.front.downstream.requestMemory.mu.Unlock()
			return s.front.downstream.requestMemory.waiters.Len() == i+1
		})
	}
	expectNewClientServed(t, s)
	if status := waiting[0].readStatus(t); status != statusRefused {
		t.Errorf("status %d of the request that has waited longest, want a refusal", status)
	}
}

// With the fewest descriptors of a deployment, 256, a request with the deadline of the protocol's example must have half of its time
// left behind 420 clients that stop half-way.
func TestStalledRequestsDelayOthersForAShortTime(t *testing.T) {
	const sockets, stopped, deadline = 256, 420, 480 * time.Millisecond
	available := sockets - reservedSockets(sockets)
	slots := int(downstreamShare * float64(available))
	if delay := (stopped + slots - 1) / slots * int(defaultStallTime); delay > int(deadline/2) {
		t.Errorf("a new connection waits for %v", time.Duration(delay))
	}
}

// Near the connection limit a connection with a partly received request must not be evicted for a new client, which
// waits until there is capacity.
func TestPartialRequestsAreNotEvicted(t *testing.T) {
	accepted := make(chan struct{}, 2*evictionHeadroom+1)
	s, _ := startWithRecordingServer(t, func(s *Sidecar) {
		s.front.downstream.maxConns, s.front.downstream.slowRequestTime, s.front.requestTimeout = 2*evictionHeadroom, time.Hour, time.Hour
		s.front.downstream.stallTime = time.Hour
		withConnWrapper(func(c *net.TCPConn) net.Conn { accepted <- struct{}{}; return c })(s)
		// The server answers within a millisecond, so on a busy machine its attempts may be cancelled and it may be ejected
		// (TestOnlyServerIsTriedSoonAfterEjection).
		withoutCancellation := s.loop.moduleSettings(s.cfg.Site.Settings)
		withoutCancellation.Limits.CancelAttempts = false
		if _, err := s.loop.balancer.Reconfigure(s.loop.now(), withoutCancellation, nil); err != nil {
			t.Fatal(err)
		}
	})
	clients := make([]*client, 2*evictionHeadroom)
	for i := range clients {
		clients[i] = dial(t, s)
		sendFirstHalf(t, s, clients[i])
	}
	waiting := dial(t, s)
	waiting.id = "last"
	waiting.send("GET", "read", "")
	for range 2*evictionHeadroom + 1 {
		<-accepted
	}
	for i, c := range clients {
		fmt.Fprintf(c, "X-Request-Id: %d\r\n\r\n", i)
		if res, _ := c.readResponse(t); res.StatusCode != 200 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
	if res, _ := waiting.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d for the client that waited", res.StatusCode)
	}
}

// delayedReadConn is a client's connection whose reads are delayed, as on a busy core: before the bytes are read, or
// after that and before Read returns.
type delayedReadConn struct {
	*net.TCPConn
	afterRead       bool
	reading, resume chan struct{}
}

func (c delayedReadConn) Read(b []byte) (n int, err error) {
	if c.afterRead {
		n, err = c.TCPConn.Read(b)
	}
	signal(c.reading)
	<-c.resume
	if !c.afterRead {
		n, err = c.TCPConn.Read(b)
	}
	return n, err
}

// sendDelayedRequest sends a request to a sidecar that gets no core to read it, or to process it once it has been read, until
// resume is closed. It returns when the sidecar has received the request.
func sendDelayedRequest(t *testing.T, requestTimeout time.Duration, afterRead bool) (s *Sidecar, c *client, resume chan struct{}) {
	t.Helper()
	reading, resume := make(chan struct{}, 1), make(chan struct{})
	s = startWithoutDrain(t, echo, func(s *Sidecar) {
		s.front.requestTimeout = requestTimeout
		withConnWrapper(func(c *net.TCPConn) net.Conn { return delayedReadConn{c, afterRead, reading, resume} })(s)
	})
	c = dial(t, s)
	c.send("GET", "read", "")
	<-reading
	eventually(t, "the request", func() bool {
		s.front.downstream.mu.Lock()
		defer s.front.downstream.mu.Unlock()
		e := s.front.downstream.idle.Front()
		return e != nil && (afterRead || e.Value.(*downstreamConn).hasUnread())
	})
	return s, c, resume
}

// A request that has been received but not read yet must not be dropped by closing its connection, neither in a drain
// nor by an eviction near the connection limit.
func TestUnreadRequestIsNotDropped(t *testing.T) {
	for name, closeIdle := range map[string]func(*downstream){
		"drain": func(cs *downstream) {
			cs.mu.Lock()
			defer cs.mu.Unlock()
			for e := cs.idle.Front(); e != nil; e = cs.idle.Front() {
				cs.requestClose(e.Value.(*downstreamConn))
			}
		},
		"limit": func(cs *downstream) {
			cs.mu.Lock()
			defer cs.mu.Unlock()
			cs.evict()
		},
	} {
		for _, afterRead := range []bool{false, true} {
			requestTimeout := time.Hour
			if !afterRead {
				requestTimeout = time.Nanosecond // has expired as well
			}
			s, c, resume := sendDelayedRequest(t, requestTimeout, afterRead)
			closeIdle(s.front.downstream)
			close(resume)
			if res, _ := c.readResponse(t); res.StatusCode != 200 {
				t.Errorf("%s, delayed after read %v: status %d", name, afterRead, res.StatusCode)
			}
		}
	}
}

// closeNotifyConn is a client's connection that signals when the sidecar closes it or its write side.
type closeNotifyConn struct {
	*net.TCPConn
	closing chan struct{}
}

func (c closeNotifyConn) Close() error {
	defer signal(c.closing)
	return c.TCPConn.Close()
}

func (c closeNotifyConn) CloseWrite() error {
	defer signal(c.closing)
	return c.TCPConn.CloseWrite()
}

// A client sends more data behind the last request of its connection and reads slowly. Closing a connection with unread
// bytes resets it, and the reset must not overtake the response.
func TestCloseDoesNotOvertakeLastResponse(t *testing.T) {
	closing := make(chan struct{}, 1)
	body := strings.Repeat("x", maxBodyBytes)
	s, err := New(testConfig(t, startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	}).Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
	withConnWrapper(func(c *net.TCPConn) net.Conn {
		c.SetWriteBuffer(4 * maxBodyBytes)
		return closeNotifyConn{c, closing}
	})(s)
	go s.Run(t.Context())
	c := dial(t, s)
	c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	c.send("GET", "read", "", "Connection: close")
	c.send("GET", "read", strings.Repeat("y", 16<<10))
	<-closing
	if res, got := c.readResponse(t); res.StatusCode != 200 || got != body {
		t.Errorf("status %d, %d bytes", res.StatusCode, len(got))
	}
}
