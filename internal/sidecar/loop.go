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
	// backstop is how long after its time the loop answers what the module has left unanswered, at most, and half of
	// the time that was held back: the client's own time is not over then.
	backstopDelay = 10 * time.Millisecond
)

// call is one request that the sidecar has taken. The loop owns it.
type call struct {
	event         forkline.Event // as the module hears of it
	id            string         // its client's
	class         string         // these six are what it asks for; the tables are those that it was placed by
	tenant        string
	method        string
	hasKey        bool
	clientTimeout float64 // s that its client waits
	index         *settingsIndex
	answerWithin  float64 // ms from its arrival in which it must be answered
	margin        float64 // ms from then until its client gives up
	outgoing      upstreamRequest
	respond       func(response) // takes the one final answer
	clientGone    func() bool    // looks whether its client has left, whatever the loop has heard; nil = it never does
	backstop      *timerEntry
	ended         bool
	safe          bool // it may run any number of times
	mayHaveRun    bool // an attempt that is over may have run
	openAttempts  int  // attempts out
	attempts      []*attempt
	retry         *call // the same request once more, from a client that had left this one
}

// hasLeft looks whether the call's client has left. News of that waits in the loop's mail behind whatever came before.
func (c *call) clientDisconnected() bool { return c.clientGone != nil && c.clientGone() }

// due tells the call when it arrived.
func (c *call) setDeadline(arrivedAt float64) { c.event.Deadline = arrivedAt + c.answerWithin }

// due is one thing to do at a time: a timer of the module's, or the backstop of a call.
type timerEntry struct {
	at        float64
	token     uint64
	call      *call // nil for a timer
	heapIndex int   // in the agenda; -1 once it is out
}

// agenda is a heap of them, the next one first.
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

// loop owns the Balancer and all state of requests: one goroutine runs it, the rest post to it.
// It never waits for a socket.
type loop struct {
	start             time.Time
	startMS           float64 // the same as Unix time
	balancer          *forkline.Balancer
	limitsConcurrency bool          // it is at the front, where the module limits the calls out
	retryAfter        time.Duration // told with a refusal of the loop's own
	actions           []forkline.Action
	queue             chan func()
	done              chan struct{} // closed when the program ends
	upstream          *upstream
	requestWatch      func() // asks for the list to be watched
	calls             map[uint32]*call
	callsByID         map[string]*call // by the ids of their clients
	endedIDs          *recentIDs       // ids of calls that are over
	idRetention       float64          // for how long, in ms
	pendingRetries    []*call          // over now; each has been asked for again meanwhile
	aborted           bool             // all is given up
	cachedList        *List            // the list of before, until the first one comes
	reloadedIndex     *settingsIndex   // put in force by a reload; nil = those of the start
	lastRequest       uint32
	timerQueue        timerQueue
	timer             *time.Timer
	timerAt           float64 // when the timer is due
	directory         *directory
	serverReady       map[uint32]bool // servers of the list, and whether they are ready
	readyServers      int             // those that are
	margin            margin
}

func newLoop(cfg *Config, u *upstream) (*loop, error) {
	now := time.Now()
	l := &loop{
		start: now, startMS: float64(now.UnixMicro()) / 1000,
		queue: make(chan func(), 256), done: make(chan struct{}), upstream: u, requestWatch: func() {},
		calls: map[uint32]*call{}, callsByID: map[string]*call{}, timer: time.NewTimer(time.Hour), timerAt: math.Inf(1),
		directory: newDirectory(cfg.Site.Zones, cfg.Site.Kinds), serverReady: map[uint32]bool{},
	}
	l.margin.loop = l
	l.limitsConcurrency = cfg.Site.Settings.Stage == 0
	l.endedIDs, l.idRetention = newRecentIDs(), idRetentionFor(&cfg.Site.Settings)
	l.retryAfter = msToDuration(cfg.Site.Settings.Limits.RetryAfter())
	var err error
	l.balancer, err = forkline.New(l.moduleSettings(cfg.Site.Settings), cfg.Seed, l.now())
	return l, err
}

// settings are those that the module is told.
func (l *loop) moduleSettings(settings forkline.Settings) forkline.Settings {
	settings.Limits.Probing = false // this sidecar sends none
	settings.Limits.IdleTimeout = float64(idleTimeout(settings.Limits).Microseconds()) / 1000
	if settings.Limits.MaxOpenRequests == 0 || settings.Limits.MaxOpenRequests > l.upstream.maxConns {
		settings.Limits.MaxOpenRequests = l.upstream.maxConns // each open request may need a connection
	}
	return settings
}

// post has the loop run f, unless it has ended; it waits while the loop is behind.
func (l *loop) post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// offer has the loop run f if there is room in its mail, and does not wait.
func (l *loop) tryPost(f func()) {
	select {
	case l.queue <- f:
	default:
	}
}

// ask has the loop run f and waits until it has.
func (l *loop) postAndWait(f func()) {
	done := make(chan struct{})
	l.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-l.done:
	}
}

// The module's clock is Unix time in milliseconds, as endpoints tell their start, and runs on monotonically.
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
			l.timer.Reset(max(time.Until(l.timeAt(l.timerAt)), time.Microsecond)) // the clock has to move on: it is cut to that
		}
	}
}

// expire does what is due.
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

// handle gives the module an event and carries its actions out.
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

// take begins a request that has come whole.
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
		previous.retry = c // what is open of it is called off and ends soon
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

// turnAway is the answer to a call that cannot be taken at all; nil if it can. One that may have run before under this
// id, and may not run twice, has failed: a refusal would say that nothing can have run.
func (l *loop) checkAdmission(c *call) *response {
	l.endedIDs.expire(l.now())
	if previous := l.callsByID[c.id]; !c.safe && (l.endedIDs.contains(c.id) || l.aborted && previous != nil && (previous.mayHaveRun || previous.openAttempts > 0)) {
		return &response{status: statusFailed}
	}
	if l.aborted || !c.safe && l.endedIDs.isFull(len(l.calls)) {
		return &response{status: statusRefused, retryAfter: l.retryAfter}
	}
	return nil
}

// awaitEnd sets a call's backstop.
func (l *loop) armBackstop(c *call) {
	if c.backstop == nil {
		c.backstop = &timerEntry{at: c.event.Deadline + min(float64(backstopDelay.Milliseconds()), c.margin/2), call: c}
		heap.Push(&l.timerQueue, c.backstop)
	}
}

// takeAgain takes a request that has waited for the end of an earlier copy of it. If that may have run, only a request
// that is safe to repeat may go out.
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

// send starts an attempt; its goroutine posts the outcome.
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
	}()
}

// connecting hears that an attempt waits for a new connection, or does so no more.
func (l *loop) reportConnecting(c *call, number int, connecting bool) {
	kind := forkline.EvConnected
	if connecting {
		kind = forkline.EvConnecting
	}
	l.handle(&forkline.Event{Kind: kind, Request: c.event.Request, Attempt: uint16(number)})
}

// closed hears how an attempt ended, with the final answer where it gives one.
func (l *loop) attemptEnded(c *call, number int, server uint32, outcome forkline.Outcome, final *response, elapsed time.Duration) {
	a := c.attempts[number]
	c.openAttempts--
	c.mayHaveRun = c.mayHaveRun || outcome != forkline.Rejected && outcome != forkline.ConnectFailed && outcome != forkline.NotSent
	if final != nil {
		l.finish(c, *final)
	} else if !c.ended && c.clientDisconnected() { // before the module decides on a further attempt
		l.handleDisconnect(c)
	}
	l.handle(&forkline.Event{
		Kind: forkline.EvOutcome, Request: c.event.Request, Attempt: uint16(number), Server: server,
		Outcome: outcome, Elapsed: durationToMS(elapsed), ServiceTime: durationToMS(a.serviceTime), NewConnection: a.newConnection, RequestDone: c.ended,
	})
	l.release(c)
}

// finish gives the one final answer.
func (l *loop) finish(c *call, r response) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	c.respond(r)
	l.release(c)
}

// release forgets a call once nothing more can be heard of it. Its body must not stay in the agenda till its time.
func (l *loop) release(c *call) {
	if !c.ended || c.openAttempts > 0 {
		return
	}
	if c.backstop != nil && c.backstop.heapIndex >= 0 {
		heap.Remove(&l.timerQueue, c.backstop.heapIndex)
	}
	if l.callsByID[c.id] != c { // it was not taken, as another call has its id
		return
	}
	delete(l.calls, c.event.Request)
	delete(l.callsByID, c.id)
	if c.mayHaveRun && !c.safe {
		l.endedIDs.add(c.id, l.now()+l.idRetention)
	}
	if c.retry != nil {
		l.pendingRetries = append(l.pendingRetries, c) // not now: the module's actions are being carried out
	}
}

// gone hears that the client has left: nothing more is owed, and nothing more goes out.
func (l *loop) handleDisconnect(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	l.handle(&forkline.Event{Kind: forkline.EvClientGone, Request: c.event.Request})
	l.cancelAttempts(c)
	l.release(c)
}

// callOff ends the attempts of a call that has ended, also where the module may not cancel.
func (l *loop) cancelAttempts(c *call) {
	for _, a := range c.attempts {
		a.abort()
	}
}

// giveUp is the backstop: it answers a call that the module has left unanswered, with a refusal only
// if nothing of it can have run.
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

// giveUpAll does so for every call, as the program must end now; what comes later is refused.
func (l *loop) abortAll() {
	l.aborted = true
	for _, c := range l.calls {
		if c.retry != nil {
			l.abort(c.retry)
		}
		l.abort(c)
	}
}

// list hears what discovery tells.
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

// useKnown makes do with the list of before.
func (l *loop) useCachedList() {
	if l.cachedList != nil {
		l.updateList(*l.cachedList, forkline.ListCached)
	}
}

// listEvent tells the module of discovery what comes with no entries.
func (l *loop) handleListEvent(kind forkline.ListKind) {
	l.handle(&forkline.Event{Kind: forkline.EvList, List: kind})
}
