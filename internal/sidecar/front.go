package sidecar

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"forkline"
	"forkline/internal/deadline"
)

const (
	// defaultRequestTimeout limits the idle time of a connection, and the time to receive a complete request.
	defaultRequestTimeout = 2200 * time.Millisecond
	statusRefused         = http.StatusServiceUnavailable
	statusFailed          = http.StatusBadGateway

	defaultDrainAcceptTime = 600 * time.Millisecond  // new connections arrive for up to 0.4 s after SIGTERM
	drainFinishTime        = 1300 * time.Millisecond // for calls in flight, from closing connections to aborting the rest
	soloFinishTime         = 500 * time.Millisecond  // the same, where no other sidecar could take the calls in between
	finalWriteTime         = 150 * time.Millisecond  // for writing the responses of aborted calls
)

// front accepts requests from clients and answers them.
type front struct {
	loop               *loop
	index              atomic.Pointer[settingsIndex]
	downstream         *downstream
	events             *eventLog
	draining           atomic.Bool   // reports not ready
	closeAfterResponse atomic.Bool   // every response closes its connection
	drainAcceptTime    time.Duration // from SIGTERM until the listener is closed
	requestTimeout     time.Duration // see defaultRequestTimeout
}

// newFront returns a front for at most maxConns client connections.
func newFront(l *loop, settings *forkline.Settings, maxConns int) *front {
	f := &front{
		loop: l, drainAcceptTime: defaultDrainAcceptTime, requestTimeout: defaultRequestTimeout,
		events: l.events, downstream: newDownstream(maxConns, l.events),
	}
	f.index.Store(newSettingsIndex(settings))
	return f
}

// serve accepts connections until the listener is closed.
func (f *front) serve(ln net.Listener) error { return f.downstream.serve(ln, f.serveConn) }

// serveConn serves the requests of one connection in turn, until either side closes it. It returns why the connection ended.
func (f *front) serveConn(c *downstreamConn) eventReason {
	for isFirst := true; ; isFirst = false {
		readBy := time.Now().Add(f.requestTimeout)
		if reason := f.downstream.awaitRequest(c, readBy); reason != "" {
			return reason
		}
		if !isFirst {
			readBy = time.Now().Add(f.requestTimeout)
		}
		f.downstream.beginReading(c, readBy)
		keepAlive, reason := f.serveRequest(c)
		c.releaseMemory()
		if !keepAlive {
			return reason
		}
	}
}

// readinessCheck is the request line of a readiness check, which the sidecar answers itself.
const readinessCheck = "GET /-/ready HTTP/1.1"

// serveRequest reads one request, answers it and reports whether the connection stays open. If not, it returns why. A request is
// answered only after its body has been read, whatever it asks for, or else its connection is closed: bytes that are left would be
// taken for the next request.
func (f *front) serveRequest(c *downstreamConn) (keepAlive bool, reason eventReason) {
	memory := &messageMemory{reserve: func(bytes int64) (*reservation, error) {
		err := f.downstream.reserve(c, bytes)
		return c.memory, err
	}}
	m, err := readMessage(c.reader, memory)
	if err != nil {
		return false, f.rejectUnreadable(c, err)
	}
	if m.length == lengthUnspecified { // a request without a length has no body
		m.length = 0
	}
	clientWaits := expectsContinue(&m) // before the headers of the connection are removed
	var request *call                  // nil for a readiness check
	if m.startLine != readinessCheck {
		var problem *requestError
		if request, problem = f.parse(m); problem != nil {
			f.events.count(eventReject, reasonRejected, m.header.Get("X-Request-Id"))
			c.reject(problem.status, problem.reason)
			return false, reasonRejected
		}
	}
	body, err := readRequestBody(c, &m, memory, clientWaits)
	if err != nil {
		return false, f.rejectUnreadable(c, err)
	}
	if request == nil {
		return f.respond(c, &m, &response{status: f.readyStatus(), noAttempt: true})
	}
	request.outgoing.body = body
	r, reason := f.awaitResponse(c, request)
	if reason != "" {
		return false, reason
	}
	return f.respond(c, &m, &r)
}

// expectsContinue reports whether a client waits for an interim response before it sends the body of its request.
func expectsContinue(m *message) bool { return m.length != 0 && m.hasToken("Expect", "100-continue") }

// readRequestBody reads the body of the request m, for which it reserves memory. A client that waits for it gets an interim response
// first.
func readRequestBody(c *downstreamConn, m *message, memory *messageMemory, clientWaits bool) ([]byte, error) {
	if err := memory.settle(m); err != nil {
		return nil, err
	}
	if clientWaits {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))   // the deadline of the previous response may have passed
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // a write error will show when reading the body
	}
	return readBody(c.reader, m.length)
}

// respond writes the final response to the request m and reports whether the connection stays open. If not, it returns why.
func (f *front) respond(c *downstreamConn, m *message, r *response) (keepAlive bool, reason eventReason) {
	keepAlive = m.keepAlive() && !f.closeAfterResponse.Load() && !f.downstream.closesAfterResponse(c) && r.status/100 != 4
	err := c.writeResponse(r, !keepAlive)
	r.memory.release()
	if err != nil {
		return false, reasonWriteFailed
	}
	if !keepAlive {
		c.lingerClose()
		return false, reasonResponseClosing
	}
	if r.noAttempt {
		f.downstream.pace(c)
	}
	f.downstream.endRequest(c)
	return true, ""
}

// rejectUnreadable answers input that is not a valid request, or not in time, and returns what is wrong with it. A connection that
// times out or breaks is just closed.
func (f *front) rejectUnreadable(c *downstreamConn, err error) eventReason {
	reason := f.downstream.endOfRead(c, err, reasonRequestTimeout)
	switch noMemory := (*MemoryBudgetError)(nil); {
	case errors.As(err, &noMemory):
		reason = reasonNoMemory
		f.events.count(eventRefuse, reason, "")
		c.refuseSlow(f.retryAfter())
	case reason == reasonEvictedSlow:
		f.events.count(eventRefuse, reason, "")
		c.refuseSlow(f.retryAfter())
	case err == errTooLarge:
		reason = reasonTooLarge
		f.events.count(eventReject, reason, "")
		c.reject(http.StatusRequestEntityTooLarge, err.Error())
	case isMalformed(err):
		reason = reasonMalformed
		f.events.count(eventReject, reason, "")
		c.reject(http.StatusBadRequest, err.Error())
	}
	return reason
}

// retryAfter returns the retry delay that a refusal carries.
func (f *front) retryAfter() time.Duration {
	return msToDuration(f.index.Load().settings.Limits.RetryAfter())
}

// awaitResponse passes a complete request to the loop and waits for the final response. If there will be none, it returns why.
func (f *front) awaitResponse(c *downstreamConn, request *call) (response, eventReason) {
	responses, decidedAt := make(chan response, 1), time.Time{}
	request.respond = func(r response) {
		decidedAt = time.Now()
		// Unblocks awaitDisconnect. If it were set after the response is sent, it could interrupt reading the next request.
		c.SetReadDeadline(time.Unix(1, 0))
		responses <- r
	}
	readAt := f.loop.clockMS(time.Now())
	request.setDeadline(f.loop.clockMS(c.requestArrivedAt()))
	f.downstream.beginRequest(c)
	c.SetReadDeadline(time.Time{})
	switch err := c.input.readAheadArrived(); {
	case err == errReadAheadFull:
		f.events.count(eventRefuse, reasonInputUnread, request.id)
		return response{status: statusRefused, retryAfter: f.retryAfter(), noAttempt: true}, ""
	case err != nil:
		return response{}, reasonClientLeft
	}
	request.owner = c.idOwner
	request.clientGone, request.mayHideEnd = c.disconnected, c.input.mayHideEnd
	f.loop.post(func() { f.loop.margin.observe(deadline.Intake, readAt); f.loop.accept(request) })
	if c.awaitDisconnect() {
		select {
		case r := <-responses:
			return r, ""
		default:
		}
		f.loop.post(func() {
			f.loop.handleDisconnect(request)
			discard(responses)
		})
		return response{}, reasonClientLeft
	}
	select {
	case r := <-responses:
		f.loop.margin.observeResponse(decidedAt)
		return r, ""
	case <-f.loop.done:
		return response{}, reasonEnded
	}
}

// discard releases a response that nobody takes, if there is one.
func discard(responses <-chan response) {
	select {
	case r := <-responses:
		r.memory.release()
	default:
	}
}

// readyStatus returns the HTTP status of the readiness check: the sidecar is ready if the loop runs, a listed server
// is ready and the sidecar is not draining.
func (f *front) readyStatus() int {
	readyServers := 0
	f.loop.postAndWait(func() { readyServers = f.loop.readyServers })
	if readyServers == 0 || f.draining.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// finishTime returns how long before the end of a drain connections are closed. Clients then move to other sidecars
// of the tier, which leaves slow calls time to finish. A sidecar without peers continues to accept calls for longer:
// a call it does not accept is certainly lost until the restart, while most calls it accepts are still answered.
func (f *front) finishTime() time.Duration {
	if f.index.Load().settings.Copies > 1 {
		return drainFinishTime
	}
	return soloFinishTime
}

// drain shuts the front down gracefully. It accepts requests on new connections while these may still arrive, then on
// existing connections as long as there is time to finish them, and then waits for the calls in flight. Calls that
// remain at the limit are aborted.
func (f *front) drain(ln net.Listener, limit time.Duration) {
	startedAt := time.Now()
	f.draining.Store(true)
	time.Sleep(min(f.drainAcceptTime, limit)) // if deadlines are short, SIGKILL follows soon
	ln.Close()
	time.Sleep(time.Until(startedAt.Add(limit - f.finishTime())))
	f.closeAfterResponse.Store(true)
	timer := time.AfterFunc(time.Until(startedAt.Add(limit)), func() { f.loop.post(f.loop.abortAll) })
	defer timer.Stop()
	f.downstream.drain(startedAt.Add(limit + finalWriteTime))
}
