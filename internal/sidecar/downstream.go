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
	writeTime       = 3 * time.Second // for an answer to be taken
	lingerTime      = 500 * time.Millisecond
	lingerBytes     = 256 << 10 // read and dropped of a client that still sends, for an error to reach it
	acceptPause     = 5 * time.Millisecond
	drainPoll       = 5 * time.Millisecond
	spareDownstream = 8                      // so many below the limit, quiet connections start to be evicted
	slowTime        = 500 * time.Millisecond // a request that has been coming for so long is not sent in earnest
)

// downstreamConn is one connection of a client. Its other fields are guarded by downstream.mu.
type downstreamConn struct {
	net.Conn
	reader *bufio.Reader
	in     *list.List // that it is in; nil while a request is open
	place  *list.Element
	since  time.Time // when it came there
	asked  bool      // to give way, if no request has come meanwhile
	ended  bool      // it was too slow: what comes is no request any more
}

// downstream holds the clients' connections. Near the limit those without an open request are evicted, the one quiet
// longest first, and then slow ones: clients that hold connections for nothing, or send slowly, keep none out. One on
// which a request has begun to come is not, as the request may be whole at any moment and is taken then: a new
// connection waits until it is or has proved slow, and those behind it wait in the listener's backlog, in their order.
// Were they shut instead, the clients that come again fastest would get all the room.
type downstream struct {
	most    int
	slow    time.Duration // see slowTime
	ended   chan struct{} // closed when none is accepted any more
	changed chan struct{} // filled when a connection has moved or ended
	mu      sync.Mutex
	open    int
	leaving int        // of those, evicted but not closed yet
	quiet   *list.List // those without a request, the one quiet longest first
	coming  *list.List // those whose request has begun to come, the first one first
}

func newDownstream(most int) *downstream {
	return &downstream{
		most: most, slow: slowTime, ended: make(chan struct{}), changed: make(chan struct{}, 1),
		quiet: list.New(), coming: list.New(),
	}
}

// serve accepts connections until the listener is closed; each is served by talk.
func (cs *downstream) serve(ln net.Listener, talk func(*downstreamConn)) error {
	defer close(cs.ended)
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // no descriptor is left, or the client has gone already
			time.Sleep(acceptPause)
			continue
		}
		if c := cs.add(conn); c != nil {
			go func() {
				defer cs.remove(c)
				talk(c)
			}()
		}
	}
}

// add takes a connection in, once there is room for it. Where all have open requests it is closed, which its client
// can tell from a lost request.
func (cs *downstream) add(conn net.Conn) *downstreamConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open > cs.most-spareDownstream {
		cs.evict()
	}
	for cs.open >= cs.most {
		if wait, ok := cs.untilRoom(); ok {
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
	cs.put(c, cs.quiet)
	cs.open++
	return c
}

// untilRoom sees to it that a connection is being evicted. It tells when to look again if nothing changes by then, and
// whether there is one that can be evicted at all.
func (cs *downstream) untilRoom() (time.Duration, bool) {
	if cs.leaving > 0 || cs.evict() {
		return cs.slow, true
	}
	if e := cs.coming.Front(); e != nil {
		return max(cs.slow-time.Since(e.Value.(*downstreamConn).since), 0) + time.Millisecond, true
	}
	return 0, false
}

// evict ends the connection that is needed least, if there is one.
func (cs *downstream) evict() bool {
	if e := cs.quiet.Front(); e != nil {
		cs.ask(e.Value.(*downstreamConn))
		return true
	}
	if e := cs.coming.Front(); e != nil && time.Since(e.Value.(*downstreamConn).since) > cs.slow {
		c := e.Value.(*downstreamConn)
		cs.put(c, nil)
		c.ended = true
		cs.leaving++
		c.Close()
		return true
	}
	return false
}

// ask has the goroutine of a quiet connection close it. Only that goroutine can tell that no request has come.
func (cs *downstream) ask(c *downstreamConn) {
	cs.put(c, nil)
	c.asked = true
	cs.leaving++
	c.SetReadDeadline(time.Unix(1, 0))
}

// put moves a connection to the end of a list, or out of all.
func (cs *downstream) put(c *downstreamConn, in *list.List) {
	if c.in != nil {
		c.in.Remove(c.place)
	}
	if c.in, c.since = in, time.Now(); in != nil {
		c.place = in.PushBack(c)
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
	cs.open--
	if c.asked || c.ended {
		cs.leaving--
	}
	cs.put(c, nil)
}

// comes waits until a request begins to come and tells whether one does by then, or until the connection is asked to
// give way. Bytes that are there when the wait ends still count, however late this goroutine gets to look.
func (cs *downstream) comes(c *downstreamConn, by time.Time) bool {
	c.SetReadDeadline(by)
	if cs.isAsked(c) { // before that deadline was set
		c.SetReadDeadline(time.Unix(1, 0))
	}
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.unread() {
		c.SetReadDeadline(time.Time{}) // no wait, as they are there
		_, err = c.reader.Peek(1)
	}
	return err == nil && cs.goOn(c, cs.coming)
}

func (cs *downstream) isAsked(c *downstreamConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return c.asked
}

// begins marks a connection as one with an open request, ends as a quiet one. Both tell whether it may go on.
func (cs *downstream) begins(c *downstreamConn) bool { return cs.goOn(c, nil) }
func (cs *downstream) ends(c *downstreamConn) bool   { return cs.goOn(c, cs.quiet) }

func (cs *downstream) goOn(c *downstreamConn, in *list.List) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !c.ended {
		if c.asked {
			c.asked = false
			cs.leaving--
		}
		cs.put(c, in)
	}
	return !c.ended
}

// drain closes what is quiet, until nothing is left or the time is up. What has begun to come may still become a
// request, and is answered. A connection that still waits for room must not hold the others up.
func (cs *downstream) drain(until time.Time) {
	for time.Now().Before(until) {
		all := false // are counted: one that is accepted but not yet counted is not missed
		select {
		case <-cs.ended:
			all = true
		default:
		}
		cs.mu.Lock()
		for e := cs.quiet.Front(); e != nil; e = cs.quiet.Front() {
			cs.ask(e.Value.(*downstreamConn))
		}
		left := cs.open
		cs.mu.Unlock()
		if all && left == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

// unread looks, without waiting, whether bytes have come that were not read yet.
func (c *downstreamConn) unread() bool {
	n, err := peek(c.Conn)
	return err == nil && n > 0
}

// leaves waits until the client has left, and tells that; it has not when a read deadline ends the wait. What comes
// behind its request stays in the reader, as far as there is room. An end behind more than that is no end of the
// stream yet: only a poll shows it.
func (c *downstreamConn) leaves() bool {
	for n := c.reader.Buffered() + 1; n <= c.reader.Size(); n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	raw, err := socket(c.Conn)
	if err != nil {
		return false
	}
	left := false
	err = raw.Read(func(fd uintptr) bool { left = hungUp(fd); return left })
	return err == nil && left
}

// hasLeft looks, without waiting, whether the caller has left, as leaves would tell it. Any goroutine may ask, so that
// a leaving counts before the connection's own goroutine has had its turn.
func (c *downstreamConn) hasLeft() bool {
	n, err := peek(c.Conn)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, errors.ErrUnsupported):
		return false
	case err != nil || n == 0:
		return true
	}
	raw, err := socket(c.Conn) // bytes behind the request hide the end from a read
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) { left = hungUp(fd) })
	return err != nil || left
}

// answer writes a final answer. The length goes first, so that a body that breaks off shows.
func (c *downstreamConn) answer(a *answer, last bool) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.status, http.StatusText(a.status), len(a.body))
	if a.retryAfter > 0 {
		fmt.Fprintf(&head, "Retry-After: %s\r\n", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	if last {
		head.WriteString("Connection: close\r\n")
	}
	a.header.Write(&head)
	head.WriteString("\r\n")
	c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := (&net.Buffers{head.Bytes(), a.body}).WriteTo(c.Conn)
	return err
}

// turnAway answers what cannot be taken and ends the connection: nothing behind it can be read for sure.
func (c *downstreamConn) turnAway(status int, complaint string) {
	if c.answer(&answer{status: status, body: []byte(complaint + "\n")}, true) == nil {
		c.finish()
	}
}

// finish ends a connection behind its last answer. What its client still sends is dropped for a while, as a close with
// bytes unread is a reset, which could overtake the answer.
func (c *downstreamConn) finish() {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, c.reader, lingerBytes)
}
