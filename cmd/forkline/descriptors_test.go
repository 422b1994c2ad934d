package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Tests of the program in its own process, with a descriptor limit that the system enforces.

const (
	descriptorLimit = 256              // the smallest limit that the program has to run with
	testTimeout     = 20 * time.Second // longer than any wait of a test that passes
)

// eventually waits until the condition is true and fails the test after testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// settingsFor returns the settings of a tier with one class and the given membership mode, push or on_request.
func settingsFor(mode string) json.RawMessage {
	return json.RawMessage(`{"balancers":2,"stages":["a"],"zones":["z"],"membershipMode":"` + mode + `",
		"limits":{"maxAttempts":3,"cancel":true,"connectTimeout":250,"connIdle":10000},
		"safety":{"answerSlack":20,"drainGrace":500,"askEvery":5000},
		"classes":[{"name":"read","aim":5000,"giveUp":20000,"effect":"read_like"}]}`)
}

// startLimited runs the program until the test ends. It is configured with descriptorLimit, and the system allows it
// maxDescriptors. It returns the process, its address and the path of its configuration file.
func startLimited(t *testing.T, maxDescriptors int, cfg map[string]any) (p *os.Process, addr, path string) {
	t.Helper()
	return startWithLimits(t, 192, descriptorLimit, maxDescriptors, cfg)
}

// startWithLimits runs the program as startLimited does, configured with the given limits.
func startWithLimits(t *testing.T, memoryMB, sockets, maxDescriptors int, cfg map[string]any) (p *os.Process, addr, path string) {
	t.Helper()
	if cfg["seed"], cfg["name"] = "1", "n"; cfg["listen"] == nil {
		cfg["listen"] = "127.0.0.1:0"
	}
	cfg["limits"] = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets}
	text, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", maxDescriptors, build(t)))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines, logRead := bufio.NewScanner(stderr), make(chan struct{})
	t.Cleanup(func() { cmd.Process.Kill(); <-logRead; cmd.Wait() })
	addr = waitForLog(t, lines, `serving.* listen=(\S+)`)
	go func() {
		defer close(logRead)
		for lines.Scan() { // a full pipe would block the program
			if strings.Contains(lines.Text(), syscall.EMFILE.Error()) {
				t.Error(lines.Text())
			}
		}
	}()
	return cmd.Process, addr, path
}

// openDescriptors returns the number of descriptors that a process has open.
func openDescriptors(p *os.Process) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid))
	return len(entries)
}

// fakeServer serves connections on one address. It can be stopped and then started again on the same address.
type fakeServer struct {
	t     *testing.T
	addr  string
	serve func(net.Conn)
	mu    sync.Mutex
	ln    net.Listener
	conns []net.Conn
}

func newFakeServer(t *testing.T, serve func(net.Conn)) *fakeServer {
	s := &fakeServer{t: t, addr: "127.0.0.1:0", serve: serve}
	s.start()
	s.addr = s.ln.Addr().String()
	t.Cleanup(s.stop)
	return s
}

func (s *fakeServer) start() {
	s.t.Helper()
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go func() { defer c.Close(); s.serve(c) }()
		}
	}()
}

func (s *fakeServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln.Close()
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// answerRequests passes each complete request of a connection to answer, until that returns false or the connection ends.
func answerRequests(c net.Conn, answer func(*http.Request) (more bool)) {
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !answer(req) {
			return
		}
	}
}

// writeOK writes a response with a body and reports whether that succeeded.
func writeOK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// newEndpoint starts an endpoint that answers every request after serviceTime.
func newEndpoint(t *testing.T, serviceTime time.Duration) *fakeServer {
	return newEndpointWithBody(t, serviceTime, "ok")
}

// newEndpointWithBody starts an endpoint that answers every request after serviceTime with the given body.
func newEndpointWithBody(t *testing.T, serviceTime time.Duration, body string) *fakeServer {
	return newFakeServer(t, func(c net.Conn) {
		answerRequests(c, func(*http.Request) bool {
			time.Sleep(serviceTime)
			return writeOK(c, body)
		})
	})
}

// newFakeDiscovery starts a discovery server that sends the list to each watch and keeps the watch open. It counts the
// watches.
func newFakeDiscovery(t *testing.T, list func() string) (*fakeServer, *atomic.Int32) {
	var watches atomic.Int32
	return newFakeServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		watches.Add(1)
		for text := "HTTP/1.1 200 OK\r\n\r\n" + list(); ; text = "" {
			if _, err := io.WriteString(c, text+"\n"); err != nil {
				return
			}
			time.Sleep(time.Second) // interval of the empty lines that keep a watch alive
		}
	}), &watches
}

// listJSON returns a full list in the format of discovery.
func listJSON(rev int, addrs ...string) string {
	var targets []string
	for i, addr := range addrs {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d-%s","endpoint":%q,"az":"z","state":"Ready"}`, i, addr, addr))
	}
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, rev, strings.Join(targets, ","))
}

// holdConnections keeps count connections open until the test ends, and sends firstBytes on each. It replaces connections
// that the program closes and returns their number so far.
func holdConnections(t *testing.T, addr string, count int, firstBytes string) *atomic.Int64 {
	var ended atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for range count {
		wg.Go(func() {
			for ctx.Err() == nil {
				if c, err := net.Dial("tcp", addr); err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					io.WriteString(c, firstBytes)
					io.Copy(io.Discard, c)
					stop()
					c.Close()
					ended.Add(1)
				} else {
					time.Sleep(time.Millisecond) // limits the rate of attempts while nothing listens
				}
			}
		})
	}
	return &ended
}

// sendRequest sends a GET request on a new connection and returns the status of the response, or 0 if there is none.
func sendRequest(addr, path string, headers ...string) int {
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: b\r\n%s\r\n", path, strings.Join(headers, ""))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// sendRead sends a request of the class read with the given ID.
func sendRead(addr string, id any) int {
	return sendRequest(addr, "/read/x", "X-Class: read\r\n", fmt.Sprintf("X-Request-Id: %v\r\n", id), "X-Deadline: 20\r\n")
}

// trackDescriptors samples the number of open descriptors of a process until the test ends. The function that it returns
// returns the maximum so far.
func trackDescriptors(t *testing.T, p *os.Process) func() int {
	ctx, cancel := context.WithCancel(context.Background())
	var seen atomic.Int64
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done })
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			seen.Store(max(seen.Load(), int64(openDescriptors(p))))
			time.Sleep(time.Millisecond)
		}
	}()
	return func() int { return int(seen.Load()) }
}

// Clients with idle connections exhaust the descriptors while discovery is down. Readiness must be answered meanwhile, and
// a request must succeed within a few tries, as its connection may be closed unread. When discovery is back, it must be
// watched again and attempts must go to the endpoints that it lists.
func TestIdleConnectionsWhileDiscoveryIsDown(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		for name, firstBytes := range map[string]string{"silent": "", "partial request": "GET /re"} {
			t.Run(mode+"/"+name, func(t *testing.T) {
				old, added := newEndpoint(t, 0), newEndpoint(t, 0)
				var addedListed atomic.Bool
				disc, watches := newFakeDiscovery(t, func() string {
					if addedListed.Load() {
						return listJSON(2, added.addr)
					}
					return ""
				})
				p, addr, _ := startLimited(t, descriptorLimit, map[string]any{
					"discovery": disc.addr, "known": json.RawMessage(listJSON(1, old.addr)), "settings": settingsFor(mode),
				})
				eventually(t, "readiness", func() bool { return sendRequest(addr, "/-/ready") == 200 })
				eventually(t, "a watch", func() bool { return watches.Load() > 0 })
				maxOpen := trackDescriptors(t, p)
				disc.stop()
				holdConnections(t, addr, descriptorLimit, firstBytes)
				eventually(t, "more than half of the descriptors in use", func() bool { return maxOpen() > descriptorLimit/2 })
				eventually(t, "readiness with idle connections", func() bool { return sendRequest(addr, "/-/ready") == 200 })
				id := 0
				waitServed := func(condition string) {
					t.Helper()
					eventually(t, "a successful request "+condition, func() bool { id++; return sendRead(addr, id) == 200 })
				}
				waitServed("while discovery is down")
				addedListed.Store(true)
				before := watches.Load()
				disc.start()
				eventually(t, "a watch after discovery is back", func() bool { return watches.Load() > before })
				old.stop() // so that only the endpoint in the new list can serve
				waitServed("with the new list")
				eventually(t, "readiness at the end", func() bool { return sendRequest(addr, "/-/ready") == 200 })
				if n := maxOpen(); n >= descriptorLimit {
					t.Errorf("%d descriptors open, the limit is %d", n, descriptorLimit)
				}
			})
		}
	}
}

// The system allows fewer descriptors than configured. Idle client connections must not take the descriptors that
// discovery needs.
func TestFewerDescriptorsThanConfigured(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			old, added := newEndpoint(t, 0), newEndpoint(t, 0)
			disc, watches := newFakeDiscovery(t, func() string { return listJSON(2, added.addr) })
			disc.stop()
			_, addr, _ := startLimited(t, descriptorLimit/2, map[string]any{
				"discovery": disc.addr, "known": json.RawMessage(listJSON(1, old.addr)), "settings": settingsFor(mode),
			})
			eventually(t, "readiness", func() bool { return sendRequest(addr, "/-/ready") == 200 })
			ended := holdConnections(t, addr, descriptorLimit, "")
			eventually(t, "connections to be closed for lack of descriptors", func() bool { return ended.Load() > descriptorLimit })
			disc.start()
			eventually(t, "a watch", func() bool { return watches.Load() > 0 })
			old.stop()
			id := 0
			eventually(t, "a successful request with the new list", func() bool { id++; return sendRead(addr, id) == 200 })
			eventually(t, "readiness with idle connections", func() bool { return sendRequest(addr, "/-/ready") == 200 })
		})
	}
}

// Clients try to open idle connections before the program starts, and discovery is down. The program must become ready and
// serve requests.
func TestReadyDespiteIdleConnectionsAtStart(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		for name, firstBytes := range map[string]string{"silent": "", "partial request": "GET /re"} {
			t.Run(mode+"/"+name, func(t *testing.T) {
				disc, _ := newFakeDiscovery(t, func() string { return "" })
				disc.stop()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				ln.Close()
				holdConnections(t, ln.Addr().String(), descriptorLimit, firstBytes)
				p, addr, _ := startLimited(t, descriptorLimit, map[string]any{
					"discovery": disc.addr, "known": json.RawMessage(listJSON(1, newEndpoint(t, 0).addr)),
					"settings": settingsFor(mode), "listen": ln.Addr().String(),
				})
				maxOpen := trackDescriptors(t, p)
				eventually(t, "readiness", func() bool { return sendRequest(addr, "/-/ready") == 200 })
				id := 0
				eventually(t, "a successful request", func() bool { id++; return sendRead(addr, id) == 200 })
				if n := maxOpen(); n >= descriptorLimit {
					t.Errorf("%d descriptors open, the limit is %d", n, descriptorLimit)
				}
			})
		}
	}
}

// Everything that uses descriptors happens at once: idle connections and partial requests, requests in flight at many
// endpoints, dials that hang, clients that disconnect, lingering responses, and discovery address changes during calls.
// The total must stay below the limit, so that no operation fails for lack of a descriptor.
func TestDescriptorsStayBelowTheLimit(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		t.Run(mode, func(t *testing.T) { fillDescriptors(t, mode) })
	}
}

// fillDescriptors runs the test in the given membership mode.
func fillDescriptors(t *testing.T, mode string) {
	var addrs []string
	for range 60 {
		addrs = append(addrs, newEndpoint(t, 100*time.Millisecond).addr)
	}
	for range 20 {
		addrs = append(addrs, unacceptingAddr(t))
	}
	disc, _ := newFakeDiscovery(t, func() string { return listJSON(1, addrs...) })
	silent := func() string { return newFakeServer(t, func(c net.Conn) { io.Copy(io.Discard, c) }).addr }
	discoveryAddrs := []string{silent(), silent()}
	p, addr, path := startLimited(t, descriptorLimit, map[string]any{
		"discovery": disc.addr, "known": json.RawMessage(listJSON(1, addrs...)), "settings": settingsFor(mode),
	})
	maxOpen := trackDescriptors(t, p)
	eventually(t, "readiness", func() bool { return sendRequest(addr, "/-/ready") == 200 })
	holdConnections(t, addr, descriptorLimit, "")
	holdConnections(t, addr, descriptorLimit/4, "GET /re")
	holdConnections(t, addr, descriptorLimit/4, "BAD\r\n\r\n"+strings.Repeat("x", 100))
	ctx, cancel := context.WithCancel(context.Background())
	var served atomic.Int32
	var wg sync.WaitGroup
	for i := range descriptorLimit / 3 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if n%4 == 3 { // disconnects without reading the response
					if c, err := net.Dial("tcp", addr); err == nil {
						fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: b\r\nX-Class: read\r\nX-Request-Id: l-%d-%d\r\n\r\n", i, n)
						c.Close()
					}
				} else if sendRead(addr, fmt.Sprint(i, "-", n)) == 200 {
					served.Add(1)
				}
			}
		})
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for range 8 {
		for _, newAddr := range discoveryAddrs {
			changed := strings.ReplaceAll(string(text), disc.addr, newAddr)
			if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
				t.Fatal(err)
			}
			p.Signal(syscall.SIGHUP)
			before := served.Load()
			eventually(t, "requests served", func() bool { return served.Load() >= before+descriptorLimit/8 })
		}
	}
	cancel()
	wg.Wait()
	t.Logf("at most %d descriptors open, %d requests served", maxOpen(), served.Load())
	if n := maxOpen(); n >= descriptorLimit {
		t.Errorf("%d descriptors open, the limit is %d", n, descriptorLimit)
	}
}

// unacceptingAddr returns the address of an endpoint that accepts no connections and whose backlog is full, so that dials
// hang.
func unacceptingAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial("tcp", ln.Addr().String()) // a backlog of 0 holds one connection
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close() })
	return ln.Addr().String()
}
