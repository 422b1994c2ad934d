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
	backstop = 10 * time.Millisecond
)

// call is one request that the sidecar has taken. The loop owns it.
type call struct {
	event    forkline.Event // as the module hears of it
	id       string         // its client's
	class    string         // these six are what it asks for; the tables are those that it was placed by
	tenant   string
	method   string
	keyed    bool
	patience float64 // s that its client waits
	tables   *tables
	wait     float64 // ms from its arrival in which it must be answered
	held     float64 // ms from then until its client gives up
	out      outgoing
	reply    func(answer) // takes the one final answer
	left     func() bool  // looks whether its client has left, whatever the loop has heard; nil = it never does
	backstop *due
	ended    bool
	safe     bool // it may run any number of times
	mayRun   bool // an attempt that is over may have run
	open     int  // attempts out
	attempts []*attempt
	again    *call // the same request once more, from a client that had left this one
}

// hasLeft looks whether the call's client has left. News of that waits in the loop's mail behind whatever came before.
func (c *call) hasLeft() bool { return c.left != nil && c.left() }

// due tells the call when it arrived.
func (c *call) due(arrived float64) { c.event.Deadline = arrived + c.wait }

// due is one thing to do at a time: a timer of the module's, or the backstop of a call.
type due struct {
	at    float64
	token uint64
	call  *call // nil for a timer
	place int   // in the agenda; -1 once it is out
}

// agenda is a heap of them, the next one first.
type agenda []*due

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}
func (a *agenda) Push(x any) {
	d := x.(*due)
	d.place = len(*a)
	*a = append(*a, d)
}
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	last.place = -1
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return last
}

// loop owns the Balancer and all state of requests: one goroutine runs it, the rest post to it.
// It never waits for a socket.
type loop struct {
	start     time.Time
	startMS   float64 // the same as Unix time
	balancer  *forkline.Balancer
	limited   bool          // it is at the front, where the module limits the calls out
	comeBack  time.Duration // told with a refusal of the loop's own
	actions   []forkline.Action
	mail      chan func()
	ended     chan struct{} // closed when the program ends
	up        *upstream
	watch     func() // asks for the list to be watched
	calls     map[uint32]*call
	ids       map[string]*call // by the ids of their clients
	ran       *remembered      // ids of calls that are over
	remember  float64          // for how long, in ms
	again     []*call          // over now; each has been asked for again meanwhile
	over      bool             // all is given up
	known     *List            // the list of before, until the first one comes
	tables    *tables          // put in force by a reload; nil = those of the start
	lastID    uint32
	agenda    agenda
	timer     *time.Timer
	armed     float64 // when the timer is due
	directory *directory
	listed    map[uint32]bool // servers of the list, and whether they are ready
	usable    int             // those that are
	margin    margin
}

func newLoop(cfg *Config, up *upstream) (*loop, error) {
	now := time.Now()
	l := &loop{
		start: now, startMS: float64(now.UnixMicro()) / 1000,
		mail: make(chan func(), 256), ended: make(chan struct{}), up: up, watch: func() {},
		calls: map[uint32]*call{}, ids: map[string]*call{}, timer: time.NewTimer(time.Hour), armed: math.Inf(1),
		directory: newDirectory(cfg.Site.Zones, cfg.Site.Kinds), listed: map[uint32]bool{},
	}
	l.margin.loop = l
	l.limited = cfg.Site.Settings.Stage == 0
	l.ran, l.remember = newRemembered(), rememberTime(&cfg.Site.Settings)
	l.comeBack = millis(cfg.Site.Settings.Limits.RetryAfter())
	var err error
	l.balancer, err = forkline.New(l.settings(cfg.Site.Settings), cfg.Seed, l.now())
	return l, err
}

// settings are those that the module is told.
func (l *loop) settings(set forkline.Settings) forkline.Settings {
	set.Limits.Probing = false // this sidecar sends none
	set.Limits.IdleTimeout = float64(idleLimit(set.Limits).Microseconds()) / 1000
	if set.Limits.MaxOpenRequests == 0 || set.Limits.MaxOpenRequests > l.up.most {
		set.Limits.MaxOpenRequests = l.up.most // each open request may need a connection
	}
	return set
}

// post has the loop run f, unless it has ended; it waits while the loop is behind.
func (l *loop) post(f func()) {
	select {
	case l.mail <- f:
	case <-l.ended:
	}
}

// offer has the loop run f if there is room in its mail, and does not wait.
func (l *loop) offer(f func()) {
	select {
	case l.mail <- f:
	default:
	}
}

// ask has the loop run f and waits until it has.
func (l *loop) ask(f func()) {
	done := make(chan struct{})
	l.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-l.ended:
	}
}

// The module's clock is Unix time in milliseconds, as endpoints tell their start, and runs on monotonically.
func (l *loop) now() float64 { return l.startMS + float64(time.Since(l.start).Microseconds())/1000 }
func (l *loop) clock(t time.Time) float64 {
	return l.startMS + float64(t.Sub(l.start).Microseconds())/1000
}
func (l *loop) time(ms float64) time.Time { return l.start.Add(millis(ms - l.startMS)) }

func millis(ms float64) time.Duration      { return time.Duration(ms * float64(time.Millisecond)) }
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (l *loop) run() {
	for {
		select {
		case <-l.ended:
			return
		case f := <-l.mail:
			f()
		case <-l.timer.C:
			l.armed = math.Inf(1)
		}
		l.expire()
		if len(l.agenda) > 0 && l.agenda[0].at < l.armed {
			l.armed = l.agenda[0].at
			l.timer.Reset(max(time.Until(l.time(l.armed)), time.Microsecond)) // the clock has to move on: it is cut to that
		}
	}
}

// expire does what is due.
func (l *loop) expire() {
	for len(l.again) > 0 {
		old := l.again[0]
		l.again = l.again[1:]
		l.takeAgain(old)
	}
	for len(l.agenda) > 0 && l.agenda[0].at <= l.now() {
		d := heap.Pop(&l.agenda).(*due)
		l.margin.measured(deadline.Timer, d.at)
		if d.call == nil {
			l.handle(&forkline.Event{Kind: forkline.EvTimer, Token: d.token})
		} else {
			l.giveUp(d.call)
		}
	}
}

// handle gives the module an event and carries its actions out.
func (l *loop) handle(ev *forkline.Event) {
	l.actions = l.balancer.Handle(l.now(), ev, l.actions[:0])
	l.carryOutAll()
}

func (l *loop) carryOutAll() {
	for i := range l.actions {
		l.carryOut(&l.actions[i])
	}
}

func (l *loop) carryOut(a *forkline.Action) {
	c := l.calls[a.Request]
	switch a.Kind {
	case forkline.ActSend:
		if c != nil {
			l.send(c, a)
		}
	case forkline.ActRefuse:
		l.finish(c, answer{status: statusRefused, retryAfter: millis(a.Delay)})
	case forkline.ActFail:
		l.finish(c, answer{status: statusFailed})
	case forkline.ActCancel:
		if c != nil && int(a.Attempt) < len(c.attempts) {
			c.attempts[a.Attempt].callOff()
		}
	case forkline.ActTimer:
		heap.Push(&l.agenda, &due{at: l.now() + a.Delay, token: a.Token})
	case forkline.ActWatchList:
		l.watch()
	case forkline.ActCloseIdle:
		l.up.closeAll(a.Server)
	case forkline.ActLog:
		slog.Info(a.Text)
	}
}

// take begins a request that has come whole.
func (l *loop) take(c *call) {
	if c.hasLeft() {
		l.gone(c)
		return
	}
	if a := l.turnAway(c); a != nil {
		c.ended = true
		c.reply(*a)
		return
	}
	if l.tables != nil && c.tables != l.tables && !l.place(c) {
		return
	}
	old := l.ids[c.id]
	if old != nil && old.again != nil && !old.again.ended && old.again.hasLeft() {
		l.gone(old.again)
	}
	if old != nil && !old.ended && old.hasLeft() {
		l.gone(old)
		old = l.ids[c.id]
	}
	if old != nil && old.ended && (old.again == nil || old.again.ended) {
		old.again = c // what is open of it is called off and ends soon
		c.mayRun = old.mayRun || old.open > 0
		l.awaitEnd(c)
		return
	} else if old != nil {
		c.reply(answer{status: http.StatusConflict, body: []byte("a request with this X-Request-Id is open\n")})
		return
	}
	l.ids[c.id] = c
	l.lastID++
	c.event.Kind, c.event.Request = forkline.EvRequest, l.lastID
	l.calls[l.lastID] = c
	l.awaitEnd(c)
	l.handle(&c.event)
}

// turnAway is the answer to a call that cannot be taken at all; nil if it can. One that may have run before under this
// id, and may not run twice, has failed: a refusal would say that nothing can have run.
func (l *loop) turnAway(c *call) *answer {
	l.ran.expire(l.now())
	if old := l.ids[c.id]; !c.safe && (l.ran.has(c.id) || l.over && old != nil && (old.mayRun || old.open > 0)) {
		return &answer{status: statusFailed}
	}
	if l.over || !c.safe && l.ran.full(len(l.calls)) {
		return &answer{status: statusRefused, retryAfter: l.comeBack}
	}
	return nil
}

// awaitEnd sets a call's backstop.
func (l *loop) awaitEnd(c *call) {
	if c.backstop == nil {
		c.backstop = &due{at: c.event.Deadline + min(float64(backstop.Milliseconds()), c.held/2), call: c}
		heap.Push(&l.agenda, c.backstop)
	}
}

// takeAgain takes a request that has waited for the end of an earlier copy of it. If that may have run, only a request
// that is safe to repeat may go out.
func (l *loop) takeAgain(old *call) {
	switch c := old.again; {
	case c == nil || c.ended:
	case old.mayRun && (!c.safe || !old.safe && old.class == c.class):
		l.finish(c, answer{status: statusFailed})
	default:
		c.mayRun = false
		l.take(c)
	}
}

// send starts an attempt; its goroutine posts the outcome.
func (l *loop) send(c *call, act *forkline.Action) {
	server, until := act.Server, act.Deadline
	sent, begin := time.Now(), time.Time{}
	if l.up.grace > 0 {
		begin = sent.Add(l.up.grace)
	}
	a, e, number, out := newAttempt(begin), l.up.find(server), len(c.attempts), c.out
	if act.LastByteBy > 0 {
		a.whole = l.time(act.LastByteBy)
	}
	a.left, out.safe = c.hasLeft, c.safe
	if l.limited {
		a.waits = func(waits bool) { l.offer(func() { l.connecting(c, number, waits) }) }
	}
	c.attempts = append(c.attempts, a)
	c.open++
	go func() {
		outcome, got := forkline.NotSent, (*answer)(nil)
		if e != nil {
			outcome, got = l.up.do(a, e, &out, l.time(until))
		}
		ended := time.Now()
		l.post(func() {
			l.margin.measured(deadline.Intake, l.clock(ended))
			l.closed(c, number, server, outcome, got, ended.Sub(sent))
		})
	}()
}

// connecting hears that an attempt waits for a new connection, or does so no more.
func (l *loop) connecting(c *call, number int, waits bool) {
	kind := forkline.EvConnected
	if waits {
		kind = forkline.EvConnecting
	}
	l.handle(&forkline.Event{Kind: kind, Request: c.event.Request, Attempt: uint16(number)})
}

// closed hears how an attempt ended, with the final answer where it gives one.
func (l *loop) closed(c *call, number int, server uint32, o forkline.Outcome, got *answer, took time.Duration) {
	a := c.attempts[number]
	c.open--
	c.mayRun = c.mayRun || o != forkline.Rejected && o != forkline.ConnectFailed && o != forkline.NotSent
	if got != nil {
		l.finish(c, *got)
	} else if !c.ended && c.hasLeft() { // before the module decides on a further attempt
		l.gone(c)
	}
	l.handle(&forkline.Event{
		Kind: forkline.EvOutcome, Request: c.event.Request, Attempt: uint16(number), Server: server,
		Outcome: o, Elapsed: milliseconds(took), ServiceTime: milliseconds(a.service), NewConnection: a.fresh, RequestDone: c.ended,
	})
	l.release(c)
}

// finish gives the one final answer.
func (l *loop) finish(c *call, a answer) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	c.reply(a)
	l.release(c)
}

// release forgets a call once nothing more can be heard of it. Its body must not stay in the agenda till its time.
func (l *loop) release(c *call) {
	if !c.ended || c.open > 0 {
		return
	}
	if c.backstop != nil && c.backstop.place >= 0 {
		heap.Remove(&l.agenda, c.backstop.place)
	}
	if l.ids[c.id] != c { // it was not taken, as another call has its id
		return
	}
	delete(l.calls, c.event.Request)
	delete(l.ids, c.id)
	if c.mayRun && !c.safe {
		l.ran.add(c.id, l.now()+l.remember)
	}
	if c.again != nil {
		l.again = append(l.again, c) // not now: the module's actions are being carried out
	}
}

// gone hears that the client has left: nothing more is owed, and nothing more goes out.
func (l *loop) gone(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	l.handle(&forkline.Event{Kind: forkline.EvClientGone, Request: c.event.Request})
	l.callOff(c)
	l.release(c)
}

// callOff ends the attempts of a call that has ended, also where the module may not cancel.
func (l *loop) callOff(c *call) {
	for _, a := range c.attempts {
		a.callOff()
	}
}

// giveUp is the backstop: it answers a call that the module has left unanswered, with a refusal only
// if nothing of it can have run.
func (l *loop) giveUp(c *call) {
	if c.ended {
		return
	}
	a := answer{status: statusFailed}
	if !c.mayRun && c.open == 0 {
		a = answer{status: statusRefused, retryAfter: l.comeBack}
	}
	l.callOff(c)
	l.finish(c, a)
	l.handle(&forkline.Event{Kind: forkline.EvClientGone, Request: c.event.Request})
}

// giveUpAll does so for every call, as the program must end now; what comes later is refused.
func (l *loop) giveUpAll() {
	l.over = true
	for _, c := range l.calls {
		if c.again != nil {
			l.giveUp(c.again)
		}
		l.giveUp(c)
	}
}

// list hears what discovery tells.
func (l *loop) list(list List, kind forkline.ListKind) {
	if l.known != nil && kind == forkline.ListDelta {
		list, kind = l.known.changed(list), forkline.ListFull
	}
	l.known = nil
	ev := forkline.Event{Kind: forkline.EvList, List: kind}
	whole := kind != forkline.ListDelta
	before := l.listed
	if whole {
		l.listed = make(map[uint32]bool, len(list.Targets))
	}
	for i := range list.Targets {
		t := &list.Targets[i]
		e := l.directory.entry(t)
		ev.Servers = append(ev.Servers, e)
		l.up.list(e.Server, t.Endpoint, e.Started, e.State)
		if e.State == forkline.Removed {
			delete(l.listed, e.Server)
		} else {
			l.listed[e.Server] = e.State == forkline.Ready
		}
	}
	if whole {
		for id := range before {
			if _, ok := l.listed[id]; !ok {
				l.up.list(id, "", 0, forkline.Removed)
			}
		}
	}
	l.directory.forget(func(id uint32) bool { _, ok := l.listed[id]; return ok })
	l.usable = 0
	for _, ready := range l.listed {
		if ready {
			l.usable++
		}
	}
	l.handle(&ev)
}

// useKnown makes do with the list of before.
func (l *loop) useKnown() {
	if l.known != nil {
		l.list(*l.known, forkline.ListCached)
	}
}

// listEvent tells the module of discovery what comes with no entries.
func (l *loop) listEvent(kind forkline.ListKind) {
	l.handle(&forkline.Event{Kind: forkline.EvList, List: kind})
}
