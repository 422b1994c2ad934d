package sidecar

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"forkline"
)

// This file decides what the end of an attempt proves: whether its request has run, may have run or cannot have run. An
// endpoint's response proves no more than the protocol defines.

// readResponse reads the response and returns the outcome that it proves. The result reusable reports whether the
// connection can be used again.
func readResponse(a *attempt, c *conn, outgoing *upstreamRequest, deadline time.Time) (outcome forkline.Outcome, resp *response, reusable bool) {
	memory := &messageMemory{}
	if a.responseMemory != nil {
		memory.reserve = func(bytes int64) (*reservation, error) {
			ctx, cancel := context.WithDeadline(a.ctx, deadline)
			defer cancel()
			return a.responseMemory.reserve(ctx, bytes)
		}
	}
	defer func() {
		if resp == nil {
			memory.held.release()
		} else {
			resp.memory = memory.held
		}
	}()
	// A request whose response cannot be read completely may have run, whatever its status line says.
	status, m, body, err := readFinalResponse(c.reader, memory)
	if err != nil {
		if isMalformed(err) {
			a.responseErr = &responseError{cause: err}
		}
		return errorOutcome(a, err, forkline.Reset), nil, false
	}
	// Extra bytes after a valid response do not invalidate it, but later responses on the connection cannot be
	// trusted.
	reusable = m.keepAlive() && c.reader.Buffered() == 0 && stillOpen(c.Conn)
	switch {
	case status == http.StatusOK:
		return forkline.OK, &response{status: status, header: stripHopByHop(m.header), body: body}, reusable
	case marksNotRun(status, m.header):
		return c.notRunOutcome(outgoing, reusable)
	case status/100 == 4 && !isRefusal(status):
		// The request is at fault: other endpoints would reject it too, and this one is healthy.
		return forkline.Cancelled, &response{status: status}, reusable
	}
	if status != http.StatusInternalServerError {
		a.responseErr = &responseError{status: status}
	}
	return forkline.Error, nil, reusable
}

// marksNotRun reports whether a response marks its request as not run. One that repeats the header is ambiguous.
func marksNotRun(status int, header http.Header) bool {
	return (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		slices.Equal(header["X-Not-Run"], []string{"1"})
}

// isRefusal reports whether a client takes a status as a promise that its request has not run and may be sent again.
// Only the sidecar can promise that, because it knows of all attempts. A response of an endpoint with such a status
// proves nothing unless it marks the request as not run, so the status is never passed on.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// notRunOutcome returns the outcome of a response that marks the request as not run. Responses carry no request ID.
// On a connection that has received such a response before, this one may be a late duplicate while the request is
// running. It then proves nothing for a request that is not safe, and later responses on the connection cannot be
// trusted.
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

// unwrittenOutcome returns the outcome of an attempt that mayWrite has stopped.
func unwrittenOutcome(a *attempt) forkline.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return forkline.Cancelled
	}
	return forkline.NotSent // the client has disconnected
}

// errorOutcome returns the outcome of an exchange that ended with an error: aborted, timed out, or fallback if the
// connection broke. A request that was not written completely never ran, whatever stopped it.
func errorOutcome(a *attempt, err error, fallback forkline.Outcome) forkline.Outcome {
	switch {
	case a.ctx.Err() != nil:
		return forkline.Cancelled
	case fallback == forkline.Reset && errors.Is(err, os.ErrDeadlineExceeded):
		return forkline.Timeout
	}
	return fallback
}
