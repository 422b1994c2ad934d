package fleet

import (
	"math"
	"runtime"
	"runtime/metrics"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"forkline/internal/experiment"
)

const (
	longestTime  = int64(10 * time.Minute / time.Microsecond) // that a histogram holds; longer ones count as this
	digits       = 2                                          // that histograms keep
	sampleEvery  = 16                                         // of the module's events that are no lists, one is timed
	beforeFault  = 10                                         // seconds that tell how calls were served before a fault
	asBeforeLess = 0.01                                       // part of calls that may be missing then
)

// callStats are those of one scope.
type callStats struct {
	experiment.Calls
	latency, added *hdrhistogram.Histogram // microseconds
}

func (c *callStats) init() {
	c.latency = hdrhistogram.New(1, longestTime, digits)
	c.added = hdrhistogram.New(1, longestTime, digits)
}

func record(h *hdrhistogram.Histogram, ns int64) {
	_ = h.RecordValue(min(max(ns/1000, 0), longestTime)) // only values outside its range are refused
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (c *callStats) result() experiment.Calls {
	r := c.Calls
	if c.latency.TotalCount() > 0 {
		r.P50, r.P99, r.P999 = quantile(c.latency, 50), quantile(c.latency, 99), quantile(c.latency, 99.9)
		r.AddedP50, r.AddedP99, r.AddedP999 = quantile(c.added, 50), quantile(c.added, 99), quantile(c.added, 99.9)
	}
	return r
}

// measured tells whether a time is in the measured part of the run.
func (f *fleet) measured(at int64) bool { return at >= f.from && at < f.end }

// second is the one that a time belongs to.
func (f *fleet) second(at int64) *experiment.Second { return &f.seconds[(at-f.from)/1e9] }

// asked counts a call that a sidecar took. A call counts for the second in which it came.
func (f *fleet) asked(c *call) {
	f.meter.taken++
	if !c.measured {
		return
	}
	f.services[f.tiers[c.tier].service].stats.Offered++
	if c.parent < 0 {
		f.total.Offered++
		f.second(c.arrived).Offered++
	}
}

func (f *fleet) ended(c *call, s status) {
	if !c.measured {
		return
	}
	stats := &f.services[f.tiers[c.tier].service].stats
	f.count(stats, c, s)
	if c.parent >= 0 {
		return
	}
	f.count(&f.total, c, s)
	second := f.second(c.arrived)
	switch {
	case f.now > c.due:
		second.Late++
	case s == served:
		second.Served++
	case s == refused:
		second.Refused++
	default:
		second.Failed++
	}
}

// count puts a call's end into a scope: any end after its client gave up is late.
func (f *fleet) count(stats *callStats, c *call, s status) {
	switch {
	case f.now > c.due:
		stats.Late++
	case s == refused:
		stats.Refused++
	case s == failed:
		stats.Failed++
	default:
		stats.Served++
		if f.now-c.arrived <= int64(f.exp.Classes[c.class].TargetLatency) {
			stats.InTime++
		}
		record(stats.latency, f.now-c.arrived)
		record(stats.added, c.wait)
	}
}

// unanswered is a client's call that finds no sidecar.
func (f *fleet) unanswered(service int32) {
	if !f.measured(f.now) {
		return
	}
	for _, stats := range [...]*callStats{&f.total, &f.services[service].stats} {
		stats.Offered++
		stats.Failed++
	}
	f.second(f.now).Offered++
	f.second(f.now).Failed++
}

func (f *fleet) sent(s *service, fresh bool) {
	if !f.measured(f.now) {
		return
	}
	s.stats.Attempts++
	f.total.Attempts++
	if fresh {
		s.stats.Connections++
		f.total.Connections++
		f.second(f.now).Connections++
	}
}

// control counts the traffic for control, in the measured time.
type control struct {
	refusals      int64
	busyFor       int64
	peakQueue     int
	out, discoOut int64 // bytes at sidecars and at discovery
	spreads       *hdrhistogram.Histogram
}

func (c *control) init() { c.spreads = hdrhistogram.New(1, longestTime, digits) }

func (c *control) called(f *fleet) {
	if f.measured(f.now) {
		f.second(f.now).ListCalls++
	}
}

func (c *control) refused(f *fleet) {
	if f.measured(f.now) {
		c.refusals++
	}
}

func (c *control) changed(f *fleet) {
	if f.measured(f.now) {
		f.second(f.now).Changes++
	}
}

func (c *control) queued(f *fleet, n int) {
	if f.measured(f.now) {
		c.peakQueue = max(c.peakQueue, n)
	}
}

func (c *control) busy(f *fleet, ns int64) {
	if f.measured(f.now) {
		c.busyFor += ns
	}
}

func (c *control) sidecar(f *fleet, n int) {
	if f.measured(f.now) {
		c.out += int64(n)
	}
}

func (c *control) bytes(f *fleet, n int) {
	if f.measured(f.now) {
		c.discoOut += int64(n)
	}
}

func (c *control) both(f *fleet, n int) {
	c.sidecar(f, n)
	c.bytes(f, n)
}

func (c *control) spread(f *fleet, ch *change) {
	if f.measured(ch.made) {
		record(c.spreads, f.now-ch.made)
	}
}

// meter takes the module's processor time, by the clock on the wall: what else the machine does then counts as well.
type meter struct {
	events, timed, lists int64
	spent, listSpent     time.Duration
	taken                int64
	began                time.Time
}

func (m *meter) begin(list bool) {
	if !list {
		m.events++
	}
	if list || m.events%sampleEvery == 0 {
		m.began = time.Now()
	}
}

func (m *meter) end(list bool) {
	if list {
		m.lists++
		m.listSpent += time.Since(m.began)
	} else if m.events%sampleEvery == 0 {
		m.timed++
		m.spent += time.Since(m.began)
	}
}

// heap is what the process has in use, without a stop of the program.
func heap() int64 {
	sample := [1]metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample[:])
	return int64(sample[0].Value.Uint64())
}

// heapLive is what it has in use after a collection.
func heapLive() int64 {
	runtime.GC()
	return heap()
}

func (f *fleet) result(began time.Time) *experiment.Result {
	e, virtual := f.exp, float64(f.end-f.from)/1e9
	r := &experiment.Result{
		Name: e.Name, Seed: e.Seed, Version: version(), VirtualSeconds: virtual, RealSeconds: time.Since(began).Seconds(),
		PeakHeapMB: float64(f.heapMost) / (1 << 20), Sidecars: len(f.processes),
		HeapPerSidecarKB: float64(f.heapBuilt) / 1024 / float64(max(len(f.processes), 1)), SimulatedShares: map[string]float64{},
		Calls: f.total.result(), Series: f.seconds, Violations: f.rules,
	}
	for i := range f.services {
		s := &f.services[i]
		if s.share < 1 {
			r.SimulatedShares[s.Name] = s.share
		}
		r.Violations.ColdCrashes += int64(s.falls)
		r.Services = append(r.Services, experiment.ServiceResult{
			Name: s.Name, Calls: s.stats.result(), ColdCrashes: s.falls, WorstColdRatio: s.worstCold,
		})
		for k := range s.log {
			if c := &s.log[k]; f.measured(c.made) && c.pending > 0 {
				r.Control.UnpropagatedChanges++
			}
		}
	}
	for i := range f.calls {
		if c := &f.calls[i]; c.measured && c.place >= 0 && !c.ended && c.tier >= 0 {
			r.Violations.Unanswered++
		}
	}
	f.controlResult(&r.Control, virtual)
	for i := range f.faults {
		r.Faults = append(r.Faults, f.faultResult(i))
		switch f.faults[i].Kind {
		case "down", "silent", "refusing":
			if told := r.Faults[i].ResyncMax; told < 0 || r.Control.ResyncMax < 0 {
				r.Control.ResyncMax = -1
			} else {
				r.Control.ResyncMax = max(r.Control.ResyncMax, told)
			}
		}
	}
	return r
}

func (f *fleet) controlResult(r *experiment.ControlTraffic, virtual float64) {
	calls := int64(0)
	for i := range f.seconds {
		calls += f.seconds[i].ListCalls
		r.PeakCallsPerSecond = max(r.PeakCallsPerSecond, float64(f.seconds[i].ListCalls))
	}
	c, m := &f.control, &f.meter
	r.CallsPerSecond = float64(calls) / virtual
	r.RefusedCalls, r.PeakQueue = c.refusals, c.peakQueue
	r.DiscoveryUtilization = float64(c.busyFor) / 1e9 / virtual / float64(len(f.disco.instances))
	r.SidecarBytesPerSecond = float64(c.out) / virtual / float64(max(len(f.processes), 1))
	r.DiscoveryBytesPerSecond = float64(c.discoOut) / virtual
	if m.timed > 0 && m.taken > 0 {
		each := float64(m.spent.Nanoseconds()) / float64(m.timed) / 1000
		r.ModuleMicrosPerCall = each * float64(m.events) / float64(m.taken)
	}
	if m.lists > 0 {
		r.ModuleMicrosPerList = float64(m.listSpent.Nanoseconds()) / float64(m.lists) / 1000
	}
	if c.spreads.TotalCount() > 0 {
		r.PropagationP50, r.PropagationP99 = quantile(c.spreads, 50), quantile(c.spreads, 99)
		r.PropagationMax = float64(c.spreads.Max()) / 1000
	}
}

// faultResult tells what a fault cost. Calls are served as before in the first second after its end in which at most one
// in a hundred more than in the ten seconds before it is not served.
func (f *fleet) faultResult(i int) experiment.FaultResult {
	ft := &f.faults[i]
	r := experiment.FaultResult{Fault: ft.Kind, At: ms(ft.at - f.from), RecoveryTime: -1, ResyncMax: -1}
	if ft.Target != "" {
		r.Fault += " " + ft.Target
	}
	first, asked, good := int((ft.at-f.from)/1e9), 0.0, 0.0
	for k := max(first-beforeFault, 0); k < min(first, len(f.seconds)); k++ {
		asked += float64(f.seconds[k].Offered)
		good += float64(f.seconds[k].Served)
	}
	share := 1.0
	if asked > 0 {
		share = good / asked
	}
	end, last := float64(ft.until-f.from)/1e9, len(f.seconds)
	for k := int(math.Ceil(end)); k < len(f.seconds); k++ {
		if s := &f.seconds[k]; float64(s.Served) >= (share-asBeforeLess)*float64(s.Offered) {
			r.RecoveryTime, last = 1000*(float64(k)-end), k
			break
		}
	}
	for k := first; k < last; k++ {
		s := &f.seconds[k]
		r.LostCalls += s.Refused + s.Failed + s.Late
	}
	told := len(f.seconds) // a second in which all have been answered
	for k := range f.ends {
		if e := &f.ends[k]; int(e.fault) == i {
			if e.pending == 0 {
				r.ResyncMax = ms(e.told)
				told = int(math.Ceil(end + float64(e.told)/1e9))
			}
		}
	}
	for k := first; k < min(max(last, told), len(f.seconds)); k++ {
		r.ListCalls += f.seconds[k].ListCalls
	}
	return r
}
