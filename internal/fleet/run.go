// Package fleet runs an experiment on a hollow fleet, a discrete-event simulation of the sidecars, endpoints, clients,
// discovery and network of an experiment. Time is virtual, all random numbers come from the experiment's seed, and
// everything runs in one goroutine. The same experiment gives the same result, except for the figures that depend on the
// machine: real time, heap and the module's processor time.
//
// # Real and simulated parts
//
// A hollow sidecar is the real decision module (package forkline), one instance for each service that it balances for,
// with the real discovery policy (internal/listwatch), which decides when to call discovery and when a watch is dead. Each
// instance has its own watch, as discovery lists the endpoints of one service. The rest is simulated:
//
//   - Endpoints share their cores evenly among their requests, whose work is exponentially distributed. A request first does
//     its work and then makes its inner calls one after another through the sidecar beside the endpoint. An inner call is
//     like any other call. Cold endpoints start with a part of their capacity, and crash if they get more calls than the
//     settings allow.
//   - Clients call at random (Poisson) whether or not they are served, and do not retry.
//   - A discovery instance handles one call at a time, and writes each change to its watches one after another. A new
//     process first gets the full list, then changes. An instance in a region that is cut off learns of no changes.
//   - The network delays messages by distance and loses some, which are retransmitted. Messages that are sent during a split
//     are lost. Opening a connection takes two more one-way delays. Heartbeats have no delay.
//
// Control traffic is simulated in full. Of a service's calls only a share may be simulated. The others take their mean
// share of the endpoints' cores and wait in no queue. The sidecars of such a service see fewer calls, and so learn more
// slowly.
//
// # Cost
//
// The unit of work is one event. A call through one sidecar takes about ten: it arrives, is sent, reaches its endpoint, is
// processed and is answered, and has timers for these steps. BenchmarkFullSize (2,800 hollow sidecars, 98 services, 11
// zones, two services simulated in full and the others at 5 %, 70 s of virtual time with the loss of a zone, a discovery
// outage and a restart wave) takes 7.0 s of one core, 32 KB for each sidecar before the first call and a peak heap of
// 141 MB. A module uses about 800 bytes for each endpoint that it knows, which Estimate takes into account.
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
	checkInterval      = 4096        // events between checks of the context and of the real time
	stallCheckInterval = 1 << 24     // events between checks that virtual time advances; far more than happen at one instant
	settleTime         = time.Second // time after the last call's timeout in which remaining events are handled
)

// fleet is the state of one run.
type fleet struct {
	clock
	exp       *experiment.Experiment
	classes   []forkline.Class
	shareSum  float64 // sum of the shares of all classes
	services  []service
	endpoints []endpoint
	sidecars  []sidecar
	tiers     []tier
	net       network
	racks     []int // number of racks, by zone
	zoneFrom  []int // first zone, by region
	discovery discovery
	faults    []fault
	faultEnds []faultEnd

	splitEndedAt  []int64 // end of the last split, by region
	calls         []call
	freeCalls     []int32
	releasedCalls []int32 // calls released during the current event
	attempts      []attempt
	freeAttempts  []int32
	event         forkline.Event // event passed to a module, reused
	actions       []forkline.Action
	watchActions  []listwatch.Action

	measureFrom, measureEnd, runEnd int64 // bounds of the measured time, and the end of the run, in ns
	totals                          callStats
	seconds                         []experiment.Second
	control                         control
	meter                           meter
	violations                      experiment.Violations
	peakHeap, initialHeap           int64
	err                             error
}

// Run runs an experiment. It returns the error of ctx soon after ctx ends.
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
		return nil, fmt.Errorf("%w: duration %v, warmup %v", errInvalid, time.Duration(e.Duration),
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

// runEvents handles events until the end of the run or until ctx ends.
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
				return fmt.Errorf("fleet: virtual time does not advance beyond %v", time.Duration(f.now))
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

// Memory use in bytes, checked by TestEstimate.
const (
	bytesPerServer     = 900  // for each endpoint that a tier knows
	bytesPerTier       = 6000 // for each tier, without its endpoints
	bytesPerService    = 80000
	bytesPerCall       = 600 // for each open call with its attempts and events
	bytesPerRecentCall = 16  // for each recent call in the windows of the module
)

// Estimate returns the memory that a run needs in bytes, or 0 if the experiment is invalid.
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
	for _, fault := range e.Faults { // each change stays in the change log; a replacement makes three changes
		bytes += int64(fault.Count) * int64(unsafe.Sizeof(change{})+unsafe.Sizeof(pendingChange{})) * int64(max(len(services), 3))
	}
	return bytes * 2 // twice the live heap, for garbage that has not been collected yet
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
