package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"forkline"
)

// The pool is implemented here because http.Transport retries a GET, or a POST with an Idempotency-Key, by itself
// when a reused connection breaks. The module would not know of that attempt.

const (
	idleTimeoutShare   = 0.8 // an idle connection is closed after this share of the endpoint's idle timeout
	drainGraceShare    = 0.6 // an attempt must write its first byte within this share of the drain grace
	defaultIdleTimeout = 5 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
	minTrustedIdle     = 50 * time.Millisecond // no peer is assumed to drop a connection idle for less
	// defaultReuseDelay is the minimum idle time before a connection is reused: a duplicate response follows the first
	// within a few ms.
	defaultReuseDelay = 10 * time.Millisecond
	// reusesToDoubleTrust is how many consecutive reuses, each after an idle time beyond trustedIdle, double trustedIdle.
	reusesToDoubleTrust = 32
)

// endpoint is one listed server and the idle connections to it. Its fields are guarded by upstream.mu.
type endpoint struct {
	addr      string
	startedAt float64
	ready     bool
	idle      []*conn // the most recently used is last
}

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	server       *endpoint
	idleSince    time.Time     // when it was last put into the pool
	idleFor      time.Duration // idle time before the current request; 0 = a new connection
	takenAt      time.Time
	lastDuration time.Duration // duration of the last request
	brokeEarly   bool          // it broke right after a request was written, before any response
	desynced     bool          // it received bytes that belong to no request sent on it

	sawNotRun bool // it received a response that marked its request as not run
}

// upstream is the pool of all connections to endpoints.
type upstream struct {
	maxConns         int           // limit on openConns
	breakCheckTime   time.Duration // see defaultBreakCheckTime
	reuseDelay       time.Duration // see defaultReuseDelay
	responseMemory   *memoryBudget // bounds responses that are being received or passed on
	firstByteTimeout time.Duration // from an attempt's start to its first byte; 0 = no limit; used by the loop only

	mu                       sync.Mutex
	dialTimeout, idleTimeout time.Duration
	endpoints                map[uint32]*endpoint
	openConns                int           // connections, including those being dialed
	sweeper                  *time.Timer   // runs the next sweep of idle connections; nil = none is scheduled
	trustedIdle              time.Duration // longest idle time after which a connection may carry an at-most-once request
	soundReuses              int           // consecutive successful reuses after longer idle times, by other requests
}

// newUpstream returns a pool of at most maxConns connections.
func newUpstream(limits forkline.Limits, drainGrace float64, maxConns int) *upstream {
	u := &upstream{
		maxConns: maxConns, breakCheckTime: defaultBreakCheckTime, reuseDelay: defaultReuseDelay,
		endpoints: map[uint32]*endpoint{}, responseMemory: newMemoryBudget(defaultMemoryMB, responseMemoryShare),
	}
	u.configure(limits, drainGrace)
	return u
}

// idleTimeout returns how long a connection may stay idle in the pool.
func idleTimeout(limits forkline.Limits) time.Duration {
	if limits.IdleTimeout > 0 {
		return msToDuration(idleTimeoutShare * limits.IdleTimeout)
	}
	return defaultIdleTimeout
}

// configure applies the settings that concern connections. It is called by the loop; attempts in flight keep the
// settings they were started with.
func (u *upstream) configure(limits forkline.Limits, drainGrace float64) {
	u.firstByteTimeout = msToDuration(drainGraceShare * drainGrace)
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.idleTimeout
	u.dialTimeout, u.idleTimeout = defaultDialTimeout, idleTimeout(limits)
	if limits.ConnectTimeout > 0 {
		u.dialTimeout = msToDuration(limits.ConnectTimeout)
	}
	if u.trustedIdle == previous || u.trustedIdle > u.idleTimeout { // otherwise a shorter time has been learned
		u.trustedIdle = u.idleTimeout
	}
	if u.sweeper != nil && u.idleTimeout < previous && u.sweeper.Stop() { // otherwise the sweep is about to run
		u.sweeper = time.AfterFunc(0, u.sweep)
	}
}

// updateServer records the address and state of a server. Idle connections to a server that is not ready, has moved
// or has restarted are closed.
func (u *upstream) updateServer(id uint32, addr string, startedAt float64, state forkline.ServerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.endpoints[id]
	if e == nil || e.addr != addr || e.startedAt != startedAt {
		if e != nil {
			e.ready = false
			u.closeIdle(e)
		}
		e = &endpoint{addr: addr, startedAt: startedAt}
		u.endpoints[id] = e
	}
	e.ready = state == forkline.Ready
	if !e.ready {
		u.closeIdle(e)
	}
	if state == forkline.Removed {
		delete(u.endpoints, id)
	}
}

// closeServerIdle closes the idle connections to one server.
func (u *upstream) closeServerIdle(id uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.endpoints[id]; e != nil {
		u.closeIdle(e)
	}
}

func (u *upstream) closeIdle(e *endpoint) {
	for _, c := range e.idle {
		u.openConns--
		c.Close()
	}
	e.idle = nil
}

// open returns the number of connections, including those being dialed.
func (u *upstream) open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.openConns
}

// find returns the endpoint of a server, or nil if the server is not listed.
func (u *upstream) find(id uint32) *endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoints[id]
}

// do carries out one attempt and returns its outcome in the module's terms, with the response if it is final.
func (u *upstream) do(a *attempt, e *endpoint, outgoing *upstreamRequest, deadline time.Time) (forkline.Outcome, *response) {
	defer a.cancel()
	for {
		c, err := u.connect(a, e, deadline, outgoing.atMostOnce)
		if err != nil {
			if a.ctx.Err() != nil {
				return forkline.Cancelled, nil
			}
			return forkline.ConnectFailed, nil
		}
		a.newConnection = c.idleFor == 0
		stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
		outcome, resp, reusable := exchange(a, c, outgoing, deadline, u.breakCheckTime)
		if !c.desynced && outcome != forkline.NotSent {
			u.recordReuse(c.idleFor, c.brokeEarly)
		}
		if !stop() || !reusable {
			u.discard(c)
		} else {
			u.putIdle(c)
		}
		// An idle connection that broke or was desynchronized before the request was written completely has carried
		// no attempt, so the next connection is tried.
		if outcome != forkline.ConnectFailed || !c.brokeEarly && !c.desynced || c.idleFor == 0 {
			return outcome, resp
		}
	}
}

var errPoolExhausted = errors.New("the pool is at its limit and none of its connections is idle")

// connect returns an idle connection that is still open, after waiting for its reuse delay, or dials a new one.
func (u *upstream) connect(a *attempt, e *endpoint, deadline time.Time, atMostOnce bool) (*conn, error) {
	for {
		c, wait := u.takeIdle(e, deadline, atMostOnce)
		if c == nil {
			break
		}
		if err := sleep(a.ctx, wait); err != nil {
			u.discard(c)
			return nil, err
		}
		c.takenAt = time.Now()
		c.idleFor = c.takenAt.Sub(c.idleSince)
		if stillOpen(c.Conn) {
			return c, nil
		}
		u.discard(c)
	}
	if !u.acquireSlot() {
		return nil, errPoolExhausted
	}
	u.mu.Lock()
	dialer := net.Dialer{Timeout: u.dialTimeout, Deadline: deadline, KeepAlive: -1}
	u.mu.Unlock()
	a.notifyConnecting(true)
	raw, err := dialer.DialContext(a.ctx, "tcp", e.addr)
	if err != nil {
		u.mu.Lock()
		u.openConns--
		u.mu.Unlock()
		return nil, fmt.Errorf("dial: %w", err)
	}
	a.notifyConnecting(false)
	return &conn{Conn: raw, reader: bufio.NewReader(raw), server: e, takenAt: time.Now()}, nil
}

// takeIdle removes an idle connection from the pool and returns it with the remainder of its reuse delay. The delay exists
// because an endpoint in trouble may send a duplicate response shortly after the first, which would be taken for the
// response to the next request.
//
// takeIdle prefers the most recently used of the connections whose delay has passed, so that the others can reach
// their idle timeout. Otherwise it takes the one whose delay ends first, provided that it ends before the deadline
// and within the duration of that connection's last request. A new connection costs the endpoint work and remains
// open, but where responses are immediate, waiting longer would look like an unresponsive server.
//
// An at-most-once request gets no connection that has been idle for longer than trustedIdle, and none on which a "not
// run" response would prove nothing. These are left to requests that may be sent again.
func (u *upstream) takeIdle(e *endpoint, deadline time.Time, atMostOnce bool) (c *conn, wait time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	n := len(e.idle) - 1
	for n >= 0 && now.Sub(e.idle[n].idleSince) < u.reuseDelay {
		n--
	}
	maxIdle := u.idleTimeout
	if atMostOnce {
		maxIdle = min(maxIdle, u.trustedIdle)
	}
	if n >= 0 && now.Sub(e.idle[n].idleSince) > u.idleTimeout { // so have all older ones
		for ; n >= 0; n-- {
			u.closeOldest(e)
		}
	}
	firstResting := n + 1
	for n >= 0 && atMostOnce && e.idle[n].sawNotRun {
		n--
	}
	if n < 0 || now.Sub(e.idle[n].idleSince) > maxIdle {
		for n = firstResting; n < len(e.idle) && atMostOnce && e.idle[n].sawNotRun; {
			n++
		}
		if n == len(e.idle) || u.reuseDelay > maxIdle {
			return nil, 0
		}
		wait = u.reuseDelay - now.Sub(e.idle[n].idleSince)
		if wait > e.idle[n].lastDuration || !now.Add(wait).Before(deadline) {
			return nil, 0
		}
	}
	c = e.idle[n]
	e.idle = slices.Delete(e.idle, n, n+1)
	return c, wait
}

// sleep waits for the duration d. If the context ends first, it returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordReuse adapts trustedIdle to the result of reusing an idle connection. Endpoints, or devices on the path, may
// drop idle connections silently and long before the configured timeout. A request written to such a connection ends
// in a reset, which is a final failure for an at-most-once request. Therefore trustedIdle is lowered at once, and
// raised only after several successful reuses by other requests.
func (u *upstream) recordReuse(idleFor time.Duration, brokeEarly bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case brokeEarly && idleFor > minTrustedIdle:
		u.trustedIdle, u.soundReuses = max(minTrustedIdle, min(u.trustedIdle, idleFor/2)), 0
	case !brokeEarly && idleFor > u.trustedIdle:
		if u.soundReuses++; u.soundReuses == reusesToDoubleTrust {
			u.trustedIdle, u.soundReuses = min(2*u.trustedIdle, u.idleTimeout), 0
		}
	}
}

// acquireSlot counts one more connection. At the limit it closes the connection that has been idle longest; it
// returns false if none is idle.
func (u *upstream) acquireSlot() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.openConns >= u.maxConns {
		var oldest *endpoint
		for _, e := range u.endpoints {
			if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
				oldest = e
			}
		}
		if oldest == nil {
			return false
		}
		u.closeOldest(oldest)
	}
	u.openConns++
	return true
}

// discard closes a connection that is not in the pool.
func (u *upstream) discard(c *conn) {
	c.Close()
	u.mu.Lock()
	u.openConns--
	u.mu.Unlock()
}

// putIdle returns a connection to the pool and schedules the sweep of idle connections if necessary.
func (u *upstream) putIdle(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.server.ready {
		c.Close()
		u.openConns--
		return
	}
	c.idleSince = time.Now()
	c.lastDuration = c.idleSince.Sub(c.takenAt)
	c.server.idle = append(c.server.idle, c)
	if u.sweeper == nil {
		u.sweeper = time.AfterFunc(u.idleTimeout, u.sweep)
	}
}

// sweep closes the connections whose idle timeout has passed and schedules itself for the next one.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	oldest := now
	for _, e := range u.endpoints {
		for len(e.idle) > 0 && now.Sub(e.idle[0].idleSince) >= u.idleTimeout {
			u.closeOldest(e)
		}
		if len(e.idle) > 0 && (oldest == now || e.idle[0].idleSince.Before(oldest)) {
			oldest = e.idle[0].idleSince
		}
	}
	u.sweeper = nil
	if oldest != now {
		u.sweeper = time.AfterFunc(u.idleTimeout-now.Sub(oldest), u.sweep)
	}
}

// closeOldest closes the connection to an endpoint that has been idle longest.
func (u *upstream) closeOldest(e *endpoint) {
	e.idle[0].Close()
	e.idle = slices.Delete(e.idle, 0, 1)
	u.openConns--
}
