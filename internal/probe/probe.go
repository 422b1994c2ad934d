// Package probe measures how the cost of the decision module grows with its number of servers and of queued calls: the
// processor time of calls, lists and queued calls, and the heap. It drives the real module on a virtual clock, without
// sockets.
package probe

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"forkline/internal/slope"
)

// Options configures a run. Zero fields take the defaults.
type Options struct {
	Servers  []int         // sizes of the tier; default 10 to 2,800
	Queued   []int         // numbers of queued calls; default 10 to 3,000
	Rounds   int           // rounds of each measure; the lowest counts, as other load on the machine only adds; default 5
	MinRound time.Duration // minimum processor time of a round; default 50 ms
}

// Result holds one series for each measure.
type Result struct {
	Series []slope.Series `json:"series"`
}

// Run takes the measures one after another. It runs for some seconds, and returns an error early if ctx ends.
func (o Options) Run(ctx context.Context) (Result, error) {
	if len(o.Servers) == 0 {
		o.Servers = []int{10, 30, 100, 300, 1000, 2800}
	}
	if len(o.Queued) == 0 {
		o.Queued = []int{10, 100, 300, 1000, 3000}
	}
	o.Rounds = cmp.Or(o.Rounds, 5)
	o.MinRound = cmp.Or(o.MinRound, 50*time.Millisecond)
	var r Result
	for _, m := range measures {
		sizes := o.Servers
		if m.x == axisQueued {
			sizes = o.Queued
		}
		s := slope.Series{Name: m.name, X: m.x, Y: m.y}
		for _, n := range sizes {
			if n < 1 {
				return r, fmt.Errorf("probe: invalid size %d; must be at least 1", n)
			}
			cost, err := m.cost(ctx, o, n)
			if err != nil {
				return r, fmt.Errorf("probe: %s at %d: %w", m.name, n, err)
			}
			s.Add(float64(n), cost)
		}
		r.Series = append(r.Series, s)
	}
	return r, nil
}

const (
	axisServers = "servers of the tier"
	axisQueued  = "calls that wait"
	unitMicros  = "µs of processor time"
	unitHeap    = "heap bytes"
)

// measures lists the measures, each with the function that returns its cost at a size.
var measures = []struct {
	name, x, y string
	cost       func(ctx context.Context, o Options, n int) (float64, error)
}{
	{"call: request and answer", axisServers, unitMicros, callCost},
	{"event while a call waits at the limit", axisServers, unitMicros, limitedEventCost},
	{"first list", axisServers, unitMicros, firstListCost},
	{"same list again, whole", axisServers, unitMicros, sameListCost},
	{"change of one entry", axisServers, unitMicros, deltaCost},
	{"request behind calls that wait", axisQueued, unitMicros, queuedCallCost},
	{"heap of the module with a tier", axisServers, unitHeap, tierHeap},
	{"heap of the module with calls waiting", axisQueued, unitHeap, queueHeap},
}

// lowestCost runs f in rounds of at least o.MinRound and returns the lowest mean processor time of one run of f, in
// microseconds. It measures the whole process, so that collecting the garbage of f counts.
func (o Options) lowestCost(ctx context.Context, f func() error) (float64, error) {
	lowest := 0.0
	for times, round := 1, 0; round < o.Rounds; {
		begin, err := processorTime()
		if err != nil {
			return 0, err
		}
		for range times {
			if err := f(); err != nil {
				return 0, err
			}
		}
		end, err := processorTime()
		if err != nil {
			return 0, err
		}
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		if elapsed := end - begin; elapsed < o.MinRound {
			times = min(2*times, times+1+int(float64(times)*float64(o.MinRound)/float64(max(elapsed, time.Microsecond))))
		} else {
			mean := float64(elapsed.Nanoseconds()) / 1000 / float64(times)
			if round++; round == 1 || mean < lowest {
				lowest = mean
			}
		}
	}
	return lowest, nil
}

// processorTime returns the user and kernel time that this process has used.
func processorTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("processor clock: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// callCost returns the processor time of a call that is sent at once and answered after 20 ms, at 168 calls a second,
// including its share of the module's work between calls.
func callCost(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(n, 1)
	if err != nil {
		return 0, err
	}
	for range 1000 { // lets the means and the credit settle
		t.advanceToNextRequest()
	}
	cost, err := o.lowestCost(ctx, func() error { t.advanceToNextRequest(); return nil })
	if err == nil && t.unserved > 0 {
		err = fmt.Errorf("%d calls were refused or failed", t.unserved)
	}
	return cost, err
}

// limitedEventCost returns the processor time of an event that finds a call queued because the concurrency limit is
// reached.
func limitedEventCost(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(n, n) // as many copies as servers: the limit starts at 5 calls
	if err != nil {
		return 0, err
	}
	for i := 0; i < 100 && t.queued() == 0; i++ {
		t.addRequest()
	}
	if t.queued() == 0 {
		return 0, fmt.Errorf("no call is queued: %d in flight, %d refused or failed", len(t.inFlight), t.unserved)
	}
	return o.lowestCost(ctx, func() error { t.fireNoopTimer(); return nil })
}

// firstListCost returns the processor time of creating a module and applying its first list.
func firstListCost(ctx context.Context, o Options, n int) (float64, error) {
	return o.lowestCost(ctx, func() error { _, err := newTier(n, 1); return err })
}

// sameListCost returns the processor time of a full list that the module already holds.
func sameListCost(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(n, 1)
	if err != nil {
		return 0, err
	}
	return o.lowestCost(ctx, func() error { t.sendFullList(); return nil })
}

// deltaCost returns the processor time of a change of one entry, which in turn drains, is removed and is added again.
func deltaCost(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(n, 1)
	if err != nil {
		return 0, err
	}
	step := 0
	return o.lowestCost(ctx, func() error { t.changeEntry(n/2, step%3); step++; return nil })
}

// queuedCallCost returns the processor time of a call that is queued behind n others until the module refuses it, as no
// server is known.
func queuedCallCost(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(0, 1)
	if err != nil {
		return 0, err
	}
	t.interval = targetLatency / float64(n) // calls are refused after targetLatency, so n are queued at a time
	for range 2 * n {
		t.advanceToNextRequest()
	}
	return o.lowestCost(ctx, func() error { t.advanceToNextRequest(); return nil })
}

// tierHeap returns the heap, in bytes, of a module that knows n servers.
func tierHeap(_ context.Context, _ Options, n int) (float64, error) {
	return heapOf(func() (*tier, error) { return newTier(n, 1) })
}

// queueHeap returns the heap, in bytes, of a module in which n calls are queued.
func queueHeap(_ context.Context, _ Options, n int) (float64, error) {
	return heapOf(func() (*tier, error) {
		t, err := newTier(0, 1)
		for i := 0; err == nil && i < n; i++ {
			t.addRequest()
		}
		return t, err
	})
}

// heapOf returns the heap, in bytes, of the module that f creates, without the lists and actions that its host keeps.
func heapOf(f func() (*tier, error)) (float64, error) {
	before := liveHeap()
	t, err := f()
	if err != nil {
		return 0, err
	}
	module := t.balancer
	t = nil
	after := liveHeap()
	runtime.KeepAlive(module)
	return max(0, float64(after)-float64(before)), nil
}

// liveHeap returns the bytes of reachable heap objects.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // frees what the first one released from finalizers and pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
