package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun marks an error of the test's own surroundings: the case could not run.
var errCannotRun = errors.New("the case could not run")

// record is the file in which a case writes down what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes one line with the time since the start of the case, in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// target is one entry of the list of endpoints, in the form of PROTOCOL.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

type targetList struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// class is one class of the settings.
func class(name, effect string, giveUp float64) map[string]any {
	return map[string]any{
		"name": name, "aim": 2500.0, "giveUp": giveUp, "effect": effect, "group": "cell", "dedupWindow": 10000.0,
		"lateWorth": 0.2, "stream": false, "worth": 8.0,
	}
}

// settings returns the settings of the example in WIRE for the front of one data centre, with the given classes.
func settings(classes ...any) map[string]any {
	return map[string]any{
		"balancers": 1, "rank": 0, "stage": 0, "stages": []string{"orders", "stock"}, "locality": 0,
		"zones": []string{"dc-muenchen"}, "kinds": []string{"orders-fast", "orders-slow"},
		"membershipMode": "on_request", "serviceType": "chain", "worthBy": "work", "weights": "rough",
		"classes": classes, "clients": map[string]any{"marksRetry": true}, "parties": []any{},
		"feedback": map[string]any{"fields": []string{}, "source": "off"},
		"limits": map[string]any{
			"cancel": true, "connIdle": 30000.0, "connectTimeout": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 639286,
			"maxAttempts": 3, "maxRetryAfter": 2000.0, "mayTell": true, "openCap": 31964, "probing": true,
			"retryAfter": true, "secondCopies": true, "streamsPerConn": 1,
		},
		"safety": map[string]any{
			"answerSlack": 20.0, "askEvery": 10000.0, "coldFrom": 0.35, "drainGrace": 750.0, "fallMultiple": 3.0,
			"rampTime": 8700.0, "tipAfter": 2000.0,
		},
	}
}

// sidecarProcess is one real sidecar, started by the run command of the deploy file.
type sidecarProcess struct {
	cmd    *exec.Cmd
	addr   string
	config map[string]any
	path   string
	exited chan struct{}
}

// startSidecar starts a sidecar on a free loopback port and waits until it is ready.
func startSidecar(rec *record, dir, discoveryAddr string, known targetList, memoryMB, sockets int, settings map[string]any) (*sidecarProcess, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	p := &sidecarProcess{addr: addr, path: filepath.Join(dir, "config.json"), exited: make(chan struct{})}
	p.config = map[string]any{
		"name": "n0", "listen": addr, "discovery": discoveryAddr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "known": known, "settings": settings,
	}
	text, err := json.Marshal(p.config)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.path, text, 0o600); err != nil {
		return nil, err
	}
	run, err := runCommand("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "sidecar.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", run) // the shell is replaced by the sidecar
	p.cmd.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+addr, "RELAY_DISCOVERY="+discoveryAddr,
		"RELAY_CONFIG="+p.path, "TMPDIR="+dir)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.cmd.Wait(); close(p.exited) }()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.exited:
			return nil, fmt.Errorf("the sidecar ended while starting")
		default:
		}
		if res, err := client.Get("http://" + addr + "/-/ready"); err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				rec.add("the sidecar is ready")
				return p, nil
			}
		}
	}
	p.stop()
	return nil, fmt.Errorf("the sidecar was not ready within 20 s")
}

// running reports whether the process has not ended.
func (p *sidecarProcess) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// holdUp stops the process for a time.
func (p *sidecarProcess) holdUp(d time.Duration) {
	p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.cmd.Process.Signal(syscall.SIGCONT)
}

// stop kills the process and waits for its end.
func (p *sidecarProcess) stop() {
	p.cmd.Process.Kill()
	<-p.exited
}

// runCommand returns the run command of the deploy file.
func runCommand(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("%s: no run command", path)
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// discovery is a stand-in of the discovery service. It keeps to PROTOCOL: a call is answered by what changed after the
// stated version, then by each change as it happens and by an empty line every 2 s.
type discovery struct {
	rec      *record
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	current  targetList
	revOf    map[string]int64 // version of the last change of each entry
	changed  chan struct{}    // closed at the next change
	silence  chan struct{}    // closed when the open watches fall silent
	failNext int              // calls to answer with 503
	calls    int
	toldAt   map[int64]time.Time // when a version was first written to the sidecar
	beatAt   time.Time           // when an empty line was last written
	done     chan struct{}
}

func newDiscovery(rec *record) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		rec: rec, listener: ln, revOf: map[string]int64{}, changed: make(chan struct{}), silence: make(chan struct{}),
		done: make(chan struct{}), toldAt: map[int64]time.Time{}, current: targetList{Rev: 41, All: true},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.handle)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(ln)
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

func (d *discovery) close() {
	close(d.done)
	d.server.Close()
}

// refuse has the next calls answered with 503.
func (d *discovery) refuse(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failNext = calls
	d.rec.add("discovery: the next %d calls are answered 503", calls)
}

// list returns the whole list.
func (d *discovery) list() targetList {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.current
	l.Targets = append([]target(nil), l.Targets...)
	return l
}

// add adds an entry before the sidecar starts.
func (d *discovery) add(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Targets = append(d.current.Targets, t)
	d.revOf[t.UID] = d.current.Rev
}

// setState changes the state of an entry.
func (d *discovery) setState(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Rev++
	for i := range d.current.Targets {
		if d.current.Targets[i].UID == uid {
			d.current.Targets[i].State = state
			d.revOf[uid] = d.current.Rev
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.rec.add("discovery: %s is %s from version %d on", uid, state, d.current.Rev)
}

// silenceWatches lets the watches that are open now fall silent.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silence)
	d.silence = make(chan struct{})
	d.rec.add("discovery: the open watches fall silent")
}

// lastBeat returns when an empty line was last written.
func (d *discovery) lastBeat() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.beatAt
}

// told returns when the current version was written to the sidecar; ok is false if it has not been.
func (d *discovery) told() (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.toldAt[d.current.Rev]
	return at, ok
}

func (d *discovery) changesSince(rev int64) (l targetList, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l = targetList{Rev: d.current.Rev, Targets: []target{}}
	for _, t := range d.current.Targets {
		if d.revOf[t.UID] > rev {
			l.Targets = append(l.Targets, t)
		}
	}
	return l, d.changed
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	number, fail := d.calls, d.failNext > 0
	if fail {
		d.failNext--
	}
	silence := d.silence // this watch's own; a later one belongs to later watches
	d.mu.Unlock()
	d.rec.add("discovery: call %d: %s", number, r.URL.RequestURI())
	if fail {
		d.rec.add("discovery: call %d is answered 503", number)
		http.Error(w, "discovery is down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("follow") != "1" {
		json.NewEncoder(w).Encode(d.list())
		return
	}
	var rev int64
	fmt.Sscan(r.URL.Query().Get("since"), &rev)
	flusher := w.(http.Flusher)
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		changes, changed := d.changesSince(rev)
		select {
		case <-silence: // stays open and says nothing more
			select {
			case <-r.Context().Done():
			case <-d.done:
			}
			return
		default:
		}
		if first || len(changes.Targets) > 0 {
			text, _ := json.Marshal(changes)
			w.Write(append(text, '\n'))
			flusher.Flush()
			rev = changes.Rev
			d.mu.Lock()
			if _, ok := d.toldAt[rev]; !ok {
				d.toldAt[rev] = time.Now()
			}
			d.mu.Unlock()
			d.rec.add("discovery: call %d is told version %d: %s", number, rev, text)
		}
		select {
		case <-changed:
		case <-silence:
		case <-heartbeat.C:
			w.Write([]byte("\n"))
			flusher.Flush()
			d.mu.Lock()
			d.beatAt = time.Now()
			d.mu.Unlock()
			d.rec.add("discovery: call %d gets an empty line", number)
		case <-r.Context().Done():
			return
		case <-d.done:
			return
		}
	}
}

// seenRequest is a request that an endpoint has received whole.
type seenRequest struct {
	endpoint, id, path, body string
	at                       time.Time
}

// endpoints is a set of stand-in endpoints that share one record of what they ran.
type endpoints struct {
	rec    *record
	handle func(w http.ResponseWriter, r *http.Request, id string)

	mu        sync.Mutex
	listeners []net.Listener
	servers   []*http.Server
	seen      []seenRequest
}

// add starts one more endpoint and returns its entry in the list.
func (e *endpoints) add(uid string, cell int) (target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return target{}, err
	}
	server := &http.Server{IdleTimeout: 30 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at := time.Now()
		id := r.Header.Get("X-Request-Id")
		if id == "" {
			http.NotFound(w, r)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		if err != nil {
			return
		}
		e.mu.Lock()
		e.seen = append(e.seen, seenRequest{uid, id, r.URL.Path, string(body), at})
		e.mu.Unlock()
		e.rec.add("endpoint %s runs %s %s %s, %d bytes, X-Deadline %s", uid, r.Method, r.URL.Path, id, len(body), r.Header.Get("X-Deadline"))
		e.handle(w, r, id)
	})}
	go server.Serve(ln)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners, e.servers = append(e.listeners, ln), append(e.servers, server)
	return target{
		UID: uid, Endpoint: ln.Addr().String(), Zone: "dc-muenchen", Kind: "orders-fast", Cell: cell, State: "Ready", Weight: 1,
	}, nil
}

// end ends one endpoint: its connections are closed, whatever is in progress on them, and new ones are refused.
func (e *endpoints) end(i int) {
	e.rec.add("endpoint %d ends", i)
	e.servers[i].Close()
}

func (e *endpoints) requests() []seenRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]seenRequest(nil), e.seen...)
}

func (e *endpoints) close() {
	for _, s := range e.servers {
		s.Close()
	}
}

// answerAfter answers with the request's id after a service time.
func answerAfter(d time.Duration) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, id string) {
		select {
		case <-time.After(d):
			fmt.Fprintf(w, "served %s", id)
		case <-r.Context().Done():
		}
	}
}
