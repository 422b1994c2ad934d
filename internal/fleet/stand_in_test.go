package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"forkline"
	"forkline/internal/experiment"
)

// built is a fleet before its first event, with the given changes to the small one.
func built(t *testing.T, change func(*experiment.Experiment)) *fleet {
	t.Helper()
	e := small()
	change(e)
	f, err := newFleet(e)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// until plays a fleet up to a virtual time.
func (f *fleet) until(at time.Duration) {
	for len(f.heap) > 0 && f.heap[0].at <= int64(at) {
		ev := f.next()
		f.happen(&ev)
		f.reuse()
	}
	f.now = int64(at)
}

// countdown is a context that ends when it has been looked at so often.
type countdown struct {
	context.Context
	looks int
}

func (c *countdown) Err() error {
	if c.looks--; c.looks < 0 {
		return context.DeadlineExceeded
	}
	return nil
}

func TestRunEndsSoonAfterItsContext(t *testing.T) {
	e := small()
	e.Duration = dur(time.Hour)
	ctx := &countdown{context.Background(), 3}
	if _, err := Run(ctx, e, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("an hour was played, or failed otherwise: %v", err)
	}
}

// TestBrokenRulesAreCounted has the host do what the module does not.
func TestBrokenRulesAreCounted(t *testing.T) {
	f := built(t, func(e *experiment.Experiment) { e.Services[0].ClientRate = 0 })
	f.until(10 * time.Second)
	front := f.processes[f.services[0].fronts[0]].tierFrom
	take := func(class uint16) int32 {
		f.take(front, class, f.now+ns(2*time.Second), -1)
		return int32(f.tiers[front].open[len(f.tiers[front].open)-1])
	}
	c := take(2)
	at := f.attempts[f.calls[c].attempts[0]].server
	f.send(front, &forkline.Action{Kind: forkline.ActSend, Request: f.requestID(c), Server: at, Deadline: ms(f.now) + 1000})
	f.until(11 * time.Second)
	if f.rules.UnsafeRepeats != 1 {
		t.Errorf("an unsafe call sent twice: %+v", f.rules)
	}
	f.finishOnce(f.callOf(front, f.requestID(c)), failed)
	if f.rules.DuplicateAnswers != 1 {
		t.Errorf("a second answer: %+v", f.rules)
	}

	drained, _ := f.find(at)
	f.at(f.now, evDrain, drained, f.endpoints[drained].gen, 0)
	f.until(11*time.Second + 500*time.Millisecond) // told after 0.3 s; the grace is 0.75 s
	c = take(0)
	again := &forkline.Action{Kind: forkline.ActSend, Request: f.requestID(c), Server: at, Deadline: ms(f.now) + 1000}
	f.send(front, again)
	if f.rules.DrainingSends != 0 {
		t.Errorf("a send within the grace: %+v", f.rules)
	}
	f.until(12*time.Second + 500*time.Millisecond)
	c = take(0)
	again.Request = f.requestID(c)
	f.send(front, again)
	if f.rules.DrainingSends != 1 {
		t.Errorf("a send past the grace: %+v", f.rules)
	}

	// Discovery knew of the drain at 11.3 s. It has been replaced since; what was not told counts as told at 17.3 s.
	for at, breaks := range []int64{1, 2} {
		f.until(17800*time.Millisecond + time.Duration(at)*time.Second)
		if f.endpoints[drained].gen != 1 {
			t.Fatalf("generation %d", f.endpoints[drained].gen)
		}
		c = take(0)
		again.Request = f.requestID(c)
		f.send(front, again)
		if f.rules.DrainingSends != breaks {
			t.Errorf("%d s after: %+v", at, f.rules)
		}
	}
}

func TestColdEndpointsFallWhereTheSettingsAllowLittle(t *testing.T) {
	e := small()
	e.Duration = dur(30 * time.Second)
	e.Faults = []experiment.Fault{{Kind: "restart", At: dur(time.Second), Duration: dur(8 * time.Second), Target: "front", Count: 6}}
	if r := run(t, e); r.Violations.ColdCrashes != 0 || r.Services[0].WorstColdRatio <= 0 {
		t.Errorf("with three times its capacity allowed: %+v, worst %v", r.Violations, r.Services[0].WorstColdRatio)
	}
	e.Services[0].ClientRate, e.Sidecar.OverloadMultiple = 600, 0.01
	if r := run(t, e); r.Violations.ColdCrashes == 0 {
		t.Errorf("with a hundredth allowed: %+v, worst %v", r.Violations, r.Services[0].WorstColdRatio)
	}
}

// TestDiscoveryHandlesCallsInTurn: twenty sidecars lose their watches and ask again; a slow instance refuses those that
// wait too long for their turn, and all are answered in the end.
func TestDiscoveryHandlesCallsInTurn(t *testing.T) {
	e := small()
	e.Duration = dur(60 * time.Second)
	e.Discovery.Instances, e.Discovery.CallTime, e.Discovery.MaxQueueTime = 1, dur(400*time.Millisecond), dur(time.Second)
	e.Faults = []experiment.Fault{{Kind: "down", At: dur(time.Second), Duration: dur(time.Second)}}
	r := run(t, e)
	if c := r.Control; c.RefusedCalls == 0 || c.PeakQueue < 2 || c.PeakQueue > 4 || c.ResyncMax <= 0 {
		t.Errorf("%+v", c)
	}
	if r.Faults[0].ResyncMax != r.Control.ResyncMax || r.Faults[0].ListCalls < 20 {
		t.Errorf("%+v", r.Faults[0])
	}
}

// TestASplitRegionCatchesUp: what changes while a region is split off is told there once it is back.
func TestASplitRegionCatchesUp(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		f := built(t, func(e *experiment.Experiment) {
			e.Discovery.Pushed = pushed
			e.Faults = []experiment.Fault{
				{Kind: "split", At: 0, Duration: dur(2 * time.Second), Target: "south"},
				{Kind: "machine", At: dur(500 * time.Millisecond), Duration: dur(20 * time.Second), Target: "store", Count: 2},
			}
		})
		behind := func() (n int) {
			for i := range f.tiers {
				if tr := &f.tiers[i]; int(tr.version) < len(f.services[tr.service].log) {
					n++
				}
			}
			return n
		}
		f.until(11500 * time.Millisecond) // warm-up is 10 s
		if n := behind(); n == 0 {
			t.Errorf("pushed %v: the split region knows all", pushed)
		}
		f.until(20 * time.Second)
		if n := behind(); n != 0 {
			t.Errorf("pushed %v: %d modules have not caught up", pushed, n)
		}
	}
}

func TestWatchesAreInOrder(t *testing.T) {
	e := small()
	e.Network.LossRate = 0.2
	e.Faults = []experiment.Fault{{Kind: "changes", At: 0, Duration: dur(5 * time.Second), Count: 300}}
	r := run(t, e)
	if r.Control.UnpropagatedChanges != 0 || r.Control.PropagationMax <= 300 {
		t.Errorf("%+v", r.Control)
	}
}

func TestEstimate(t *testing.T) {
	for _, e := range []*experiment.Experiment{small(), full()} {
		before := heapLive()
		f, err := newFleet(e)
		if err != nil {
			t.Fatal(err)
		}
		f.until(5 * time.Second)
		held, told := heapLive()-before, Estimate(e)
		if len(f.processes) == 0 || told < held || told > 8*held {
			t.Errorf("%s: %d KB are held, %d KB were told", e.Name, held>>10, told>>10)
		}
		t.Logf("%s: %d KB are held, %d KB were told", e.Name, held>>10, told>>10)
	}
}
