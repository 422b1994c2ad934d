package sidecar

import (
	"container/heap"
	"net/http"
	"time"

	"forkline"
	"forkline/internal/deadline"
)

// This file implements the life of a call in the loop: its acceptance, its attempts, its one final response and its end.

const (
	// backstopDelay is the longest time after a call's deadline at which the loop answers it if the module has not.
	// At most half of the call's safety margin is used, so the client is still waiting for the response.
	backstopDelay = 10 * time.Millisecond
)

// call is one accepted client request. It is owned by the loop.
type call struct {
	event forkline.Event // the request as passed to the module
	id    string         // X-Request-Id, set by the client
	owner *idOwner       // of the ID, once the call has ended; nil = no connection
	// The next five fields come from the request; index holds the settings that were applied to it.
	class         string
	tenant        string
	method        string
	hasKey        bool
	clientTimeout float64 // seconds; how long the client waits
	index         *settingsIndex
	answerWithin  float64 // ms from arrival within which the call must be answered
	margin        float64 // ms between that and the time at which the client gives up
	outgoing      upstreamRequest
	respond       func(response) // takes the one final response
	clientGone    func() bool    // reports whether the connection is closed, before the loop is notified; nil = never
	mayHideEnd    func() bool    // reports whether unread input may hide that it is closed; nil = never
	backstop      *timerEntry
	ended         bool
	safe          bool // may run any number of times
	mayHaveRun    bool // a finished attempt may have run
	openAttempts  int  // number of attempts in flight
	attempts      []*attempt
	lastOutcome   forkline.Outcome // of the attempt that ended last
	retry         *call            // the same request sent again by a client that had disconnected
}

// clientDisconnected reports whether the call's client has disconnected. It asks the connection directly, because the
// notification waits in the loop's queue behind earlier events.
func (c *call) clientDisconnected() bool { return c.clientGone != nil && c.clientGone() }

// clientMayHaveLeft reports whether no attempt may begin, as the client has disconnected or it cannot be seen whether it has.
func (c *call) clientMayHaveLeft() bool { return c.clientDisconnected() || c.endIsHidden() }

// endIsHidden reports whether it cannot be seen whether the call's client has disconnected.
func (c *call) endIsHidden() bool { return c.mayHideEnd != nil && c.mayHideEnd() }

// reasonToGiveUp returns why the balancer gives up a call. A call that is nil has ended.
func (c *call) reasonToGiveUp() eventReason {
	if c == nil || len(c.attempts) == 0 {
		return reasonNoAttempt
	}
	return reasonAfter(c.lastOutcome)
}

// setDeadline sets the call's deadline from its arrival time.
func (c *call) setDeadline(arrivedAt float64) { c.event.Deadline = arrivedAt + c.answerWithin }

// accept starts a call whose request has been read completely.
func (l *loop) accept(c *call) {
	if c.clientDisconnected() {
		l.handleDisconnect(c)
		return
	}
	if rejection, reason := l.checkAdmission(c); rejection != nil {
		l.respond(c, *rejection, reason)
		return
	}
	if l.reloadedIndex != nil && c.index != l.reloadedIndex && !l.reapplySettings(c) {
		return
	}
	previous := l.callsByID[c.id]
	if previous != nil && previous.retry != nil && !previous.retry.ended && previous.retry.clientDisconnected() {
		l.handleDisconnect(previous.retry)
	}
	if previous != nil && !previous.ended && previous.clientDisconnected() {
		l.handleDisconnect(previous)
		previous = l.callsByID[c.id]
	}
	if previous != nil && previous.ended && (previous.retry == nil || previous.retry.ended) {
		previous.retry = c // its open attempts have been cancelled and end soon
		c.mayHaveRun = previous.mayHaveRun || previous.openAttempts > 0
		l.armBackstop(c)
		return
	} else if previous != nil {
		l.events.count(eventReject, reasonSameID, c.id)
		c.respond(response{status: http.StatusConflict, body: []byte("a request with this X-Request-Id is open\n")})
		return
	}
	l.callsByID[c.id] = c
	l.lastRequest++
	c.event.Kind, c.event.Request = forkline.EvRequest, l.lastRequest
	l.calls[l.lastRequest] = c
	l.armBackstop(c)
	l.handle(&c.event)
}

// checkAdmission returns the response to a call that cannot be accepted and the reason, or nil if it can be. A call that is not
// safe to repeat and may have run before under its ID gets a failure: a refusal would promise that nothing has run.
func (l *loop) checkAdmission(c *call) (*response, eventReason) {
	l.endedIDs.expire(l.now())
	refusal := &response{status: statusRefused, retryAfter: l.retryAfter}
	switch previous := l.callsByID[c.id]; {
	case !c.safe && (l.endedIDs.contains(c.id) || l.aborted && previous != nil && (previous.mayHaveRun || previous.openAttempts > 0)):
		return &response{status: statusFailed}, reasonRanBefore
	case l.aborted:
		return refusal, reasonAborted
	case !c.safe && (l.endedIDs.isFull(len(l.calls)) || l.endedIDs.exceedsShare(c.owner)):
		return refusal, reasonIDsFull
	}
	return nil, ""
}

// armBackstop schedules the backstop of a call.
func (l *loop) armBackstop(c *call) {
	if c.backstop == nil {
		c.backstop = &timerEntry{at: c.event.Deadline + min(float64(backstopDelay.Milliseconds()), c.margin/2), call: c}
		heap.Push(&l.timerQueue, c.backstop)
	}
}

// acceptRetry accepts a call that has waited for an earlier call with the same ID to end. If the earlier call may
// have run, only a call that is safe to repeat is sent.
func (l *loop) acceptRetry(previous *call) {
	switch c := previous.retry; {
	case c == nil || c.ended:
	case previous.mayHaveRun && (!c.safe || !previous.safe && previous.class == c.class):
		l.finish(c, response{status: statusFailed}, reasonRanBefore)
	default:
		c.mayHaveRun = false
		l.accept(c)
	}
}

// send starts an attempt in a new goroutine, which posts the outcome to the loop.
func (l *loop) send(c *call, action *forkline.Action) {
	sentAt := time.Now()
	number := len(c.attempts)
	a := l.newAttempt(c, action, sentAt)
	endpoint := l.upstream.find(action.Server)
	outgoing := c.outgoing
	outgoing.safe = c.safe
	server := action.Server // the action is overwritten before the attempt ends
	attemptDeadline := l.timeAt(action.Deadline)
	if number > 0 {
		l.events.count(eventRetry, reasonAfter(c.lastOutcome), c.id)
	}
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	go func() {
		outcome, final := forkline.NotSent, (*response)(nil)
		if endpoint != nil {
			outcome, final = l.upstream.do(a, endpoint, &outgoing, attemptDeadline)
		}
		endedAt := time.Now()
		l.post(func() {
			l.margin.observe(deadline.Intake, l.clockMS(endedAt))
			l.attemptEnded(c, number, server, outcome, final, endedAt.Sub(sentAt))
		})
		if a.responseErr != nil { // after the outcome is posted, as writing the log may block
			l.responseLog.report(endpoint.addr, c.id, a.responseErr)
		}
	}()
}

// newAttempt returns the next attempt of a call, with the times that the action and the settings allow it.
func (l *loop) newAttempt(c *call, action *forkline.Action, sentAt time.Time) *attempt {
	firstByteBy := time.Time{}
	if l.upstream.firstByteTimeout > 0 {
		firstByteBy = sentAt.Add(l.upstream.firstByteTimeout)
	}
	a := newAttempt(firstByteBy)
	if action.LastByteBy > 0 {
		a.lastByteBy = l.timeAt(action.LastByteBy)
	}
	a.clientMayHaveLeft = c.clientMayHaveLeft
	a.responseMemory = l.upstream.responseMemory
	if l.limitsConcurrency {
		number := len(c.attempts)
		a.onConnecting = func(connecting bool) { l.tryPost(func() { l.reportConnecting(c, number, connecting) }) }
	}
	return a
}

// reportConnecting reports to the module that an attempt has started or stopped waiting for a new connection.
func (l *loop) reportConnecting(c *call, number int, connecting bool) {
	kind := forkline.EvConnected
	if connecting {
		kind = forkline.EvConnecting
	}
	l.handle(&forkline.Event{Kind: kind, Request: c.event.Request, Attempt: uint16(number)})
}

// attemptEnded handles the outcome of an attempt; final is the final response, if the attempt yielded one.
func (l *loop) attemptEnded(c *call, number int, server uint32, outcome forkline.Outcome, final *response, elapsed time.Duration) {
	a := c.attempts[number]
	c.openAttempts--
	c.lastOutcome = outcome
	c.mayHaveRun = c.mayHaveRun || outcome != forkline.Rejected && outcome != forkline.ConnectFailed && outcome != forkline.NotSent
	if final != nil {
		l.finish(c, *final, reasonAfter(outcome))
	} else if !c.ended && c.clientDisconnected() { // checked before the module decides on another attempt
		l.handleDisconnect(c)
	} else if !c.ended && c.endIsHidden() {
		l.abort(c, reasonInputUnread)
	}
	l.handle(&forkline.Event{
		Kind: forkline.EvOutcome, Request: c.event.Request, Attempt: uint16(number), Server: server,
		Outcome: outcome, Elapsed: durationToMS(elapsed), ServiceTime: durationToMS(a.serviceTime),
		NewConnection: a.newConnection, RequestDone: c.ended,
	})
	l.release(c)
}

// finish sends the final response of a call, unless it has ended.
func (l *loop) finish(c *call, r response, reason eventReason) {
	if c == nil || c.ended {
		r.memory.release()
		return
	}
	l.respond(c, r, reason)
	l.release(c)
}

// respond sends the final response of a call that has not ended.
func (l *loop) respond(c *call, r response, reason eventReason) {
	switch r.status {
	case statusRefused:
		l.events.count(eventRefuse, reason, c.id)
	case statusFailed:
		l.events.count(eventFail, reason, c.id)
	}
	c.ended = true
	r.noAttempt = len(c.attempts) == 0
	c.respond(r)
}

// release forgets a call that has ended and has no open attempts. It also removes the backstop, which would otherwise
// keep the request body in memory until the deadline.
func (l *loop) release(c *call) {
	if !c.ended || c.openAttempts > 0 {
		return
	}
	if c.backstop != nil && c.backstop.heapIndex >= 0 {
		heap.Remove(&l.timerQueue, c.backstop.heapIndex)
	}
	if l.callsByID[c.id] != c { // the call was not accepted because another call has its ID
		return
	}
	delete(l.calls, c.event.Request)
	delete(l.callsByID, c.id)
	if c.mayHaveRun && !c.safe {
		l.endedIDs.add(c.id, c.owner, l.now()+l.idRetention)
	}
	if c.retry != nil {
		// Not accepted here, as the module's actions are still being applied.
		l.pendingRetries = append(l.pendingRetries, c)
	}
}

// handleDisconnect ends a call whose client has disconnected: no response is sent and all attempts are cancelled.
func (l *loop) handleDisconnect(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	l.events.count(eventDrop, reasonClientLeft, c.id)
	l.handle(&forkline.Event{Kind: forkline.EvClientGone, Request: c.event.Request})
	l.cancelAttempts(c)
	l.release(c)
}

// cancelAttempts cancels all attempts of a call that has ended, even if the settings forbid the module to cancel
// attempts.
func (l *loop) cancelAttempts(c *call) {
	for _, a := range c.attempts {
		a.abort()
	}
}

// abort answers a call that the module has left unanswered, either at its backstop or at shutdown. It refuses the
// call only if no attempt can have run.
func (l *loop) abort(c *call, reason eventReason) {
	if c.ended {
		return
	}
	r := response{status: statusFailed}
	if !c.mayHaveRun && c.openAttempts == 0 {
		r = response{status: statusRefused, retryAfter: l.retryAfter}
	}
	l.cancelAttempts(c)
	l.finish(c, r, reason)
	l.handle(&forkline.Event{Kind: forkline.EvClientGone, Request: c.event.Request})
}

// abortAll aborts every call at the end of a shutdown; calls that arrive later are refused.
func (l *loop) abortAll() {
	l.aborted = true
	for _, c := range l.calls {
		if c.retry != nil {
			l.abort(c.retry, reasonAborted)
		}
		l.abort(c, reasonAborted)
	}
}
