package sidecar

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"forkline"
)

func TestServesRequests(t *testing.T) {
	s := startSidecar(t, testConfig(t, startServer(t, echo).Addr().String()))
	c := dial(t, s)
	for range 3 { // on one connection
		c.send("GET", "read", "", "X-Deadline: 2.000")
		if res, body := c.readResponse(t); res.StatusCode != 200 || body != "GET /read/x?a=%2F id " {
			t.Fatalf("status %d, body %q", res.StatusCode, body)
		}
	}
	c.send("POST", "add", "box", "X-Deadline: 2.000", "Idempotency-Key: k1")
	if res, body := c.readResponse(t); res.StatusCode != 200 || body != "POST /add/x?a=%2F id k1" {
		t.Errorf("status %d, body %q", res.StatusCode, body)
	}
}

// An invalid request must get a 4xx response and must not be forwarded.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	requests := make(chan struct{}, 100)
	s := startSidecar(t, testConfig(t, startServer(t, func(n int, c net.Conn, r *http.Request) bool {
		requests <- struct{}{}
		return echo(n, c, r)
	}).Addr().String()))
	for _, c := range []struct {
		name, method, class, body string
		headers                   []string
		want                      int
	}{
		{"unknown class", "GET", "nothing", "", nil, 404},
		{"valid", "GET", "read", "", nil, 200},
		{"two classes", "GET", "read", "", []string{"X-Class: pay"}, 400},
		{"two ids", "GET", "read", "", []string{"X-Request-Id: other"}, 400},
		{"no time left", "GET", "read", "", []string{"X-Deadline: 0"}, 400},
		{"negative length", "POST", "pay", "", []string{"Content-Length: -1"}, 400},
		{"two lengths", "POST", "pay", "x", []string{"Content-Length: 3"}, 400},
		{"method", "POST", "read", "", nil, 405},
		{"no key", "POST", "add", "", nil, 400},
		{"deadline", "GET", "read", "", []string{"X-Deadline: soon"}, 400},
		{"negative deadline", "GET", "read", "", []string{"X-Deadline: -1"}, 400},
		{"deadline that is no number", "GET", "read", "", []string{"X-Deadline: NaN"}, 400},
		{"long body", "POST", "pay", strings.Repeat("x", maxBodyBytes+1), nil, 413},
	} {
		client := dial(t, s)
		client.send(c.method, c.class, c.body, c.headers...)
		if res, _ := client.readResponse(t); res.StatusCode != c.want {
			t.Errorf("%s: status %d, want %d", c.name, res.StatusCode, c.want)
		}
	}
	if n := len(requests); n != 1 {
		t.Errorf("%d requests were forwarded, want only the valid one", n)
	}
}

// The deadline that the module gets must leave time for the response to reach the client, and must not exceed the timeout
// of the class.
func TestCallDeadlines(t *testing.T) {
	cfg := testConfig(t)
	l, err := newLoop(&cfg, newUpstream(forkline.Limits{}, 0, 4))
	if err != nil {
		t.Fatal(err)
	}
	f := newFront(l, &cfg.Site.Settings, 4)
	for _, c := range []struct {
		header string
		want   float64 // ms from the arrival
	}{{"2.000", 1950}, {"0.100", 90}, {"", 2450}, {"60", 2450}} {
		got, reason := f.parse(message{
			startLine: "GET /read/x HTTP/1.1",
			header:    http.Header{"X-Class": {"read"}, "X-Request-Id": {"1"}, "X-Deadline": {c.header}},
		})
		if got == nil {
			t.Fatalf("X-Deadline %q: %s", c.header, reason)
		}
		if math.Abs(got.answerWithin-c.want) > 0.01 {
			t.Errorf("X-Deadline %q: deadline after %v ms, want %v", c.header, got.answerWithin, c.want)
		}
	}
}

// An unsafe request whose connection broke may have run. It must be neither sent again nor refused.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	requests := make(chan struct{}, 10)
	broken := func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false }
	s := startSidecar(t, testConfig(t, startServer(t, broken).Addr().String(), startServer(t, broken).Addr().String()))
	c := dial(t, s)
	c.send("POST", "pay", "1")
	if res, _ := c.readResponse(t); res.StatusCode != statusFailed || len(requests) != 1 {
		t.Errorf("status %d after %d attempts, want a failure after one", res.StatusCode, len(requests))
	}
}

// A request that an endpoint rejects has not run. It must be sent to another endpoint, here one that serves it.
func TestRejectedRequestIsSentElsewhere(t *testing.T) {
	rejecting := startServer(t, respondWith(notRunResponse))
	s := startSidecar(t, testConfig(t, rejecting.Addr().String(), startServer(t, echo).Addr().String()))
	c := dial(t, s)
	for i := range 4 {
		c.id = fmt.Sprint(i) // the ID of a request that may have run is not accepted again
		c.send("POST", "pay", "1")
		if res, _ := c.readResponse(t); res.StatusCode != 200 {
			t.Errorf("status %d, want 200 from the other endpoint", res.StatusCode)
		}
	}
}

// A refusal must state when to retry, and must be sent long before the deadline.
func TestRefusalHasRetryAfter(t *testing.T) {
	reject := respondWith(notRunResponse)
	s := startSidecar(t, testConfig(t, startServer(t, reject).Addr().String()))
	c := dial(t, s)
	c.send("POST", "pay", "1")
	res, _ := c.readResponse(t)
	after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if res.StatusCode != statusRefused || err != nil || after <= 0 {
		t.Errorf("status %d, Retry-After %q; want a refusal with a positive delay", res.StatusCode, res.Header.Get("Retry-After"))
	}
}

// When the client disconnects, its attempt must be cancelled so that the endpoint does no useless work.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	received, disconnected := make(chan struct{}), make(chan struct{})
	s := startSidecar(t, testConfig(t, startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		close(received)
		c.Read(make([]byte, 1))
		close(disconnected)
		return false
	}).Addr().String()))
	c := dial(t, s)
	c.send("GET", "read", "")
	<-received
	c.Close()
	select {
	case <-disconnected:
	case <-time.After(testTimeout):
		t.Fatal("the attempt was not cancelled")
	}
	for calls := 1; calls != 0; { // the call must be forgotten too
		s.loop.postAndWait(func() { calls = len(s.loop.calls) })
	}
}

// An endpoint never answers. The client must still get one response in time, a failure.
func TestSilentEndpoint(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s := startSidecar(t, testConfig(t, startServer(t, func(int, net.Conn, *http.Request) bool { <-release; return false }).Addr().String()))
	c := dial(t, s)
	c.send("POST", "pay", "1")
	if res, _ := c.readResponse(t); res.StatusCode != statusFailed {
		t.Errorf("status %d, want a failure", res.StatusCode)
	}
}

// The backstop must refuse only calls that cannot have run, and must answer once.
func TestBackstopRefusesOnlyCallsThatCannotHaveRun(t *testing.T) {
	cfg := testConfig(t)
	l, err := newLoop(&cfg, newUpstream(forkline.Limits{}, 0, 4))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		call *call
		want int
	}{
		"nothing sent": {&call{}, statusRefused},
		"may have run": {&call{mayHaveRun: true}, statusFailed},
		"in flight":    {&call{openAttempts: 1, attempts: []*attempt{newAttempt(time.Time{})}}, statusFailed},
	} {
		var got []response
		c.call.respond = func(r response) { got = append(got, r) }
		l.abort(c.call, reasonBackstop)
		l.abort(c.call, reasonBackstop)
		if len(got) != 1 || got[0].status != c.want {
			t.Errorf("%s: responses %v, want one with status %d", name, got, c.want)
		}
		for _, a := range c.call.attempts {
			if a.mayWrite() {
				t.Errorf("%s: an attempt may still be written", name)
			}
		}
	}
}

// The sidecar must report ready only once it has a ready server. Where the list is pushed, the initial list does not count
// until discovery has answered or has not answered for cachedListDelay.
func TestReady(t *testing.T) {
	for want, addrs := range map[int][]string{503: nil, 200: {"127.0.0.1:1"}} {
		s, err := New(testConfig(t, addrs...))
		if err != nil {
			t.Fatal(err)
		}
		s.cachedListDelay = time.Hour // the test uses the initial list itself
		s.front.drainAcceptTime = 0
		go s.Run(t.Context())
		for _, c := range []struct {
			when string
			want int
		}{{"before the initial list is used", 503}, {"right after", want}} {
			res, err := http.Get("http://" + s.listener.Addr().String() + "/-/ready")
			if err != nil || res.StatusCode != c.want {
				t.Errorf("response %v, error %v %s with %d endpoints, want status %d", res, err, c.when, len(addrs), c.want)
			}
			s.loop.postAndWait(s.loop.useCachedList)
		}
	}
}

// A client that shuts down its sending side has disconnected. It must not get a response, in particular not the empty 200
// that net/http sends when a handler returns.
func TestNoResponseAfterClientShutdown(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	s := startSidecar(t, testConfig(t, startServer(t, func(int, net.Conn, *http.Request) bool { close(received); <-release; return false }).Addr().String()))
	c := dial(t, s)
	c.send("GET", "read", "")
	<-received
	c.Conn.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if text, err := io.ReadAll(c); len(text) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("response %q, error %v; want a closed connection without a response", text, err)
	}
}

// A rolling release replaces the endpoints one by one. If the concurrency limit decreased with each endpoint that leaves
// and did not increase with each that joins, the sidecar would refuse calls that the new endpoints could serve.
func TestRollingReleaseKeepsTheLimit(t *testing.T) {
	const limit = 20 // concurrent calls to four endpoints before their latency is measured
	var held atomic.Int32
	full, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	hold := func(n int, c net.Conn, r *http.Request) bool {
		if held.Add(1) == limit {
			close(full)
		}
		<-full
		return echo(n, c, r)
	}
	cfg := testConfig(t)
	for i := range 4 {
		addr := startServer(t, hold).Addr().String()
		cfg.InitialList.Targets = append(cfg.InitialList.Targets, Target{UID: fmt.Sprint("s-", i), Endpoint: addr, Zone: "z", State: "Ready"})
	}
	cfg.Discovery = startFakeDiscovery(t, func(_ string, send func(List), _ func()) {
		for i, old := range cfg.InitialList.Targets {
			old.State = "Terminating"
			send(List{Rev: int64(2*i + 1), Targets: []Target{old}})
			addr := startServer(t, hold).Addr().String()
			send(List{Rev: int64(2*i + 2), Targets: []Target{{UID: fmt.Sprint("n-", i), Endpoint: addr, Zone: "z", State: "Ready"}}})
		}
		<-done
	})
	s := startSidecar(t, cfg)
	last := newDirectory(nil, nil).id("n-3")
	for listed := false; !listed; {
		s.loop.postAndWait(func() { listed = s.loop.serverReady[last] })
	}
	clients := make([]*client, limit)
	for i := range clients {
		clients[i] = dial(t, s)
		clients[i].id = fmt.Sprint("id-", i)
		clients[i].send("GET", "read", "")
	}
	for _, c := range clients {
		if res, _ := c.readResponse(t); res.StatusCode != 200 {
			t.Fatalf("status %d with %d calls in flight, want 200 with %d", res.StatusCode, held.Load(), limit)
		}
	}
}

// When one of four endpoints fails and is ejected, its share of the concurrency limit must not be moved to the others. If
// several copies moved it, they would overload the other endpoints, which then stay slow for a long time.
func TestEjectedEndpointReducesTheLimit(t *testing.T) {
	const total, beforeEjection, limit = 30, 12, 15
	var held, failed atomic.Int32
	done := make(chan struct{})
	hold := func(n int, c net.Conn, r *http.Request) bool {
		held.Add(1)
		<-done
		return false
	}
	fail := func(_ int, c net.Conn, _ *http.Request) bool {
		failed.Add(1)
		io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	cfg := testConfig(t, startServer(t, hold).Addr().String(), startServer(t, hold).Addr().String(), startServer(t, hold).Addr().String(),
		startServer(t, fail).Addr().String())
	cfg.Site.Settings.Classes[0].Timeout = 2 * float64(testTimeout.Milliseconds()) // calls in flight stay in flight
	s := startSidecar(t, cfg)
	defer close(done)
	var refused atomic.Int32
	sendCall := func(i int) {
		c := dial(t, s)
		c.id = fmt.Sprint("id-", i)
		c.send("GET", "read", "")
		go func() {
			if res, err := http.ReadResponse(c.reader, nil); err == nil && res.StatusCode == statusRefused {
				refused.Add(1)
			}
		}()
	}
	awaitHeldOrRefused := func(n int) {
		t.Helper()
		for end := time.Now().Add(testTimeout); int(held.Load()+refused.Load()) < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d in flight and %d refused of %d calls", held.Load(), refused.Load(), n)
			}
		}
	}
	for i := range beforeEjection {
		sendCall(i)
		awaitHeldOrRefused(i + 1)
	}
	if failed.Load() < 3 || refused.Load() > 0 {
		t.Fatalf("%d failed and %d refused, want the failing endpoint to be ejected and none refused", failed.Load(), refused.Load())
	}
	// An attempt that waits for a new connection does not count in the limit, so calls that arrive together may exceed it
	// by those that connect at the same time. The remaining capacity is therefore filled one call at a time.
	for i := beforeEjection; i < limit; i++ {
		sendCall(i)
		awaitHeldOrRefused(i + 1)
	}
	for i := limit; i < total; i++ {
		sendCall(i)
	}
	// With the limit of all four endpoints, 20 would be in flight.
	if awaitHeldOrRefused(total); held.Load() > limit {
		t.Errorf("%d calls in flight at three endpoints, want %d", held.Load(), limit)
	}
}

// Every sidecar must give a server the same ID, whatever the order of the list, as subset assignment uses it.
func TestIDsDoNotDependOnOrder(t *testing.T) {
	a, b := newDirectory(nil, nil), newDirectory(nil, nil)
	for i := range 500 {
		a.id(fmt.Sprint("s-", i))
		b.id(fmt.Sprint("s-", 499-i))
	}
	for uid, id := range a.ids {
		if b.ids[uid] != id {
			t.Errorf("server %s has the IDs %d and %d", uid, id, b.ids[uid])
		}
	}
	if len(a.uids) != 500 {
		t.Errorf("%d IDs for 500 servers", len(a.uids))
	}
}
