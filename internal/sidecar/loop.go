package sidecar

import (
	"container/heap"
	"log/slog"
	"math"
	"time"

	"forkline"
	"forkline/internal/deadline"
)

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
	events            *eventLog
}

func newLoop(cfg *Config, u *upstream) (*loop, error) {
	now := time.Now()
	l := &loop{
		start: now, startMS: float64(now.UnixMicro()) / 1000,
		queue: make(chan func(), 256), done: make(chan struct{}), upstream: u, requestWatch: func() {},
		calls: map[uint32]*call{}, callsByID: map[string]*call{}, timer: time.NewTimer(time.Hour), timerAt: math.Inf(1),
		directory: newDirectory(cfg.Site.Zones, cfg.Site.Kinds), serverReady: map[uint32]bool{},
	}
	l.margin.loop, l.responseLog, l.events = l, newResponseLog(slog.Default()), newEventLog(slog.Default())
	l.limitsConcurrency = cfg.Site.Settings.Stage == 0
	l.endedIDs, l.idRetention = newRecentIDs(cfg.MemoryMB), idRetentionFor(&cfg.Site.Settings)
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
			l.abort(entry.call, reasonBackstop)
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
		l.finish(c, response{status: statusRefused, retryAfter: msToDuration(action.Delay)}, c.reasonToGiveUp())
	case forkline.ActFail:
		l.finish(c, response{status: statusFailed}, c.reasonToGiveUp())
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
