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
	place
	source
	service  int32
	process  int32 // of its sidecar; -1 if it calls nobody
	gen      uint16
	up       bool
	silent   bool // it is down and says nothing: its machine has vanished
	fallen   bool
	draining bool
	down     int   // faults that hold it down
	started  int64 // -1 = before the run
	drainAt  int64
	knownAt  int64 // when discovery knew that it drains, or is gone; 0 = it does not
	oldKnown int64 // and that its predecessor did
	work     []work
	held     []int32 // attempts that hold a slot
	progress float64 // seconds of work that each has been given
	speed    float64 // seconds of work a second, for each
	at       int64   // of progress
	wakeAt   int64   // of the pending evWork; 0 = none
	window   []int64 // when calls came, while it is cold
}

// work is what an attempt still needs, as the endpoint's progress at its end.
type work struct {
	end     float64
	attempt int32
}

// coldShare is the part of its capacity that an endpoint has now.
func (f *fleet) coldShare(e *endpoint) float64 {
	side := &f.exp.Sidecar
	if e.started < 0 || side.RampTime <= 0 {
		return 1
	}
	age := float64(f.now-e.started) / float64(side.RampTime)
	return min(1, side.ColdCapacity+(1-side.ColdCapacity)*max(age, 0))
}

// busy is the cores that requests take which are not played.
func (f *fleet) busy(e *endpoint) float64 {
	s := &f.services[e.service]
	if s.share >= 1 {
		return 0
	}
	return s.started.value(f.now) * (1/s.share - 1) * seconds(s.MeanWork) / float64(max(s.up, 1))
}

// advance gives the requests in work what they got since the last time.
func (f *fleet) advance(e *endpoint) {
	if len(e.work) > 0 {
		e.progress += e.speed * float64(f.now-e.at) / 1e9
	} else {
		e.progress = 0
	}
	e.at = f.now
}

// resume sets the speed anew, for now, and when the next request is done.
func (f *fleet) resume(id int32, e *endpoint) {
	if len(e.work) == 0 {
		return
	}
	s := &f.services[e.service]
	cores := s.Cores * f.coldShare(e)
	free := max(cores-f.busy(e), cores*s.share)
	e.speed = min(1, free/float64(len(e.work)))
	left := max(e.work[0].end-e.progress, 0)
	at := f.now + int64(math.Ceil(left/e.speed*1e9))
	if e.wakeAt == 0 || at < e.wakeAt {
		e.wakeAt = at
		f.at(at, evWork, id, e.gen, uint64(at))
	}
}

// worked ends the work on the requests whose time has come.
func (f *fleet) worked(ev *event) {
	e := &f.endpoints[ev.id]
	if e.gen != ev.gen || uint64(e.wakeAt) != ev.arg {
		return
	}
	e.wakeAt = 0
	f.advance(e)
	for len(e.work) > 0 && e.work[0].end <= e.progress+1e-9 {
		a := e.popWork()
		f.attempts[a].inWork = false
		f.proceed(a)
	}
	f.resume(ev.id, e)
}

func (e *endpoint) pushWork(w work) {
	e.work = append(e.work, w)
	for i := len(e.work) - 1; i > 0; {
		up := (i - 1) / 2
		if e.work[up].end <= e.work[i].end {
			return
		}
		e.work[i], e.work[up] = e.work[up], e.work[i]
		i = up
	}
}

func (e *endpoint) popWork() int32 {
	first, last := e.work[0].attempt, len(e.work)-1
	e.work[0] = e.work[last]
	e.work = e.work[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if e.work[c].end < e.work[least].end {
				least = c
			}
		}
		if least == i {
			return first
		}
		e.work[i], e.work[least] = e.work[least], e.work[i]
		i = least
	}
}

// dropWork takes an attempt out before its work is done.
func (e *endpoint) dropWork(attempt int32) {
	rest := slices.DeleteFunc(e.work, func(w work) bool { return w.attempt == attempt })
	e.work = e.work[:0]
	for _, w := range rest { // the heap is made anew in place: what is read lies ahead of what is written
		e.pushWork(w)
	}
}

// reach is an attempt's coming to its endpoint.
func (f *fleet) reach(ev *event) {
	a := f.attemptOf(ev)
	if a == nil {
		return
	}
	a.flying = false
	id, current := f.find(a.server)
	e := &f.endpoints[id]
	switch {
	case a.stopped:
		f.releaseAttempt(ev.id)
		return
	case !current || !e.up:
		if !current || !e.silent {
			f.answer(ev.id, forkline.ConnectFailed, e.place)
		} else {
			f.releaseAttempt(ev.id)
		}
		return
	}
	if f.falls(id, e) {
		f.answer(ev.id, forkline.Reset, e.place)
		return
	}
	s := &f.services[e.service]
	full := float64(len(e.held))+f.busy(e) >= float64(s.Slots)
	drained := e.draining && f.now > e.drainAt+int64(f.exp.Sidecar.DrainGrace)
	if full || drained || f.now >= a.until {
		f.answer(ev.id, forkline.Rejected, e.place)
		return
	}
	if c := &f.calls[a.call]; c.gen == a.callGen {
		if c.ran++; c.ran > 1 && f.classes[c.class].Effect == forkline.Unsafe {
			f.rules.UnsafeRepeats++
		}
	}
	s.started.add(f.now)
	a.working, a.inWork, a.endpoint, a.place = true, true, id, int32(len(e.held))
	e.held = append(e.held, ev.id)
	f.advance(e)
	e.pushWork(work{e.progress + e.exp()*seconds(s.MeanWork), ev.id})
	f.resume(id, e)
}

// falls counts a call to a cold endpoint. It falls, and stays down, when more than N + 2 root N + 2 come in the time
// that the settings name, N being what they allow at its present capacity.
func (f *fleet) falls(id int32, e *endpoint) bool {
	side := &f.exp.Sidecar
	share := f.coldShare(e)
	if share >= 1 || side.OverloadMultiple <= 0 || side.OverloadWindow <= 0 {
		e.window = nil
		return false
	}
	from := f.now - int64(side.OverloadWindow)
	gone := 0
	for gone < len(e.window) && e.window[gone] < from {
		gone++
	}
	e.window = append(e.window[:0], e.window[gone:]...)
	e.window = append(e.window, f.now)
	s := &f.services[e.service]
	n := side.OverloadMultiple * share * s.Cores / seconds(s.MeanWork) * seconds(side.OverloadWindow) * s.share
	ratio := float64(len(e.window)) / (n + 2*math.Sqrt(n) + 2)
	s.worstCold = max(s.worstCold, ratio)
	if ratio > 1 {
		s.falls++
		e.fallen = true
		f.goDown(id, false)
		f.note(id, forkline.Removed)
	}
	return ratio > 1
}

// proceed makes the next call for a request, or answers it.
func (f *fleet) proceed(id int32) {
	a := &f.attempts[id]
	e := &f.endpoints[a.endpoint]
	s := &f.services[e.service]
	for a.left == 0 {
		if int(a.step) == len(s.calls) {
			f.leave(id)
			f.answer(id, forkline.OK, e.place)
			return
		}
		spec := &s.calls[a.step]
		whole, part := math.Modf(spec.played)
		a.left = int32(whole)
		if e.float() < part {
			a.left++
		}
		a.step++
	}
	a.left--
	p := &f.processes[e.process]
	t := p.tierFrom + int32(s.calls[a.step-1].tier)
	class := uint16(0)
	if c := &f.calls[a.call]; c.gen == a.callGen {
		class = c.class
	}
	f.take(t, class, a.until, id)
}

// stepped hears how the call ended that a request had made.
func (f *fleet) stepped(ev *event) {
	a := f.attemptOf(ev)
	if a == nil || !a.working {
		return
	}
	if status(ev.arg) == served {
		f.proceed(ev.id)
		return
	}
	e := &f.endpoints[a.endpoint]
	f.leave(ev.id)
	f.answer(ev.id, forkline.Error, e.place)
}

// leave frees the slot of an attempt, and its part of the cores.
func (f *fleet) leave(id int32) {
	a := &f.attempts[id]
	e := &f.endpoints[a.endpoint]
	last := len(e.held) - 1
	e.held[a.place] = e.held[last]
	f.attempts[e.held[a.place]].place = a.place
	e.held = e.held[:last]
	if a.inWork {
		f.advance(e)
		e.dropWork(id)
		f.resume(a.endpoint, e)
	}
	a.working, a.inWork = false, false
}

// stopWork is an endpoint's hearing that nobody waits for an attempt any more: it does no more for it.
func (f *fleet) stopWork(ev *event) {
	a := f.attemptOf(ev)
	if a == nil {
		return
	}
	if a.flying {
		a.stopped = true
		return
	}
	if !a.working {
		return
	}
	child := a.child
	a.child = -1
	f.leave(ev.id)
	f.releaseAttempt(ev.id)
	if child >= 0 {
		f.gone(child)
	}
}

// goDown ends an endpoint and its sidecar. A machine that vanishes says nothing; a process that ends resets its
// connections.
func (f *fleet) goDown(id int32, silent bool) {
	e := &f.endpoints[id]
	if !e.up {
		e.silent = e.silent || silent
		return
	}
	f.services[e.service].up--
	e.up, e.silent, e.draining, e.window = false, silent, false, nil
	if e.process >= 0 {
		f.endProcess(e.process)
	}
	for _, a := range e.held {
		at := &f.attempts[a]
		at.working, at.inWork, at.child = false, false, -1
		if silent {
			f.releaseAttempt(a)
		} else {
			f.answer(a, forkline.Reset, e.place)
		}
	}
	e.held, e.work, e.progress, e.wakeAt = e.held[:0], e.work[:0], 0, 0
}

// comeUp starts an endpoint and its sidecar, cold.
func (f *fleet) comeUp(id int32) {
	e := &f.endpoints[id]
	if e.up || e.fallen || e.down > 0 {
		return
	}
	f.services[e.service].up++
	e.up, e.silent, e.started, e.at = true, false, f.now, f.now
	if e.process >= 0 {
		f.startProcess(e.process)
	}
	f.note(id, forkline.Ready)
}
