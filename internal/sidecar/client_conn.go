package sidecar

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

const (
	writeTimeout  = 3 * time.Second // limit for writing a response
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes is how much is read and discarded from a client that is still sending, so that an error response
	// reaches it.
	lingerBytes        = 256 << 10
	refuseWriteTimeout = 50 * time.Millisecond // for a response that fits the kernel's buffer unless the client reads nothing

	// Requests of one connection that are answered without an attempt are free up to this rate and burst. Beyond it they are
	// apart by the interval, and those of all connections together have the total rate. The core is busy for a part of the
	// time then, so that the scheduler looks for the input of other connections.
	unforwardedRate      = 10 // per second
	unforwardedBurst     = 32
	unforwardedInterval  = 2 * time.Millisecond
	unforwardedTotalRate = 5000 // per second
)

// downstreamConn is a connection from a client. Its goroutine owns it, but for the fields that downstream.mu guards.
type downstreamConn struct {
	net.Conn
	input  *clientInput
	reader *bufio.Reader // reads from input
	readBy time.Time     // read deadline of the request that is being received
	memory *reservation  // of the request that is being received or answered
	// waitedSince is when the request that is being received began to wait for memory; zero if it did not wait. From then on it
	// may have been complete, unread.
	waitedSince time.Time

	idOwner     *idOwner      // owned by the loop; recent IDs refer to it, and so must not refer to the connection
	unforwarded *rate.Limiter // of requests that are answered without an attempt; nil = there were none

	// The fields below are guarded by downstream.mu.
	queue          *list.List // list that holds it; nil while a request is open
	element        *list.Element
	listedSince    time.Time // when it was added to that list
	closeRequested bool      // to be closed unless a request arrives first
	evicted        bool      // to be closed unless the rest of its request arrives first
	holdsMemory    bool      // for the request that it receives
	// stopWaiting ends the wait of that request for memory, during which nothing is read; nil = it does not wait.
	stopWaiting context.CancelFunc
	// closeAfterResponse is set if a close was requested just as a request arrived.
	closeAfterResponse bool
}

// reserve reserves memory for the request that is being received, up to its read deadline. While it waits, it has slower requests
// evicted from time to time.
func (cs *downstream) reserve(c *downstreamConn, bytes int64) (err error) {
	var ok bool
	if c.memory, ok = cs.requestMemory.tryReserve(bytes); !ok {
		ctx, cancel := context.WithDeadline(context.Background(), c.readBy)
		defer cancel()
		cs.setMemoryState(c, false, cancel)
		c.waitedSince = time.Now()
		c.memory, err = cs.requestMemory.reserveEvicting(ctx, bytes, cs.stallTime, cs.evictHolders)
	}
	cs.setMemoryState(c, c.memory != nil, nil)
	return err
}

// pace delays the next request of a connection after one that was answered without an attempt. Nothing else limits the rate of such
// requests: they wait for no endpoint.
func (cs *downstream) pace(c *downstreamConn) {
	if c.unforwarded == nil {
		c.unforwarded = rate.NewLimiter(unforwardedRate, unforwardedBurst)
	}
	if !c.unforwarded.Allow() {
		time.Sleep(max(unforwardedInterval, cs.unforwarded.Reserve().Delay()))
	}
}

// releaseMemory returns the memory of a request that has been answered.
func (c *downstreamConn) releaseMemory() {
	c.memory.release()
	c.memory, c.waitedSince = nil, time.Time{}
}

// requestArrivedAt returns when the last byte of the request that has been read arrived, or the earliest time at which it may have.
func (c *downstreamConn) requestArrivedAt() time.Time {
	if !c.waitedSince.IsZero() {
		return c.waitedSince
	}
	return c.input.deliveredAt
}

// hasUnread reports, without blocking, whether there are bytes that have not been read.
func (c *downstreamConn) hasUnread() bool {
	n, err := peek(c.Conn)
	return err == nil && n > 0
}

// awaitDisconnect waits until the client disconnects and returns true, or false if a read deadline ends the wait. It reads ahead
// meanwhile. If more bytes follow than can be read ahead, only a poll detects the end of the stream.
func (c *downstreamConn) awaitDisconnect() bool {
	err := c.input.readAhead()
	for err == nil {
		err = c.input.readAhead()
	}
	if err != errReadAheadFull {
		return !errors.Is(err, os.ErrDeadlineExceeded)
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
	return c.writeResponseBy(time.Now().Add(writeTimeout), r, closeAfter)
}

func (c *downstreamConn) writeResponseBy(deadline time.Time, r *response, closeAfter bool) error {
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
	c.SetWriteDeadline(deadline)
	_, err := (&net.Buffers{head.Bytes(), r.body}).WriteTo(c.Conn)
	return err
}

// refuseSlow refuses a request that is arriving too slowly, before the connection is closed. It does not wait for the client, as
// others wait for what the connection holds.
func (c *downstreamConn) refuseSlow(retryAfter time.Duration) {
	c.writeResponseBy(time.Now().Add(refuseWriteTimeout), &response{status: statusRefused, retryAfter: retryAfter}, true)
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
