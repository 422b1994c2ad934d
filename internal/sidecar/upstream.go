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
	idlePart    = 0.8 // an idle connection is retired after this share of the idle limit
	gracePart   = 0.6 // an attempt whose first byte is not out after this share of the drain grace stays in
	defaultIdle = 5 * time.Second
	defaultDial = 250 * time.Millisecond
	leastTrust  = 50 * time.Millisecond // nothing drops a connection for having been idle for less
	restTime    = 10 * time.Millisecond // before a connection is used again: a second answer comes some ms behind the first
	regainTrust = 32                    // reuses in a row, each after longer than is trusted, that double what is trusted
)

// endpoint is one server of the list and the idle connections to it. Its fields are guarded by upstream.mu.
type endpoint struct {
	addr    string
	started float64
	ready   bool
	idle    []*conn // the one used last is at the end
}

// conn is a connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	home    *endpoint
	since   time.Time     // idle since then
	idle    time.Duration // before it was taken; 0 = it is new
	taken   time.Time
	took    time.Duration // its last request
	dropped bool          // it broke at once under a request, before any answer
	spoilt  bool          // bytes came that can answer no request sent on it

	turnedAway bool // it has brought an answer by which a request was not run
}

// upstream owns all connections to endpoints.
type upstream struct {
	most  int           // connections at once
	hold  time.Duration // see holdTime
	rest  time.Duration // see restTime
	grace time.Duration // from the decision on an attempt to its first byte; 0 = any; the loop's

	mu                     sync.Mutex
	dialTimeout, idleLimit time.Duration
	endpoints              map[uint32]*endpoint
	open                   int           // connections, and dials under way
	sweeper                *time.Timer   // of the next sweep of idle connections; nil = none is due
	trust                  time.Duration // a request that must not run twice goes on no connection idle for longer
	sound                  int           // reuses in a row of connections idle for longer than that, by other requests
}

// newUpstream makes a pool of at most so many connections.
func newUpstream(l forkline.Limits, drainGrace float64, most int) *upstream {
	u := &upstream{most: most, hold: holdTime, rest: restTime, endpoints: map[uint32]*endpoint{}}
	u.configure(l, drainGrace)
	return u
}

// idleLimit is the time for which a connection may be idle.
func idleLimit(l forkline.Limits) time.Duration {
	if l.IdleTimeout > 0 {
		return millis(idlePart * l.IdleTimeout)
	}
	return defaultIdle
}

// configure takes over what settings say of connections. The loop calls it; attempts that are out go on by what they
// began with.
func (u *upstream) configure(l forkline.Limits, drainGrace float64) {
	u.grace = millis(gracePart * drainGrace)
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.idleLimit
	u.dialTimeout, u.idleLimit = defaultDial, idleLimit(l)
	if l.ConnectTimeout > 0 {
		u.dialTimeout = millis(l.ConnectTimeout)
	}
	if u.trust == before || u.trust > u.idleLimit { // else less was learned
		u.trust = u.idleLimit
	}
	if u.sweeper != nil && u.idleLimit < before && u.sweeper.Stop() { // else the sweep is about to run
		u.sweeper = time.AfterFunc(0, u.sweep)
	}
}

// list notes where a server is and whether it wants requests. Idle connections to one that
// does not, that moved or that started anew are of no more use.
func (u *upstream) list(id uint32, addr string, started float64, state forkline.ServerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.endpoints[id]
	if e == nil || e.addr != addr || e.started != started {
		if e != nil {
			e.ready = false
			u.closeIdle(e)
		}
		e = &endpoint{addr: addr, started: started}
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
func (u *upstream) closeAll(id uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.endpoints[id]; e != nil {
		u.closeIdle(e)
	}
}

func (u *upstream) closeIdle(e *endpoint) {
	for _, c := range e.idle {
		u.open--
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
func (u *upstream) do(a *attempt, e *endpoint, out *outgoing, until time.Time) (forkline.Outcome, *answer) {
	defer a.cancel()
	for {
		c, err := u.connect(a, e, until, out.once)
		if err != nil {
			if a.ctx.Err() != nil {
				return forkline.Cancelled, nil
			}
			return forkline.ConnectFailed, nil
		}
		a.fresh = c.idle == 0
		stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
		outcome, got, keep := exchange(a, c, out, until, u.hold)
		if !c.spoilt && outcome != forkline.NotSent {
			u.reused(c.idle, c.dropped)
		}
		if !stop() || !keep {
			u.discard(c)
		} else {
			u.put(c)
		}
		// An idle connection that broke, or was spoilt, before the request was whole has carried no attempt: on to the next.
		if outcome != forkline.ConnectFailed || !c.dropped && !c.spoilt || c.idle == 0 {
			return outcome, got
		}
	}
}

var errPoolExhausted = errors.New("the pool is at its limit and none of its connections is idle")

// connect takes an idle connection that is still open, waits out the rest of one that was used just now, or dials.
func (u *upstream) connect(a *attempt, e *endpoint, until time.Time, once bool) (*conn, error) {
	for {
		c, wait := u.take(e, until, once)
		if c == nil {
			break
		}
		if err := pause(a.ctx, wait); err != nil {
			u.discard(c)
			return nil, err
		}
		c.taken = time.Now()
		c.idle = c.taken.Sub(c.since)
		if stillOpen(c.Conn) {
			return c, nil
		}
		u.discard(c)
	}
	if !u.acquire() {
		return nil, errPoolExhausted
	}
	u.mu.Lock()
	d := net.Dialer{Timeout: u.dialTimeout, Deadline: until, KeepAlive: -1}
	u.mu.Unlock()
	a.connecting(true)
	raw, err := d.DialContext(a.ctx, "tcp", e.addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, fmt.Errorf("dial: %w", err)
	}
	a.connecting(false)
	return &conn{Conn: raw, reader: bufio.NewReader(raw), home: e, taken: time.Now()}, nil
}

// take pops an idle connection and tells how long it has to rest yet: on one used just now a second answer, which an
// endpoint in trouble may send a little behind the first, would be taken for the next client's. Best is the one used
// last of those that have rested, so that the others can grow old. Failing that it is the one that will have rested
// first, if that is in time and no longer than its last request took: a new one costs its endpoint work, and stays
// open, but where answers come at once a wait would look like a server that says nothing. One that was idle for longer
// than a request that must not run twice can trust stays for the others, which may be sent again, and so does one on
// which an answer that such a request was not run would prove nothing.
func (u *upstream) take(e *endpoint, until time.Time, once bool) (c *conn, wait time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	n := len(e.idle) - 1
	for n >= 0 && now.Sub(e.idle[n].since) < u.rest {
		n--
	}
	oldest := u.idleLimit
	if once {
		oldest = min(oldest, u.trust)
	}
	if n >= 0 && now.Sub(e.idle[n].since) > u.idleLimit { // so are all that are older
		for ; n >= 0; n-- {
			u.closeOldest(e)
		}
	}
	resting := n + 1
	for n >= 0 && once && e.idle[n].turnedAway {
		n--
	}
	if n < 0 || now.Sub(e.idle[n].since) > oldest {
		for n = resting; n < len(e.idle) && once && e.idle[n].turnedAway; {
			n++
		}
		if n == len(e.idle) || u.rest > oldest {
			return nil, 0
		}
		wait = u.rest - now.Sub(e.idle[n].since)
		if wait > e.idle[n].took || !now.Add(wait).Before(until) {
			return nil, 0
		}
	}
	c = e.idle[n]
	e.idle = slices.Delete(e.idle, n, n+1)
	return c, wait
}

// pause waits for so long, or for the context's end, which is its error.
func pause(ctx context.Context, d time.Duration) error {
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
func (u *upstream) reused(idle time.Duration, dropped bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case dropped && idle > leastTrust:
		u.trust, u.sound = max(leastTrust, min(u.trust, idle/2)), 0
	case !dropped && idle > u.trust:
		if u.sound++; u.sound == regainTrust {
			u.trust, u.sound = min(2*u.trust, u.idleLimit), 0
		}
	}
}

// acquire counts one more connection; at the limit, the one that was idle longest is evicted.
func (u *upstream) acquire() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.most {
		var oldest *endpoint
		for _, e := range u.endpoints {
			if len(e.idle) > 0 && (oldest == nil || e.idle[0].since.Before(oldest.idle[0].since)) {
				oldest = e
			}
		}
		if oldest == nil {
			return false
		}
		u.closeOldest(oldest)
	}
	u.open++
	return true
}

func (u *upstream) discard(c *conn) {
	c.Close()
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// put keeps a connection for the next request, and has idle ones looked after while there are any.
func (u *upstream) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.home.ready {
		c.Close()
		u.open--
		return
	}
	c.since = time.Now()
	c.took = c.since.Sub(c.taken)
	c.home.idle = append(c.home.idle, c)
	if u.sweeper == nil {
		u.sweeper = time.AfterFunc(u.idleLimit, u.sweep)
	}
}

// sweep closes the connections that have been idle for too long and comes back when the next one will have been.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	next := now
	for _, e := range u.endpoints {
		for len(e.idle) > 0 && now.Sub(e.idle[0].since) >= u.idleLimit {
			u.closeOldest(e)
		}
		if len(e.idle) > 0 && (next == now || e.idle[0].since.Before(next)) {
			next = e.idle[0].since
		}
	}
	u.sweeper = nil
	if next != now {
		u.sweeper = time.AfterFunc(u.idleLimit-now.Sub(next), u.sweep)
	}
}

// closeOldest closes the connection of an endpoint that has been idle longest.
func (u *upstream) closeOldest(e *endpoint) {
	e.idle[0].Close()
	e.idle = slices.Delete(e.idle, 0, 1)
	u.open--
}
