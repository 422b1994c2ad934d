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

// Tests of the program as a process of its own, held to a descriptor limit by the system.

const (
	limit = 256              // descriptors, the least of a scored day
	long  = 20 * time.Second // no test that passes waits for so long
)

// eventually waits until what is asked for holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not seen: " + what)
		}
	}
}

// settingsOf are those of a tier with one class, whose list comes in the way of the mode.
func settingsOf(mode string) json.RawMessage {
	return json.RawMessage(`{"balancers":2,"stages":["a"],"zones":["z"],"membershipMode":"` + mode + `",
		"limits":{"maxAttempts":3,"cancel":true,"connectTimeout":250,"connIdle":10000},
		"safety":{"answerSlack":20,"drainGrace":500,"askEvery":5000},
		"classes":[{"name":"read","aim":5000,"giveUp":20000,"effect":"read_like"}]}`)
}

// limited runs the program until the test ends, told the limit and allowed so many descriptors. It returns the process, its address and its
// configuration file.
func limited(t *testing.T, allowed int, cfg map[string]any) (p *os.Process, addr, path string) {
	t.Helper()
	if cfg["seed"], cfg["name"] = "1", "n"; cfg["listen"] == nil {
		cfg["listen"] = "127.0.0.1:0"
	}
	cfg["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": limit}
	text, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", allowed, build(t)))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines, read := bufio.NewScanner(stderr), make(chan struct{})
	t.Cleanup(func() { cmd.Process.Kill(); <-read; cmd.Wait() })
	addr = logged(t, lines, `serving.* listen=(\S+)`)
	go func() {
		defer close(read)
		for lines.Scan() { // or the program would wait for its log to be read
			if strings.Contains(lines.Text(), syscall.EMFILE.Error()) {
				t.Error(lines.Text())
			}
		}
	}()
	return cmd.Process, addr, path
}

// descriptors counts those that a process holds.
func descriptors(p *os.Process) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid))
	return len(all)
}

// standIn serves connections on one address until it goes away, and again after its return.
type standIn struct {
	t     *testing.T
	addr  string
	serve func(net.Conn)
	mu    sync.Mutex
	ln    net.Listener
	conns []net.Conn
}

func newStandIn(t *testing.T, serve func(net.Conn)) *standIn {
	s := &standIn{t: t, addr: "127.0.0.1:0", serve: serve}
	s.returns()
	s.addr = s.ln.Addr().String()
	t.Cleanup(s.goes)
	return s
}

func (s *standIn) returns() {
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

func (s *standIn) goes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln.Close()
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// endpoint answers every request after a while.
func endpoint(t *testing.T, work time.Duration) *standIn {
	return newStandIn(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			time.Sleep(work)
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
}

// follower is a discovery stand-in: each watch gets the list and stays open. It counts the watches.
func follower(t *testing.T, list func() string) (*standIn, *atomic.Int32) {
	var watches atomic.Int32
	return newStandIn(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		watches.Add(1)
		for text := "HTTP/1.1 200 OK\r\n\r\n" + list(); ; text = "" {
			if _, err := io.WriteString(c, text+"\n"); err != nil {
				return
			}
			time.Sleep(time.Second) // the beat of a watch
		}
	}), &watches
}

// listOf is a whole list in discovery's form.
func listOf(rev int, addrs ...string) string {
	var targets []string
	for i, addr := range addrs {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d-%s","endpoint":%q,"az":"z","state":"Ready"}`, i, addr, addr))
	}
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, rev, strings.Join(targets, ","))
}

// crowd holds so many connections open until the test ends, each with the first bytes of something, and opens another
// for each that is ended. It counts those.
func crowd(t *testing.T, addr string, many int, first string) *atomic.Int64 {
	var ended atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	t.Cleanup(func() { cancel(); all.Wait() })
	for range many {
		all.Go(func() {
			for ctx.Err() == nil {
				if c, err := net.Dial("tcp", addr); err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					io.WriteString(c, first)
					io.Copy(io.Discard, c)
					stop()
					c.Close()
					ended.Add(1)
				} else {
					time.Sleep(time.Millisecond) // spares the processor while nobody listens
				}
			}
		})
	}
	return &ended
}

// request sends one on a new connection and tells the status of the answer; 0 if there is none.
func request(addr, path string, headers ...string) int {
	c, err := net.DialTimeout("tcp", addr, long)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(long))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: b\r\n%s\r\n", path, strings.Join(headers, ""))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

func read(addr string, id any) int {
	return request(addr, "/read/x", "X-Class: read\r\n", fmt.Sprintf("X-Request-Id: %v\r\n", id), "X-Deadline: 20\r\n")
}

// most watches how many descriptors a process holds and returns the most seen so far.
func most(t *testing.T, p *os.Process) func() int {
	ctx, cancel := context.WithCancel(context.Background())
	var seen atomic.Int64
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done })
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			seen.Store(max(seen.Load(), int64(descriptors(p))))
			time.Sleep(time.Millisecond)
		}
	}()
	return func() int { return int(seen.Load()) }
}

// Clients that hold connections for nothing fill the descriptors while discovery is away. Readiness is answered then;
// requests get through at a try or a few, as a connection may be closed unread; when discovery is back, it is watched
// in time and attempts go to what it tells.
func TestACrowdWhileDiscoveryIsAway(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		for name, first := range map[string]string{"silent": "", "half a request": "GET /re"} {
			t.Run(mode+"/"+name, func(t *testing.T) {
				old, added := endpoint(t, 0), endpoint(t, 0)
				var returned atomic.Bool
				disc, watches := follower(t, func() string {
					if returned.Load() {
						return listOf(2, added.addr)
					}
					return ""
				})
				p, addr, _ := limited(t, limit, map[string]any{
					"discovery": disc.addr, "known": json.RawMessage(listOf(1, old.addr)), "settings": settingsOf(mode),
				})
				eventually(t, "readiness", func() bool { return request(addr, "/-/ready") == 200 })
				eventually(t, "a watch", func() bool { return watches.Load() > 0 })
				seen := most(t, p)
				disc.goes()
				crowd(t, addr, limit, first)
				eventually(t, "full descriptors", func() bool { return seen() > limit/2 })
				eventually(t, "readiness in the crowd", func() bool { return request(addr, "/-/ready") == 200 })
				id := 0
				serves := func(when string) {
					t.Helper()
					eventually(t, "a request served "+when, func() bool { id++; return read(addr, id) == 200 })
				}
				serves("while discovery is away")
				returned.Store(true)
				before := watches.Load()
				disc.returns()
				eventually(t, "a watch after the return", func() bool { return watches.Load() > before })
				old.goes() // so that only what the watch tells can serve
				serves("by the new list")
				eventually(t, "readiness at the end", func() bool { return request(addr, "/-/ready") == 200 })
				if n := seen(); n >= limit {
					t.Errorf("%d descriptors held, the limit is %d", n, limit)
				}
			})
		}
	}
}

// The system allows fewer descriptors than the settings tell: a crowd does not take those that discovery needs.
func TestFewerDescriptorsThanTold(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			old, added := endpoint(t, 0), endpoint(t, 0)
			disc, watches := follower(t, func() string { return listOf(2, added.addr) })
			disc.goes()
			_, addr, _ := limited(t, limit/2, map[string]any{
				"discovery": disc.addr, "known": json.RawMessage(listOf(1, old.addr)), "settings": settingsOf(mode),
			})
			eventually(t, "readiness", func() bool { return request(addr, "/-/ready") == 200 })
			ended := crowd(t, addr, limit, "")
			eventually(t, "no room for the crowd", func() bool { return ended.Load() > limit })
			disc.returns()
			eventually(t, "a watch", func() bool { return watches.Load() > 0 })
			old.goes()
			id := 0
			eventually(t, "a request served by the new list", func() bool { id++; return read(addr, id) == 200 })
			eventually(t, "readiness in the crowd", func() bool { return request(addr, "/-/ready") == 200 })
		})
	}
}

// A crowd is there before the process is, and discovery is not: it gets ready all the same, and serves.
func TestReadyInACrowdFromTheStart(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		for name, first := range map[string]string{"silent": "", "half a request": "GET /re"} {
			t.Run(mode+"/"+name, func(t *testing.T) {
				disc, _ := follower(t, func() string { return "" })
				disc.goes()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				ln.Close()
				crowd(t, ln.Addr().String(), limit, first)
				p, addr, _ := limited(t, limit, map[string]any{
					"discovery": disc.addr, "known": json.RawMessage(listOf(1, endpoint(t, 0).addr)),
					"settings": settingsOf(mode), "listen": ln.Addr().String(),
				})
				seen := most(t, p)
				eventually(t, "readiness", func() bool { return request(addr, "/-/ready") == 200 })
				id := 0
				eventually(t, "a request served", func() bool { id++; return read(addr, id) == 200 })
				if n := seen(); n >= limit {
					t.Errorf("%d descriptors held, the limit is %d", n, limit)
				}
			})
		}
	}
}

// All that takes descriptors at once: idle and half-sent connections, requests out at many endpoints, dials that do not
// come up, clients that leave, answers that linger, and a discovery that moves while calls to it wait. The sum stays
// below the limit, so that none of them ever fails for want of one.
func TestDescriptorsStayBelowTheLimit(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		t.Run(mode, func(t *testing.T) { fillDescriptors(t, mode) })
	}
}

func fillDescriptors(t *testing.T, mode string) {
	var addrs []string
	for range 60 {
		addrs = append(addrs, endpoint(t, 100*time.Millisecond).addr)
	}
	for range 20 {
		addrs = append(addrs, neverComesUp(t))
	}
	disc, _ := follower(t, func() string { return listOf(1, addrs...) })
	silent := func() string { return newStandIn(t, func(c net.Conn) { io.Copy(io.Discard, c) }).addr }
	moves := []string{silent(), silent()}
	p, addr, path := limited(t, limit, map[string]any{
		"discovery": disc.addr, "known": json.RawMessage(listOf(1, addrs...)), "settings": settingsOf(mode),
	})
	seen := most(t, p)
	eventually(t, "readiness", func() bool { return request(addr, "/-/ready") == 200 })
	crowd(t, addr, limit, "")
	crowd(t, addr, limit/4, "GET /re")
	crowd(t, addr, limit/4, "BAD\r\n\r\n"+strings.Repeat("x", 100))
	ctx, cancel := context.WithCancel(context.Background())
	var served atomic.Int32
	var all sync.WaitGroup
	for i := range limit / 3 {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if n%4 == 3 { // leaves
					if c, err := net.Dial("tcp", addr); err == nil {
						fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: b\r\nX-Class: read\r\nX-Request-Id: l-%d-%d\r\n\r\n", i, n)
						c.Close()
					}
				} else if read(addr, fmt.Sprint(i, "-", n)) == 200 {
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
		for _, to := range moves {
			moved := strings.ReplaceAll(string(text), disc.addr, to)
			if err := os.WriteFile(path, []byte(moved), 0o600); err != nil {
				t.Fatal(err)
			}
			p.Signal(syscall.SIGHUP)
			before := served.Load()
			eventually(t, "requests served", func() bool { return served.Load() >= before+limit/8 })
		}
	}
	cancel()
	all.Wait()
	t.Logf("%d descriptors at most, %d requests served", seen(), served.Load())
	if n := seen(); n >= limit {
		t.Errorf("%d descriptors held, the limit is %d", n, limit)
	}
}

// neverComesUp is the address of an endpoint whose backlog is full.
func neverComesUp(t *testing.T) string {
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
	filler, err := net.Dial("tcp", ln.Addr().String()) // a backlog of 0 has room for one
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close() })
	return ln.Addr().String()
}
