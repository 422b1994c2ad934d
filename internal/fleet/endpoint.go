package fleet

import (
	"math"
	"slices"

	"forkline"
)

// endpoint is one server of a service. It shares its cores evenly among the requests it works on, as processor sharing
// does; a request that waits for a call of its own holds a slot and no core. An endpoint does its own work first, then
// makes its calls one after another. Requests that are not played take their mean of the cores.
type endpoint struct {
	location
	randSource
	service            int32
	sidecar            int32 // of its sidecar; -1 if it calls nobody
	gen                uint16
	up                 bool
	vanished           bool // it is down and says nothing: its machine has vanished
	crashed            bool
	draining           bool
	downFaults         int   // faults that hold it down
	startedAt          int64 // -1 = before the run
	drainStart         int64
	drainKnownAt       int64 // when discovery knew that it drains, or is gone; 0 = it does not
	predecessorKnownAt int64 // and that its predecessor did
	workHeap           []workItem
	slots              []int32 // attempts that hold a slot
	progress           float64 // seconds of work that each has been given
	speed              float64 // seconds of work a second, for each
	progressAt         int64   // of progress
	wakeAt             int64   // of the pending evWork; 0 = none
	recentCalls        []int64 // when calls came, while it is cold
}

// work is what an attempt still needs, as the endpoint's progress at its end.
type workItem struct {
	endProgress float64
	attempt     int32
}

// coldShare is the part of its capacity that an endpoint has now.
func (f *fleet) capacityShare(e *endpoint) float64 {
	cfg := &f.exp.Sidecar
	if e.startedAt < 0 || cfg.RampTime <= 0 {
		return 1
	}
	age := float64(f.now-e.startedAt) / float64(cfg.RampTime)
	return min(1, cfg.ColdCapacity+(1-cfg.ColdCapacity)*max(age, 0))
}

// busy is the cores that requests take which are not played.
func (f *fleet) backgroundCores(e *endpoint) float64 {
	s := &f.services[e.service]
	if s.simulatedShare >= 1 {
		return 0
	}
	return s.startRate.value(f.now) * (1/s.simulatedShare - 1) * seconds(s.MeanWork) / float64(max(s.endpointsUp, 1))
}

// advance gives the requests in work what they got since the last time.
func (f *fleet) advanceWork(e *endpoint) {
	if len(e.workHeap) > 0 {
		e.progress += e.speed * float64(f.now-e.progressAt) / 1e9
	} else {
		e.progress = 0
	}
	e.progressAt = f.now
}

// resume sets the speed anew, for now, and when the next request is done.
func (f *fleet) rescheduleWork(id int32, e *endpoint) {
	if len(e.workHeap) == 0 {
		return
	}
	s := &f.services[e.service]
	cores := s.Cores * f.capacityShare(e)
	free := max(cores-f.backgroundCores(e), cores*s.simulatedShare)
	e.speed = min(1, free/float64(len(e.workHeap)))
	remaining := max(e.workHeap[0].endProgress-e.progress, 0)
	at := f.now + int64(math.Ceil(remaining/e.speed*1e9))
	if e.wakeAt == 0 || at < e.wakeAt {
		e.wakeAt = at
		f.schedule(at, evWorkDone, id, e.gen, uint64(at))
	}
}

// worked ends the work on the requests whose time has come.
func (f *fleet) workDone(ev *event) {
	e := &f.endpoints[ev.id]
	if e.gen != ev.gen || uint64(e.wakeAt) != ev.arg {
		return
	}
	e.wakeAt = 0
	f.advanceWork(e)
	for len(e.workHeap) > 0 && e.workHeap[0].endProgress <= e.progress+1e-9 {
		a := e.popWork()
		f.attempts[a].processing = false
		f.continueRequest(a)
	}
	f.rescheduleWork(ev.id, e)
}

func (e *endpoint) pushWork(w workItem) {
	e.workHeap = append(e.workHeap, w)
	for i := len(e.workHeap) - 1; i > 0; {
		parent := (i - 1) / 2
		if e.workHeap[parent].endProgress <= e.workHeap[i].endProgress {
			return
		}
		e.workHeap[i], e.workHeap[parent] = e.workHeap[parent], e.workHeap[i]
		i = parent
	}
}

func (e *endpoint) popWork() int32 {
	first, last := e.workHeap[0].attempt, len(e.workHeap)-1
	e.workHeap[0] = e.workHeap[last]
	e.workHeap = e.workHeap[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if e.workHeap[c].endProgress < e.workHeap[least].endProgress {
				least = c
			}
		}
		if least == i {
			return first
		}
		e.workHeap[i], e.workHeap[least] = e.workHeap[least], e.workHeap[i]
		i = least
	}
}

// dropWork takes an attempt out before its work is done.
func (e *endpoint) removeWork(attempt int32) {
	rest := slices.DeleteFunc(e.workHeap, func(w workItem) bool { return w.attempt == attempt })
	e.workHeap = e.workHeap[:0]
	for _, w := range rest { // the heap is made anew in place: what is read lies ahead of what is written
		e.pushWork(w)
	}
}

// reach is an attempt's coming to its endpoint.
func (f *fleet) attemptArrives(ev *event) {
	a := f.attemptOf(ev)
	if a == nil {
		return
	}
	a.inTransit = false
	id, current := f.findEndpoint(a.server)
	e := &f.endpoints[id]
	switch {
	case a.cancelled:
		f.releaseAttempt(ev.id)
		return
	case !current || !e.up:
		if !current || !e.vanished {
			f.sendOutcome(ev.id, forkline.ConnectFailed, e.location)
		} else {
			f.releaseAttempt(ev.id)
		}
		return
	}
	if f.crashesCold(id, e) {
		f.sendOutcome(ev.id, forkline.Reset, e.location)
		return
	}
	s := &f.services[e.service]
	full := float64(len(e.slots))+f.backgroundCores(e) >= float64(s.Slots)
	pastGrace := e.draining && f.now > e.drainStart+int64(f.exp.Sidecar.DrainGrace)
	if full || pastGrace || f.now >= a.deadline {
		f.sendOutcome(ev.id, forkline.Rejected, e.location)
		return
	}
	if c := &f.calls[a.call]; c.gen == a.callGen {
		if c.executions++; c.executions > 1 && f.classes[c.class].Effect == forkline.Unsafe {
			f.violations.UnsafeRepeats++
		}
	}
	s.startRate.add(f.now)
	a.holdsSlot, a.processing, a.endpoint, a.slot = true, true, id, int32(len(e.slots))
	e.slots = append(e.slots, ev.id)
	f.advanceWork(e)
	e.pushWork(workItem{e.progress + e.exp()*seconds(s.MeanWork), ev.id})
	f.rescheduleWork(id, e)
}

// falls counts a call to a cold endpoint. It falls, and stays down, when more than N + 2 root N + 2 come in the time
// that the settings name, N being what they allow at its present capacity.
func (f *fleet) crashesCold(id int32, e *endpoint) bool {
	cfg := &f.exp.Sidecar
	share := f.capacityShare(e)
	if share >= 1 || cfg.OverloadMultiple <= 0 || cfg.OverloadWindow <= 0 {
		e.recentCalls = nil
		return false
	}
	from := f.now - int64(cfg.OverloadWindow)
	expired := 0
	for expired < len(e.recentCalls) && e.recentCalls[expired] < from {
		expired++
	}
	e.recentCalls = append(e.recentCalls[:0], e.recentCalls[expired:]...)
	e.recentCalls = append(e.recentCalls, f.now)
	s := &f.services[e.service]
	n := cfg.OverloadMultiple * share * s.Cores / seconds(s.MeanWork) * seconds(cfg.OverloadWindow) * s.simulatedShare
	ratio := float64(len(e.recentCalls)) / (n + 2*math.Sqrt(n) + 2)
	s.worstColdRatio = max(s.worstColdRatio, ratio)
	if ratio > 1 {
		s.coldCrashes++
		e.crashed = true
		f.takeDown(id, false)
		f.reportState(id, forkline.Removed)
	}
	return ratio > 1
}

// proceed makes the next call for a request, or answers it.
func (f *fleet) continueRequest(id int32) {
	a := &f.attempts[id]
	e := &f.endpoints[a.endpoint]
	s := &f.services[e.service]
	for a.repeatsLeft == 0 {
		if int(a.nextCallee) == len(s.calls) {
			f.releaseSlot(id)
			f.sendOutcome(id, forkline.OK, e.location)
			return
		}
		spec := &s.calls[a.nextCallee]
		integer, fraction := math.Modf(spec.timesSimulated)
		a.repeatsLeft = int32(integer)
		if e.uniform() < fraction {
			a.repeatsLeft++
		}
		a.nextCallee++
	}
	a.repeatsLeft--
	p := &f.sidecars[e.sidecar]
	t := p.firstTier + int32(s.calls[a.nextCallee-1].tier)
	class := uint16(0)
	if c := &f.calls[a.call]; c.gen == a.callGen {
		class = c.class
	}
	f.startCall(t, class, a.deadline, id)
}

// stepped hears how the call ended that a request had made.
func (f *fleet) innerCallEnds(ev *event) {
	a := f.attemptOf(ev)
	if a == nil || !a.holdsSlot {
		return
	}
	if status(ev.arg) == served {
		f.continueRequest(ev.id)
		return
	}
	e := &f.endpoints[a.endpoint]
	f.releaseSlot(ev.id)
	f.sendOutcome(ev.id, forkline.Error, e.location)
}

// leave frees the slot of an attempt, and its part of the cores.
func (f *fleet) releaseSlot(id int32) {
	a := &f.attempts[id]
	e := &f.endpoints[a.endpoint]
	last := len(e.slots) - 1
	e.slots[a.slot] = e.slots[last]
	f.attempts[e.slots[a.slot]].slot = a.slot
	e.slots = e.slots[:last]
	if a.processing {
		f.advanceWork(e)
		e.removeWork(id)
		f.rescheduleWork(a.endpoint, e)
	}
	a.holdsSlot, a.processing = false, false
}

// stopWork is an endpoint's hearing that nobody waits for an attempt any more: it does no more for it.
func (f *fleet) cancelArrives(ev *event) {
	a := f.attemptOf(ev)
	if a == nil {
		return
	}
	if a.inTransit {
		a.cancelled = true
		return
	}
	if !a.holdsSlot {
		return
	}
	innerCall := a.innerCall
	a.innerCall = -1
	f.releaseSlot(ev.id)
	f.releaseAttempt(ev.id)
	if innerCall >= 0 {
		f.callerGone(innerCall)
	}
}

// goDown ends an endpoint and its sidecar. A machine that vanishes says nothing; a process that ends resets its
// connections.
func (f *fleet) takeDown(id int32, vanished bool) {
	e := &f.endpoints[id]
	if !e.up {
		e.vanished = e.vanished || vanished
		return
	}
	f.services[e.service].endpointsUp--
	e.up, e.vanished, e.draining, e.recentCalls = false, vanished, false, nil
	if e.sidecar >= 0 {
		f.stopSidecar(e.sidecar)
	}
	for _, a := range e.slots {
		at := &f.attempts[a]
		at.holdsSlot, at.processing, at.innerCall = false, false, -1
		if vanished {
			f.releaseAttempt(a)
		} else {
			f.sendOutcome(a, forkline.Reset, e.location)
		}
	}
	e.slots, e.workHeap, e.progress, e.wakeAt = e.slots[:0], e.workHeap[:0], 0, 0
}

// comeUp starts an endpoint and its sidecar, cold.
func (f *fleet) bringUp(id int32) {
	e := &f.endpoints[id]
	if e.up || e.crashed || e.downFaults > 0 {
		return
	}
	f.services[e.service].endpointsUp++
	e.up, e.vanished, e.startedAt, e.progressAt = true, false, f.now, f.now
	if e.sidecar >= 0 {
		f.startSidecar(e.sidecar)
	}
	f.reportState(id, forkline.Ready)
}
