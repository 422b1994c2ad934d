package sidecar

import (
	"container/heap"
	"log/slog"
	"math"
	"net/http"
	"time"

	"forkline"
	"forkline/internal/deadline"
)

const (
	// backstopDelay is the longest time after a call's deadline at which the loop answers it if the module has not.
	// At most half of the call's safety margin is used, so the client is still waiting for the response.
	backstopDelay = 10 * time.Millisecond
)

// call is one accepted client request. It is owned by the loop.
type call struct {
	event forkline.Event // the request as passed to the module
	id    string         // X-Request-Id, set by the client
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
	backstop      *timerEntry
	ended         bool
	safe          bool // may run any number of times
	mayHaveRun    bool // a finished attempt may have run
	openAttempts  int  // number of attempts in flight
	attempts      []*attempt
	retry         *call // the same request sent again by a client that had disconnected
}

// clientDisconnected reports whether the call's client has disconnected. It asks the connection directly, because the
// notification waits in the loop's queue behind earlier events.
func (c *call) clientDisconnected() bool { return c.clientGone != nil && c.clientGone() }

// setDeadline sets the call's deadline from its arrival time.
func (c *call) setDeadline(arrivedAt float64) { c.event.Deadline = arrivedAt + c.answerWithin }

// timerEntry is one entry of the timer queue: a timer of the module or the backstop of a call.
type timerEntry struct {
	at        float64
	token     uint64
	call      *call // nil for a timer of the module
	heapIndex int   // position in the queue; -1 once it has been removed
}

// timerQueue is a heap of entries, ordered by time.
type timerQueue []*timerEntry

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}
func (q *timerQueue) Push(x any) {
	entry := x.(*timerEntry)
	entry.heapIndex = len(*q)
	*q = append(*q, entry)
}
func (q *timerQueue) Pop() any {
	entries := *q
	last := entries[len(entries)-1]
	last.heapIndex = -1
	entries[len(entries)-1] = nil
	*q = entries[:len(entries)-1]
	return last
}

// loop owns the Balancer and the state of all calls. A single goroutine runs it and never blocks on a socket; other
// goroutines post functions to it.
type loop struct {
	start             time.Time
	startMS           float64 // start as Unix time in ms
	balancer          *forkline.Balancer
	limitsConcurrency bool          // the module limits concurrency only at the front stage
	retryAfter        time.Duration // sent with refusals that the loop issues itself
	actions           []forkline.Action
	queue             chan func()
	done              chan struct{} // closed when the sidecar stops
	upstream          *upstream
	requestWatch      func() // starts a watch of the server list
	calls             map[uint32]*call
	callsByID         map[string]*call // by X-Request-Id
	endedIDs          *recentIDs       // IDs of ended calls that may have run and are not safe to repeat
	idRetention       float64          // ms for which those IDs are kept
	pendingRetries    []*call          // ended calls whose retry is waiting to be accepted
	aborted           bool             // all calls have been aborted; new ones are refused
	cachedList        *List            // the initial list, until the first update arrives; nil afterwards
	reloadedIndex     *settingsIndex   // settings of the last reload; nil = the initial ones
	lastRequest       uint32
	timerQueue        timerQueue
	timer             *time.Timer
	timerAt           float64 // ms; when timer fires, +Inf = never
	directory         *directory
	serverReady       map[uint32]bool // all listed servers, and whether each is ready
	readyServers      int             // number of listed servers that are ready
	margin            margin
	responseLog       *responseLog
}

func newLoop(cfg *Config, u *upstream) (*loop, error) {
	now := time.Now()
	l := &loop{
		start: now, startMS: float64(now.UnixMicro()) / 1000,
		queue: make(chan func(), 256), done: make(chan struct{}), upstream: u, requestWatch: func() {},
		calls: map[uint32]*call{}, callsByID: map[string]*call{}, timer: time.NewTimer(time.Hour), timerAt: math.Inf(1),
		directory: newDirectory(cfg.Site.Zones, cfg.Site.Kinds), serverReady: map[uint32]bool{},
	}
	l.margin.loop, l.responseLog = l, newResponseLog(slog.Default())
	l.limitsConcurrency = cfg.Site.Settings.Stage == 0
	l.endedIDs, l.idRetention = newRecentIDs(), idRetentionFor(&cfg.Site.Settings)
	l.retryAfter = msToDuration(cfg.Site.Settings.Limits.RetryAfter())
	var err error
	l.balancer, err = forkline.New(l.moduleSettings(cfg.Site.Settings), cfg.Seed, l.now())
	return l, err
}

// moduleSettings adapts the configured settings to what this sidecar supports.
func (l *loop) moduleSettings(settings forkline.Settings) forkline.Settings {
	settings.Limits.Probing = false // this sidecar sends no probes
	settings.Limits.IdleTimeout = float64(idleTimeout(settings.Limits).Microseconds()) / 1000
	if settings.Limits.MaxOpenRequests == 0 || settings.Limits.MaxOpenRequests > l.upstream.maxConns {
		settings.Limits.MaxOpenRequests = l.upstream.maxConns // each open request may need a connection
	}
	return settings
}

// post queues f for the loop. It blocks while the queue is full and does nothing once the loop has stopped.
func (l *loop) post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// tryPost queues f for the loop unless the queue is full. It does not block.
func (l *loop) tryPost(f func()) {
	select {
	case l.queue <- f:
	default:
	}
}

// postAndWait queues f for the loop and waits until f has run or the loop has stopped.
func (l *loop) postAndWait(f func()) {
	done := make(chan struct{})
	l.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-l.done:
	}
}

// The module's clock is Unix time in milliseconds, the unit in which endpoints report their start time. It advances
// monotonically.
func (l *loop) now() float64 { return l.startMS + float64(time.Since(l.start).Microseconds())/1000 }
func (l *loop) clockMS(t time.Time) float64 {
	return l.startMS + float64(t.Sub(l.start).Microseconds())/1000
}
func (l *loop) timeAt(ms float64) time.Time { return l.start.Add(msToDuration(ms - l.startMS)) }

func msToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
func durationToMS(d time.Duration) float64  { return float64(d.Microseconds()) / 1000 }

func (l *loop) run() {
	for {
		select {
		case <-l.done:
			return
		case f := <-l.queue:
			f()
		case <-l.timer.C:
			l.timerAt = math.Inf(1)
		}
		l.runDue()
		if len(l.timerQueue) > 0 && l.timerQueue[0].at < l.timerAt {
			l.timerAt = l.timerQueue[0].at
			// The clock is truncated to microseconds, so wait for at least one.
			l.timer.Reset(max(time.Until(l.timeAt(l.timerAt)), time.Microsecond))
		}
	}
}

// runDue accepts pending retries and fires the timers that are due.
func (l *loop) runDue() {
	for len(l.pendingRetries) > 0 {
		previous := l.pendingRetries[0]
		l.pendingRetries = l.pendingRetries[1:]
		l.acceptRetry(previous)
	}
	for len(l.timerQueue) > 0 && l.timerQueue[0].at <= l.now() {
		entry := heap.Pop(&l.timerQueue).(*timerEntry)
		l.margin.observe(deadline.Timer, entry.at)
		if entry.call == nil {
			l.handle(&forkline.Event{Kind: forkline.EvTimer, Token: entry.token})
		} else {
			l.abort(entry.call)
		}
	}
}

// handle passes an event to the module and applies the resulting actions.
func (l *loop) handle(ev *forkline.Event) {
	l.actions = l.balancer.Handle(l.now(), ev, l.actions[:0])
	l.applyActions()
}

func (l *loop) applyActions() {
	for i := range l.actions {
		l.applyAction(&l.actions[i])
	}
}

func (l *loop) applyAction(action *forkline.Action) {
	c := l.calls[action.Request]
	switch action.Kind {
	case forkline.ActSend:
		if c != nil {
			l.send(c, action)
		}
	case forkline.ActRefuse:
		l.finish(c, response{status: statusRefused, retryAfter: msToDuration(action.Delay)})
	case forkline.ActFail:
		l.finish(c, response{status: statusFailed})
	case forkline.ActCancel:
		if c != nil && int(action.Attempt) < len(c.attempts) {
			c.attempts[action.Attempt].abort()
		}
	case forkline.ActTimer:
		heap.Push(&l.timerQueue, &timerEntry{at: l.now() + action.Delay, token: action.Token})
	case forkline.ActWatchList:
		l.requestWatch()
	case forkline.ActCloseIdle:
		l.upstream.closeServerIdle(action.Server)
	case forkline.ActLog:
		slog.Info(action.Text)
	}
}

// accept starts a call whose request has been read completely.
func (l *loop) accept(c *call) {
	if c.clientDisconnected() {
		l.handleDisconnect(c)
		return
	}
	if rejection := l.checkAdmission(c); rejection != nil {
		c.ended = true
		c.respond(*rejection)
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

// checkAdmission returns the response to a call that cannot be accepted, or nil if it can. A call that is not safe to
// repeat and may have run before under its ID gets a failure: a refusal would promise that nothing has run.
func (l *loop) checkAdmission(c *call) *response {
	l.endedIDs.expire(l.now())
	if previous := l.callsByID[c.id]; !c.safe && (l.endedIDs.contains(c.id) ||
		l.aborted && previous != nil && (previous.mayHaveRun || previous.openAttempts > 0)) {
		return &response{status: statusFailed}
	}
	if l.aborted || !c.safe && l.endedIDs.isFull(len(l.calls)) {
		return &response{status: statusRefused, retryAfter: l.retryAfter}
	}
	return nil
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
		l.finish(c, response{status: statusFailed})
	default:
		c.mayHaveRun = false
		l.accept(c)
	}
}

// send starts an attempt in a new goroutine, which posts the outcome to the loop.
func (l *loop) send(c *call, action *forkline.Action) {
	server, attemptDeadline := action.Server, action.Deadline
	sentAt, firstByteBy := time.Now(), time.Time{}
	if l.upstream.firstByteTimeout > 0 {
		firstByteBy = sentAt.Add(l.upstream.firstByteTimeout)
	}
	a, e, number, outgoing := newAttempt(firstByteBy), l.upstream.find(server), len(c.attempts), c.outgoing
	if action.LastByteBy > 0 {
		a.lastByteBy = l.timeAt(action.LastByteBy)
	}
	a.clientDisconnected, outgoing.safe = c.clientDisconnected, c.safe
	if l.limitsConcurrency {
		a.onConnecting = func(connecting bool) { l.tryPost(func() { l.reportConnecting(c, number, connecting) }) }
	}
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	go func() {
		outcome, final := forkline.NotSent, (*response)(nil)
		if e != nil {
			outcome, final = l.upstream.do(a, e, &outgoing, l.timeAt(attemptDeadline))
		}
		endedAt := time.Now()
		l.post(func() {
			l.margin.observe(deadline.Intake, l.clockMS(endedAt))
			l.attemptEnded(c, number, server, outcome, final, endedAt.Sub(sentAt))
		})
		if a.responseErr != nil { // after the outcome is posted, as writing the log may block
			l.responseLog.report(e.addr, c.id, a.responseErr)
		}
	}()
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
	c.mayHaveRun = c.mayHaveRun || outcome != forkline.Rejected && outcome != forkline.ConnectFailed && outcome != forkline.NotSent
	if final != nil {
		l.finish(c, *final)
	} else if !c.ended && c.clientDisconnected() { // checked before the module decides on another attempt
		l.handleDisconnect(c)
	}
	l.handle(&forkline.Event{
		Kind: forkline.EvOutcome, Request: c.event.Request, Attempt: uint16(number), Server: server,
		Outcome: outcome, Elapsed: durationToMS(elapsed), ServiceTime: durationToMS(a.serviceTime),
		NewConnection: a.newConnection, RequestDone: c.ended,
	})
	l.release(c)
}

// finish sends the final response of a call, unless it has ended.
func (l *loop) finish(c *call, r response) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	c.respond(r)
	l.release(c)
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
		l.endedIDs.add(c.id, l.now()+l.idRetention)
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
func (l *loop) abort(c *call) {
	if c.ended {
		return
	}
	r := response{status: statusFailed}
	if !c.mayHaveRun && c.openAttempts == 0 {
		r = response{status: statusRefused, retryAfter: l.retryAfter}
	}
	l.cancelAttempts(c)
	l.finish(c, r)
	l.handle(&forkline.Event{Kind: forkline.EvClientGone, Request: c.event.Request})
}

// abortAll aborts every call at the end of a shutdown; calls that arrive later are refused.
func (l *loop) abortAll() {
	l.aborted = true
	for _, c := range l.calls {
		if c.retry != nil {
			l.abort(c.retry)
		}
		l.abort(c)
	}
}

// updateList applies a list or a list change received from discovery.
func (l *loop) updateList(list List, kind forkline.ListKind) {
	if l.cachedList != nil && kind == forkline.ListDelta {
		list, kind = l.cachedList.merge(list), forkline.ListFull
	}
	l.cachedList = nil
	ev := forkline.Event{Kind: forkline.EvList, List: kind}
	isFull := kind != forkline.ListDelta
	previous := l.serverReady
	if isFull {
		l.serverReady = make(map[uint32]bool, len(list.Targets))
	}
	for i := range list.Targets {
		target := &list.Targets[i]
		server := l.directory.entry(target)
		ev.Servers = append(ev.Servers, server)
		l.upstream.updateServer(server.Server, target.Endpoint, server.Started, server.State)
		if server.State == forkline.Removed {
			delete(l.serverReady, server.Server)
		} else {
			l.serverReady[server.Server] = server.State == forkline.Ready
		}
	}
	if isFull {
		for id := range previous {
			if _, ok := l.serverReady[id]; !ok {
				l.upstream.updateServer(id, "", 0, forkline.Removed)
			}
		}
	}
	l.directory.prune(func(id uint32) bool { _, ok := l.serverReady[id]; return ok })
	l.readyServers = 0
	for _, ready := range l.serverReady {
		if ready {
			l.readyServers++
		}
	}
	l.handle(&ev)
}

// useCachedList falls back to the initial list if no update has arrived.
func (l *loop) useCachedList() {
	if l.cachedList != nil {
		l.updateList(*l.cachedList, forkline.ListCached)
	}
}

// handleListEvent passes a discovery event without list entries to the module.
func (l *loop) handleListEvent(kind forkline.ListKind) {
	l.handle(&forkline.Event{Kind: forkline.EvList, List: kind})
}
