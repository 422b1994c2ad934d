package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"forkline"
	"forkline/internal/experiment"
)

// newTestFleet returns a fleet before its first event. Its experiment is smallExperiment after change.
func newTestFleet(t *testing.T, change func(*experiment.Experiment)) *fleet {
	t.Helper()
	e := smallExperiment()
	change(e)
	f, err := newFleet(e)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// runUntil handles all events up to a virtual time.
func (f *fleet) runUntil(at time.Duration) {
	for len(f.heap) > 0 && f.heap[0].at <= int64(at) {
		ev := f.pop()
		f.dispatch(&ev)
		f.recycleCalls()
	}
	f.now = int64(at)
}

// countdown is a context that ends after a number of calls of Err.
type countdown struct {
	context.Context
	remaining int
}

func (c *countdown) Err() error {
	if c.remaining--; c.remaining < 0 {
		return context.DeadlineExceeded
	}
	return nil
}

func TestRunChecksContextWhileRunning(t *testing.T) {
	e := smallExperiment()
	e.Duration = dur(time.Hour)
	ctx := &countdown{context.Background(), 3}
	if _, err := Run(ctx, e, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the run did not end with the context: %v", err)
	}
}

// TestViolationsAreCounted makes the simulated sidecar do what the module never does: send an unsafe call twice, answer a
// call twice and send to a draining endpoint after the grace.
func TestViolationsAreCounted(t *testing.T) {
	f := newTestFleet(t, func(e *experiment.Experiment) { e.Services[0].ClientRate = 0 })
	f.runUntil(10 * time.Second)
	front := f.sidecars[f.services[0].frontSidecars[0]].firstTier
	startCall := func(class uint16) int32 {
		f.startCall(front, class, f.now+toNanos(2*time.Second), -1)
		return int32(f.tiers[front].openCalls[len(f.tiers[front].openCalls)-1])
	}
	c := startCall(2)
	server := f.attempts[f.calls[c].attempts[0]].server
	f.sendAttempt(front, &forkline.Action{Kind: forkline.ActSend, Request: f.requestID(c), Server: server,
		Deadline: toMillis(f.now) + 1000})
	f.runUntil(11 * time.Second)
	if f.violations.UnsafeRepeats != 1 {
		t.Errorf("an unsafe call sent twice: %+v", f.violations)
	}
	f.finishOnce(f.callByRequest(front, f.requestID(c)), failed)
	if f.violations.DuplicateAnswers != 1 {
		t.Errorf("a second answer: %+v", f.violations)
	}

	drained, _ := f.findEndpoint(server)
	f.schedule(f.now, evDrainBegins, drained, f.endpoints[drained].gen, 0)
	f.runUntil(11*time.Second + 500*time.Millisecond) // the sidecar is notified after 0.3 s; the grace is 0.75 s
	c = startCall(0)
	action := &forkline.Action{Kind: forkline.ActSend, Request: f.requestID(c), Server: server, Deadline: toMillis(f.now) + 1000}
	f.sendAttempt(front, action)
	if f.violations.DrainingSends != 0 {
		t.Errorf("a send within the grace: %+v", f.violations)
	}
	f.runUntil(12*time.Second + 500*time.Millisecond)
	c = startCall(0)
	action.Request = f.requestID(c)
	f.sendAttempt(front, action)
	if f.violations.DrainingSends != 1 {
		t.Errorf("a send past the grace: %+v", f.violations)
	}

	// Discovery learned of the drain at 11.3 s, and the endpoint has been replaced since. Sidecars count as notified at 17.3 s.
	for second, violations := range []int64{1, 2} {
		f.runUntil(17800*time.Millisecond + time.Duration(second)*time.Second)
		if f.endpoints[drained].gen != 1 {
			t.Fatalf("generation %d", f.endpoints[drained].gen)
		}
		c = startCall(0)
		action.Request = f.requestID(c)
		f.sendAttempt(front, action)
		if f.violations.DrainingSends != violations {
			t.Errorf("%d s after: %+v", second, f.violations)
		}
	}
}

func TestColdEndpointsCrashUnderTightLimits(t *testing.T) {
	e := smallExperiment()
	e.Duration = dur(30 * time.Second)
	e.Faults = []experiment.Fault{{Kind: "restart", At: dur(time.Second), Duration: dur(8 * time.Second),
		Target: "front", Count: 6}}
	if r := runExperiment(t, e); r.Violations.ColdCrashes != 0 || r.Services[0].WorstColdRatio <= 0 {
		t.Errorf("with an overload multiple of 3: %+v, worst %v", r.Violations, r.Services[0].WorstColdRatio)
	}
	e.Services[0].ClientRate, e.Sidecar.OverloadMultiple = 600, 0.01
	if r := runExperiment(t, e); r.Violations.ColdCrashes == 0 {
		t.Errorf("with an overload multiple of 0.01: %+v, worst %v", r.Violations, r.Services[0].WorstColdRatio)
	}
}

// TestDiscoveryQueuesAndRefusesCalls: twenty sidecars lose their watches and call discovery again. A slow instance refuses
// the calls that wait too long in its queue, and all sidecars are answered in the end.
func TestDiscoveryQueuesAndRefusesCalls(t *testing.T) {
	e := smallExperiment()
	e.Duration = dur(60 * time.Second)
	e.Discovery.Instances, e.Discovery.CallTime, e.Discovery.MaxQueueTime = 1, dur(400*time.Millisecond), dur(time.Second)
	e.Faults = []experiment.Fault{{Kind: "down", At: dur(time.Second), Duration: dur(time.Second)}}
	r := runExperiment(t, e)
	if c := r.Control; c.RefusedCalls == 0 || c.PeakQueue < 2 || c.PeakQueue > 4 || c.ResyncMax <= 0 {
		t.Errorf("%+v", c)
	}
	if r.Faults[0].ResyncMax != r.Control.ResyncMax || r.Faults[0].ListCalls < 20 {
		t.Errorf("%+v", r.Faults[0])
	}
}

// TestSplitRegionCatchesUp: changes during a split reach the sidecars of the region after the split.
func TestSplitRegionCatchesUp(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		f := newTestFleet(t, func(e *experiment.Experiment) {
			e.Discovery.Pushed = pushed
			e.Faults = []experiment.Fault{
				{Kind: "split", At: 0, Duration: dur(2 * time.Second), Target: "south"},
				{Kind: "machine", At: dur(500 * time.Millisecond), Duration: dur(20 * time.Second), Target: "store", Count: 2},
			}
		})
		behind := func() (n int) {
			for i := range f.tiers {
				if tr := &f.tiers[i]; int(tr.version) < len(f.services[tr.service].changeLog) {
					n++
				}
			}
			return n
		}
		f.runUntil(11500 * time.Millisecond) // warm-up is 10 s
		if n := behind(); n == 0 {
			t.Errorf("pushed %v: all modules have the latest list during the split", pushed)
		}
		f.runUntil(20 * time.Second)
		if n := behind(); n != 0 {
			t.Errorf("pushed %v: %d modules have not caught up", pushed, n)
		}
	}
}

func TestWatchesDeliverChangesInOrder(t *testing.T) {
	e := smallExperiment()
	e.Network.LossRate = 0.2
	e.Faults = []experiment.Fault{{Kind: "changes", At: 0, Duration: dur(5 * time.Second), Count: 300}}
	r := runExperiment(t, e)
	if r.Control.UnpropagatedChanges != 0 || r.Control.PropagationMax <= 300 {
		t.Errorf("%+v", r.Control)
	}
}

func TestEstimate(t *testing.T) {
	for _, e := range []*experiment.Experiment{smallExperiment(), fullSizeExperiment()} {
		before := liveHeap()
		f, err := newFleet(e)
		if err != nil {
			t.Fatal(err)
		}
		f.runUntil(5 * time.Second)
		used, estimated := liveHeap()-before, Estimate(e)
		if len(f.sidecars) == 0 || estimated < used || estimated > 8*used {
			t.Errorf("%s: %d KB in use, estimated %d KB", e.Name, used>>10, estimated>>10)
		}
		t.Logf("%s: %d KB in use, estimated %d KB", e.Name, used>>10, estimated>>10)
	}
}
