package sidecar

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	writeTimeout           = 3 * time.Second // for an answer to be taken
	lingerTimeout          = 500 * time.Millisecond
	lingerBytes            = 256 << 10 // read and dropped of a client that still sends, for an error to reach it
	acceptRetryDelay       = 5 * time.Millisecond
	drainPollInterval      = 5 * time.Millisecond
	evictionHeadroom       = 8                      // so many below the limit, quiet connections start to be evicted
	defaultSlowRequestTime = 500 * time.Millisecond // a request that has been coming for so long is not sent in earnest
)

// downstreamConn is one connection of a client. Its other fields are guarded by downstream.mu.
type downstreamConn struct {
	net.Conn
	reader         *bufio.Reader
	queue          *list.List // that it is in; nil while a request is open
	element        *list.Element
	listedSince    time.Time // when it came there
	closeRequested bool      // to give way, if no request has come meanwhile
	evicted        bool      // it was too slow: what comes is no request any more
}

// downstream holds the clients' connections. Near the limit those without an open request are evicted, the one quiet
// longest first, and then slow ones: clients that hold connections for nothing, or send slowly, keep none out. One on
// which a request has begun to come is not, as the request may be whole at any moment and is taken then: a new
// connection waits until it is or has proved slow, and those behind it wait in the listener's backlog, in their order.
// Were they shut instead, the clients that come again fastest would get all the room.
type downstream struct {
	maxConns        int
	slowRequestTime time.Duration // see slowTime
	acceptDone      chan struct{} // closed when none is accepted any more
	changed         chan struct{} // filled when a connection has moved or ended
	mu              sync.Mutex
	openConns       int
	closing         int        // of those, evicted but not closed yet
	idle            *list.List // those without a request, the one quiet longest first
	receiving       *list.List // those whose request has begun to come, the first one first
}

func newDownstream(maxConns int) *downstream {
	return &downstream{
		maxConns: maxConns, slowRequestTime: defaultSlowRequestTime, acceptDone: make(chan struct{}), changed: make(chan struct{}, 1),
		idle: list.New(), receiving: list.New(),
	}
}

// serve accepts connections until the listener is closed; each is served by talk.
func (cs *downstream) serve(ln net.Listener, serveConn func(*downstreamConn)) error {
	defer close(cs.acceptDone)
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // no descriptor is left, or the client has gone already
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := cs.admit(conn); c != nil {
			go func() {
				defer cs.remove(c)
				serveConn(c)
			}()
		}
	}
}

// add takes a connection in, once there is room for it. Where all have open requests it is closed, which its client
// can tell from a lost request.
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
		return nil
	}
	c := &downstreamConn{Conn: conn, reader: bufio.NewReader(conn)}
	cs.move(c, cs.idle)
	cs.openConns++
	return c
}

// untilRoom sees to it that a connection is being evicted. It tells when to look again if nothing changes by then, and
// whether there is one that can be evicted at all.
func (cs *downstream) ensureEviction() (time.Duration, bool) {
	if cs.closing > 0 || cs.evict() {
		return cs.slowRequestTime, true
	}
	if e := cs.receiving.Front(); e != nil {
		return max(cs.slowRequestTime-time.Since(e.Value.(*downstreamConn).listedSince), 0) + time.Millisecond, true
	}
	return 0, false
}

// evict ends the connection that is needed least, if there is one.
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

// ask has the goroutine of a quiet connection close it. Only that goroutine can tell that no request has come.
func (cs *downstream) requestClose(c *downstreamConn) {
	cs.move(c, nil)
	c.closeRequested = true
	cs.closing++
	c.SetReadDeadline(time.Unix(1, 0))
}

// put moves a connection to the end of a list, or out of all.
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

// comes waits until a request begins to come and tells whether one does by then, or until the connection is asked to
// give way. Bytes that are there when the wait ends still count, however late this goroutine gets to look.
func (cs *downstream) awaitRequest(c *downstreamConn, deadline time.Time) bool {
	c.SetReadDeadline(deadline)
	if cs.isCloseRequested(c) { // before that deadline was set
		c.SetReadDeadline(time.Unix(1, 0))
	}
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnread() {
		c.SetReadDeadline(time.Time{}) // no wait, as they are there
		_, err = c.reader.Peek(1)
	}
	return err == nil && cs.moveUnlessEvicted(c, cs.receiving)
}

func (cs *downstream) isCloseRequested(c *downstreamConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return c.closeRequested
}

// begins marks a connection as one with an open request, ends as a quiet one. Both tell whether it may go on.
func (cs *downstream) beginRequest(c *downstreamConn) bool { return cs.moveUnlessEvicted(c, nil) }
func (cs *downstream) endRequest(c *downstreamConn) bool   { return cs.moveUnlessEvicted(c, cs.idle) }

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

// drain closes what is quiet, until nothing is left or the time is up. What has begun to come may still become a
// request, and is answered. A connection that still waits for room must not hold the others up.
func (cs *downstream) drain(deadline time.Time) {
	for time.Now().Before(deadline) {
		acceptEnded := false // are counted: one that is accepted but not yet counted is not missed
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

// unread looks, without waiting, whether bytes have come that were not read yet.
func (c *downstreamConn) hasUnread() bool {
	n, err := peek(c.Conn)
	return err == nil && n > 0
}

// leaves waits until the client has left, and tells that; it has not when a read deadline ends the wait. What comes
// behind its request stays in the reader, as far as there is room. An end behind more than that is no end of the
// stream yet: only a poll shows it.
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

// hasLeft looks, without waiting, whether the caller has left, as leaves would tell it. Any goroutine may ask, so that
// a leaving counts before the connection's own goroutine has had its turn.
func (c *downstreamConn) disconnected() bool {
	n, err := peek(c.Conn)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, errors.ErrUnsupported):
		return false
	case err != nil || n == 0:
		return true
	}
	raw, err := rawConn(c.Conn) // bytes behind the request hide the end from a read
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = hungUp(fd) })
	return err != nil || closed
}

// answer writes a final answer. The length goes first, so that a body that breaks off shows.
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

// turnAway answers what cannot be taken and ends the connection: nothing behind it can be read for sure.
func (c *downstreamConn) reject(status int, reason string) {
	if c.writeResponse(&response{status: status, body: []byte(reason + "\n")}, true) == nil {
		c.lingerClose()
	}
}

// finish ends a connection behind its last answer. What its client still sends is dropped for a while, as a close with
// bytes unread is a reset, which could overtake the answer.
func (c *downstreamConn) lingerClose() {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.reader, lingerBytes)
}
