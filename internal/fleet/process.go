package fleet

import (
	"time"

	"forkline"
	"forkline/internal/deadline"
)

// Parameters of a real sidecar's network code around the module. backstopDelay, dialTimeout and idleReuseShare have the
// values that internal/sidecar uses.
const (
	answerSlack         = 50 * time.Millisecond // setting of the module; see checkDrain
	backstopDelay       = 10 * time.Millisecond // after the module's deadline the sidecar answers; at most half the margin
	dialTimeout         = 250 * time.Millisecond
	idleReuseShare      = 0.8                     // share of the idle timeout after which a connection is not reused
	handshakeDelays     = 2                       // additional one-way delays of the first request on a connection
	deemedNotifiedAfter = 6 * time.Second         // see checkDrain
	timerDelay          = int64(time.Microsecond) // timers fire this late: an early one would be rearmed forever
)

// sidecar is a hollow sidecar: one module for each service that it balances for, and no sockets. A front sidecar has one
// module; a sidecar beside an endpoint has one for each service that the endpoint calls.
type sidecar struct {
	location
	randSource
	endpoint           int32 // endpoint beside which it runs; -1 for a front sidecar
	firstTier, endTier int32 // range of its tiers
	startCount         int32
	up                 bool
	downFaults         int   // number of active faults that keep a front sidecar down
	downAt             int64 // when it went down
	margin             deadline.Margin
}

// connPool is the state of one endpoint at a sidecar: idle connections, and when the sidecar was notified that the endpoint
// is no longer ready.
type connPool struct {
	lastUsed    int64
	notifiedAt  int64 // 0 if the endpoint is ready in the sidecar's list
	idleConns   uint16
	endpointGen uint16
}

// tier is one module of a sidecar with its watch on the list of the service that it balances for.
type tier struct {
	sidecar, service int32
	rank             int32
	gen              uint16
	balancer         *forkline.Balancer
	conns            []connPool
	openCalls        []int32 // indexes of calls
	watch
}

// call is one request at one sidecar, from a client or from the endpoint beside the sidecar.
type call struct {
	tier           int32
	parent         int32 // attempt whose request makes the call; -1 for a client's call
	openIndex      int32 // index in its tier's openCalls; -1 after its release
	gen            uint16
	parentGen      uint16
	class          uint16
	openAttempts   int16 // number of attempts without an outcome
	executions     uint8
	ended          bool
	measured       bool
	arrivedAt      int64
	clientDeadline int64 // when its client times out
	answerBy       int64 // deadline of the module for its answer
	waitTime       int64 // time without an open attempt, of this call and of its inner calls
	waitingSince   int64
	attempts       []int32 // indexes of attempts, by their number
}

// attempt is one send of a call with its request at the endpoint.
type attempt struct {
	call, tier, endpoint int32
	server               uint32
	gen, callGen         uint16
	number               uint16
	nextCallee           int16 // index of the service's next callSpec
	repeatsLeft          int32 // calls that remain for the current callSpec
	innerCall            int32 // call that it waits for; -1 if there is none
	slot                 int32 // index in the endpoint's slots
	open                 bool  // its sidecar waits for its outcome
	inTransit            bool  // it is on the way to the endpoint
	holdsSlot            bool  // it has a slot at the endpoint
	processing           bool
	answerInTransit      bool // its outcome is on the way to the sidecar
	cancelled            bool
	free                 bool
	sentAt, deadline     int64
	innerWait            int64 // sum of waitTime of its inner calls
}

// status is how a call ended.
type status uint8

const (
	served status = iota
	refused
	failed
)

// A request id in the module consists of the index of the call and a generation, so that ids are not reused soon.
const (
	callIndexBits   = 22
	maxOpenCalls    = 1 << callIndexBits
	callGenerations = 1 << (32 - callIndexBits)

	minFreeCalls = 1024
)

func (f *fleet) allocCall() int32 {
	if len(f.freeCalls) > minFreeCalls { // reuse the call that was freed first
		c := f.freeCalls[0]
		f.freeCalls = f.freeCalls[1:]
		return c
	}
	f.calls = append(f.calls, call{})
	return int32(len(f.calls) - 1)
}

// attemptOf returns the attempt of an event, or nil if it has been freed since the event was scheduled.
func (f *fleet) attemptOf(ev *event) *attempt {
	if a := &f.attempts[ev.id]; a.gen == ev.gen && !a.free {
		return a
	}
	return nil
}

// releaseAttempt frees an attempt unless its sidecar, its endpoint or a message still refers to it.
func (f *fleet) releaseAttempt(id int32) {
	a := &f.attempts[id]
	if !a.open && !a.inTransit && !a.holdsSlot && !a.answerInTransit && !a.free {
		a.free = true
		f.freeAttempts = append(f.freeAttempts, id)
	}
}

// startCall starts a call at a sidecar. Its client waits until clientDeadline.
func (f *fleet) startCall(t int32, class uint16, clientDeadline int64, parent int32) {
	tr := &f.tiers[t]
	margin := &f.sidecars[tr.sidecar].margin
	reserved := int64(margin.Reserve(toMillis(clientDeadline-f.now), toMillis(f.now)) * 1e6)
	margin.Observe(deadline.Intake, toMillis(f.now), 0) // a hollow sidecar never waits for a core
	id := f.allocCall()
	c := &f.calls[id]
	*c = call{
		tier: t, parent: parent, gen: c.gen, class: class, arrivedAt: f.now, clientDeadline: clientDeadline, waitingSince: f.now,
		answerBy: clientDeadline - reserved, attempts: c.attempts[:0],
		openIndex: int32(len(tr.openCalls)), measured: f.inMeasuredTime(f.now),
	}
	tr.openCalls = append(tr.openCalls, id)
	if parent >= 0 {
		c.parentGen = f.attempts[parent].gen
		f.attempts[parent].innerCall = id
	}
	f.countOffered(c)
	f.schedule(c.answerBy+min(toNanos(backstopDelay), reserved/2), evBackstop, id, c.gen, 0)
	f.event = forkline.Event{
		Kind: forkline.EvRequest, Request: f.requestID(id), Class: class, Deadline: toMillis(c.answerBy), Key: uint64(id),
	}
	f.handleModuleEvent(t, &f.event)
}

// requestID returns the module's request id of a call.
func (f *fleet) requestID(c int32) uint32 {
	return uint32(c) | uint32(f.calls[c].gen%callGenerations)<<callIndexBits
}

// handleModuleEvent passes an event to the module and carries out its actions. No action leads to another module event before
// all actions are carried out, so calls of this function are never nested.
func (f *fleet) handleModuleEvent(t int32, ev *forkline.Event) {
	tr := &f.tiers[t]
	f.meter.start(ev.Kind == forkline.EvList)
	f.actions = tr.balancer.Handle(toMillis(f.now), ev, f.actions[:0])
	f.meter.stop(ev.Kind == forkline.EvList)
	for i := range f.actions {
		a := &f.actions[i]
		switch a.Kind {
		case forkline.ActSend:
			f.sendAttempt(t, a)
		case forkline.ActRefuse:
			f.finishOnce(f.callByRequest(t, a.Request), refused)
		case forkline.ActFail:
			f.finishOnce(f.callByRequest(t, a.Request), failed)
		case forkline.ActCancel:
			if c := f.callByRequest(t, a.Request); c >= 0 && int(a.Attempt) < len(f.calls[c].attempts) {
				f.cancelAttempt(f.calls[c].attempts[a.Attempt])
			}
		case forkline.ActTimer:
			f.schedule(f.now+int64(a.Delay*1e6)+timerDelay, evModuleTimer, t, tr.gen, a.Token)
		case forkline.ActWatchList:
			f.requestWatch(t)
		case forkline.ActCloseIdle:
			e, _ := f.findEndpoint(a.Server)
			tr.conns[e-f.services[tr.service].firstEndpoint].idleConns = 0
		}
	}
}

// callByRequest returns the call with a module's request id, or -1 if it no longer exists.
func (f *fleet) callByRequest(t int32, request uint32) int32 {
	id := int32(request & (maxOpenCalls - 1))
	if int(id) >= len(f.calls) || f.requestID(id) != request || f.calls[id].tier != t {
		return -1
	}
	return id
}

// sendAttempt starts an attempt.
func (f *fleet) sendAttempt(t int32, action *forkline.Action) {
	id := f.callByRequest(t, action.Request)
	if id < 0 || f.calls[id].ended {
		return
	}
	tr, c := &f.tiers[t], &f.calls[id]
	sc, s := &f.sidecars[tr.sidecar], &f.services[tr.service]
	target, current := f.findEndpoint(action.Server)
	e := &f.endpoints[target]
	pool := &tr.conns[target-s.firstEndpoint]
	f.checkDrain(tr, sc, e, pool, action.Server)

	n := int32(len(f.attempts))
	if free := len(f.freeAttempts); free > 0 {
		n = f.freeAttempts[free-1]
		f.freeAttempts = f.freeAttempts[:free-1]
	} else {
		f.attempts = append(f.attempts, attempt{})
	}
	a := &f.attempts[n]
	*a = attempt{
		call: id, tier: t, server: action.Server, gen: a.gen + 1, callGen: c.gen, number: uint16(len(c.attempts)),
		innerCall: -1, open: true, sentAt: f.now, deadline: int64(action.Deadline * 1e6),
	}
	c.attempts = append(c.attempts, n)
	c.openAttempts++
	c.waitTime += f.now - c.waitingSince

	generation := uint16(action.Server / uint32(len(f.endpoints)))
	idleLimit := int64(idleReuseShare * float64(f.exp.Sidecar.IdleTimeout))
	if pool.endpointGen != generation || idleLimit > 0 && f.now-pool.lastUsed > idleLimit {
		pool.endpointGen, pool.idleConns = generation, 0
	}
	newConnection := pool.idleConns == 0
	delay := f.net.delay(sc.location, e.location, &sc.randSource)
	if newConnection {
		delay *= 1 + handshakeDelays
	} else {
		pool.idleConns--
	}
	f.countAttempt(s, newConnection)
	f.schedule(a.deadline, evAttemptTimeout, n, a.gen, 0)
	lastByteBy := int64(action.LastByteBy * 1e6)
	switch {
	case lastByteBy > 0 && newConnection && f.now+handshakeDelays*delay/(1+handshakeDelays) > lastByteBy: // connected too late
		f.scheduleOutcome(n, forkline.NotSent, max(lastByteBy, f.now))
	case !current || !e.up && !e.vanished: // the machine is up and refuses the connection
		f.scheduleOutcome(n, forkline.ConnectFailed, f.now+2*delay/(1+handshakeDelays))
	case !e.up || !f.net.reaches(sc.region, e.region): // no answer
		if newConnection {
			f.scheduleOutcome(n, forkline.ConnectFailed, min(f.now+toNanos(dialTimeout), a.deadline))
		}
	default:
		a.inTransit = true
		f.schedule(f.now+delay, evAttemptArrives, n, a.gen, 0)
	}
}

// checkDrain counts a send to an endpoint that drains or is removed if the drain grace and answerSlack have passed since the
// sidecar was notified. The sidecar counts as notified of a state that discovery knows 6 s (deemedNotifiedAfter) after it
// could reach discovery, whether or not the notification arrived.
func (f *fleet) checkDrain(tr *tier, sc *sidecar, e *endpoint, pool *connPool, server uint32) {
	notifiedAt, knownAt := pool.notifiedAt, int64(0)
	switch uint32(e.gen) - server/uint32(len(f.endpoints)) {
	case 0:
		knownAt = e.drainKnownAt
	case 1:
		knownAt, notifiedAt = e.predecessorKnownAt, 0 // later notifications are about the successor
	}
	if knownAt > 0 {
		deemedAt := max(knownAt, f.discovery.reachableSince, f.splitEndedAt[sc.region], tr.startedAt) + toNanos(deemedNotifiedAfter)
		if notifiedAt == 0 || deemedAt < notifiedAt {
			notifiedAt = deemedAt
		}
	}
	reachable := f.discovery.responds() && f.discovery.refusingFaults == 0 && f.net.splits[sc.region] == 0
	if notifiedAt > 0 && (reachable || notifiedAt == pool.notifiedAt) &&
		f.now > notifiedAt+int64(f.exp.Sidecar.DrainGrace)+toNanos(answerSlack) {
		f.violations.DrainingSends++
	}
}

// sendOutcome sends an attempt's outcome from the endpoint to the sidecar if the sidecar still waits for it.
func (f *fleet) sendOutcome(id int32, o forkline.Outcome, from location) {
	a := &f.attempts[id]
	sc := &f.sidecars[f.tiers[a.tier].sidecar]
	if !a.open || !f.net.reaches(from.region, sc.region) {
		f.releaseAttempt(id)
		return
	}
	f.scheduleOutcome(id, o, f.now+f.net.delay(from, sc.location, &sc.randSource))
}

func (f *fleet) scheduleOutcome(id int32, o forkline.Outcome, at int64) {
	a := &f.attempts[id]
	a.answerInTransit = true
	f.schedule(at, evOutcomeArrives, id, a.gen, uint64(o))
}

// outcomeArrives handles the arrival of an outcome at the sidecar.
func (f *fleet) outcomeArrives(ev *event) {
	a := f.attemptOf(ev)
	if a == nil {
		return
	}
	a.answerInTransit = false
	if !a.open {
		f.releaseAttempt(ev.id)
		return
	}
	f.closeAttempt(ev.id, forkline.Outcome(ev.arg))
}

// closeAttempt ends an attempt and reports its outcome to the module.
func (f *fleet) closeAttempt(id int32, o forkline.Outcome) {
	a := &f.attempts[id]
	a.open = false
	tr, c := &f.tiers[a.tier], &f.calls[a.call]
	target, _ := f.findEndpoint(a.server)
	pool := &tr.conns[target-f.services[tr.service].firstEndpoint]
	if o == forkline.OK || o == forkline.Error || o == forkline.Rejected {
		pool.lastUsed = f.now
		pool.idleConns++
	}
	c.openAttempts--
	c.waitingSince = f.now
	if o == forkline.OK && !c.ended {
		c.waitTime += a.innerWait
		f.finishCall(a.call, served)
	}
	f.event = forkline.Event{
		Kind: forkline.EvOutcome, Request: f.requestID(a.call), Attempt: a.number, Server: a.server, Outcome: o,
		Elapsed: toMillis(f.now - a.sentAt), RequestDone: c.ended,
	}
	t, owner := a.tier, a.call
	f.releaseAttempt(id)
	f.handleModuleEvent(t, &f.event)
	f.releaseCall(owner)
}

// attemptTimeout ends an attempt that is still open at its deadline.
func (f *fleet) attemptTimeout(ev *event) {
	if a := f.attemptOf(ev); a != nil && a.open {
		f.notifyCancel(ev.id)
		f.closeAttempt(ev.id, forkline.Timeout)
	}
}

// cancelAttempt cancels an attempt. The outcome reaches the module in a later event at the same time.
func (f *fleet) cancelAttempt(id int32) {
	a := &f.attempts[id]
	if a.open {
		f.notifyCancel(id)
		f.scheduleOutcome(id, forkline.Cancelled, f.now)
	}
}

// notifyCancel closes the attempt's connection, which notifies its endpoint.
func (f *fleet) notifyCancel(id int32) {
	a := &f.attempts[id]
	target, _ := f.findEndpoint(a.server)
	e, sc := &f.endpoints[target], &f.sidecars[f.tiers[a.tier].sidecar]
	if (a.inTransit || a.holdsSlot) && f.net.reaches(sc.region, e.region) {
		f.schedule(f.now+f.net.delay(sc.location, e.location, &sc.randSource), evCancelArrives, id, a.gen, 0)
	}
}

// finishOnce finishes a call with the module's answer, or counts a violation if the call has already ended.
func (f *fleet) finishOnce(id int32, s status) {
	if id < 0 || f.calls[id].ended {
		f.violations.DuplicateAnswers++
		return
	}
	f.finishCall(id, s)
}

// finishCall records the final answer of a call and returns it to the caller.
func (f *fleet) finishCall(id int32, s status) {
	c := &f.calls[id]
	c.ended = true
	if c.openAttempts == 0 && s != served {
		c.waitTime += f.now - c.waitingSince
	}
	f.countEnd(c, s)
	f.sidecars[f.tiers[c.tier].sidecar].margin.Observe(deadline.Response, toMillis(f.now), 0)
	if c.parent >= 0 {
		if a := &f.attempts[c.parent]; a.gen == c.parentGen && a.innerCall == id {
			a.innerWait += c.waitTime
			a.innerCall = -1
			f.schedule(f.now, evInnerCallEnds, c.parent, c.parentGen, uint64(s))
		}
	}
	f.releaseCall(id)
}

// releaseCall releases a call that has ended and has no open attempts.
func (f *fleet) releaseCall(id int32) {
	c := &f.calls[id]
	if !c.ended || c.openAttempts > 0 || c.openIndex < 0 {
		return
	}
	tr := &f.tiers[c.tier]
	last := len(tr.openCalls) - 1
	tr.openCalls[c.openIndex] = tr.openCalls[last]
	f.calls[tr.openCalls[c.openIndex]].openIndex = c.openIndex
	tr.openCalls = tr.openCalls[:last]
	f.releasedCalls = append(f.releasedCalls, id)
	c.openIndex = -1
}

// recycleCalls frees the calls that were released during an event. It runs after the event, as their ids are in use until
// then.
func (f *fleet) recycleCalls() {
	for _, id := range f.releasedCalls {
		f.calls[id].gen++
		f.freeCalls = append(f.freeCalls, id)
	}
	f.releasedCalls = f.releasedCalls[:0]
}

// backstopDue answers a call that the module has not answered.
func (f *fleet) backstopDue(ev *event) {
	c := &f.calls[ev.id]
	if c.gen != ev.gen || c.ended {
		return
	}
	f.violations.Backstops++
	f.abandonCall(ev.id)
}

// callerGone abandons an inner call whose caller does not wait for it any more.
func (f *fleet) callerGone(id int32) {
	if c := &f.calls[id]; !c.ended {
		f.abandonCall(id)
	}
}

// abandonCall ends a call without an answer of the module. The call is refused only if no attempt can have executed,
// otherwise it fails.
func (f *fleet) abandonCall(id int32) {
	c := &f.calls[id]
	for _, a := range c.attempts {
		if at := &f.attempts[a]; at.call == id && at.callGen == c.gen {
			f.cancelAttempt(a)
		}
	}
	s := failed
	if c.executions == 0 && c.openAttempts == 0 {
		s = refused
	}
	t := c.tier
	f.event = forkline.Event{Kind: forkline.EvClientGone, Request: f.requestID(id)}
	f.finishCall(id, s)
	f.handleModuleEvent(t, &f.event)
}

// startSidecar starts the modules of a sidecar, with the lists that they had before a restart.
func (f *fleet) startSidecar(id int32) {
	sc := &f.sidecars[id]
	sc.up = true
	sc.startCount++
	sc.margin = deadline.Margin{}
	for t := sc.firstTier; t < sc.endTier; t++ {
		tr := &f.tiers[t]
		s := &f.services[tr.service]
		seed := newRandSource(f.exp.Seed, actorModule, int(t)<<12|int(sc.startCount&0xfff))
		b, err := forkline.New(f.moduleSettings(s, sc.endpoint < 0, int(tr.rank), sc.location), seed.Uint64(), toMillis(f.now))
		if err != nil {
			f.err = err // all modules share the settings, so an error occurs before the first event
			return
		}
		tr.balancer = b
		f.startWatch(t)
	}
}

// stopSidecar ends the modules of a sidecar. Their unanswered calls fail.
func (f *fleet) stopSidecar(id int32) {
	sc := &f.sidecars[id]
	if !sc.up {
		return
	}
	sc.up, sc.downAt = false, f.now
	vanished := sc.endpoint < 0 || f.endpoints[sc.endpoint].vanished // front sidecars end only by faults
	for t := sc.firstTier; t < sc.endTier; t++ {
		tr := &f.tiers[t]
		for len(tr.openCalls) > 0 {
			c := &f.calls[tr.openCalls[0]]
			for _, a := range c.attempts {
				if at := &f.attempts[a]; at.call == tr.openCalls[0] && at.callGen == c.gen && at.open {
					if !vanished {
						f.notifyCancel(a)
					}
					at.open = false
					f.releaseAttempt(a)
				}
			}
			c.openAttempts = 0
			if c.ended {
				f.releaseCall(tr.openCalls[0])
			} else {
				f.finishCall(tr.openCalls[0], failed)
			}
		}
		f.endWatch(t)
		tr.gen++
		tr.balancer = nil
		clear(tr.conns)
	}
}
