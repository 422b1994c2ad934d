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
	dropTime = 25 * time.Millisecond // a dropped connection breaks under a request this soon; later, its server failed
	holdTime = time.Millisecond      // for a broken connection to show: a few round trips within a data centre
	atOnce   = 8 << 10               // bytes that a connection takes without waiting for its peer
	ackPoll  = time.Millisecond      // between two looks at what the endpoint's machine has acknowledged
)

// outgoing is what every attempt of a request sends, but for the time left.
type outgoing struct {
	start  string // request line and Host
	header http.Header
	body   []byte
	once   bool // it must never run twice
	safe   bool // it may run any number of times
}

// answer is a whole answer for a client.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// attempt is the handle on one send of a request.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	begin  time.Time   // latest time for its first byte; zero for any
	whole  time.Time   // latest time for its last byte, by when it is whole at its endpoint; zero for any
	left   func() bool // looks whether the request's client has left; nil = it never does
	waits  func(bool)  // hears that it waits for a new connection, and that this is up; nil = nobody wants to know
	mu     sync.Mutex
	off    bool // called off

	// What its own goroutine notes of its way; others may read it once do has returned.
	fresh   bool          // its connection was opened for it
	service time.Duration // from its last byte to the first one of an answer; 0 = there was none
}

func newAttempt(begin time.Time) *attempt {
	a := &attempt{begin: begin}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// callOff ends the attempt: nothing is written for it any more and its connection is closed.
func (a *attempt) callOff() {
	a.mu.Lock()
	a.off = true
	a.mu.Unlock()
	a.cancel()
}

// claim tells whether the request may be written now: by then it was not called off, nor has its client left. It is
// asked right before the first byte and right before the last one, as the news of either may still be on its way.
func (a *attempt) claim() bool {
	a.mu.Lock()
	off := a.off
	a.mu.Unlock()
	return !off && (a.left == nil || !a.left())
}

// connecting notes that the attempt waits for a new connection, or does so no more.
func (a *attempt) connecting(waits bool) {
	if a.waits != nil {
		a.waits(waits)
	}
}

// lateToBegin tells whether it is too late for the first byte.
func (a *attempt) lateToBegin() bool {
	return a.lateToEnd() || !a.begin.IsZero() && time.Now().After(a.begin)
}

// lateToEnd tells whether it is too late for the last byte.
func (a *attempt) lateToEnd() bool { return !a.whole.IsZero() && time.Now().After(a.whole) }

// delivered waits until the endpoint's machine has acknowledged all that was written, and tells whether it has while
// there was time. Bytes behind those that are still on their way would be whole there nobody knows when. An attempt
// that may be whole at any time does not wait, nor does one whose connection cannot tell.
func (a *attempt) delivered(c net.Conn) bool {
	for !a.whole.IsZero() {
		if n, err := unacknowledged(c); err != nil || n == 0 {
			return true
		}
		if a.lateToEnd() || pause(a.ctx, ackPoll) != nil {
			return false
		}
	}
	return true
}

// exchange writes the request, waits for the answer and tells whether the connection can be used again.
func exchange(a *attempt, c *conn, out *outgoing, until time.Time, hold time.Duration) (forkline.Outcome, *answer, bool) {
	if outcome, written, keep := writeRequest(a, c, out, until, hold); !written {
		return outcome, nil, keep
	}
	written := time.Now()
	if _, err := c.reader.Peek(1); err != nil {
		outcome := brokenOff(a, err, forkline.Reset)
		c.dropped = outcome == forkline.Reset && time.Since(written) < dropTime
		return outcome, nil, false
	}
	a.service = time.Since(written)
	return readResponse(a, c, out)
}

// text is the request as it is written, with the time that is left.
func (out *outgoing) text(until time.Time) []byte {
	var text bytes.Buffer
	text.Grow(len(out.start) + len(out.body) + 512)
	text.WriteString(out.start)
	out.header.WriteSubset(&text, map[string]bool{"X-Deadline": true})
	left := max(time.Until(until), 0).Truncate(time.Millisecond) // rounded up, it would tell more than there is
	fmt.Fprintf(&text, "X-Deadline: %.3f\r\n", left.Seconds())
	if len(out.body) > 0 || !strings.HasPrefix(out.start, "GET ") {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(out.body))
	}
	text.WriteString("\r\n")
	text.Write(out.body)
	return text.Bytes()
}

// writeRequest writes the request. If it was not written whole, nothing has run: the outcome says so, and whether the
// connection can be used again. The last byte of a long request, and of one that must not run twice, goes by itself:
// nothing has run before it is there.
func writeRequest(a *attempt, c *conn, out *outgoing, until time.Time, hold time.Duration) (o forkline.Outcome, written, keep bool) {
	c.SetDeadline(until)
	text := out.text(until)
	if !a.whole.IsZero() && a.whole.Before(until) {
		c.SetWriteDeadline(a.whole)
	}
	if !a.claim() {
		return unclaimed(a), false, c.idle == 0 // one that was idle already must not look as if just used
	}
	if a.lateToBegin() { // its endpoint may have been told to drain meanwhile, or forget the request's first copy
		return forkline.ConnectFailed, false, c.idle == 0
	}
	if !out.once {
		hold = 0
	}
	if out.once || len(text) > atOnce {
		last := len(text) - 1
		if err := write(c, text[:last], hold); err != nil {
			c.dropped = brokenOff(a, err, forkline.Reset) == forkline.Reset
			return brokenOff(a, err, forkline.ConnectFailed), false, false
		}
		if c.idle > 0 && c.reader.Buffered() > 0 { // a second answer to a request before
			c.spoilt = true
			return forkline.ConnectFailed, false, false
		}
		text = text[last:]
		c.SetReadDeadline(until)
		delivered := a.delivered(c.Conn)
		if !a.claim() {
			return unclaimed(a), false, false
		}
		if !delivered || a.lateToEnd() {
			return forkline.ConnectFailed, false, false
		}
	}
	if err := write(c, text, 0); err != nil {
		c.dropped = brokenOff(a, err, forkline.Reset) == forkline.Reset
		return brokenOff(a, err, forkline.ConnectFailed), false, false
	}
	return 0, true, false
}

// readResponse reads the answer, tells what it proves and whether the connection can be used again.
func readResponse(a *attempt, c *conn, out *outgoing) (o forkline.Outcome, got *answer, keep bool) {
	// What cannot be read whole may have run, whatever its head says.
	status, m, body, err := readAnswer(c.reader)
	if err != nil {
		return brokenOff(a, err, forkline.Reset), nil, false
	}
	// Bytes behind a sound answer do not spoil it, but no answer read after them can be trusted.
	keep = m.lasts() && c.reader.Buffered() == 0 && stillOpen(c.Conn)
	switch {
	case status == http.StatusOK:
		return forkline.OK, &answer{status: status, header: endToEnd(m.header), body: body}, keep
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && m.header.Get("X-Not-Run") == "1":
		return c.notRun(out, keep)
	case status/100 == 4: // the request's own fault: no other endpoint would serve it, and this one is sound
		return forkline.Cancelled, &answer{status: status}, keep
	}
	return forkline.Error, nil, keep
}

// notRun tells what an answer proves by which a request was not run. Answers name no request: on a connection that
// brought such an answer before, this may be a late second copy of that one, and the request may be running. Then it
// proves nothing of one that may not simply run twice, and no later answer on the connection can be trusted.
func (c *conn) notRun(out *outgoing, keep bool) (forkline.Outcome, *answer, bool) {
	before := c.turnedAway
	c.turnedAway = true
	switch {
	case !before:
		return forkline.Rejected, nil, keep
	case out.safe:
		return forkline.Rejected, nil, false
	}
	return forkline.Reset, nil, false
}

// unclaimed names the outcome of an attempt that claim has stopped.
func unclaimed(a *attempt) forkline.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.off {
		return forkline.Cancelled
	}
	return forkline.NotSent // its client has left
}

// write writes all of the text, and then looks for so long whether the connection breaks.
func write(c *conn, text []byte, look time.Duration) error {
	if n, err := c.Write(text); n < len(text) || look <= 0 {
		return err
	}
	c.SetReadDeadline(time.Now().Add(look))
	if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// brokenOff names the outcome of an exchange that ended with an error: called off, out of time, or broken.
// A request that was not written whole never ran, whatever stopped it.
func brokenOff(a *attempt, err error, broken forkline.Outcome) forkline.Outcome {
	switch {
	case a.ctx.Err() != nil:
		return forkline.Cancelled
	case broken == forkline.Reset && errors.Is(err, os.ErrDeadlineExceeded):
		return forkline.Timeout
	}
	return broken
}
