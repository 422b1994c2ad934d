package fleet

import (
	"time"

	"forkline"
	"forkline/internal/deadline"
)

// What the network code of a real sidecar adds to the module; internal/sidecar names the same figures.
const (
	answerSlack = 50 * time.Millisecond
	backstop    = 10 * time.Millisecond // after that, or half of the margin, the sidecar answers for the module
	dialTime    = 250 * time.Millisecond
	idlePart    = 0.8 // of the idle limit, after which a connection is not used again
	handshake   = 2   // more one-way delays that the first request on a connection waits
	deemedTold  = 6 * time.Second
	timerSlack  = int64(time.Microsecond) // timers come this much late: one that is early by rounding would be set again for ever
)

// process is a hollow sidecar: a module for each service it balances for, and no sockets. One at the front has one
// module; one beside an endpoint has one for each service that the endpoint calls.
type process struct {
	place
	source
	endpoint         int32 // beside which it runs; -1 = at the front
	tierFrom, tierTo int32 // its modules
	starts           int32
	up               bool
	down             int   // faults that hold it down; of a front sidecar
	downAt           int64 // when it went
	margin           deadline.Margin
}

// conn is what a sidecar holds of one endpoint: idle connections, and when it was told that the endpoint drains.
type conn struct {
	lastUsed int64
	toldAt   int64 // 0 = it is to be used, as far as told
	idle     uint16
	gen      uint16
}

// tier is one module of a process, with its watch on the list of the service that it balances for.
type tier struct {
	process, service int32
	rank             int32
	gen              uint16
	balancer         *forkline.Balancer
	conns            []conn
	open             []int32 // calls
	watch
}

// call is one request at one sidecar, from a client or from the endpoint beside it.
type call struct {
	tier     int32
	parent   int32 // the attempt that made it; -1 = a client
	place    int32 // in the list of its tier
	gen      uint16
	parGen   uint16
	class    uint16
	open     int16 // attempts out
	ran      uint8
	ended    bool
	measured bool
	arrived  int64
	due      int64 // its client gives up
	endBy    int64 // the sidecar has answered
	wait     int64 // time in which no attempt of it, or of the calls it led to, was out
	idleFrom int64
	attempts []int32 // by their number
}

// attempt is one send of a call, and its request at the endpoint.
type attempt struct {
	call, tier, endpoint int32
	server               uint32
	gen, callGen         uint16
	number               uint16
	step                 int16 // calls of the endpoint: the next kind
	left                 int32 // and how many of the present kind
	child                int32 // the call it waits for; -1 = none
	place                int32 // among those that hold a slot
	open                 bool  // its sidecar waits for it
	flying               bool  // on the way to the endpoint
	working              bool  // it holds a slot there
	inWork               bool
	answering            bool // the answer is on its way
	stopped              bool
	free                 bool
	sentAt, until        int64
	wait                 int64 // of the calls it made
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
	callBits = 22
	mostOpen = 1 << callBits
	callGens = 1 << (32 - callBits)

	leastFree = 1024
)

func (f *fleet) newCall() int32 {
	if len(f.freeCalls) > leastFree { // the one that has been free for longest
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
	if !a.open && !a.flying && !a.working && !a.answering && !a.free {
		a.free = true
		f.freeAttempts = append(f.freeAttempts, id)
	}
}

// take begins a call at a sidecar. Its client waits until the given time.
func (f *fleet) take(t int32, class uint16, until int64, parent int32) {
	tr := &f.tiers[t]
	margin := &f.processes[tr.process].margin
	held := int64(margin.Reserve(ms(until-f.now), ms(f.now)) * 1e6)
	margin.Observe(deadline.Intake, ms(f.now), 0) // a hollow sidecar waits for no core
	id := f.newCall()
	c := &f.calls[id]
	*c = call{
		tier: t, parent: parent, gen: c.gen, class: class, arrived: f.now, due: until, idleFrom: f.now,
		endBy: until - held, attempts: c.attempts[:0],
		place: int32(len(tr.open)), measured: f.measured(f.now),
	}
	tr.open = append(tr.open, id)
	if parent >= 0 {
		c.parGen = f.attempts[parent].gen
		f.attempts[parent].child = id
	}
	f.asked(c)
	f.at(c.endBy+min(ns(backstop), held/2), evBackstop, id, c.gen, 0)
	f.event = forkline.Event{
		Kind: forkline.EvRequest, Request: f.requestID(id), Class: class, Deadline: ms(c.endBy), Key: uint64(id),
	}
	f.handle(t, &f.event)
}

func (f *fleet) requestID(c int32) uint32 {
	return uint32(c) | uint32(f.calls[c].gen%callGens)<<callBits
}

// handle gives the module an event and carries its actions out. None of them is answered before all are carried out,
// so this is never entered twice.
func (f *fleet) handle(t int32, ev *forkline.Event) {
	tr := &f.tiers[t]
	f.meter.begin(ev.Kind == forkline.EvList)
	f.actions = tr.balancer.Handle(ms(f.now), ev, f.actions[:0])
	f.meter.end(ev.Kind == forkline.EvList)
	for i := range f.actions {
		a := &f.actions[i]
		switch a.Kind {
		case forkline.ActSend:
			f.send(t, a)
		case forkline.ActRefuse:
			f.finishOnce(f.callOf(t, a.Request), refused)
		case forkline.ActFail:
			f.finishOnce(f.callOf(t, a.Request), failed)
		case forkline.ActCancel:
			if c := f.callOf(t, a.Request); c >= 0 && int(a.Attempt) < len(f.calls[c].attempts) {
				f.callOff(f.calls[c].attempts[a.Attempt])
			}
		case forkline.ActTimer:
			f.at(f.now+int64(a.Delay*1e6)+timerSlack, evTimer, t, tr.gen, a.Token)
		case forkline.ActWatchList:
			f.ask(t)
		case forkline.ActCloseIdle:
			e, _ := f.find(a.Server)
			tr.conns[e-f.services[tr.service].first].idle = 0
		}
	}
}

// callOf is the call that a module means; -1 if there is none any more.
func (f *fleet) callOf(t int32, request uint32) int32 {
	id := int32(request & (mostOpen - 1))
	if int(id) >= len(f.calls) || f.requestID(id) != request || f.calls[id].tier != t {
		return -1
	}
	return id
}

// send starts an attempt.
func (f *fleet) send(t int32, action *forkline.Action) {
	id := f.callOf(t, action.Request)
	if id < 0 || f.calls[id].ended {
		return
	}
	tr, c := &f.tiers[t], &f.calls[id]
	p, s := &f.processes[tr.process], &f.services[tr.service]
	target, current := f.find(action.Server)
	e := &f.endpoints[target]
	k := &tr.conns[target-s.first]
	f.checkDrain(tr, p, e, k, action.Server)

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
		child: -1, open: true, sentAt: f.now, until: int64(action.Deadline * 1e6),
	}
	c.attempts = append(c.attempts, n)
	c.open++
	c.wait += f.now - c.idleFrom

	generation := uint16(action.Server / uint32(len(f.endpoints)))
	idle := int64(idlePart * float64(f.exp.Sidecar.IdleTimeout))
	if k.gen != generation || idle > 0 && f.now-k.lastUsed > idle {
		k.gen, k.idle = generation, 0
	}
	fresh := k.idle == 0
	delay := f.net.delay(p.place, e.place, &p.source)
	if fresh {
		delay *= 1 + handshake
	} else {
		k.idle--
	}
	f.sent(s, fresh)
	f.at(a.until, evExpire, n, a.gen, 0)
	whole := int64(action.LastByteBy * 1e6)
	switch {
	case whole > 0 && fresh && f.now+handshake*delay/(1+handshake) > whole: // its connection is up too late
		f.answerAt(n, forkline.NotSent, max(whole, f.now))
	case !current || !e.up && !e.silent: // its machine is there and refuses
		f.answerAt(n, forkline.ConnectFailed, f.now+2*delay/(1+handshake))
	case !e.up || !f.net.reaches(p.region, e.region): // nothing answers
		if fresh {
			f.answerAt(n, forkline.ConnectFailed, min(f.now+ns(dialTime), a.until))
		}
	default:
		a.flying = true
		f.at(f.now+delay, evReach, n, a.gen, 0)
	}
}

// checkDrain counts a send to an endpoint that drains or is gone, past the grace since its sidecar was told. What
// discovery knows counts as told some seconds after it could be reached, whether or not it came.
func (f *fleet) checkDrain(tr *tier, p *process, e *endpoint, k *conn, server uint32) {
	told, known := k.toldAt, int64(0)
	switch uint32(e.gen) - server/uint32(len(f.endpoints)) {
	case 0:
		known = e.knownAt
	case 1:
		known, told = e.oldKnown, 0 // what it was told later is of the successor
	}
	if known > 0 {
		deemed := max(known, f.disco.reachedFrom, f.splitUntil[p.region], tr.started) + ns(deemedTold)
		if told == 0 || deemed < told {
			told = deemed
		}
	}
	reached := f.disco.speaks() && f.disco.refusing == 0 && f.net.split[p.region] == 0
	if told > 0 && (reached || told == k.toldAt) && f.now > told+int64(f.exp.Sidecar.DrainGrace)+ns(answerSlack) {
		f.rules.DrainingSends++
	}
}

// answer sends an outcome to the sidecar that waits for it.
func (f *fleet) answer(id int32, o forkline.Outcome, from place) {
	a := &f.attempts[id]
	p := &f.processes[f.tiers[a.tier].process]
	if !a.open || !f.net.reaches(from.region, p.region) {
		f.releaseAttempt(id)
		return
	}
	f.answerAt(id, o, f.now+f.net.delay(from, p.place, &p.source))
}

func (f *fleet) answerAt(id int32, o forkline.Outcome, at int64) {
	a := &f.attempts[id]
	a.answering = true
	f.at(at, evAnswer, id, a.gen, uint64(o))
}

// answered is an outcome's arrival.
func (f *fleet) answered(ev *event) {
	a := f.attemptOf(ev)
	if a == nil {
		return
	}
	a.answering = false
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
	target, _ := f.find(a.server)
	k := &tr.conns[target-f.services[tr.service].first]
	if o == forkline.OK || o == forkline.Error || o == forkline.Rejected {
		k.lastUsed = f.now
		k.idle++
	}
	c.open--
	c.idleFrom = f.now
	if o == forkline.OK && !c.ended {
		c.wait += a.wait
		f.finish(a.call, served)
	}
	f.event = forkline.Event{
		Kind: forkline.EvOutcome, Request: f.requestID(a.call), Attempt: a.number, Server: a.server, Outcome: o,
		Elapsed: ms(f.now - a.sentAt), RequestDone: c.ended,
	}
	t, owner := a.tier, a.call
	f.releaseAttempt(id)
	f.handle(t, &f.event)
	f.releaseCall(owner)
}

// expire gives an attempt up at its time.
func (f *fleet) expire(ev *event) {
	if a := f.attemptOf(ev); a != nil && a.open {
		f.tellStop(ev.id)
		f.closeAttempt(ev.id, forkline.Timeout)
	}
}

// callOff ends an attempt whose call does not wait for it any more; the module hears of that a moment later.
func (f *fleet) callOff(id int32) {
	a := &f.attempts[id]
	if a.open {
		f.tellStop(id)
		f.answerAt(id, forkline.Cancelled, f.now)
	}
}

// tellStop closes the attempt's connection, which its endpoint hears of.
func (f *fleet) tellStop(id int32) {
	a := &f.attempts[id]
	target, _ := f.find(a.server)
	e, p := &f.endpoints[target], &f.processes[f.tiers[a.tier].process]
	if (a.flying || a.working) && f.net.reaches(p.region, e.region) {
		f.at(f.now+f.net.delay(p.place, e.place, &p.source), evStop, id, a.gen, 0)
	}
}

// finishOnce gives a call the final answer that the module has made.
func (f *fleet) finishOnce(id int32, s status) {
	if id < 0 || f.calls[id].ended {
		f.rules.DuplicateAnswers++
		return
	}
	f.finish(id, s)
}

// finish gives a call its final answer.
func (f *fleet) finish(id int32, s status) {
	c := &f.calls[id]
	c.ended = true
	if c.open == 0 && s != served {
		c.wait += f.now - c.idleFrom
	}
	f.ended(c, s)
	f.processes[f.tiers[c.tier].process].margin.Observe(deadline.Response, ms(f.now), 0)
	if c.parent >= 0 {
		if a := &f.attempts[c.parent]; a.gen == c.parGen && a.child == id {
			a.wait += c.wait
			a.child = -1
			f.at(f.now, evStep, c.parent, c.parGen, uint64(s))
		}
	}
	f.releaseCall(id)
}

// releaseCall forgets a call once nothing more can be heard of it.
func (f *fleet) releaseCall(id int32) {
	c := &f.calls[id]
	if !c.ended || c.open > 0 || c.place < 0 {
		return
	}
	tr := &f.tiers[c.tier]
	last := len(tr.open) - 1
	tr.open[c.place] = tr.open[last]
	f.calls[tr.open[c.place]].place = c.place
	tr.open = tr.open[:last]
	f.dropped = append(f.dropped, id)
	c.place = -1
}

// reuse makes the calls free that were forgotten during an event: until its end their ids are still in use.
func (f *fleet) reuse() {
	for _, id := range f.dropped {
		f.calls[id].gen++
		f.freeCalls = append(f.freeCalls, id)
	}
	f.dropped = f.dropped[:0]
}

// backstop answers what the module has left unanswered.
func (f *fleet) backstop(ev *event) {
	c := &f.calls[ev.id]
	if c.gen != ev.gen || c.ended {
		return
	}
	f.rules.Backstops++
	f.leaveCall(ev.id)
}

// gone hears that the endpoint that made a call does not wait for it any more.
func (f *fleet) gone(id int32) {
	if c := &f.calls[id]; !c.ended {
		f.leaveCall(id)
	}
}

// leaveCall ends a call from outside the module: with a refusal only if nothing of it can have run.
func (f *fleet) leaveCall(id int32) {
	c := &f.calls[id]
	for _, a := range c.attempts {
		if at := &f.attempts[a]; at.call == id && at.callGen == c.gen {
			f.callOff(a)
		}
	}
	s := failed
	if c.ran == 0 && c.open == 0 {
		s = refused
	}
	t := c.tier
	f.event = forkline.Event{Kind: forkline.EvClientGone, Request: f.requestID(id)}
	f.finish(id, s)
	f.handle(t, &f.event)
}

// startProcess starts the modules of a process anew, with the lists that they had before.
func (f *fleet) startProcess(id int32) {
	p := &f.processes[id]
	p.up = true
	p.starts++
	p.margin = deadline.Margin{}
	for t := p.tierFrom; t < p.tierTo; t++ {
		tr := &f.tiers[t]
		s := &f.services[tr.service]
		seed := newSource(f.exp.Seed, actorModule, int(t)<<12|int(p.starts&0xfff))
		b, err := forkline.New(f.settings(s, p.endpoint < 0, int(tr.rank), p.place), seed.Uint64(), ms(f.now))
		if err != nil {
			f.err = err // the settings are the same for all, so this is seen at the start
			return
		}
		tr.balancer = b
		f.startWatch(t)
	}
}

// endProcess ends the modules of a process; what they had taken and not answered is lost with them.
func (f *fleet) endProcess(id int32) {
	p := &f.processes[id]
	if !p.up {
		return
	}
	p.up, p.downAt = false, f.now
	silent := p.endpoint < 0 || f.endpoints[p.endpoint].silent // only faults end one at the front
	for t := p.tierFrom; t < p.tierTo; t++ {
		tr := &f.tiers[t]
		for len(tr.open) > 0 {
			c := &f.calls[tr.open[0]]
			for _, a := range c.attempts {
				if at := &f.attempts[a]; at.call == tr.open[0] && at.callGen == c.gen && at.open {
					if !silent {
						f.tellStop(a)
					}
					at.open = false
					f.releaseAttempt(a)
				}
			}
			c.open = 0
			if c.ended {
				f.releaseCall(tr.open[0])
			} else {
				f.finish(tr.open[0], failed)
			}
		}
		f.endWatch(t)
		tr.gen++
		tr.balancer = nil
		clear(tr.conns)
	}
}
