package fleet

import (
	"time"

	"forkline"
	"forkline/internal/deadline"
)

// What the network code of a real sidecar adds to the module; internal/sidecar names the same figures.
const (
	answerSlack         = 50 * time.Millisecond
	backstopDelay       = 10 * time.Millisecond // after that, or half of the margin, the sidecar answers for the module
	dialTimeout         = 250 * time.Millisecond
	idleReuseShare      = 0.8 // of the idle limit, after which a connection is not used again
	handshakeDelays     = 2   // more one-way delays that the first request on a connection waits
	deemedNotifiedAfter = 6 * time.Second
	timerDelay          = int64(time.Microsecond) // timers come this much late: one that is early by rounding would be set again for ever
)

// process is a hollow sidecar: a module for each service it balances for, and no sockets. One at the front has one
// module; one beside an endpoint has one for each service that the endpoint calls.
type sidecar struct {
	location
	randSource
	endpoint           int32 // beside which it runs; -1 = at the front
	firstTier, endTier int32 // its modules
	startCount         int32
	up                 bool
	downFaults         int   // faults that hold it down; of a front sidecar
	downAt             int64 // when it went
	margin             deadline.Margin
}

// conn is what a sidecar holds of one endpoint: idle connections, and when it was told that the endpoint drains.
type connPool struct {
	lastUsed    int64
	notifiedAt  int64 // 0 = it is to be used, as far as told
	idleConns   uint16
	endpointGen uint16
}

// tier is one module of a process, with its watch on the list of the service that it balances for.
type tier struct {
	sidecar, service int32
	rank             int32
	gen              uint16
	balancer         *forkline.Balancer
	conns            []connPool
	openCalls        []int32 // calls
	watch
}

// call is one request at one sidecar, from a client or from the endpoint beside it.
type call struct {
	tier           int32
	parent         int32 // the attempt that made it; -1 = a client
	openIndex      int32 // in the list of its tier
	gen            uint16
	parentGen      uint16
	class          uint16
	openAttempts   int16 // attempts out
	executions     uint8
	ended          bool
	measured       bool
	arrivedAt      int64
	clientDeadline int64 // its client gives up
	answerBy       int64 // the sidecar has answered
	waitTime       int64 // time in which no attempt of it, or of the calls it led to, was out
	waitingSince   int64
	attempts       []int32 // by their number
}

// attempt is one send of a call, and its request at the endpoint.
type attempt struct {
	call, tier, endpoint int32
	server               uint32
	gen, callGen         uint16
	number               uint16
	nextCallee           int16 // calls of the endpoint: the next kind
	repeatsLeft          int32 // and how many of the present kind
	innerCall            int32 // the call it waits for; -1 = none
	slot                 int32 // among those that hold a slot
	open                 bool  // its sidecar waits for it
	inTransit            bool  // on the way to the endpoint
	holdsSlot            bool  // it holds a slot there
	processing           bool
	answerInTransit      bool // the answer is on its way
	cancelled            bool
	free                 bool
	sentAt, deadline     int64
	innerWait            int64 // of the calls it made
}

// status is how a call ended.
type status uint8

const (
	served status = iota
	refused
	failed
)

// ids of calls in the module: a place in the slab and a generation, so that an id is not soon used again.
const (
	callIndexBits   = 22
	maxOpenCalls    = 1 << callIndexBits
	callGenerations = 1 << (32 - callIndexBits)

	minFreeCalls = 1024
)

func (f *fleet) allocCall() int32 {
	if len(f.freeCalls) > minFreeCalls { // the one that has been free for longest
		c := f.freeCalls[0]
		f.freeCalls = f.freeCalls[1:]
		return c
	}
	f.calls = append(f.calls, call{})
	return int32(len(f.calls) - 1)
}

func (f *fleet) attemptOf(ev *event) *attempt {
	if a := &f.attempts[ev.id]; a.gen == ev.gen && !a.free {
		return a
	}
	return nil
}

func (f *fleet) releaseAttempt(id int32) {
	a := &f.attempts[id]
	if !a.open && !a.inTransit && !a.holdsSlot && !a.answerInTransit && !a.free {
		a.free = true
		f.freeAttempts = append(f.freeAttempts, id)
	}
}

// take begins a call at a sidecar. Its client waits until the given time.
func (f *fleet) startCall(t int32, class uint16, clientDeadline int64, parent int32) {
	tr := &f.tiers[t]
	margin := &f.sidecars[tr.sidecar].margin
	reserved := int64(margin.Reserve(toMillis(clientDeadline-f.now), toMillis(f.now)) * 1e6)
	margin.Observe(deadline.Intake, toMillis(f.now), 0) // a hollow sidecar waits for no core
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

func (f *fleet) requestID(c int32) uint32 {
	return uint32(c) | uint32(f.calls[c].gen%callGenerations)<<callIndexBits
}

// handle gives the module an event and carries its actions out. None of them is answered before all are carried out,
// so this is never entered twice.
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

// callOf is the call that a module means; -1 if there is none any more.
func (f *fleet) callByRequest(t int32, request uint32) int32 {
	id := int32(request & (maxOpenCalls - 1))
	if int(id) >= len(f.calls) || f.requestID(id) != request || f.calls[id].tier != t {
		return -1
	}
	return id
}

// send starts an attempt.
func (f *fleet) sendAttempt(t int32, action *forkline.Action) {
	id := f.callByRequest(t, action.Request)
	if id < 0 || f.calls[id].ended {
		return
	}
	tr, c := &f.tiers[t], &f.calls[id]
	p, s := &f.sidecars[tr.sidecar], &f.services[tr.service]
	target, current := f.findEndpoint(action.Server)
	e := &f.endpoints[target]
	pool := &tr.conns[target-s.firstEndpoint]
	f.checkDrain(tr, p, e, pool, action.Server)

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
	delay := f.net.delay(p.location, e.location, &p.randSource)
	if newConnection {
		delay *= 1 + handshakeDelays
	} else {
		pool.idleConns--
	}
	f.countAttempt(s, newConnection)
	f.schedule(a.deadline, evAttemptTimeout, n, a.gen, 0)
	lastByteBy := int64(action.LastByteBy * 1e6)
	switch {
	case lastByteBy > 0 && newConnection && f.now+handshakeDelays*delay/(1+handshakeDelays) > lastByteBy: // its connection is up too late
		f.scheduleOutcome(n, forkline.NotSent, max(lastByteBy, f.now))
	case !current || !e.up && !e.vanished: // its machine is there and refuses
		f.scheduleOutcome(n, forkline.ConnectFailed, f.now+2*delay/(1+handshakeDelays))
	case !e.up || !f.net.reaches(p.region, e.region): // nothing answers
		if newConnection {
			f.scheduleOutcome(n, forkline.ConnectFailed, min(f.now+toNanos(dialTimeout), a.deadline))
		}
	default:
		a.inTransit = true
		f.schedule(f.now+delay, evAttemptArrives, n, a.gen, 0)
	}
}

// checkDrain counts a send to an endpoint that drains or is gone, past the grace since its sidecar was told. What
// discovery knows counts as told some seconds after it could be reached, whether or not it came.
func (f *fleet) checkDrain(tr *tier, p *sidecar, e *endpoint, pool *connPool, server uint32) {
	notified, known := pool.notifiedAt, int64(0)
	switch uint32(e.gen) - server/uint32(len(f.endpoints)) {
	case 0:
		known = e.drainKnownAt
	case 1:
		known, notified = e.predecessorKnownAt, 0 // what it was told later is of the successor
	}
	if known > 0 {
		deemed := max(known, f.discovery.reachableSince, f.splitEndedAt[p.region], tr.startedAt) + toNanos(deemedNotifiedAfter)
		if notified == 0 || deemed < notified {
			notified = deemed
		}
	}
	reachable := f.discovery.responds() && f.discovery.refusingFaults == 0 && f.net.splits[p.region] == 0
	if notified > 0 && (reachable || notified == pool.notifiedAt) && f.now > notified+int64(f.exp.Sidecar.DrainGrace)+toNanos(answerSlack) {
		f.violations.DrainingSends++
	}
}

// answer sends an outcome to the sidecar that waits for it.
func (f *fleet) sendOutcome(id int32, o forkline.Outcome, from location) {
	a := &f.attempts[id]
	p := &f.sidecars[f.tiers[a.tier].sidecar]
	if !a.open || !f.net.reaches(from.region, p.region) {
		f.releaseAttempt(id)
		return
	}
	f.scheduleOutcome(id, o, f.now+f.net.delay(from, p.location, &p.randSource))
}

func (f *fleet) scheduleOutcome(id int32, o forkline.Outcome, at int64) {
	a := &f.attempts[id]
	a.answerInTransit = true
	f.schedule(at, evOutcomeArrives, id, a.gen, uint64(o))
}

// answered is an outcome's arrival.
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

// closeAttempt tells the module how an attempt ended.
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

// expire gives an attempt up at its time.
func (f *fleet) attemptTimeout(ev *event) {
	if a := f.attemptOf(ev); a != nil && a.open {
		f.notifyCancel(ev.id)
		f.closeAttempt(ev.id, forkline.Timeout)
	}
}

// callOff ends an attempt whose call does not wait for it any more; the module hears of that a moment later.
func (f *fleet) cancelAttempt(id int32) {
	a := &f.attempts[id]
	if a.open {
		f.notifyCancel(id)
		f.scheduleOutcome(id, forkline.Cancelled, f.now)
	}
}

// tellStop closes the attempt's connection, which its endpoint hears of.
func (f *fleet) notifyCancel(id int32) {
	a := &f.attempts[id]
	target, _ := f.findEndpoint(a.server)
	e, p := &f.endpoints[target], &f.sidecars[f.tiers[a.tier].sidecar]
	if (a.inTransit || a.holdsSlot) && f.net.reaches(p.region, e.region) {
		f.schedule(f.now+f.net.delay(p.location, e.location, &p.randSource), evCancelArrives, id, a.gen, 0)
	}
}

// finishOnce gives a call the final answer that the module has made.
func (f *fleet) finishOnce(id int32, s status) {
	if id < 0 || f.calls[id].ended {
		f.violations.DuplicateAnswers++
		return
	}
	f.finishCall(id, s)
}

// finish gives a call its final answer.
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

// releaseCall forgets a call once nothing more can be heard of it.
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

// reuse makes the calls free that were forgotten during an event: until its end their ids are still in use.
func (f *fleet) recycleCalls() {
	for _, id := range f.releasedCalls {
		f.calls[id].gen++
		f.freeCalls = append(f.freeCalls, id)
	}
	f.releasedCalls = f.releasedCalls[:0]
}

// backstop answers what the module has left unanswered.
func (f *fleet) backstopDue(ev *event) {
	c := &f.calls[ev.id]
	if c.gen != ev.gen || c.ended {
		return
	}
	f.violations.Backstops++
	f.abandonCall(ev.id)
}

// gone hears that the endpoint that made a call does not wait for it any more.
func (f *fleet) callerGone(id int32) {
	if c := &f.calls[id]; !c.ended {
		f.abandonCall(id)
	}
}

// leaveCall ends a call from outside the module: with a refusal only if nothing of it can have run.
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

// startProcess starts the modules of a process anew, with the lists that they had before.
func (f *fleet) startSidecar(id int32) {
	p := &f.sidecars[id]
	p.up = true
	p.startCount++
	p.margin = deadline.Margin{}
	for t := p.firstTier; t < p.endTier; t++ {
		tr := &f.tiers[t]
		s := &f.services[tr.service]
		seed := newRandSource(f.exp.Seed, actorModule, int(t)<<12|int(p.startCount&0xfff))
		b, err := forkline.New(f.moduleSettings(s, p.endpoint < 0, int(tr.rank), p.location), seed.Uint64(), toMillis(f.now))
		if err != nil {
			f.err = err // the settings are the same for all, so this is seen at the start
			return
		}
		tr.balancer = b
		f.startWatch(t)
	}
}

// endProcess ends the modules of a process; what they had taken and not answered is lost with them.
func (f *fleet) stopSidecar(id int32) {
	p := &f.sidecars[id]
	if !p.up {
		return
	}
	p.up, p.downAt = false, f.now
	vanished := p.endpoint < 0 || f.endpoints[p.endpoint].vanished // only faults end one at the front
	for t := p.firstTier; t < p.endTier; t++ {
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
