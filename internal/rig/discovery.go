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
	defaultHeartbeat = 2 * time.Second // between empty lines of an idle watch, as the protocol requires
	maxChanges       = 1 << 14         // changes kept; a watch from an older version gets the full list
	writeTimeout     = 5 * time.Second // for one update to one watch
	relistenTimeout  = 5 * time.Second // longest wait for the old ports to be free after an outage
)

// Outage is the way in which discovery is unavailable.
type Outage string

// The outages, by what clients see.
const (
	ConnRefused Outage = "refused" // nothing listens; open watches are broken off
	Unavailable Outage = "503"     // calls get status 503; open watches are broken off
	Silent      Outage = "silent"  // calls are accepted and never answered; watches stay open without data
)

// Discovery is a stand-in for the service that publishes the list of endpoints. It serves `/api/targets`, as a full list
// or as a watch. It handles one call at a time, and has a listener for each sidecar to tell their traffic apart.
type Discovery struct {
	callTime, maxWait time.Duration // time for a call, and its longest wait for the turn
	heartbeat         time.Duration // time between empty lines of a watch
	turn              chan struct{} // semaphore: full while a call is handled
	server            *http.Server
	ctx               context.Context
	cancel            context.CancelFunc

	mu            sync.Mutex
	outage        Outage   // current outage; empty if there is none
	outages       []Outage // all outages so far, with the current one
	rev           int64    // version of the list
	uids          []string // keys of targets, in order of their first appearance
	targets       map[string]sidecar.Target
	changes       []change      // latest versions, newest last
	changed       chan struct{} // closed at the next change, or when an outage begins or ends
	ports         []*port       // one for each sidecar
	markedAt      time.Time     // last call of resetCounts
	callsBySecond []int         // number of calls in each second since markedAt
}

// change is the update from the version before rev.
type change struct {
	rev  int64
	line []byte // JSON of the changed entries with a newline, as sent to watches
}

// port is the listener for one sidecar, with its traffic.
type port struct {
	addr           string
	listener       net.Listener
	received, sent atomic.Int64 // bytes
	calls, refused atomic.Int64
	watches        atomic.Int64 // open watches
	firstAnswer    time.Time    // first answer since markedAt; guarded by Discovery.mu
}

// NewDiscovery starts a discovery with the given number of listeners on loopback. Handling a call takes callTime. A call
// that waits longer than maxWait for its turn gets status 503; with 0 it may wait forever. Close stops the discovery.
func NewDiscovery(listeners int, callTime, maxWait time.Duration) (*Discovery, error) {
	d := &Discovery{
		callTime: callTime, maxWait: maxWait, heartbeat: defaultHeartbeat, turn: make(chan struct{}, 1),
		targets: map[string]sidecar.Target{}, changed: make(chan struct{}), markedAt: time.Now(),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.server = &http.Server{
		Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, portKey{}, c.(*countedConn).port)
		},
		ErrorLog: log.New(io.Discard, "", 0), // broken connections are expected
	}
	for range listeners {
		p := &port{}
		if err := d.listen(p, listenAddr); err != nil {
			d.Close()
			return nil, err
		}
		d.ports = append(d.ports, p)
	}
	return d, nil
}

// portKey is the context key of the port that a call came through.
type portKey struct{}

// listen starts to listen on addr for a port and serves its calls.
func (d *Discovery) listen(p *port, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	p.listener = ln
	if p.addr == "" { // after an outage addr is unchanged, and others may be reading it
		p.addr = ln.Addr().String()
	}
	go d.server.Serve(&countedListener{ln, p}) // returns when its listener is closed
	return nil
}

// Addr returns the address for a sidecar, by its number.
func (d *Discovery) Addr(sidecar int) string { return d.ports[sidecar].addr }

// Close stops the discovery and ends all calls and watches.
func (d *Discovery) Close() {
	d.cancel()
	d.server.Close()
}

// Change publishes changed entries as one new version. An entry whose state is Gone appears only in this update.
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
			d.uids = append(d.uids, e.UID)
		}
		d.targets[e.UID] = e
	}
	if len(d.changes) == maxChanges {
		d.changes = append(d.changes[:0], d.changes[maxChanges/2:]...)
	}
	d.changes = append(d.changes, change{d.rev, append(text, '\n')})
	d.notifyWatches()
	return nil
}

// notifyWatches wakes all watches. The caller holds d.mu.
func (d *Discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the current full list.
func (d *Discovery) List() sidecar.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList()
}

// fullList returns the current full list. The caller holds d.mu.
func (d *Discovery) fullList() sidecar.List {
	l := sidecar.List{Rev: d.rev, Full: true, Targets: []sidecar.Target{}}
	for _, uid := range d.uids {
		if t := d.targets[uid]; t.State != "Gone" {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

// encodeFullList returns the full list as it is sent. The caller holds d.mu.
func (d *Discovery) encodeFullList() []byte {
	text, _ := json.Marshal(d.fullList()) // cannot fail: Change has marshalled these entries before
	return append(text, '\n')
}

// updatesSince returns what a watch that has version rev needs first, the channel that is closed at the next change, and
// the current version. It returns the full list if rev is 0, unknown or too old.
func (d *Discovery) updatesSince(rev int64) ([]byte, chan struct{}, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if rev <= 0 || rev > d.rev || len(d.changes) == 0 || rev < d.changes[0].rev-1 {
		return d.encodeFullList(), d.changed, d.rev
	}
	var text []byte
	for i := len(d.changes) - 1; i >= 0 && d.changes[i].rev > rev; i-- {
		text = append(d.changes[i].line[:len(d.changes[i].line):len(d.changes[i].line)], text...)
	}
	if text == nil {
		text = fmt.Appendf(nil, `{"rev":%d,"all":false,"targets":[]}`+"\n", d.rev)
	}
	return text, d.changed, d.rev
}

// StartOutage makes the discovery unavailable.
func (d *Discovery) StartOutage(outage Outage) error {
	if outage != ConnRefused && outage != Unavailable && outage != Silent {
		return fmt.Errorf("discovery: unknown outage %q", outage)
	}
	d.mu.Lock()
	d.outage, d.outages = outage, append(d.outages, outage)
	d.notifyWatches()
	d.mu.Unlock()
	if outage == ConnRefused {
		for _, p := range d.ports {
			p.listener.Close()
		}
	}
	return nil
}

// EndOutage ends the outage. The discovery is available again at its old addresses.
func (d *Discovery) EndOutage(ctx context.Context) error {
	d.mu.Lock()
	portsClosed := d.outage == ConnRefused
	d.outage = ""
	d.notifyWatches()
	d.mu.Unlock()
	for _, p := range d.ports {
		if !portsClosed {
			break
		}
		var err error
		relisten := func() bool { err = d.listen(p, p.addr); return !errors.Is(err, syscall.EADDRINUSE) }
		if waitErr := waitUntil(ctx, relistenTimeout, relisten); waitErr != nil || err != nil {
			return errors.Join(waitErr, err)
		}
	}
	return nil
}

// currentOutage returns the current outage, empty if there is none, and the number of outages so far.
func (d *Discovery) currentOutage() (Outage, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outage, len(d.outages)
}

// outageAfter returns the first outage after the given number of them, or "" if there has been none. A watch passes the
// number at its start, so that it also notices an outage that is already over.
func (d *Discovery) outageAfter(outages int) Outage {
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
	if second := int(time.Since(d.markedAt) / time.Second); second < 1<<16 {
		for len(d.callsBySecond) <= second {
			d.callsBySecond = append(d.callsBySecond, 0)
		}
		d.callsBySecond[second]++
	}
	d.mu.Unlock()
	if r.Method != http.MethodGet || r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	rev := int64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if rev, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, "since is no version", http.StatusBadRequest)
			return
		}
	}
	if !d.waitTurn(r.Context()) {
		p.refused.Add(1)
		http.Error(w, "no turn", http.StatusServiceUnavailable)
		return
	}
	outage, outages := d.currentOutage()
	switch outage {
	case Silent:
		p.refused.Add(1)
		d.blockUntilClosed(r.Context())
		panic(http.ErrAbortHandler)
	case ConnRefused, Unavailable:
		p.refused.Add(1)
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("follow") == "1" {
		p.watches.Add(1)
		defer p.watches.Add(-1)
		d.serveWatch(w, r, p, rev, outages)
		return
	}
	text, _, _ := d.updatesSince(0)
	d.recordAnswer(p)
	w.Write(text)
}

// waitTurn waits for the call's turn and then for its handling time. It returns false if the turn does not come in time.
func (d *Discovery) waitTurn(ctx context.Context) bool {
	var expired <-chan time.Time
	if d.maxWait > 0 {
		timer := time.NewTimer(d.maxWait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case d.turn <- struct{}{}:
	case <-expired:
		return false
	case <-ctx.Done():
		return false
	case <-d.ctx.Done():
		return false
	}
	defer func() { <-d.turn }()
	return d.callTime <= 0 || sleep(ctx, d.callTime) == nil
}

// blockUntilClosed sends nothing until the connection is closed, even after the outage has ended.
func (d *Discovery) blockUntilClosed(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
}

// recordAnswer records the first answer through p since resetCounts.
func (d *Discovery) recordAnswer(p *port) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.firstAnswer.IsZero() {
		p.firstAnswer = time.Now()
	}
}

// serveWatch serves a watch until its connection or the discovery is closed. A watch that an outage has silenced stays
// silent after it. outages is the number of outages before the watch began.
func (d *Discovery) serveWatch(w http.ResponseWriter, r *http.Request, p *port, rev int64, outages int) {
	controller := http.NewResponseController(w)
	heartbeats := time.NewTicker(d.heartbeat)
	defer heartbeats.Stop()
	for first := true; ; first = false {
		text, changed, current := d.updatesSince(rev)
		switch outage := d.outageAfter(outages); {
		case outage == Silent:
			d.blockUntilClosed(r.Context())
			panic(http.ErrAbortHandler)
		case outage != "":
			panic(http.ErrAbortHandler) // closes the connection abruptly
		case first:
			d.recordAnswer(p)
		case current == rev:
			text = []byte("\n")
		}
		rev = current
		controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(text); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-heartbeats.C:
		case <-r.Context().Done():
			return
		case <-d.ctx.Done():
			return
		}
	}
}

// Traffic counts the control traffic between discovery and sidecars.
type Traffic struct {
	Calls    int64 `json:"calls"`    // list calls and watches
	Refused  int64 `json:"refused"`  // calls with status 503 or no answer; refused connections are not counted
	Received int64 `json:"received"` // bytes from sidecars
	Sent     int64 `json:"wrote"`    // bytes to sidecars
	Watches  int64 `json:"watches"`  // watches open now
}

// sub returns the traffic since earlier. Watches stays the number that is open now.
func (t Traffic) sub(earlier Traffic) Traffic {
	return Traffic{t.Calls - earlier.Calls, t.Refused - earlier.Refused, t.Received - earlier.Received, t.Sent - earlier.Sent, t.Watches}
}

// Traffic returns the traffic of all sidecars so far.
func (d *Discovery) Traffic() Traffic {
	var t Traffic
	for _, p := range d.ports {
		t.Calls += p.calls.Load()
		t.Refused += p.refused.Load()
		t.Received += p.received.Load()
		t.Sent += p.sent.Load()
		t.Watches += p.watches.Load()
	}
	return t
}

// resetCounts clears the first answers and the counts of calls by second.
func (d *Discovery) resetCounts() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markedAt, d.callsBySecond = time.Now(), nil
	for _, p := range d.ports {
		p.firstAnswer = time.Time{}
	}
}

// answeredSidecars returns the number of sidecars that have been answered since resetCounts, and the time at which the
// last of them got its first answer.
func (d *Discovery) answeredSidecars() (n int, last time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.ports {
		if p.firstAnswer.IsZero() {
			continue
		}
		n++
		if p.firstAnswer.After(last) {
			last = p.firstAnswer
		}
	}
	return n, last
}

// callsPerSecond returns the number of calls in each second since resetCounts, up to the second of the last call.
func (d *Discovery) callsPerSecond() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int{}, d.callsBySecond...)
}

// countedConn is a connection that counts its bytes in its port.
type countedConn struct {
	net.Conn
	port *port
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.port.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.port.sent.Add(int64(n))
	return n, err
}

// countedListener wraps the accepted connections in countedConn.
type countedListener struct {
	net.Listener
	port *port
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, l.port}, nil
}
