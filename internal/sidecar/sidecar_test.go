package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"forkline"
	"forkline/internal/wire"
)

const settings = `{"balancers": 1, "stages": ["a"], "zones": ["z"], "kinds": ["k"],
	"limits": {"maxAttempts": 4, "cancel": true, "connectTimeout": 250, "connIdle": 10000, "retryAfter": true},
	"safety": {"answerSlack": 20, "drainGrace": 500, "coldFrom": 0.3, "rampTime": 8000, "askEvery": 10000},
	"classes": [{"name": "read", "aim": 1000, "giveUp": 2500, "effect": "read_like"},
		{"name": "pay", "aim": 1000, "giveUp": 2500, "effect": "non_idempotent"},
		{"name": "add", "aim": 1000, "giveUp": 2500, "effect": "idempotency_key", "group": "cell", "dedupWindow": 10000}]}`

// testConfig returns the configuration of a sidecar whose initial list has the given addresses and whose discovery never
// answers.
func testConfig(t *testing.T, addrs ...string) Config {
	t.Helper()
	site, err := wire.ParseSite([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Name: "n", Listen: "127.0.0.1:0", Discovery: silentAddr(), Sockets: 256, Site: site}
	for i, a := range addrs {
		cfg.InitialList.Targets = append(cfg.InitialList.Targets,
			Target{UID: fmt.Sprint("s-", i), Endpoint: a, Zone: "z", Kind: "k", State: "Ready"})
	}
	return cfg
}

// silentAddr returns the address of a discovery that never answers. Its listener stays open until the program ends, because
// a sidecar may call discovery for a while after its test and must not reach a listener of another test.
var silentAddr = sync.OnceValue(func() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln.Addr().String()
})

// startSidecar runs a sidecar until the test ends. It uses the initial list at once.
func startSidecar(t *testing.T, cfg Config) *Sidecar {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() { s.discovery.move(silentAddr()); s.front.drainAcceptTime = 0; cancel() })
	return s
}

// dial opens a client connection to the sidecar.
func dial(t *testing.T, s *Sidecar) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c), "id"}
}

// client is a client connection to a sidecar.
type client struct {
	net.Conn
	reader *bufio.Reader
	id     string // X-Request-Id of its requests
}

// send writes a request.
func (c *client) send(method, class, body string, headers ...string) {
	text := fmt.Sprintf("%s /%s/x?a=%%2F HTTP/1.1\r\nHost: backend.local\r\nX-Class: %s\r\n", method, class, class)
	for _, h := range append([]string{"X-Request-Id: " + c.id}, headers...) {
		text += h + "\r\n"
	}
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", text, len(body), body) // a write error shows when the response is read
}

// readResponse reads a complete response.
func (c *client) readResponse(t *testing.T) (*http.Response, string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}

// echo answers every request with its method, URI, ID and idempotency key.
func echo(_ int, c net.Conn, r *http.Request) bool {
	body := fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Request-Id"), " ", r.Header.Get("Idempotency-Key"))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return true
}

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
		got, _, reason := f.parse(message{
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
	rejecting := startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
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
	reject := func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
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
		l.abort(c.call)
		l.abort(c.call)
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
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
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
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
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
		return s.drainLimit() - newFront(nil, &s.cfg.Site.Settings, 1).finishTime()
	}
	if single, unstated, ofTwo := closeAfter(1), closeAfter(0), closeAfter(2); single != 2850*time.Millisecond || unstated != single || ofTwo >= single {
		t.Errorf("connections close %v after SIGTERM with 1 copy, %v with an unstated number and %v with 2", single, unstated, ofTwo)
	}
}

// At the connection limit, idle connections must be evicted so that new clients are served.
func TestIdleClientsAreEvicted(t *testing.T) {
	cfg := testConfig(t, startServer(t, echo).Addr().String())
	cfg.Sockets = MinSockets
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
	s.front.requestTimeout = time.Hour // the timeout alone would close them too late
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	for range 2 * s.maxDownstream {
		dial(t, s)
	}
	c := dial(t, s)
	c.send("GET", "read", "")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
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

// startFakeDiscovery starts a discovery server and returns its address. It calls f for each watch, which ends when f
// returns.
func startFakeDiscovery(t *testing.T, f func(since string, send func(List), keepAlive func())) string {
	t.Helper()
	return startServer(t, func(_ int, c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk := func(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
		f(r.URL.Query().Get("since"), func(l List) {
			text, err := json.Marshal(l)
			if err != nil {
				t.Error(err)
			}
			chunk(string(text) + "\n")
		}, func() { chunk("\n") })
		return false
	}).Addr().String()
}

// An endpoint that a watch adds must be used. Once the watch reports that the endpoint drains, it must get no more
// requests, and once it is gone, it must be forgotten.
func TestWatch(t *testing.T) {
	next, done := make(chan string), make(chan struct{})
	defer close(done)
	addr := startServer(t, echo).Addr().String()
	cfg := testConfig(t)
	cfg.InitialList.Rev = 7
	cfg.Discovery = startFakeDiscovery(t, func(since string, send func(List), keepAlive func()) {
		keepAlive()
		for rev := int64(8); ; rev++ {
			select {
			case state := <-next:
				send(List{Rev: rev, Targets: []Target{{UID: "s-" + since, Endpoint: addr, Zone: "z", State: state}}})
			case <-done:
				return
			}
		}
	})
	s := startSidecar(t, cfg)
	awaitReadyServers := func(want int) {
		t.Helper()
		for got, end := -1, time.Now().Add(testTimeout); got != want; {
			if s.loop.postAndWait(func() { got = s.loop.readyServers }); time.Now().After(end) {
				t.Fatalf("%d ready servers, want %d", got, want)
			}
		}
	}
	next <- "Ready"
	awaitReadyServers(1)
	if id := newDirectory(nil, nil).id("s-7"); s.loop.upstream.find(id) == nil {
		t.Error("the watch did not start at the version of the initial list")
	}
	c := dial(t, s)
	c.send("GET", "read", "")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
	next <- "Terminating"
	awaitReadyServers(0)
	c.send("GET", "read", "", "X-Deadline: 0.200")
	if res, _ := c.readResponse(t); res.StatusCode != statusRefused {
		t.Errorf("status %d with every endpoint draining, want a refusal", res.StatusCode)
	}
	next <- "Gone"
	for removed := false; !removed; {
		s.loop.postAndWait(func() { removed = len(s.loop.serverReady) == 0 && len(s.loop.directory.ids) == 0 })
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

// A full list must remove the servers that it does not contain.
func TestFullListReplacesServers(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2")
	l, err := newLoop(&cfg, newUpstream(forkline.Limits{}, 0, 4))
	if err != nil {
		t.Fatal(err)
	}
	l.updateList(cfg.InitialList, forkline.ListCached)
	first, second := l.directory.id("s-0"), l.directory.id("s-1")
	l.updateList(List{Targets: cfg.InitialList.Targets[1:]}, forkline.ListFull)
	if l.readyServers != 1 || l.upstream.find(first) != nil || l.upstream.find(second) == nil {
		t.Errorf("%d ready servers, want the one that is listed", l.readyServers)
	}
}

// A watch without activity for several keep-alive intervals must end even if its connection stays open. A pushed list must
// then be watched again from the latest version.
func TestSilentWatchIsRestarted(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	calls := make(chan string, 10)
	d := &discovery{policy: longTimeoutPolicy(30 * time.Millisecond), rev: 3, onList: func(List) {}, onFailed: func() {}}
	d.addr = startFakeDiscovery(t, func(since string, send func(List), keepAlive func()) {
		calls <- since
		send(List{Rev: 4})
		<-done
	})
	go d.follow(t.Context())
	if first, second := <-calls, <-calls; first != "3" || second != "4" {
		t.Errorf("watches start at versions %s and %s, want 3 and 4", first, second)
	}
}

// When the discovery address changes, the old watch must stay active until the new one is answered, so that no list change
// is missed. Its end must not be reported as a failure. A second change before that must supersede the first.
func TestDiscoveryAddressChangeLeavesNoGap(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	revs, oldEnded := make(chan int64, 10), make(chan struct{})
	var failures atomic.Int32
	next := make(chan int64)
	d := &discovery{policy: longTimeoutPolicy(testTimeout), rev: 1, onList: func(l List) { revs <- l.Rev }, onFailed: func() { failures.Add(1) }}
	old := startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		go func() {
			for rev := range next {
				fmt.Fprintf(c, "{\"rev\":%d}\n", rev)
			}
		}()
		c.Read(make([]byte, 1))
		close(oldEnded)
		return false
	}).Addr().String()
	silent := listenLoopback(t).Addr().String() // accepts and never answers
	d.addr = old
	expectRev := func(rev int64) {
		t.Helper()
		if got := <-revs; got != rev {
			t.Fatalf("received version %d, want %d", got, rev)
		}
	}
	go d.poll(t.Context())
	next <- 2
	expectRev(2)
	if d.move(old) || !d.move(silent) {
		t.Error("move must report a change for another address only")
	}
	go d.poll(t.Context())
	for started := 0; started < 2; { // so that the watches start in the order of the changes
		d.mu.Lock()
		started = d.lastCall.number
		d.mu.Unlock()
	}
	next <- 3
	expectRev(3)
	d.move(startFakeDiscovery(t, func(since string, send func(List), keepAlive func()) {
		if since != "3" {
			t.Errorf("the watch starts at version %s, want 3", since)
		}
		send(List{Rev: 4})
		<-done
	}))
	go d.poll(t.Context())
	expectRev(4)
	<-oldEnded
	close(next)
	if failures.Load() > 0 {
		t.Error("the end of the old watch was reported as a failure")
	}
}

// Where the list is polled, the module decides when to call again. Each failed call must therefore be reported to it.
func TestFailedCallIsReported(t *testing.T) {
	failed := make(chan struct{}, 1)
	d := &discovery{policy: longTimeoutPolicy(testTimeout), onList: func(List) { t.Error("a list was received") }, onFailed: func() { failed <- struct{}{} }}
	for name, text := range map[string]string{
		"rejected":    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"reset":       "",
		"no list":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nno!\n",
		"bad state":   "HTTP/1.1 200 OK\r\n\r\n" + `{"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"Odd"}]}` + "\n",
		"bad address": "HTTP/1.1 200 OK\r\n\r\n" + `{"targets":[{"uid":"a","endpoint":"nowhere","state":"Ready"}]}` + "\n",
	} {
		d.addr = startServer(t, func(_ int, c net.Conn, _ *http.Request) bool { io.WriteString(c, text); return false }).Addr().String()
		d.poll(t.Context())
		select {
		case <-failed:
		default:
			t.Errorf("%s: the failure was not reported", name)
		}
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
