package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"forkline"
)

// pausedListener is a listener that holds each accepted connection until it may resume.
type pausedListener struct {
	net.Listener
	accepted, resume chan struct{}
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		signal(l.accepted)
		<-l.resume
	}
	return c, err
}

// After SIGTERM, requests on new and existing connections must still be served as long as time allows. Then connections must
// be closed and the calls in flight answered before the program ends.
func TestDrain(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	cfg := testConfig(t, startServer(t, func(n int, c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Hold") != "" {
			close(received)
			<-release
		}
		return echo(n, c, r)
	}).Addr().String())
	cfg.Site.Settings.Classes[0].Timeout = 5000 // the held call must not time out
	s := newSidecar(t, cfg, nil)
	s.front.drainAcceptTime = 2 * time.Second // allows for a busy machine
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error)
	go func() { runErr <- s.Run(ctx) }()
	slowClient := dial(t, s)
	slowClient.send("GET", "read", "", "X-Hold: 1")
	<-received
	cancel()
	for !s.front.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	lateClient := dial(t, s)
	lateClient.id = "late"
	for range 2 { // the connection is kept, as the client may have no other sidecar
		lateClient.send("GET", "read", "")
		if res, _ := lateClient.readResponse(t); res.StatusCode != 200 || res.Close {
			t.Errorf("status %d, close %v; want 200 and a kept connection for a late client", res.StatusCode, res.Close)
		}
	}
	lateClient.readUntilClose(t)
	close(release)
	if res, _ := slowClient.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d of the call from before SIGTERM, want 200", res.StatusCode)
	}
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}

// A call whose endpoint does not answer in time must be answered by the sidecar before SIGKILL.
func TestDrainAbortsCallsInTime(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	cfg := testConfig(t, startServer(t, func(int, net.Conn, *http.Request) bool { close(received); <-release; return false }).Addr().String())
	cfg.Site.Settings.Classes[1].Timeout = 60000 // the call itself does not time out
	s := newSidecar(t, cfg, nil)
	go s.loop.run()
	s.loop.post(func() { s.loop.updateList(cfg.InitialList, forkline.ListCached) })
	go s.front.serve(s.listener)
	c := dial(t, s)
	c.send("POST", "pay", "1")
	<-received
	drained := make(chan struct{})
	go func() { s.front.drain(s.listener, defaultDrainAcceptTime); close(drained) }()
	if res, _ := c.readResponse(t); res.StatusCode != statusFailed {
		t.Errorf("status %d, want a failure", res.StatusCode)
	}
	<-drained
}

// While connections are closed, requests go to another sidecar or are lost. A sidecar without peers must therefore accept
// requests for longer.
func TestSingleSidecarAcceptsLonger(t *testing.T) {
	closeAfter := func(copies int) time.Duration {
		s := &Sidecar{cfg: Config{}}
		s.cfg.Site.Settings = forkline.Settings{Copies: copies, Classes: []forkline.Class{{Timeout: 6000}}}
		return s.drainLimit() - newFront(&loop{}, &s.cfg.Site.Settings, 1).finishTime()
	}
	if single, unstated, ofTwo := closeAfter(1), closeAfter(0), closeAfter(2); single != 2850*time.Millisecond || unstated != single || ofTwo >= single {
		t.Errorf("connections close %v after SIGTERM with 1 copy, %v with an unstated number and %v with 2", single, unstated, ofTwo)
	}
}

// The drain must end at its deadline even if a connection still waits to be admitted.
func TestDrainDoesNotWaitForUnadmittedConnection(t *testing.T) {
	accepted := make(chan struct{}, 2*evictionHeadroom+1)
	s := startWithoutDrain(t, echo, func(s *Sidecar) {
		s.front.downstream.maxConns, s.front.downstream.slowRequestTime, s.front.requestTimeout = 2*evictionHeadroom, time.Hour, time.Hour
		s.front.downstream.stallTime = time.Hour
		withConnWrapper(func(c *net.TCPConn) net.Conn { accepted <- struct{}{}; return c })(s)
	})
	for range 2 * evictionHeadroom {
		sendFirstHalf(t, s, dial(t, s))
	}
	dial(t, s)
	for range 2*evictionHeadroom + 1 {
		<-accepted
	}
	drained := make(chan struct{})
	go func() { s.listener.Close(); s.front.downstream.drain(time.Now()); close(drained) }()
	select {
	case <-drained:
	case <-time.After(testTimeout):
		t.Error("the drain waits for a connection that has not been admitted")
	}
}

// A request is partly received when the drain closes idle connections. It is accepted once it is complete, so the drain
// must wait for it and answer it.
func TestDrainWaitsForPartialRequest(t *testing.T) {
	s := startWithoutDrain(t, echo, nil)
	c := dial(t, s)
	sendFirstHalf(t, s, c)
	s.listener.Close()
	drained := make(chan struct{})
	go func() { s.front.downstream.drain(time.Now().Add(testTimeout)); close(drained) }()
	io.WriteString(c, requestSecondHalf)
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
	<-drained
}

// A connection that is accepted while the listener is being closed must be served before the drain ends.
func TestDrainWaitsForConnectionAcceptedLast(t *testing.T) {
	ln := pausedListener{accepted: make(chan struct{}, 1), resume: make(chan struct{})}
	s := startWithoutDrain(t, echo, func(s *Sidecar) { ln.Listener = s.listener; s.listener = ln })
	c := dial(t, s)
	c.send("GET", "read", "")
	<-ln.accepted
	ln.Close()
	drained := make(chan struct{})
	go func() { s.front.downstream.drain(time.Now().Add(testTimeout)); close(drained) }()
	select {
	case <-drained:
		t.Error("the drain ended while a request was waiting")
	case <-time.After(20 * time.Millisecond): // correct code is only delayed
	}
	close(ln.resume)
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
	<-drained
}

// A request that arrives after abortAll must be refused at once: the program ends before a response to it could be
// written.
func TestRequestsAfterAbortAllAreRefused(t *testing.T) {
	s, received := startWithRecordingServer(t, nil)
	c := dial(t, s)
	s.loop.postAndWait(s.loop.abortAll)
	c.send("POST", "pay", "1")
	if res, _ := c.readResponse(t); res.StatusCode != statusRefused || res.Header.Get("Retry-After") == "" || len(received) > 0 {
		t.Errorf("status %d, %d sent on, Retry-After %q", res.StatusCode, len(received), res.Header.Get("Retry-After"))
	}
}

// Deadlines may be so short that SIGKILL follows soon after the listener is closed. Accepted requests must still be
// answered before the program ends.
func TestDrainWithShortDeadlines(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	s := startWithoutDrain(t, func(int, net.Conn, *http.Request) bool { close(received); <-release; return false }, nil)
	c := dial(t, s)
	c.send("POST", "pay", "1")
	<-received
	s.front.drain(s.listener, 20*time.Millisecond)
	if res, _ := c.readResponse(t); res.StatusCode != statusFailed {
		t.Errorf("status %d, want a failure", res.StatusCode)
	}
}
