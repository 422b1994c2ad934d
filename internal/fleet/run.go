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
	checkInterval      = 4096        // events between looks at the real time
	stallCheckInterval = 1 << 24     // events at one instant: far more than calls that are open
	settleTime         = time.Second // after the last call's time, in which the rest is answered
)

// fleet is one run.
type fleet struct {
	clock
	exp       *experiment.Experiment
	classes   []forkline.Class
	shareSum  float64 // sum of the classes'
	services  []service
	endpoints []endpoint
	sidecars  []sidecar
	tiers     []tier
	net       network
	racks     []int // by zone
	zoneFrom  []int // first zone of each region
	discovery discovery
	faults    []fault
	faultEnds []faultEnd

	splitEndedAt  []int64 // by region: when the last split ended
	calls         []call
	freeCalls     []int32
	releasedCalls []int32 // forgotten during this event
	attempts      []attempt
	freeAttempts  []int32
	event         forkline.Event // handed to modules, used again
	actions       []forkline.Action
	watchActions  []listwatch.Action

	measureFrom, measureEnd, runEnd int64 // measured time, and when the run ends
	totals                          callStats
	seconds                         []experiment.Second
	control                         control
	meter                           meter
	violations                      experiment.Violations
	peakHeap, initialHeap           int64
	err                             error
}

// Run plays an experiment. It ends soon after ctx does, with ctx's error.
func Run(ctx context.Context, e *experiment.Experiment, progress experiment.Progress) (*experiment.Result, error) {
	started, heapBefore := time.Now(), liveHeap()
	f, err := newFleet(e)
	if err != nil {
		return nil, err
	}
	f.peakHeap = heapInUse()
	f.initialHeap = liveHeap() - heapBefore
	if err := f.runEvents(ctx, progress); err != nil {
		return nil, err
	}
	return f.result(started), nil
}

func newFleet(e *experiment.Experiment) (*fleet, error) {
	f := &fleet{exp: e, shareSum: sumShares(e.Classes)}
	var err error
	if f.classes, err = moduleClasses(e.Classes); err != nil {
		return nil, err
	}
	if f.services, err = planServices(e); err != nil {
		return nil, err
	}
	if e.Duration <= 0 || e.Warmup < 0 {
		return nil, fmt.Errorf("%w: its duration is %v after %v", errInvalid, time.Duration(e.Duration),
			time.Duration(e.Warmup))
	}
	maxTimeout := time.Duration(0)
	for _, c := range e.Classes {
		maxTimeout = max(maxTimeout, time.Duration(c.Timeout))
	}
	f.measureFrom = int64(e.Warmup)
	f.measureEnd = f.measureFrom + int64(e.Duration)
	f.runEnd = f.measureEnd + toNanos(maxTimeout+settleTime)
	f.seconds = make([]experiment.Second, (int64(e.Duration)+1e9-1)/1e9)
	for i := range f.seconds {
		f.seconds[i].At = float64(i)
	}
	f.splitEndedAt = make([]int64, len(e.Regions))
	f.totals.init()
	f.control.init()
	if err := f.buildTopology(); err != nil {
		return nil, err
	}
	if err := f.buildFaults(); err != nil {
		return nil, err
	}
	for i := range f.sidecars {
		f.startSidecar(int32(i))
	}
	for i := range f.services {
		f.scheduleClientCall(int32(i))
	}
	return f, f.err
}

// play runs the events up to the end, or until ctx ends.
func (f *fleet) runEvents(ctx context.Context, progress experiment.Progress) error {
	lastProgress, lastCheck := time.Now(), int64(-1)
	for n := 1; len(f.heap) > 0 && f.heap[0].at <= f.runEnd && f.err == nil; n++ {
		ev := f.pop()
		f.dispatch(&ev)
		f.recycleCalls()
		if n%checkInterval != 0 {
			continue
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if n%stallCheckInterval == 0 {
			if f.now == lastCheck {
				return fmt.Errorf("fleet: time stands still at %v", time.Duration(f.now))
			}
			lastCheck = f.now
		}
		if now := time.Now(); now.Sub(lastProgress) >= time.Second {
			lastProgress = now
			f.peakHeap = max(f.peakHeap, heapInUse())
			if progress != nil {
				progress(time.Duration(f.now), time.Duration(f.runEnd))
			}
		}
	}
	f.peakHeap = max(f.peakHeap, heapInUse())
	if len(f.calls) > maxOpenCalls {
		return fmt.Errorf("fleet: over %d calls were open at once", maxOpenCalls)
	}
	if f.err != nil {
		return f.err
	}
	return ctx.Err()
}

func (f *fleet) dispatch(ev *event) {
	switch ev.eventKind {
	case evClientCall:
		f.clientCall(ev)
	case evModuleTimer:
		if tr := &f.tiers[ev.id]; tr.gen == ev.gen {
			f.sidecars[tr.sidecar].margin.Observe(deadline.Timer, toMillis(f.now), toMillis(timerDelay))
			f.event = forkline.Event{Kind: forkline.EvTimer, Token: ev.arg}
			f.handleModuleEvent(ev.id, &f.event)
		}
	case evWatchTick:
		f.watchTick(ev)
	case evAttemptArrives:
		f.attemptArrives(ev)
	case evWorkDone:
		f.workDone(ev)
	case evInnerCallEnds:
		f.innerCallEnds(ev)
	case evOutcomeArrives:
		f.outcomeArrives(ev)
	case evAttemptTimeout:
		f.attemptTimeout(ev)
	case evCancelArrives:
		f.cancelArrives(ev)
	case evBackstop:
		f.backstopDue(ev)
	case evListCallArrives:
		f.listCallArrives(ev)
	case evListCallServed:
		f.serveListCall(ev)
	case evListArrives:
		f.listArrives(ev)
	case evChangeArrives:
		f.changeArrives(ev)
	case evListCallEnds:
		f.listCallEnds(ev)
	case evHeartbeat:
		f.sendHeartbeats(ev.id)
	case evDiscoveryLearns:
		f.learnChange(ev)
	case evFaultBegins:
		f.beginFault(ev.id)
	case evFaultEnds:
		f.endFault(ev.id)
	case evDrainBegins:
		f.beginDrain(ev)
	case evDrainEnds:
		f.endDrain(ev)
	case evSuccessorStarts:
		if f.endpoints[ev.id].gen == ev.gen {
			f.bringUp(ev.id)
		}
	case evConfigChange:
		f.changeConfig(ev.id)
	}
}

// What a module holds, in bytes: see TestEstimate.
const (
	bytesPerServer     = 900  // each endpoint that it knows
	bytesPerTier       = 6000 // besides
	bytesPerService    = 80000
	bytesPerCall       = 600 // open, with its attempts and events
	bytesPerRecentCall = 16  // taken in the module's windows
)

// Estimate is how much memory a run needs, in bytes; 0 if the experiment cannot be played.
func Estimate(e *experiment.Experiment) (bytes int64) {
	services, err := planServices(e)
	if err != nil {
		return 0
	}
	maxTimeout := 0.0
	for _, c := range e.Classes {
		maxTimeout = max(maxTimeout, seconds(c.Timeout))
	}
	for i := range services {
		s := &services[i]
		bytes += bytesPerService + int64(s.Endpoints)*int64(unsafe.Sizeof(endpoint{})+200)
		for _, to := range s.callees {
			bytes += int64(s.Endpoints) * (bytesPerTier + bytesPerServer*int64(services[to].Endpoints))
		}
		bytes += int64(s.FrontSidecars) * (bytesPerTier + bytesPerServer*int64(s.Endpoints))
		simulatedRate := s.totalRate * s.simulatedShare
		bytes += int64(simulatedRate * (maxTimeout*bytesPerCall + 10*bytesPerRecentCall))
	}
	bytes += int64(seconds(e.Duration)) * int64(unsafe.Sizeof(experiment.Second{}))
	for _, fault := range e.Faults { // each change stays in its list; a replacement is three of them
		bytes += int64(fault.Count) * int64(unsafe.Sizeof(change{})+unsafe.Sizeof(pendingChange{})) * int64(max(len(services), 3))
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
