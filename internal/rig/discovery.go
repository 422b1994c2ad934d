package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"forkline/internal/sidecar"
)

const (
	beat        = 2 * time.Second // between empty lines of a watch, as the protocol says
	logMost     = 1 << 14         // changes that are kept; who is further behind gets the whole list
	writeTime   = 5 * time.Second // for one object to one watch
	listenAgain = 5 * time.Second // for the old ports after an outage
)

// Outage is how a discovery is away.
type Outage string

// The ways to be away.
const (
	Refused  Outage = "refused" // nothing listens; open connections are closed
	Refusing Outage = "503"     // calls get 503; watches end
	Silent   Outage = "silent"  // calls are taken and get no answer; watches stay open and say nothing
)

// Discovery is a stand-in for the service that tells the list of endpoints: `/api/targets`, whole or followed. It
// handles calls in turn, and has a listener for each sidecar, so that it can tell them apart.
type Discovery struct {
	callTime, maxWait time.Duration
	beat              time.Duration // between empty lines of a watch
	turn              chan struct{} // holds the one call that is handled
	server            *http.Server
	ctx               context.Context
	stop              context.CancelFunc

	mu      sync.Mutex
	away    Outage   // "" = it is there
	outages []Outage // all that there were
	rev     int64
	order   []string // uids, as first told
	targets map[string]sidecar.Target
	changes []change      // the newest last
	changed chan struct{} // closed at the next change or outage
	ports   []*port
	began   time.Time // the mark
	seconds []int     // calls in each second since then
}

// change is one version: the entries that it changed, as they are written.
type change struct {
	rev    int64
	object []byte
}

// port is the listener for one sidecar and what came through it.
type port struct {
	addr            string
	listener        net.Listener
	received, wrote atomic.Int64 // bytes
	calls, refused  atomic.Int64
	watches         atomic.Int64 // open
	answered        time.Time    // first time that a call was answered since the mark; guarded by Discovery.mu
}

// NewDiscovery makes a discovery with so many listeners on loopback. A call takes callTime of its one turn, and gets 503
// if it had to wait for longer than maxWait (0 = for ever). Close ends it.
func NewDiscovery(listeners int, callTime, maxWait time.Duration) (*Discovery, error) {
	d := &Discovery{
		callTime: callTime, maxWait: maxWait, beat: beat, turn: make(chan struct{}, 1),
		targets: map[string]sidecar.Target{}, changed: make(chan struct{}), began: time.Now(),
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.server = &http.Server{
		Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, portKey{}, c.(*counted).port)
		},
		ErrorLog: log.New(io.Discard, "", 0), // connections that break are part of the play
	}
	for range listeners {
		p := &port{}
		if err := d.listen(p, host); err != nil {
			d.Close()
			return nil, err
		}
		d.ports = append(d.ports, p)
	}
	return d, nil
}

type portKey struct{}

// listen opens a port and serves it.
func (d *Discovery) listen(p *port, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	p.listener = ln
	if p.addr == "" { // at an outage's end it is the same, and may be read meanwhile
		p.addr = ln.Addr().String()
	}
	go d.server.Serve(&countedListener{ln, p}) // ends with its listener
	return nil
}

// Addr is where the sidecar of that number asks.
func (d *Discovery) Addr(sidecar int) string { return d.ports[sidecar].addr }

// Close ends all calls and watches.
func (d *Discovery) Close() {
	d.stop()
	d.server.Close()
}

// Change makes one version of some entries. What is Gone is told once.
func (d *Discovery) Change(entries ...sidecar.Target) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	text, err := json.Marshal(sidecar.List{Rev: d.rev, Targets: entries})
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	for _, e := range entries {
		if _, ok := d.targets[e.UID]; !ok {
			d.order = append(d.order, e.UID)
		}
		d.targets[e.UID] = e
	}
	if len(d.changes) == logMost {
		d.changes = append(d.changes[:0], d.changes[logMost/2:]...)
	}
	d.changes = append(d.changes, change{d.rev, append(text, '\n')})
	d.signal()
	return nil
}

// signal wakes all watches; the mutex is held.
func (d *Discovery) signal() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// List is the whole list now.
func (d *Discovery) List() sidecar.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

// list is the whole list; the mutex is held.
func (d *Discovery) list() sidecar.List {
	l := sidecar.List{Rev: d.rev, Full: true, Targets: []sidecar.Target{}}
	for _, uid := range d.order {
		if t := d.targets[uid]; t.State != "Gone" {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

// whole is the same as it is written.
func (d *Discovery) whole() []byte {
	text, _ := json.Marshal(d.list()) // of strings and numbers that were marshalled before
	return append(text, '\n')
}

// since is what a call that has a version gets first, the channel that closes when there is more, and the version then.
func (d *Discovery) since(rev int64) ([]byte, chan struct{}, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if rev <= 0 || rev > d.rev || len(d.changes) == 0 || rev < d.changes[0].rev-1 {
		return d.whole(), d.changed, d.rev
	}
	var text []byte
	for i := len(d.changes) - 1; i >= 0 && d.changes[i].rev > rev; i-- {
		text = append(d.changes[i].object[:len(d.changes[i].object):len(d.changes[i].object)], text...)
	}
	if text == nil {
		text = fmt.Appendf(nil, `{"rev":%d,"all":false,"targets":[]}`+"\n", d.rev)
	}
	return text, d.changed, d.rev
}

// Down takes the discovery away.
func (d *Discovery) Down(how Outage) error {
	if how != Refused && how != Refusing && how != Silent {
		return fmt.Errorf("discovery: outage %q is unknown", how)
	}
	d.mu.Lock()
	d.away, d.outages = how, append(d.outages, how)
	d.signal()
	d.mu.Unlock()
	if how == Refused {
		for _, p := range d.ports {
			p.listener.Close()
		}
	}
	return nil
}

// Up brings it back at its old addresses.
func (d *Discovery) Up(ctx context.Context) error {
	d.mu.Lock()
	closed := d.away == Refused
	d.away = ""
	d.signal()
	d.mu.Unlock()
	for _, p := range d.ports {
		if !closed {
			break
		}
		var err error
		again := func() bool { err = d.listen(p, p.addr); return !errors.Is(err, syscall.EADDRINUSE) }
		if waited := await(ctx, listenAgain, again); waited != nil || err != nil {
			return errors.Join(waited, err)
		}
	}
	return nil
}

// state is how it is away, and how many outages there have been.
func (d *Discovery) state() (Outage, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away, len(d.outages)
}

// broke is the outage that ended a watch which began after so many of them; "" if there was none. It tells also of one
// that is over before the watch has noticed.
func (d *Discovery) broke(outages int) Outage {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.outages) > outages {
		return d.outages[outages]
	}
	return ""
}

// handle serves one call.
func (d *Discovery) handle(w http.ResponseWriter, r *http.Request) {
	p := r.Context().Value(portKey{}).(*port)
	p.calls.Add(1)
	d.mu.Lock()
	if second := int(time.Since(d.began) / time.Second); second < 1<<16 {
		for len(d.seconds) <= second {
			d.seconds = append(d.seconds, 0)
		}
		d.seconds[second]++
	}
	d.mu.Unlock()
	if r.Method != http.MethodGet || r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	since := int64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, "since is no version", http.StatusBadRequest)
			return
		}
	}
	if !d.takeTurn(r.Context()) {
		p.refused.Add(1)
		http.Error(w, "no turn", http.StatusServiceUnavailable)
		return
	}
	away, outages := d.state()
	switch away {
	case Silent:
		p.refused.Add(1)
		d.silent(r.Context())
		panic(http.ErrAbortHandler)
	case Refused, Refusing:
		p.refused.Add(1)
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("follow") == "1" {
		p.watches.Add(1)
		defer p.watches.Add(-1)
		d.follow(w, r, p, since, outages)
		return
	}
	text, _, _ := d.since(0)
	d.noteAnswer(p)
	w.Write(text)
}

// takeTurn waits for the call's turn and takes the time that it needs; false if that came too late.
func (d *Discovery) takeTurn(ctx context.Context) bool {
	var late <-chan time.Time
	if d.maxWait > 0 {
		timer := time.NewTimer(d.maxWait)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case d.turn <- struct{}{}:
	case <-late:
		return false
	case <-ctx.Done():
		return false
	case <-d.ctx.Done():
		return false
	}
	defer func() { <-d.turn }()
	return d.callTime <= 0 || pause(ctx, d.callTime) == nil
}

// silent says nothing for as long as the connection lasts, also past the outage.
func (d *Discovery) silent(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
}

// noteAnswer notes the first answer since the last mark.
func (d *Discovery) noteAnswer(p *port) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.answered.IsZero() {
		p.answered = time.Now()
	}
}

// follow serves a watch until its connection or the discovery ends. A watch that fell silent is broken for good.
func (d *Discovery) follow(w http.ResponseWriter, r *http.Request, p *port, rev int64, outages int) {
	out := http.NewResponseController(w)
	beats := time.NewTicker(d.beat)
	defer beats.Stop()
	for first := true; ; first = false {
		text, changed, now := d.since(rev)
		switch broke := d.broke(outages); {
		case broke == Silent:
			d.silent(r.Context())
			panic(http.ErrAbortHandler)
		case broke != "":
			panic(http.ErrAbortHandler) // breaks the connection off
		case first:
			d.noteAnswer(p)
		case now == rev:
			text = []byte("\n")
		}
		rev = now
		out.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := w.Write(text); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-beats.C:
		case <-r.Context().Done():
			return
		case <-d.ctx.Done():
			return
		}
	}
}

// Traffic is what came and went for control, at some sidecars or all.
type Traffic struct {
	Calls    int64 `json:"calls"`
	Refused  int64 `json:"refused"`  // calls with 503 or no answer; those that met no listener are not seen
	Received int64 `json:"received"` // bytes
	Wrote    int64 `json:"wrote"`
	Watches  int64 `json:"watches"` // open now
}

func (t Traffic) minus(o Traffic) Traffic {
	return Traffic{t.Calls - o.Calls, t.Refused - o.Refused, t.Received - o.Received, t.Wrote - o.Wrote, t.Watches}
}

// Traffic sums up all sidecars.
func (d *Discovery) Traffic() Traffic {
	var t Traffic
	for _, p := range d.ports {
		t.Calls += p.calls.Load()
		t.Refused += p.refused.Load()
		t.Received += p.received.Load()
		t.Wrote += p.wrote.Load()
		t.Watches += p.watches.Load()
	}
	return t
}

// mark forgets who has been answered and counts calls a second anew.
func (d *Discovery) mark() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.began, d.seconds = time.Now(), nil
	for _, p := range d.ports {
		p.answered = time.Time{}
	}
}

// answered tells how many sidecars a call of has been answered since the mark, and when the last of them was first.
func (d *Discovery) answered() (n int, last time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.ports {
		if p.answered.IsZero() {
			continue
		}
		n++
		if p.answered.After(last) {
			last = p.answered
		}
	}
	return n, last
}

// perSecond is the calls seen in each second since the mark; seconds past the last call are left out.
func (d *Discovery) perSecond() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int{}, d.seconds...)
}

// counted is a connection whose bytes its port counts.
type counted struct {
	net.Conn
	port *port
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.port.received.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.port.wrote.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	port *port
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{c, l.port}, nil
}
