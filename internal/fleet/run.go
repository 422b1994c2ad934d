// Package fleet plays an experiment on a hollow fleet: the project's own model of what it serves. Time is virtual, all
// random numbers come from the experiment's seed, and everything happens in one goroutine: the same experiment gives the
// same result, but for what the machine measured (real time, heap, the module's processor time).
//
// # What is real, and what stands in
//
// A hollow sidecar is the real decision module (package forkline), one instance for each service that it balances for,
// with the real discovery policy (internal/listwatch), which says when a call is made and a watch is dead. Each instance has a watch of its own, as
// discovery lists the endpoints of one service. The rest stands in:
//
//   - Endpoints share their cores evenly among their requests, whose work is exponential. They do it first and then make
//     their calls one after another through the sidecar beside them; an inner call is a call like any other. Cold ones
//     start with a part of their capacity, and fall if they get more than the settings allow.
//   - Clients call at random (Poisson), whether or not they are served, and do not come again.
//   - Discovery handles calls in turn, each for a time, and writes each change on its watches one after another. A new
//     process gets the whole list first, then changes. An instance in a region that is cut off stays as it was.
//   - The network delays messages by where they go, and loses some, which come later; what is sent into a split is lost.
//     A connection that is opened takes two more one-way delays. Beats take no time.
//
// Control traffic is played in full. A service may be thinned: of its calls only a share is played, the others take
// their mean of its endpoints' cores, so they wait in no queue. Its sidecars see fewer calls, and so learn later.
//
// # Unit of work, and memory
//
// The unit of work is one event. A call through one sidecar is about ten: it comes, it is sent, reaches its endpoint,
// is worked on, is answered, and the timers that guard it. BenchmarkFullSize (2,800 hollow sidecars, 98 services, 11
// zones, two services in full and the others at a twentieth, 70 s of virtual time with a lost zone, an outage of discovery
// and a restart wave) took 7.0 s of one core, 32 KB for each sidecar before the first call, and 141 MB of heap at most.
// A module holds some 800 bytes for each endpoint that it knows; Estimate counts with that.
package fleet

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"
	"unsafe"

	"forkline"
	"forkline/internal/deadline"
	"forkline/internal/experiment"
	"forkline/internal/listwatch"
)

const (
	lookEvery  = 4096        // events between looks at the real time
	stuckAfter = 1 << 24     // events at one instant: far more than calls that are open
	settleTime = time.Second // after the last call's time, in which the rest is answered
)

// fleet is one run.
type fleet struct {
	clock
	exp       *experiment.Experiment
	classes   []forkline.Class
	shares    float64 // sum of the classes'
	services  []service
	endpoints []endpoint
	processes []process
	tiers     []tier
	net       network
	racks     []int // by zone
	zoneFrom  []int // first zone of each region
	disco     discovery
	faults    []fault
	ends      []faultEnd

	splitUntil   []int64 // by region: when the last split ended
	calls        []call
	freeCalls    []int32
	dropped      []int32 // forgotten during this event
	attempts     []attempt
	freeAttempts []int32
	event        forkline.Event // handed to modules, used again
	actions      []forkline.Action
	watchActs    []listwatch.Action

	from, end, stop     int64 // measured time, and when the run ends
	total               callStats
	seconds             []experiment.Second
	control             control
	meter               meter
	rules               experiment.Violations
	heapMost, heapBuilt int64
	err                 error
}

// Run plays an experiment. It ends soon after ctx does, with ctx's error.
func Run(ctx context.Context, e *experiment.Experiment, progress experiment.Progress) (*experiment.Result, error) {
	began, before := time.Now(), heapLive()
	f, err := newFleet(e)
	if err != nil {
		return nil, err
	}
	f.heapMost = heap()
	f.heapBuilt = heapLive() - before
	if err := f.play(ctx, progress); err != nil {
		return nil, err
	}
	return f.result(began), nil
}

func newFleet(e *experiment.Experiment) (*fleet, error) {
	f := &fleet{exp: e, shares: sumShares(e.Classes)}
	var err error
	if f.classes, err = moduleClasses(e.Classes); err != nil {
		return nil, err
	}
	if f.services, err = plan(e); err != nil {
		return nil, err
	}
	if e.Duration <= 0 || e.Warmup < 0 {
		return nil, fmt.Errorf("%w: its duration is %v after %v", errShape, time.Duration(e.Duration),
			time.Duration(e.Warmup))
	}
	longest := time.Duration(0)
	for _, c := range e.Classes {
		longest = max(longest, time.Duration(c.Timeout))
	}
	f.from = int64(e.Warmup)
	f.end = f.from + int64(e.Duration)
	f.stop = f.end + ns(longest+settleTime)
	f.seconds = make([]experiment.Second, (int64(e.Duration)+1e9-1)/1e9)
	for i := range f.seconds {
		f.seconds[i].At = float64(i)
	}
	f.splitUntil = make([]int64, len(e.Regions))
	f.total.init()
	f.control.init()
	if err := f.build(); err != nil {
		return nil, err
	}
	if err := f.buildFaults(); err != nil {
		return nil, err
	}
	for i := range f.processes {
		f.startProcess(int32(i))
	}
	for i := range f.services {
		f.schedule(int32(i))
	}
	return f, f.err
}

// play runs the events up to the end, or until ctx ends.
func (f *fleet) play(ctx context.Context, progress experiment.Progress) error {
	told, looked := time.Now(), int64(-1)
	for n := 1; len(f.heap) > 0 && f.heap[0].at <= f.stop && f.err == nil; n++ {
		ev := f.next()
		f.happen(&ev)
		f.reuse()
		if n%lookEvery != 0 {
			continue
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if n%stuckAfter == 0 {
			if f.now == looked {
				return fmt.Errorf("fleet: time stands still at %v", time.Duration(f.now))
			}
			looked = f.now
		}
		if now := time.Now(); now.Sub(told) >= time.Second {
			told = now
			f.heapMost = max(f.heapMost, heap())
			if progress != nil {
				progress(time.Duration(f.now), time.Duration(f.stop))
			}
		}
	}
	f.heapMost = max(f.heapMost, heap())
	if len(f.calls) > mostOpen {
		return fmt.Errorf("fleet: over %d calls were open at once", mostOpen)
	}
	if f.err != nil {
		return f.err
	}
	return ctx.Err()
}

func (f *fleet) happen(ev *event) {
	switch ev.kind {
	case evArrive:
		f.arrive(ev)
	case evTimer:
		if tr := &f.tiers[ev.id]; tr.gen == ev.gen {
			f.processes[tr.process].margin.Observe(deadline.Timer, ms(f.now), ms(timerSlack))
			f.event = forkline.Event{Kind: forkline.EvTimer, Token: ev.arg}
			f.handle(ev.id, &f.event)
		}
	case evTick:
		f.tick(ev)
	case evReach:
		f.reach(ev)
	case evWork:
		f.worked(ev)
	case evStep:
		f.stepped(ev)
	case evAnswer:
		f.answered(ev)
	case evExpire:
		f.expire(ev)
	case evStop:
		f.stopWork(ev)
	case evBackstop:
		f.backstop(ev)
	case evAsk:
		f.askedFor(ev)
	case evTurn:
		f.turn(ev)
	case evTold:
		f.told(ev)
	case evDelta:
		f.delta(ev)
	case evListEnded:
		f.listEnded(ev)
	case evBeat:
		f.beats(ev.id)
	case evLearn:
		f.learn(ev)
	case evFault:
		f.beginFault(ev.id)
	case evFaultEnd:
		f.endFault(ev.id)
	case evDrain:
		f.drain(ev)
	case evKill:
		f.kill(ev)
	case evStart:
		if f.endpoints[ev.id].gen == ev.gen {
			f.comeUp(ev.id)
		}
	case evChange:
		f.configure(ev.id)
	}
}

// What a module holds, in bytes: see TestEstimate.
const (
	perServer  = 900  // each endpoint that it knows
	perTier    = 6000 // besides
	perService = 80000
	perCall    = 600 // open, with its attempts and events
	perRecent  = 16  // taken in the module's windows
)

// Estimate is how much memory a run needs, in bytes; 0 if the experiment cannot be played.
func Estimate(e *experiment.Experiment) (bytes int64) {
	services, err := plan(e)
	if err != nil {
		return 0
	}
	longest := 0.0
	for _, c := range e.Classes {
		longest = max(longest, seconds(c.Timeout))
	}
	for i := range services {
		s := &services[i]
		bytes += perService + int64(s.Endpoints)*int64(unsafe.Sizeof(endpoint{})+200)
		for _, to := range s.inner {
			bytes += int64(s.Endpoints) * (perTier + perServer*int64(services[to].Endpoints))
		}
		bytes += int64(s.FrontSidecars) * (perTier + perServer*int64(s.Endpoints))
		played := s.trueRate * s.share
		bytes += int64(played * (longest*perCall + 10*perRecent))
	}
	bytes += int64(seconds(e.Duration)) * int64(unsafe.Sizeof(experiment.Second{}))
	for _, ft := range e.Faults { // each change stays in its list; a replacement is three of them
		bytes += int64(ft.Count) * int64(unsafe.Sizeof(change{})+unsafe.Sizeof(learning{})) * int64(max(len(services), 3))
	}
	return bytes * 2 // what the collector has not taken back yet
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
