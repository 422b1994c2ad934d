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

// One attempt on one connection is here: what is written, how late it may be, and what the answer proves.

const (
	earlyBreakTime        = 25 * time.Millisecond // a dropped connection breaks under a request this soon; later, its server failed
	defaultBreakCheckTime = time.Millisecond      // for a broken connection to show: a few round trips within a data centre
	maxSingleWrite        = 8 << 10               // bytes that a connection takes without waiting for its peer
	ackPollInterval       = time.Millisecond      // between two looks at what the endpoint's machine has acknowledged
)

// outgoing is what every attempt of a request sends, but for the time left.
type upstreamRequest struct {
	preamble   string // request line and Host
	header     http.Header
	body       []byte
	atMostOnce bool // it must never run twice
	safe       bool // it may run any number of times
}

// answer is a whole answer for a client.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// attempt is the handle on one send of a request.
type attempt struct {
	ctx                context.Context
	cancel             context.CancelFunc
	firstByteBy        time.Time   // latest time for its first byte; zero for any
	lastByteBy         time.Time   // latest time for its last byte, by when it is whole at its endpoint; zero for any
	clientDisconnected func() bool // looks whether the request's client has left; nil = it never does
	onConnecting       func(bool)  // hears that it waits for a new connection, and that this is up; nil = nobody wants to know
	mu                 sync.Mutex
	aborted            bool // called off

	// What its own goroutine notes of its way; others may read it once do has returned.
	newConnection bool          // its connection was opened for it
	serviceTime   time.Duration // from its last byte to the first one of an answer; 0 = there was none
}

func newAttempt(firstByteBy time.Time) *attempt {
	a := &attempt{firstByteBy: firstByteBy}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// callOff ends the attempt: nothing is written for it any more and its connection is closed.
func (a *attempt) abort() {
	a.mu.Lock()
	a.aborted = true
	a.mu.Unlock()
	a.cancel()
}

// claim tells whether the request may be written now: by then it was not called off, nor has its client left. It is
// asked right before the first byte and right before the last one, as the news of either may still be on its way.
func (a *attempt) mayWrite() bool {
	a.mu.Lock()
	aborted := a.aborted
	a.mu.Unlock()
	return !aborted && (a.clientDisconnected == nil || !a.clientDisconnected())
}

// connecting notes that the attempt waits for a new connection, or does so no more.
func (a *attempt) notifyConnecting(connecting bool) {
	if a.onConnecting != nil {
		a.onConnecting(connecting)
	}
}

// lateToBegin tells whether it is too late for the first byte.
func (a *attempt) firstByteLate() bool {
	return a.lastByteLate() || !a.firstByteBy.IsZero() && time.Now().After(a.firstByteBy)
}

// lateToEnd tells whether it is too late for the last byte.
func (a *attempt) lastByteLate() bool {
	return !a.lastByteBy.IsZero() && time.Now().After(a.lastByteBy)
}

// delivered waits until the endpoint's machine has acknowledged all that was written, and tells whether it has while
// there was time. Bytes behind those that are still on their way would be whole there nobody knows when. An attempt
// that may be whole at any time does not wait, nor does one whose connection cannot tell.
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

// exchange writes the request, waits for the answer and tells whether the connection can be used again.
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
	return readResponse(a, c, outgoing)
}

// text is the request as it is written, with the time that is left.
func (r *upstreamRequest) encode(deadline time.Time) []byte {
	var text bytes.Buffer
	text.Grow(len(r.preamble) + len(r.body) + 512)
	text.WriteString(r.preamble)
	r.header.WriteSubset(&text, map[string]bool{"X-Deadline": true})
	remaining := max(time.Until(deadline), 0).Truncate(time.Millisecond) // rounded up, it would tell more than there is
	fmt.Fprintf(&text, "X-Deadline: %.3f\r\n", remaining.Seconds())
	if len(r.body) > 0 || !strings.HasPrefix(r.preamble, "GET ") {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n")
	text.Write(r.body)
	return text.Bytes()
}

// writeRequest writes the request. If it was not written whole, nothing has run: the outcome says so, and whether the
// connection can be used again. The last byte of a long request, and of one that must not run twice, goes by itself:
// nothing has run before it is there.
func writeRequest(a *attempt, c *conn, outgoing *upstreamRequest, deadline time.Time, breakCheck time.Duration) (outcome forkline.Outcome, written, reusable bool) {
	c.SetDeadline(deadline)
	text := outgoing.encode(deadline)
	if !a.lastByteBy.IsZero() && a.lastByteBy.Before(deadline) {
		c.SetWriteDeadline(a.lastByteBy)
	}
	if !a.mayWrite() {
		return unwrittenOutcome(a), false, c.idleFor == 0 // one that was idle already must not look as if just used
	}
	if a.firstByteLate() { // its endpoint may have been told to drain meanwhile, or forget the request's first copy
		return forkline.ConnectFailed, false, c.idleFor == 0
	}
	if !outgoing.atMostOnce {
		breakCheck = 0
	}
	if outgoing.atMostOnce || len(text) > maxSingleWrite {
		last := len(text) - 1
		if err := write(c, text[:last], breakCheck); err != nil {
			c.brokeEarly = errorOutcome(a, err, forkline.Reset) == forkline.Reset
			return errorOutcome(a, err, forkline.ConnectFailed), false, false
		}
		if c.idleFor > 0 && c.reader.Buffered() > 0 { // a second answer to a request before
			c.desynced = true
			return forkline.ConnectFailed, false, false
		}
		text = text[last:]
		c.SetReadDeadline(deadline)
		delivered := a.awaitDelivery(c.Conn)
		if !a.mayWrite() {
			return unwrittenOutcome(a), false, false
		}
		if !delivered || a.lastByteLate() {
			return forkline.ConnectFailed, false, false
		}
	}
	if err := write(c, text, 0); err != nil {
		c.brokeEarly = errorOutcome(a, err, forkline.Reset) == forkline.Reset
		return errorOutcome(a, err, forkline.ConnectFailed), false, false
	}
	return 0, true, false
}

// readResponse reads the answer, tells what it proves and whether the connection can be used again.
func readResponse(a *attempt, c *conn, outgoing *upstreamRequest) (outcome forkline.Outcome, resp *response, reusable bool) {
	// What cannot be read whole may have run, whatever its head says.
	status, m, body, err := readFinalResponse(c.reader)
	if err != nil {
		return errorOutcome(a, err, forkline.Reset), nil, false
	}
	// Bytes behind a sound answer do not spoil it, but no answer read after them can be trusted.
	reusable = m.keepAlive() && c.reader.Buffered() == 0 && stillOpen(c.Conn)
	switch {
	case status == http.StatusOK:
		return forkline.OK, &response{status: status, header: stripHopByHop(m.header), body: body}, reusable
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && m.header.Get("X-Not-Run") == "1":
		return c.notRunOutcome(outgoing, reusable)
	case status/100 == 4: // the request's own fault: no other endpoint would serve it, and this one is sound
		return forkline.Cancelled, &response{status: status}, reusable
	}
	return forkline.Error, nil, reusable
}

// notRun tells what an answer proves by which a request was not run. Answers name no request: on a connection that
// brought such an answer before, this may be a late second copy of that one, and the request may be running. Then it
// proves nothing of one that may not simply run twice, and no later answer on the connection can be trusted.
func (c *conn) notRunOutcome(outgoing *upstreamRequest, reusable bool) (forkline.Outcome, *response, bool) {
	sawBefore := c.sawNotRun
	c.sawNotRun = true
	switch {
	case !sawBefore:
		return forkline.Rejected, nil, reusable
	case outgoing.safe:
		return forkline.Rejected, nil, false
	}
	return forkline.Reset, nil, false
}

// unclaimed names the outcome of an attempt that claim has stopped.
func unwrittenOutcome(a *attempt) forkline.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return forkline.Cancelled
	}
	return forkline.NotSent // its client has left
}

// write writes all of the text, and then looks for so long whether the connection breaks.
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

// brokenOff names the outcome of an exchange that ended with an error: called off, out of time, or broken.
// A request that was not written whole never ran, whatever stopped it.
func errorOutcome(a *attempt, err error, fallback forkline.Outcome) forkline.Outcome {
	switch {
	case a.ctx.Err() != nil:
		return forkline.Cancelled
	case fallback == forkline.Reset && errors.Is(err, os.ErrDeadlineExceeded):
		return forkline.Timeout
	}
	return fallback
}
