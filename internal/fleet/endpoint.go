package fleet

import (
	"math"
	"slices"

	"forkline"
)

// endpoint is one server of a service. It divides its cores evenly among the requests in progress (processor sharing). A
// request that waits for an inner call holds a slot and no core. A request first does its work and then makes its inner
// calls one after another. Requests that are not simulated take their mean share of the cores.
type endpoint struct {
	location
	randSource
	service            int32
	sidecar            int32 // its sidecar; -1 if it makes no calls
	gen                uint16
	up                 bool
	vanished           bool // its machine is gone: it resets no connections
	crashed            bool // it crashed while cold, and stays down
	draining           bool
	downFaults         int   // number of active faults that keep it down
	startedAt          int64 // -1 if before the run
	drainStart         int64
	drainKnownAt       int64 // when discovery learned that it drains or is removed; 0 if it has not
	predecessorKnownAt int64 // the same of its predecessor
	workHeap           []workItem
	slots              []int32 // attempts that hold a slot
	progress           float64 // seconds of work done for each request in progress since the heap was last empty
	speed              float64 // seconds of work per second for each request
	progressAt         int64   // time of the last update of progress
	wakeAt             int64   // time of the pending evWorkDone; 0 if there is none
	recentCalls        []int64 // arrival times of recent calls while it is cold
}

// workItem is the work of an attempt; it is done when the endpoint's progress reaches endProgress.
type workItem struct {
	endProgress float64
	attempt     int32
}

// capacityShare returns the share of its capacity that an endpoint has now; it is below 1 while the endpoint is cold.
func (f *fleet) capacityShare(e *endpoint) float64 {
	cfg := &f.exp.Sidecar
	if e.startedAt < 0 || cfg.RampTime <= 0 {
		return 1
	}
	age := float64(f.now-e.startedAt) / float64(cfg.RampTime)
	return min(1, cfg.ColdCapacity+(1-cfg.ColdCapacity)*max(age, 0))
}

// backgroundCores returns the mean number of cores that the requests take that are not simulated.
func (f *fleet) backgroundCores(e *endpoint) float64 {
	s := &f.services[e.service]
	if s.simulatedShare >= 1 {
		return 0
	}
	return s.startRate.value(f.now) * (1/s.simulatedShare - 1) * seconds(s.MeanWork) / float64(max(s.endpointsUp, 1))
}

// advanceWork updates the progress of the requests in progress to the current time.
func (f *fleet) advanceWork(e *endpoint) {
	if len(e.workHeap) > 0 {
		e.progress += e.speed * float64(f.now-e.progressAt) / 1e9
	} else {
		e.progress = 0
	}
	e.progressAt = f.now
}

// rescheduleWork recomputes the speed and schedules the end of the next request's work.
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

// workDone continues the requests whose work is done.
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

// removeWork removes an attempt before its work is done.
func (e *endpoint) removeWork(attempt int32) {
	rest := slices.DeleteFunc(e.workHeap, func(w workItem) bool { return w.attempt == attempt })
	e.workHeap = e.workHeap[:0]
	for _, w := range rest { // rebuilds the heap in place: elements are read before they are overwritten
		e.pushWork(w)
	}
}

// attemptArrives handles the arrival of an attempt at its endpoint.
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

// crashesCold counts a call to a cold endpoint and reports whether the endpoint crashes, after which it stays down. It
// crashes if more than N + 2*sqrt(N) + 2 calls arrive within the overload window, where N is the number of calls that the
// overload multiple allows at the endpoint's current capacity.
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

// continueRequest makes the next inner call of a request, or answers it.
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
	sc := &f.sidecars[e.sidecar]
	t := sc.firstTier + int32(s.calls[a.nextCallee-1].tier)
	class := uint16(0)
	if c := &f.calls[a.call]; c.gen == a.callGen {
		class = c.class
	}
	f.startCall(t, class, a.deadline, id)
}

// innerCallEnds handles the end of a request's inner call.
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

// releaseSlot frees an attempt's slot and its share of the cores.
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

// cancelArrives handles the arrival of a cancellation at the endpoint, which stops processing the attempt.
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

// takeDown ends an endpoint and its sidecar. A process that ends resets its connections; a machine that vanishes does not.
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

// bringUp starts an endpoint, which is cold, and its sidecar.
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
