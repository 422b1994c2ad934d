// Package probe measures what the decision module costs against the size of what it holds: processor time of a call, of
// a list and of what waits, and heap. It drives the real module on a clock of its own, without sockets.
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

// Options say what is measured. Zero figures take the defaults.
type Options struct {
	Servers []int         // sizes of the tier; default 10 to 2,800
	Waiting []int         // calls that wait; default 10 to 3,000
	Rounds  int           // of each measure, of which the least counts: what else the machine does only adds; default 5
	Round   time.Duration // least processor time of a round; default 50 ms
}

// Result holds a series for each measure.
type Result struct {
	Series []slope.Series `json:"series"`
}

// Run measures one thing after another. It takes some seconds, and ends early with an error once ctx ends.
func (o Options) Run(ctx context.Context) (Result, error) {
	if len(o.Servers) == 0 {
		o.Servers = []int{10, 30, 100, 300, 1000, 2800}
	}
	if len(o.Waiting) == 0 {
		o.Waiting = []int{10, 100, 300, 1000, 3000}
	}
	o.Rounds = cmp.Or(o.Rounds, 5)
	o.Round = cmp.Or(o.Round, 50*time.Millisecond)
	var r Result
	for _, m := range measures {
		sizes := o.Servers
		if m.x == waiting {
			sizes = o.Waiting
		}
		s := slope.Series{Name: m.name, X: m.x, Y: m.y}
		for _, n := range sizes {
			if n < 1 {
				return r, fmt.Errorf("probe: %d is no size", n)
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
	servers = "servers of the tier"
	waiting = "calls that wait"
	micros  = "µs of processor time"
	heap    = "heap bytes"
)

// measures names each measure and what gives its cost at a size.
var measures = []struct {
	name, x, y string
	cost       func(ctx context.Context, o Options, n int) (float64, error)
}{
	{"call: request and answer", servers, micros, call},
	{"event while a call waits at the limit", servers, micros, held},
	{"first list", servers, micros, firstList},
	{"same list again, whole", servers, micros, wholeList},
	{"change of one entry", servers, micros, delta},
	{"request behind calls that wait", waiting, micros, queued},
	{"heap of the module with a tier", servers, heap, tierHeap},
	{"heap of the module with calls waiting", waiting, heap, queueHeap},
}

// least runs rounds of f, each as often as fills a round, and returns the least mean processor time of one run of f, in
// microseconds. It is the time of the whole process, so that the collection of what f drops counts.
func (o Options) least(ctx context.Context, f func() error) (float64, error) {
	least := 0.0
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
		if took := end - begin; took < o.Round {
			times = min(2*times, times+1+int(float64(times)*float64(o.Round)/float64(max(took, time.Microsecond))))
		} else {
			one := float64(took.Nanoseconds()) / 1000 / float64(times)
			if round++; round == 1 || one < least {
				least = one
			}
		}
	}
	return least, nil
}

// processorTime is what this process has used, in user and kernel mode.
func processorTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("processor clock: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// call is the time of a call that is sent at once and answered after 20 ms, at 168 a second, with its share of all that
// the module does in between.
func call(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(n, 1)
	if err != nil {
		return 0, err
	}
	for range 1000 { // until means and credit have settled
		t.arrive()
	}
	cost, err := o.least(ctx, func() error { t.arrive(); return nil })
	if err == nil && t.ended > 0 {
		err = fmt.Errorf("%d calls were refused or failed", t.ended)
	}
	return cost, err
}

// held is the time of an event that finds a call waiting, as the concurrency limit is reached.
func held(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(n, n) // as many copies as servers: a limit of heldFirst calls
	if err != nil {
		return 0, err
	}
	for i := 0; i < 100 && t.waits() == 0; i++ {
		t.request()
	}
	if t.waits() == 0 {
		return 0, fmt.Errorf("no call waits: %d out, %d ended", len(t.out), t.ended)
	}
	return o.least(ctx, func() error { t.timer(); return nil })
}

// firstList is the time of a new module and its first list.
func firstList(ctx context.Context, o Options, n int) (float64, error) {
	return o.least(ctx, func() error { _, err := newTier(n, 1); return err })
}

// wholeList is the time of the list that the module has already.
func wholeList(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(n, 1)
	if err != nil {
		return 0, err
	}
	return o.least(ctx, func() error { t.whole(); return nil })
}

// delta is the time of a change of one entry: in turn it drains, is gone and comes anew.
func delta(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(n, 1)
	if err != nil {
		return 0, err
	}
	step := 0
	return o.least(ctx, func() error { t.change(n/2, step%3); step++; return nil })
}

// queued is the time of a request that waits, with so many ahead, until it is given up; no server is known.
func queued(ctx context.Context, o Options, n int) (float64, error) {
	t, err := newTier(0, 1)
	if err != nil {
		return 0, err
	}
	t.gap = aim / float64(n) // they are given up after aim: so many wait at a time
	for range 2 * n {
		t.arrive()
	}
	return o.least(ctx, func() error { t.arrive(); return nil })
}

// tierHeap is the heap of a module that knows so many servers.
func tierHeap(_ context.Context, _ Options, n int) (float64, error) {
	return heapOf(func() (*tier, error) { return newTier(n, 1) })
}

// queueHeap is the heap of a module in which so many calls wait.
func queueHeap(_ context.Context, _ Options, n int) (float64, error) {
	return heapOf(func() (*tier, error) {
		t, err := newTier(0, 1)
		for i := 0; err == nil && i < n; i++ {
			t.request()
		}
		return t, err
	})
}

// heapOf is the heap that what f makes holds, without the lists and actions that its host keeps.
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

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // what the first one found in finalizers and pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
