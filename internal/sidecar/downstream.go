package sidecar

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	writeTimeout  = 3 * time.Second // limit for writing a response
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes is how much is read and discarded from a client that is still sending, so that an error response
	// reaches it.
	lingerBytes       = 256 << 10
	acceptRetryDelay  = 5 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond
	evictionHeadroom  = 8 // idle connections are evicted when fewer free slots than this remain
	// defaultSlowRequestTime is how long a request may take to arrive before its connection may be evicted as slow.
	defaultSlowRequestTime = 500 * time.Millisecond
)

// downstreamConn is a connection from a client. The fields below reader are guarded by downstream.mu.
type downstreamConn struct {
	net.Conn
	reader         *bufio.Reader
	queue          *list.List // list that holds it; nil while a request is open
	element        *list.Element
	listedSince    time.Time // when it was added to that list
	closeRequested bool      // to be closed unless a request arrives first
	evicted        bool      // closed because it was too slow; further input is ignored
}

// downstream holds the connections of clients. Near the limit it evicts connections without an open request, the one
// idle longest first, and then slow ones, so that clients which hold idle connections or send slowly cannot keep
// others out.
//
// A connection that is receiving a request is not evicted, because the request may become complete and be accepted at
// any instant. A new connection waits until that request is complete or has proved slow, and later ones wait in the
// listener's backlog, in order. If they were closed instead, the clients that reconnect fastest would get all slots.
type downstream struct {
	maxConns        int
	events          *eventLog
	slowRequestTime time.Duration // see defaultSlowRequestTime
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
		maxConns: maxConns, events: events, slowRequestTime: defaultSlowRequestTime,
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
	c := &downstreamConn{Conn: conn, reader: bufio.NewReader(conn)}
	cs.move(c, cs.idle)
	cs.openConns++
	return c
}

// ensureEviction makes sure that a connection is being evicted. It returns how long to wait before checking again and
// whether any connection can be evicted at all.
func (cs *downstream) ensureEviction() (time.Duration, bool) {
	if cs.closing > 0 || cs.evict() {
		return cs.slowRequestTime, true
	}
	if e := cs.receiving.Front(); e != nil {
		return max(cs.slowRequestTime-time.Since(e.Value.(*downstreamConn).listedSince), 0) + time.Millisecond, true
	}
	return 0, false
}

// evict starts to close the connection that is needed least. It returns false if no connection can be evicted.
func (cs *downstream) evict() bool {
	if e := cs.idle.Front(); e != nil {
		cs.requestClose(e.Value.(*downstreamConn))
		return true
	}
	if e := cs.receiving.Front(); e != nil && time.Since(e.Value.(*downstreamConn).listedSince) > cs.slowRequestTime {
		c := e.Value.(*downstreamConn)
		cs.move(c, nil)
		c.evicted = true
		cs.closing++
		c.Close()
		return true
	}
	return false
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
	if err != nil || !cs.moveUnlessEvicted(c, cs.receiving) {
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

// beginRequest marks a connection as having an open request, endRequest marks it as idle. Both report whether the
// connection can still be used.
func (cs *downstream) beginRequest(c *downstreamConn) bool { return cs.moveUnlessEvicted(c, nil) }
func (cs *downstream) endRequest(c *downstreamConn) bool   { return cs.moveUnlessEvicted(c, cs.idle) }

// moveUnlessEvicted moves a connection to a list, as move does, and withdraws a requested close. It does nothing and returns
// false if the connection has been evicted.
func (cs *downstream) moveUnlessEvicted(c *downstreamConn, to *list.List) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !c.evicted {
		if c.closeRequested {
			c.closeRequested = false
			cs.closing--
		}
		cs.move(c, to)
	}
	return !c.evicted
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
	}
}

// hasUnread reports, without blocking, whether there are bytes that have not been read.
func (c *downstreamConn) hasUnread() bool {
	n, err := peek(c.Conn)
	return err == nil && n > 0
}

// awaitDisconnect waits until the client disconnects and returns true, or false if a read deadline ends the wait.
// Bytes after the request remain in the reader as long as its buffer has space. If more bytes follow, the end of the
// stream cannot be reached by reading; only a poll detects it.
func (c *downstreamConn) awaitDisconnect() bool {
	for n := c.reader.Buffered() + 1; n <= c.reader.Size(); n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	raw, err := rawConn(c.Conn)
	if err != nil {
		return false
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool { closed = hungUp(fd); return closed })
	return err == nil && closed
}

// disconnected reports, without blocking, whether the client has disconnected. Any goroutine may call it, so that a
// disconnect takes effect before the connection's own goroutine is scheduled.
func (c *downstreamConn) disconnected() bool {
	n, err := peek(c.Conn)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, errors.ErrUnsupported):
		return false
	case err != nil || n == 0:
		return true
	}
	raw, err := rawConn(c.Conn) // unread bytes after the request hide the end of the stream from a read
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = hungUp(fd) })
	return err != nil || closed
}

// writeResponse writes a final response. The Content-Length is always sent, so that the client can detect a truncated
// body.
func (c *downstreamConn) writeResponse(r *response, closeAfter bool) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.status, http.StatusText(r.status), len(r.body))
	if r.retryAfter > 0 {
		fmt.Fprintf(&head, "Retry-After: %s\r\n", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	if closeAfter {
		head.WriteString("Connection: close\r\n")
	}
	r.header.Write(&head)
	head.WriteString("\r\n")
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := (&net.Buffers{head.Bytes(), r.body}).WriteTo(c.Conn)
	return err
}

// reject sends an error response and closes the connection, since the bytes after an invalid request cannot be
// interpreted.
func (c *downstreamConn) reject(status int, reason string) {
	if c.writeResponse(&response{status: status, body: []byte(reason + "\n")}, true) == nil {
		c.lingerClose()
	}
}

// lingerClose shuts down sending after the last response, so that the connection can be closed. Input is read and
// discarded for a while, because closing a socket with unread bytes sends a reset, which could overtake the response.
func (c *downstreamConn) lingerClose() {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.reader, lingerBytes)
}
