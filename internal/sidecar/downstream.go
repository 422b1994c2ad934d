package sidecar

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	acceptRetryDelay  = 5 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond
	evictionHeadroom  = 8 // connections are evicted when fewer free slots than this remain
	// defaultSlowRequestTime is how long a request may take to arrive before its connection may be evicted as slow.
	defaultSlowRequestTime = 500 * time.Millisecond
	// defaultStallTime is how long a request may make no progress before its connection may be evicted as slow. It is longer than
	// the pauses between the packets of one request.
	defaultStallTime = 50 * time.Millisecond
)

// downstream holds the connections of clients. Where slots or memory are short, it evicts connections without an open request: the
// one idle longest first, and then those that are receiving a request too slowly, the one longest without progress first. So clients
// that hold idle connections or send slowly cannot keep others out.
//
// A connection whose request makes progress is not evicted. A new connection waits for such requests, and later ones wait in the
// listener's backlog, in order. If they were closed instead, the clients that reconnect fastest would get all slots.
type downstream struct {
	maxConns        int
	events          *eventLog
	requestMemory   *memoryBudget // of requests that are being received or answered
	inputMemory     *memoryBudget // of the input behind them
	unforwarded     *rate.Limiter // see unforwardedTotalRate
	slowRequestTime time.Duration // see defaultSlowRequestTime
	stallTime       time.Duration // see defaultStallTime
	acceptDone      chan struct{} // closed when no more connections are accepted
	changed         chan struct{} // signaled when a connection has moved to another list or ended
	mu              sync.Mutex
	openConns       int
	closing         int        // evicted connections that are not closed yet; included in openConns
	idle            *list.List // connections without a request, the one idle longest first
	receiving       *list.List // connections that are receiving a request, the earliest first
}

func newDownstream(maxConns int, events *eventLog) *downstream {
	return &downstream{
		maxConns: maxConns, events: events, requestMemory: newMemoryBudget(defaultMemoryMB, requestMemoryShare),
		inputMemory:     newMemoryBudget(defaultMemoryMB, inputMemoryShare),
		unforwarded:     rate.NewLimiter(unforwardedTotalRate, unforwardedBurst),
		slowRequestTime: defaultSlowRequestTime, stallTime: defaultStallTime,
		acceptDone: make(chan struct{}), changed: make(chan struct{}, 1),
		idle: list.New(), receiving: list.New(),
	}
}

// serve accepts connections until the listener is closed. Each one is served by serveConn in its own goroutine, which returns
// why the connection ended.
func (cs *downstream) serve(ln net.Listener, serveConn func(*downstreamConn) eventReason) error {
	defer close(cs.acceptDone)
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // no file descriptor is free, or the client has already disconnected
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := cs.admit(conn); c != nil {
			go func() {
				defer cs.remove(c)
				cs.events.count(eventClose, serveConn(c), "")
			}()
		}
	}
}

// admit registers a new connection once a slot is free. If all connections have open requests, it closes the new one,
// which its client can tell apart from a lost request.
func (cs *downstream) admit(conn net.Conn) *downstreamConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.openConns > cs.maxConns-evictionHeadroom {
		cs.evict()
	}
	for cs.openConns >= cs.maxConns {
		if wait, ok := cs.ensureEviction(); ok {
			cs.mu.Unlock()
			select {
			case <-cs.changed:
			case <-time.After(wait):
			}
			cs.mu.Lock()
			continue
		}
		conn.Close()
		cs.events.count(eventClose, reasonNoSlot, "")
		return nil
	}
	c := &downstreamConn{Conn: conn, idOwner: &idOwner{}}
	c.input = newClientInput(conn, cs.inputMemory, func() bool { return cs.resumeReading(c) })
	c.reader = bufio.NewReader(c.input)
	cs.move(c, cs.idle)
	cs.openConns++
	return c
}

// ensureEviction makes sure that a connection is being evicted. It returns how long to wait before checking again and
// whether any connection can be evicted at all.
func (cs *downstream) ensureEviction() (time.Duration, bool) {
	if cs.closing > 0 || cs.evict() || cs.evictWaiting() || cs.receiving.Len() > 0 {
		return cs.stallTime, true
	}
	return 0, false
}

// evict starts to close the connection that is needed least. It returns false if no connection can be evicted.
func (cs *downstream) evict() bool {
	if e := cs.idle.Front(); e != nil {
		cs.requestClose(e.Value.(*downstreamConn))
		return true
	}
	if c := cs.slowest(func(*downstreamConn) bool { return true }); c != nil {
		cs.evictSlow(c)
		return true
	}
	return false
}

// evictWaiting evicts the connection whose request has waited for memory for the longest time. It returns false if there is none.
func (cs *downstream) evictWaiting() bool {
	for e := cs.receiving.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*downstreamConn); c.stopWaiting != nil {
			c.stopWaiting()
			cs.evictSlow(c)
			return true
		}
	}
	return false
}

// slowest returns the connection that has been receiving a request with no progress for the longest time, of those that may be
// evicted and match; nil if there is none.
func (cs *downstream) slowest(matches func(*downstreamConn) bool) *downstreamConn {
	var slowest *downstreamConn
	var progressAt time.Time
	now := time.Now()
	for e := cs.receiving.Front(); e != nil; e = e.Next() {
		c := e.Value.(*downstreamConn)
		at := c.input.lastProgress()
		tooSlow := now.Sub(at) > cs.stallTime || now.Sub(c.listedSince) > cs.slowRequestTime
		if tooSlow && c.stopWaiting == nil && matches(c) && (slowest == nil || at.Before(progressAt)) && !c.hasUnread() {
			slowest, progressAt = c, at
		}
	}
	return slowest
}

// evictSlow has the goroutine of a connection that is receiving a request refuse the request and close the connection. Only that
// goroutine can tell that the request has not become complete.
func (cs *downstream) evictSlow(c *downstreamConn) {
	cs.move(c, nil)
	c.evicted = true
	cs.closing++
	c.SetReadDeadline(time.Unix(1, 0))
}

// resumeReading withdraws the eviction of a connection whose input has arrived after all. It reports whether to read on.
func (cs *downstream) resumeReading(c *downstreamConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !c.evicted || !c.hasUnread() {
		return false
	}
	c.evicted = false
	cs.closing--
	cs.move(c, cs.receiving)
	c.SetReadDeadline(c.readBy)
	return true
}

// evictHolders evicts up to count of the slowest connections that hold memory for a request.
func (cs *downstream) evictHolders(count int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for range count {
		c := cs.slowest(func(c *downstreamConn) bool { return c.holdsMemory })
		if c == nil {
			return
		}
		cs.evictSlow(c)
	}
}

// setMemoryState records whether the request of a connection holds memory, or waits for it and so makes no progress. stopWaiting
// ends the wait; it is nil if there is none.
func (cs *downstream) setMemoryState(c *downstreamConn, holds bool, stopWaiting context.CancelFunc) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.holdsMemory, c.stopWaiting = holds, stopWaiting
}

// requestClose has the goroutine of an idle connection close it. Only that goroutine can tell that no request has
// arrived.
func (cs *downstream) requestClose(c *downstreamConn) {
	cs.move(c, nil)
	c.closeRequested = true
	cs.closing++
	c.SetReadDeadline(time.Unix(1, 0))
}

// move moves a connection to the end of a list, or removes it from its list if to is nil.
func (cs *downstream) move(c *downstreamConn, to *list.List) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	if c.queue, c.listedSince = to, time.Now(); to != nil {
		c.element = to.PushBack(c)
	}
	select {
	case cs.changed <- struct{}{}:
	default:
	}
}

func (cs *downstream) remove(c *downstreamConn) {
	c.Close()
	c.releaseMemory()
	c.input.dropAhead()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.openConns--
	if c.closeRequested || c.evicted {
		cs.closing--
	}
	cs.move(c, nil)
}

// awaitRequest waits for the first byte of a request. If none arrives before the deadline and before a requested close, it returns
// why the connection ends. Bytes that have arrived when the wait ends still count, however late this goroutine is scheduled.
func (cs *downstream) awaitRequest(c *downstreamConn, deadline time.Time) eventReason {
	c.SetReadDeadline(deadline)
	if cs.isCloseRequested(c) { // requested before the deadline was set
		c.SetReadDeadline(time.Unix(1, 0))
	}
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnread() {
		c.SetReadDeadline(time.Time{}) // does not block, as there are unread bytes
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		return cs.endOfRead(c, err, reasonIdleTimeout)
	}
	return ""
}

// endOfRead returns why a connection ends after reading from it has failed with the given error. The last argument is the reason
// if the connection's own deadline has passed.
func (cs *downstream) endOfRead(c *downstreamConn, err error, timeout eventReason) eventReason {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case c.evicted:
		return reasonEvictedSlow
	case c.closeRequested:
		return reasonEvictedIdle
	case errors.Is(err, os.ErrDeadlineExceeded):
		return timeout
	}
	return reasonClientLeft
}

func (cs *downstream) isCloseRequested(c *downstreamConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return c.closeRequested
}

// beginReading marks a connection as receiving a request, which has to be read by the given time. The deadline is set first, as an
// eviction that follows interrupts the read by another one.
func (cs *downstream) beginReading(c *downstreamConn, readBy time.Time) {
	c.readBy = readBy
	c.SetReadDeadline(readBy)
	cs.moveFromEviction(c, cs.receiving)
}

// beginRequest marks a connection as having an open request, endRequest marks it as idle.
func (cs *downstream) beginRequest(c *downstreamConn) { cs.moveFromEviction(c, nil) }
func (cs *downstream) endRequest(c *downstreamConn)   { cs.moveFromEviction(c, cs.idle) }

// moveFromEviction moves a connection to a list, as move does, and withdraws a close or an eviction that has been requested: a
// request that has arrived is answered.
func (cs *downstream) moveFromEviction(c *downstreamConn, to *list.List) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.closeRequested || c.evicted {
		c.closeAfterResponse = c.closeAfterResponse || c.closeRequested
		c.closeRequested, c.evicted = false, false
		cs.closing--
	}
	cs.move(c, to)
}

// closesAfterResponse reports whether a connection is to be closed after the response to its current request: its slot was wanted
// when the request arrived. A client that pipelines without a pause would otherwise keep the slot for ever.
func (cs *downstream) closesAfterResponse(c *downstreamConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return c.closeAfterResponse
}

// drain closes idle connections until none are left or the deadline passes. A connection that is receiving a request
// is kept, as the request will be accepted and answered. Draining does not wait for a connection that has not been
// admitted yet.
func (cs *downstream) drain(deadline time.Time) {
	for time.Now().Before(deadline) {
		acceptEnded := false // read before openConns, so that a connection accepted but not yet counted is not missed
		select {
		case <-cs.acceptDone:
			acceptEnded = true
		default:
		}
		cs.mu.Lock()
		for e := cs.idle.Front(); e != nil; e = cs.idle.Front() {
			cs.requestClose(e.Value.(*downstreamConn))
		}
		remaining := cs.openConns
		cs.mu.Unlock()
		if acceptEnded && remaining == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// state returns the counts of connections, for the log.
func (cs *downstream) state() []slog.Attr {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return []slog.Attr{
		slog.Int("open", cs.openConns), slog.Int("idle", cs.idle.Len()),
		slog.Int("receiving", cs.receiving.Len()), slog.Int("closing", cs.closing),
		cs.requestMemory.state("request_bytes"), cs.inputMemory.state("input_bytes"),
	}
}
