package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"forkline"
	"forkline/internal/wire"
)

const testTimeout = 10 * time.Second // longer than any wait in a test that passes

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

// longTimeoutConfig is like testConfig, but the timeout of read requests is longer than any test takes.
func longTimeoutConfig(t *testing.T, addrs ...string) Config {
	cfg := testConfig(t, addrs...)
	c := &cfg.Site.Settings.Classes[0]
	c.TargetLatency, c.Timeout = 10*float64(testTimeout.Milliseconds()), 10*float64(testTimeout.Milliseconds())
	cfg.Site.Settings.Limits.ConnectTimeout = c.Timeout
	return cfg
}

// silentListener returns the listener of a discovery that never answers. It stays open until the program ends, because a
// sidecar may call discovery for a while after its test and must not reach a listener of another test.
var silentListener = sync.OnceValue(func() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln
})

// silentAddr returns the address of a discovery that never answers.
func silentAddr() string { return silentListener().Addr().String() }

// startSidecar runs a sidecar until the test ends. It uses the initial list at once.
func startSidecar(t *testing.T, cfg Config) *Sidecar {
	t.Helper()
	return startConfiguredSidecar(t, cfg, nil)
}

// newSidecar returns a sidecar that uses the initial list at once and does not run yet. If configure is not nil, it is called
// with the sidecar.
func newSidecar(t *testing.T, cfg Config, configure func(*Sidecar)) *Sidecar {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
	if configure != nil {
		configure(s)
	}
	return s
}

// startConfiguredSidecar runs a sidecar as startSidecar does. If configure is not nil, it is called before the sidecar runs.
func startConfiguredSidecar(t *testing.T, cfg Config, configure func(*Sidecar)) *Sidecar {
	t.Helper()
	s := newSidecar(t, cfg, configure)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() { s.discovery.move(silentAddr()); s.front.drainAcceptTime = 0; cancel() })
	return s
}

// startWithoutDrain runs the parts of a sidecar as Run does, for a test that drains it itself.
func startWithoutDrain(t *testing.T, respond func(n int, c net.Conn, r *http.Request) bool, configure func(*Sidecar)) *Sidecar {
	t.Helper()
	cfg := testConfig(t, startServer(t, respond).Addr().String())
	cfg.Site.Settings.Classes[1].Timeout = 60000 // ms; long enough that no wait ends by it
	s := newSidecar(t, cfg, configure)
	go s.loop.run()
	t.Cleanup(func() { close(s.loop.done) })
	s.loop.post(func() { s.loop.updateList(cfg.InitialList, forkline.ListCached) })
	go s.front.serve(s.listener)
	return s
}

// startWithRecordingServer starts a sidecar with one endpoint, which serves every request. It returns the sidecar and the
// IDs of the requests that reach the endpoint. If configure is not nil, it is called before the sidecar runs.
func startWithRecordingServer(t *testing.T, configure func(*Sidecar)) (*Sidecar, chan string) {
	t.Helper()
	received := make(chan string, 1000)
	ln := startServer(t, func(n int, c net.Conn, r *http.Request) bool {
		received <- r.Header.Get("X-Request-Id")
		return echo(n, c, r)
	})
	return startConfiguredSidecar(t, longTimeoutConfig(t, ln.Addr().String()), configure), received
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

// readUntilClose waits until the sidecar closes the connection and returns everything that it wrote.
func (c *client) readUntilClose(t *testing.T) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	text, err := io.ReadAll(c.reader)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatalf("the connection is still open after %q", text)
	}
	return string(text)
}

func (c *client) readStatus(t *testing.T) int {
	t.Helper()
	res, _ := c.readResponse(t)
	return res.StatusCode
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

// listenLoopback opens a loopback listener that is closed when the test ends.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// acceptConns calls handle for each connection to a listener until that is closed, with the number of the connection, which
// counts from 0. The next connection is accepted once handle has returned.
func acceptConns(ln net.Listener, handle func(n int, c net.Conn)) {
	for n := 0; ; n++ {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		handle(n, c)
	}
}

// startServer starts an HTTP server on loopback that passes each request to handle, with the number of its connection,
// which counts from 0. It closes the connection when handle returns false.
func startServer(t *testing.T, handle func(n int, c net.Conn, req *http.Request) (more bool)) net.Listener {
	t.Helper()
	ln := listenLoopback(t)
	go acceptConns(ln, func(n int, c net.Conn) { go serveRequests(n, c, handle) })
	return ln
}

// serveRequests passes the requests of one connection to handle until that returns false or the connection ends.
func serveRequests(n int, c net.Conn, handle func(n int, c net.Conn, req *http.Request) (more bool)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if !handle(n, c, req) {
			return
		}
	}
}

// notRunResponse is a response that marks its request as not run.
const notRunResponse = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// respondWith returns a handler for startServer that answers every request with the given text.
func respondWith(text string) func(n int, c net.Conn, req *http.Request) bool {
	return func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, text)
		return true
	}
}

// echo answers every request with its method, URI, ID and idempotency key.
func echo(_ int, c net.Conn, r *http.Request) bool {
	body := fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Request-Id"), " ", r.Header.Get("Idempotency-Key"))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return true
}

// eventually waits until the condition holds and fails the test if that takes too long. The text says what is awaited.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// Guards against tests that get the calls of other tests' sidecars: a listener that nothing refers to is closed by the garbage
// collector, and its port is given to another one.
func TestSilentListenerStaysOpen(t *testing.T) {
	addr := silentAddr()
	for range 3 { // the first collection finds a listener without references, a later one has run its finalizer
		runtime.GC()
		runtime.Gosched()
	}
	if ln, err := net.Listen("tcp", addr); err == nil {
		ln.Close()
		t.Error("the address of the silent discovery is free")
	}
}
