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

// http.Transport would send a GET, or a POST with an Idempotency-Key, once more by itself when a reused
// connection breaks: an attempt that the module never decided on. So the pool is our own.

const (
	idleTimeoutShare    = 0.8 // an idle connection is retired after this share of the idle limit
	drainGraceShare     = 0.6 // an attempt whose first byte is not out after this share of the drain grace stays in
	defaultIdleTimeout  = 5 * time.Second
	defaultDialTimeout  = 250 * time.Millisecond
	minTrustedIdle      = 50 * time.Millisecond // nothing drops a connection for having been idle for less
	defaultReuseDelay   = 10 * time.Millisecond // before a connection is used again: a second answer comes some ms behind the first
	reusesToDoubleTrust = 32                    // reuses in a row, each after longer than is trusted, that double what is trusted
)

// endpoint is one server of the list and the idle connections to it. Its fields are guarded by upstream.mu.
type endpoint struct {
	addr      string
	startedAt float64
	ready     bool
	idle      []*conn // the one used last is at the end
}

// conn is a connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	server       *endpoint
	idleSince    time.Time     // idle since then
	idleFor      time.Duration // before it was taken; 0 = it is new
	takenAt      time.Time
	lastDuration time.Duration // its last request
	brokeEarly   bool          // it broke at once under a request, before any answer
	desynced     bool          // bytes came that can answer no request sent on it

	sawNotRun bool // it has brought an answer by which a request was not run
}

// upstream owns all connections to endpoints.
type upstream struct {
	maxConns         int           // connections at once
	breakCheckTime   time.Duration // see holdTime
	reuseDelay       time.Duration // see restTime
	firstByteTimeout time.Duration // from the decision on an attempt to its first byte; 0 = any; the loop's

	mu                       sync.Mutex
	dialTimeout, idleTimeout time.Duration
	endpoints                map[uint32]*endpoint
	openConns                int           // connections, and dials under way
	sweeper                  *time.Timer   // of the next sweep of idle connections; nil = none is due
	trustedIdle              time.Duration // a request that must not run twice goes on no connection idle for longer
	soundReuses              int           // reuses in a row of connections idle for longer than that, by other requests
}

// newUpstream makes a pool of at most so many connections.
func newUpstream(limits forkline.Limits, drainGrace float64, maxConns int) *upstream {
	u := &upstream{maxConns: maxConns, breakCheckTime: defaultBreakCheckTime, reuseDelay: defaultReuseDelay, endpoints: map[uint32]*endpoint{}}
	u.configure(limits, drainGrace)
	return u
}

// idleLimit is the time for which a connection may be idle.
func idleTimeout(limits forkline.Limits) time.Duration {
	if limits.IdleTimeout > 0 {
		return msToDuration(idleTimeoutShare * limits.IdleTimeout)
	}
	return defaultIdleTimeout
}

// configure takes over what settings say of connections. The loop calls it; attempts that are out go on by what they
// began with.
func (u *upstream) configure(limits forkline.Limits, drainGrace float64) {
	u.firstByteTimeout = msToDuration(drainGraceShare * drainGrace)
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.idleTimeout
	u.dialTimeout, u.idleTimeout = defaultDialTimeout, idleTimeout(limits)
	if limits.ConnectTimeout > 0 {
		u.dialTimeout = msToDuration(limits.ConnectTimeout)
	}
	if u.trustedIdle == previous || u.trustedIdle > u.idleTimeout { // else less was learned
		u.trustedIdle = u.idleTimeout
	}
	if u.sweeper != nil && u.idleTimeout < previous && u.sweeper.Stop() { // else the sweep is about to run
		u.sweeper = time.AfterFunc(0, u.sweep)
	}
}

// list notes where a server is and whether it wants requests. Idle connections to one that
// does not, that moved or that started anew are of no more use.
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

// closeAll closes the idle connections to one server.
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

// find returns a server's endpoint, nil if it is not listed.
func (u *upstream) find(id uint32) *endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoints[id]
}

// do carries one attempt out and tells how it ended, as the module names it.
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
		// An idle connection that broke, or was spoilt, before the request was whole has carried no attempt: on to the next.
		if outcome != forkline.ConnectFailed || !c.brokeEarly && !c.desynced || c.idleFor == 0 {
			return outcome, resp
		}
	}
}

var errPoolExhausted = errors.New("the pool is at its limit and none of its connections is idle")

// connect takes an idle connection that is still open, waits out the rest of one that was used just now, or dials.
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

// take pops an idle connection and tells how long it has to rest yet: on one used just now a second answer, which an
// endpoint in trouble may send a little behind the first, would be taken for the next client's. Best is the one used
// last of those that have rested, so that the others can grow old. Failing that it is the one that will have rested
// first, if that is in time and no longer than its last request took: a new one costs its endpoint work, and stays
// open, but where answers come at once a wait would look like a server that says nothing. One that was idle for longer
// than a request that must not run twice can trust stays for the others, which may be sent again, and so does one on
// which an answer that such a request was not run would prove nothing.
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
	if n >= 0 && now.Sub(e.idle[n].idleSince) > u.idleTimeout { // so are all that are older
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

// pause waits for so long, or for the context's end, which is its error.
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

// reused learns from a connection that was idle. Endpoints, or what lies on the way, may drop idle connections long
// before the limit in the settings and without a sign: a request written to one ends as a reset, and one that must
// not run twice has failed for good. What is trusted goes down at once, and up as other requests fare well.
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

// acquire counts one more connection; at the limit, the one that was idle longest is evicted.
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

func (u *upstream) discard(c *conn) {
	c.Close()
	u.mu.Lock()
	u.openConns--
	u.mu.Unlock()
}

// put keeps a connection for the next request, and has idle ones looked after while there are any.
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

// sweep closes the connections that have been idle for too long and comes back when the next one will have been.
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

// closeOldest closes the connection of an endpoint that has been idle longest.
func (u *upstream) closeOldest(e *endpoint) {
	e.idle[0].Close()
	e.idle = slices.Delete(e.idle, 0, 1)
	u.openConns--
}
