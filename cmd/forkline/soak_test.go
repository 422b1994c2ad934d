package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The soak runs real processes of the program under drawn faults: crowds of clients that stop, write slowly or flood, signals in
// series, endpoints that hang or reset, clients that leave and come again. What must hold whatever is drawn is checked throughout.
//
//	go test ./cmd/forkline -run TestSoak -soak.seeds 50 -v

var (
	soakSeeds = flag.Int("soak.seeds", 4, "number of seeds that TestSoak runs")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of TestSoak")
)

const (
	soakDuration   = 8 * time.Second
	soakAnswerTime = 5 * time.Second // for a response of a living process: the longest deadline, 3 s, and what a busy machine adds
	killAfterTerm  = 700 * time.Millisecond
	restartDelay   = 200 * time.Millisecond
	minSignalAge   = time.Second // of a process that handles signals; the platform sends no SIGHUP to a younger one
	maxReportedLog = 8000        // bytes
)

// soakSignal is one signal of a series.
type soakSignal struct {
	At     time.Duration
	Signal syscall.Signal
}

// soakPlan is what one seed draws. It is printed whole when a run fails.
type soakPlan struct {
	Seed              uint64
	MemoryMB, Sockets int
	Deadline          float64 // seconds; timeout of the classes
	Crowd             string  // a key of memoryClients; "" = none
	CrowdSize         int
	Flood             bool
	HangingEndpoints  int
	Signals           []soakSignal
}

func drawSoakPlan(seed uint64) soakPlan {
	r := rand.New(rand.NewPCG(seed, 28))
	limits := [][2]int{{32, 256}, {32, 1024}, {64, 672}, {192, 1024}}[r.IntN(4)]
	p := soakPlan{Seed: seed, MemoryMB: limits[0], Sockets: limits[1], Deadline: 0.3 + 2.7*r.Float64(), Flood: r.IntN(2) == 0, HangingEndpoints: r.IntN(3)}
	if r.IntN(4) > 0 {
		kinds := slices.Sorted(maps.Keys(memoryClients))
		p.Crowd, p.CrowdSize = kinds[r.IntN(len(kinds))], r.IntN(limits[1])
	}
	for at := time.Duration(r.Int64N(int64(3 * time.Second))); at < soakDuration-2*time.Second && r.IntN(5) > 0; at += time.Duration(r.Int64N(int64(1500 * time.Millisecond))) {
		p.Signals = append(p.Signals, soakSignal{at, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGHUP}[r.IntN(3)]})
	}
	return p
}

// soak is one run of a plan.
type soak struct {
	t          *testing.T
	plan       soakPlan
	addr       string
	configPath string
	bin        string

	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan error
	killed     bool // by the plan
	starts     int
	startedAt  time.Time
	problems   map[string]int  // how often each was seen
	runs       map[soakRun]int // of unsafe requests
	answers    map[int]int     // final responses by status; 0 = the connection ended
	peakMemory int
}

// soakRun identifies a request at one process. A process that is killed takes with it what it knows of the IDs that it has sent.
type soakRun struct {
	id      string
	process int
}

func (s *soak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems[fmt.Sprintf(format, args...)]++
}

// startProcess starts the program on the same address and configuration.
func (s *soak) startProcess() {
	log, err := os.OpenFile(s.configPath+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", s.plan.Sockets, s.bin))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+s.configPath)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process, s.exited, s.killed = cmd, exited, false
	s.starts++
	s.startedAt = time.Now()
}

// checkProcess records the memory and descriptors of the process, and whether it has ended by itself.
func (s *soak) checkProcess() {
	s.mu.Lock()
	p, exited, killed := s.process.Process, s.exited, s.killed
	s.mu.Unlock()
	select {
	case err := <-exited:
		exited <- err
		if !killed {
			s.problem("the process ended by itself: %v", err)
		}
		return
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return // it has just been killed
	}
	kb := residentPeak(string(status))
	s.mu.Lock()
	s.peakMemory = max(s.peakMemory, kb)
	s.mu.Unlock()
	if kb >= s.plan.MemoryMB<<10 {
		s.problem("%d KB of %d MB", kb, s.plan.MemoryMB)
	}
	if n := openDescriptors(p); n >= s.plan.Sockets {
		s.problem("%d descriptors of %d", n, s.plan.Sockets)
	}
}

// send carries out one signal of the plan, and restarts the process if it has ended.
func (s *soak) send(signal syscall.Signal) {
	s.checkProcess()
	s.mu.Lock()
	s.killed = s.killed || signal != syscall.SIGHUP
	process, exited, age := s.process.Process, s.exited, time.Since(s.startedAt)
	s.mu.Unlock()
	if signal == syscall.SIGHUP {
		if age > minSignalAge {
			process.Signal(signal)
		}
		return
	}
	process.Signal(signal)
	if signal == syscall.SIGTERM {
		limit := time.Duration(min(s.plan.Deadline, 3)*float64(time.Second)) + killAfterTerm
		select {
		case err := <-exited:
			if exited <- err; err != nil && age > minSignalAge { // a younger one may not have set its handler yet
				s.problem("exit after SIGTERM: %v", err)
			}
		case <-time.After(limit):
			process.Kill()
		}
	}
	<-exited
	time.Sleep(restartDelay)
	s.startProcess()
}

// smuggledID begins the IDs of requests that stand in the body of another message, so that no client sends them.
const smuggledID = "smuggled-"

// bodyLengthHeader tells a client how long the body of a response is, also where the endpoint has sent it without a length.
const bodyLengthHeader = "X-Body-Length"

// serveEndpoint starts an endpoint that records the runs of unsafe requests. Some requests it leaves unanswered or resets. Some
// responses have no length, and of these some are cut off by a reset.
func (s *soak) serveEndpoint(hangs bool, seed uint64) string {
	var served atomic.Uint64
	return newFakeServer(s.t, func(c net.Conn) {
		answerRequests(c, func(req *http.Request) bool { // only complete requests run
			id := req.Header.Get("X-Request-Id")
			if strings.HasPrefix(id, smuggledID) {
				s.problem("the body of a message ran as a request")
			}
			if req.Method == http.MethodPost {
				s.mu.Lock()
				s.runs[soakRun{id, s.starts}]++
				s.mu.Unlock()
			}
			n := served.Add(1) + seed
			body := strings.Repeat("x", int((n*7919)%maxBody))
			noLength := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %d\r\n\r\n", bodyLengthHeader, len(body))
			switch {
			case hangs && n%7 == 0:
				io.Copy(io.Discard, c)
				return false
			case n%23 == 0:
				c.(*net.TCPConn).SetLinger(0)
				return false
			case n%11 == 0:
				io.WriteString(c, noLength+body)
				return false
			case n%13 == 0:
				io.WriteString(c, noLength+body[:len(body)/2])
				c.(*net.TCPConn).SetLinger(0)
				return false
			}
			return writeOK(c, body)
		})
	}).addr
}

// dial connects to the process. If nothing listens, it returns nil after a pause, which limits the rate of attempts.
func (s *soak) dial() net.Conn {
	c, err := net.DialTimeout("tcp", s.addr, soakAnswerTime)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return nil
	}
	return c
}

// useConnections sends requests as a client that waits for each response, until the context ends. Now and then it leaves, and comes
// again under the same ID some time later.
func (s *soak) useConnections(ctx context.Context, client int) {
	r := rand.New(rand.NewPCG(s.plan.Seed, uint64(client)))
	var c net.Conn
	closeConn := func() {
		if c != nil {
			c.Close()
			c = nil
		}
	}
	defer closeConn()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", client, n)
		leaves := r.IntN(10) == 0
		body := r.IntN(3) * r.IntN(20000)
		for copies := range 2 {
			if c == nil {
				if c = s.dial(); c == nil {
					break
				}
			}
			fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: %s\r\nX-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
				id, s.plan.Deadline, body, make([]byte, body))
			if leaves && copies == 0 {
				time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond) // the client's patience
				closeConn()
				time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
				continue
			}
			s.readAnswer(&c, id)
			break
		}
	}
}

// readAnswer reads the response to a request. Without one the connection must at least end.
func (s *soak) readAnswer(c *net.Conn, id string) {
	(*c).SetReadDeadline(time.Now().Add(soakAnswerTime))
	res, err := http.ReadResponse(bufio.NewReader(*c), nil)
	length := int64(0)
	if err == nil {
		length, err = io.Copy(io.Discard, res.Body)
	}
	if err == nil && res.Header.Get(bodyLengthHeader) != "" && res.Header.Get(bodyLengthHeader) != fmt.Sprint(length) {
		s.problem("a response that was cut off is passed on as whole")
	}
	status := 0
	if err == nil {
		status = res.StatusCode
	} else if e, ok := err.(net.Error); ok && e.Timeout() {
		s.problem("request %s got neither a response nor a close", id)
	}
	s.mu.Lock()
	s.answers[status]++
	s.mu.Unlock()
	if err != nil || res.Close {
		(*c).Close()
		*c = nil
	}
}

// checkReadiness checks whether the process is ready, again and again, with a body that reads like a request.
func (s *soak) checkReadiness(ctx context.Context) {
	var c net.Conn
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			if c = s.dial(); c == nil {
				continue
			}
		}
		body := fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: %s%d\r\nContent-Length: 0\r\n\r\n", smuggledID, n)
		fmt.Fprintf(c, "GET /-/ready HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		s.readAnswer(&c, "of a readiness check")
		time.Sleep(20 * time.Millisecond) // the checker's interval
	}
	if c != nil {
		c.Close()
	}
}

// flood sends requests with no time left at full speed on one connection after another.
func (s *soak) flood(ctx context.Context) {
	for n := 0; ctx.Err() == nil; {
		c := s.dial()
		if c == nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		go io.Copy(io.Discard, c)
		for err := error(nil); err == nil; {
			n++
			_, err = fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: f-%d\r\nX-Deadline: 0.001\r\nContent-Length: 0\r\n\r\n", n)
		}
		stop()
		c.Close()
	}
}

// newSoak writes the configuration of a plan and starts the endpoints and the process.
func newSoak(t *testing.T, plan soakPlan) *soak {
	s := &soak{t: t, plan: plan, bin: build(t), addr: refusingAddr(t), runs: map[soakRun]int{}, answers: map[int]int{}, problems: map[string]int{}}
	var addrs []string
	for i := range 8 {
		addrs = append(addrs, s.serveEndpoint(i < plan.HangingEndpoints, plan.Seed))
	}
	disc, _ := newFakeDiscovery(t, func() string { return listJSON(2, addrs...) })
	timeout := 1000 * plan.Deadline
	text, err := json.Marshal(map[string]any{
		"name": "n", "seed": fmt.Sprint(plan.Seed), "listen": s.addr, "discovery": disc.addr, "known": json.RawMessage(listJSON(1, addrs...)),
		"limits": map[string]any{"cores": 1, "memory_mb": plan.MemoryMB, "sockets": plan.Sockets},
		"settings": map[string]any{
			"balancers": 2, "stages": []string{"a"}, "zones": []string{"z"}, "membershipMode": "on_request",
			"limits": map[string]any{"maxAttempts": 3, "cancel": true, "connectTimeout": 250, "connIdle": 10000, "retryAfter": true},
			"safety": map[string]any{"answerSlack": 20, "drainGrace": 500, "askEvery": 5000},
			"classes": []any{
				map[string]any{"name": "read", "aim": timeout / 2, "giveUp": timeout, "effect": "read_like"},
				map[string]any{"name": "pay", "aim": timeout / 2, "giveUp": timeout, "effect": "non_idempotent"},
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.configPath = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(s.configPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s.startProcess()
	t.Cleanup(func() { s.process.Process.Kill(); <-s.exited })
	return s
}

// run carries out the plan and returns once all clients have ended.
func (s *soak) run() {
	ctx, cancel := context.WithTimeout(s.t.Context(), soakDuration)
	defer cancel()
	startedAt := time.Now()
	var wg sync.WaitGroup
	for client := range 8 {
		wg.Go(func() { s.useConnections(ctx, client) })
	}
	wg.Go(func() { s.checkReadiness(ctx) })
	if s.plan.Flood {
		wg.Go(func() { s.flood(ctx) })
	}
	if s.plan.Crowd != "" {
		wg.Go(func() { runClients(s.addr, s.plan.CrowdSize, 1, memoryClients[s.plan.Crowd]) })
	}
	wg.Go(func() {
		for _, signal := range s.plan.Signals {
			time.Sleep(time.Until(startedAt.Add(signal.At)))
			s.send(signal.Signal)
		}
	})
	wg.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			s.checkProcess()
		}
	})
	wg.Wait()
}

// Guards against faults that show only together: whatever is drawn, no process may end by itself or pass its limits, nothing unsafe may
// run twice, nothing may run that no client sent, no response may be passed on that was cut off, each request must get a response or a
// close, and service must come back.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		plan := drawSoakPlan(*soakFirst + uint64(i))
		t.Run(fmt.Sprint("seed ", plan.Seed), func(t *testing.T) {
			s := newSoak(t, plan)
			defer s.report()
			eventually(t, "readiness", func() bool { return sendRequest(s.addr, "/-/ready") == 200 })
			s.run()
			id := 0
			eventually(t, "a request served afterwards", func() bool { id++; return sendRead(s.addr, fmt.Sprint("after-", id)) == 200 })
			s.checkProcess()
			for run, count := range s.runs {
				if count > 1 {
					s.problem("request %s ran %d times", run.id, count)
				}
			}
		})
	}
}

// report reports the problems of a run, if there were any, with the plan and the end of the log.
func (s *soak) report() {
	for problem, count := range s.problems {
		s.t.Errorf("%s (%d times)", problem, count)
	}
	if s.t.Failed() {
		text, _ := os.ReadFile(s.configPath + ".log")
		s.t.Logf("plan %+v\nlog:\n%s", s.plan, text[max(0, len(text)-maxReportedLog):])
	}
	s.t.Logf("peak %d KB of %d MB, %d signals, crowd %q of %d, answers %v", s.peakMemory, s.plan.MemoryMB, len(s.plan.Signals), s.plan.Crowd, s.plan.CrowdSize, s.answers)
}
