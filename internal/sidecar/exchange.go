package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"forkline"
)

// This file implements one attempt on one connection: what is written and until when it may be written. What its end
// proves is decided in outcome.go.

const (
	// earlyBreakTime is how soon after a write a connection breaks if the peer had already dropped it. A later break is
	// a failure of the server.
	earlyBreakTime = 25 * time.Millisecond
	// defaultBreakCheckTime is how long to wait for a broken connection to show: a few round trips in a data center.
	defaultBreakCheckTime = time.Millisecond
	maxSingleWrite        = 8 << 10          // bytes that a write passes to the kernel without waiting for the peer
	ackPollInterval       = time.Millisecond // interval between checks of what the peer's kernel has acknowledged
)

// upstreamRequest is what every attempt of a call sends, except for the remaining time.
type upstreamRequest struct {
	preamble   string // request line and Host header
	header     http.Header
	body       []byte
	atMostOnce bool // must never run twice
	safe       bool // may run any number of times
}

// response is a complete response for a client.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
	memory     *reservation // of the body; released by whoever writes or drops the response
	noAttempt  bool         // it was made without an attempt
}

// attempt is the handle of one send of a request.
type attempt struct {
	ctx               context.Context
	cancel            context.CancelFunc
	firstByteBy       time.Time   // latest time for its first byte; zero = any
	lastByteBy        time.Time   // latest time for its last byte, which completes the request at the endpoint; zero = any
	clientMayHaveLeft func() bool // reports whether the client may have disconnected; nil = never
	responseMemory    *memoryBudget
	onConnecting      func(bool) // called when the attempt starts or stops waiting for a new connection; may be nil
	mu                sync.Mutex
	aborted           bool // guarded by mu

	// The fields below are written by the attempt's goroutine and may be read by others once do has returned.
	newConnection bool           // the connection was dialed for this attempt
	serviceTime   time.Duration  // from its last byte to the first byte of the response; 0 = no response
	responseErr   *responseError // what is wrong with the response; nil = nothing, or no response
}

func newAttempt(firstByteBy time.Time) *attempt {
	a := &attempt{firstByteBy: firstByteBy}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// abort ends the attempt: nothing more is written and its connection is closed.
func (a *attempt) abort() {
	a.mu.Lock()
	a.aborted = true
	a.mu.Unlock()
	a.cancel()
}

// mayWrite reports whether the request may still be written: the attempt has not been aborted and the client is known to be
// connected. It is called right before the first byte and right before the last byte, because the loop may not have
// processed either event yet.
func (a *attempt) mayWrite() bool {
	a.mu.Lock()
	aborted := a.aborted
	a.mu.Unlock()
	return !aborted && (a.clientMayHaveLeft == nil || !a.clientMayHaveLeft())
}

// notifyConnecting reports that the attempt has started or stopped waiting for a new connection.
func (a *attempt) notifyConnecting(connecting bool) {
	if a.onConnecting != nil {
		a.onConnecting(connecting)
	}
}

// firstByteLate reports whether it is too late to write the first byte.
func (a *attempt) firstByteLate() bool {
	return a.lastByteLate() || !a.firstByteBy.IsZero() && time.Now().After(a.firstByteBy)
}

// lastByteLate reports whether it is too late to write the last byte.
func (a *attempt) lastByteLate() bool {
	return !a.lastByteBy.IsZero() && time.Now().After(a.lastByteBy)
}

// awaitDelivery waits until the peer's kernel has acknowledged all bytes written so far and reports whether it did so
// in time. If the last byte were written behind bytes still in flight, the time at which the request is complete at
// the endpoint would be unknown. It does not wait if the attempt has no limit for its last byte or if the connection
// does not report acknowledgements.
func (a *attempt) awaitDelivery(c net.Conn) bool {
	for !a.lastByteBy.IsZero() {
		if n, err := unackedBytes(c); err != nil || n == 0 {
			return true
		}
		if a.lastByteLate() || sleep(a.ctx, ackPollInterval) != nil {
			return false
		}
	}
	return true
}

// exchange writes the request and reads the response. The last result reports whether the connection can be reused.
func exchange(a *attempt, c *conn, outgoing *upstreamRequest, deadline time.Time, breakCheck time.Duration) (forkline.Outcome, *response, bool) {
	if outcome, written, reusable := writeRequest(a, c, outgoing, deadline, breakCheck); !written {
		return outcome, nil, reusable
	}
	written := time.Now()
	if _, err := c.reader.Peek(1); err != nil {
		outcome := errorOutcome(a, err, forkline.Reset)
		c.brokeEarly = outcome == forkline.Reset && time.Since(written) < earlyBreakTime
		return outcome, nil, false
	}
	a.serviceTime = time.Since(written)
	return readResponse(a, c, outgoing, deadline)
}

// encode returns the request in wire format, with the remaining time until the deadline.
func (r *upstreamRequest) encode(deadline time.Time) []byte {
	var text bytes.Buffer
	text.Grow(len(r.preamble) + len(r.body) + 512)
	text.WriteString(r.preamble)
	r.header.WriteSubset(&text, map[string]bool{"X-Deadline": true})
	remaining := max(time.Until(deadline), 0).Truncate(time.Millisecond) // rounding up would promise more time than there is
	fmt.Fprintf(&text, "X-Deadline: %.3f\r\n", remaining.Seconds())
	if len(r.body) > 0 || !strings.HasPrefix(r.preamble, "GET ") {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n")
	text.Write(r.body)
	return text.Bytes()
}

// writeRequest writes the request. If it was not written completely, it cannot have run, and the outcome says so. For
// a long request or an at-most-once request the last byte is written separately, because nothing runs before that
// byte arrives. The result reusable reports whether the connection can be used for another attempt.
func writeRequest(a *attempt, c *conn, outgoing *upstreamRequest, deadline time.Time, breakCheck time.Duration) (outcome forkline.Outcome, written, reusable bool) {
	c.SetDeadline(deadline)
	text := outgoing.encode(deadline)
	if !a.lastByteBy.IsZero() && a.lastByteBy.Before(deadline) {
		c.SetWriteDeadline(a.lastByteBy)
	}
	if !a.mayWrite() {
		return unwrittenOutcome(a), false, c.idleFor == 0 // a connection that was idle before must not appear to be recently used
	}
	if a.firstByteLate() { // the endpoint may be draining by now, or may forget an earlier attempt of this request
		return forkline.ConnectFailed, false, c.idleFor == 0
	}
	if outgoing.atMostOnce || len(text) > maxSingleWrite {
		if !outgoing.atMostOnce {
			breakCheck = 0
		}
		last := len(text) - 1
		if outcome, ok := writeBeforeLastByte(a, c, text[:last], deadline, breakCheck); !ok {
			return outcome, false, false
		}
		text = text[last:]
	}
	if err := write(c, text, 0); err != nil {
		c.brokeEarly = errorOutcome(a, err, forkline.Reset) == forkline.Reset
		return errorOutcome(a, err, forkline.ConnectFailed), false, false
	}
	return 0, true, false
}

// writeBeforeLastByte writes all of a request but its last byte and reports whether that byte may be written now. If
// not, the outcome says why.
func writeBeforeLastByte(a *attempt, c *conn, text []byte, deadline time.Time, breakCheck time.Duration) (outcome forkline.Outcome, ok bool) {
	if err := write(c, text, breakCheck); err != nil {
		c.brokeEarly = errorOutcome(a, err, forkline.Reset) == forkline.Reset
		return errorOutcome(a, err, forkline.ConnectFailed), false
	}
	if c.idleFor > 0 && c.reader.Buffered() > 0 { // a duplicate response to an earlier request
		c.desynced = true
		return forkline.ConnectFailed, false
	}
	c.SetReadDeadline(deadline)
	delivered := a.awaitDelivery(c.Conn)
	if !a.mayWrite() {
		return unwrittenOutcome(a), false
	}
	if !delivered || a.lastByteLate() {
		return forkline.ConnectFailed, false
	}
	return 0, true
}

// write writes text, then waits for the duration breakCheck for the connection to break.
func write(c *conn, text []byte, breakCheck time.Duration) error {
	if n, err := c.Write(text); n < len(text) || breakCheck <= 0 {
		return err
	}
	c.SetReadDeadline(time.Now().Add(breakCheck))
	if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}
