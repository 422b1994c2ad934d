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
	maxRecordedMicros   = int64(10 * time.Minute / time.Microsecond) // maximum of histograms; longer times count as this
	histogramDigits     = 2                                          // significant decimal digits of histograms
	meterSampleInterval = 16                                         // one in this number of module events without lists is timed
	baselineSeconds     = 10                                         // seconds before a fault that define its baseline
	recoveryTolerance   = 0.01                                       // share of calls by which recovery may miss the baseline
)

// callStats holds the counts and latencies of the calls of one scope.
type callStats struct {
	experiment.Calls
	latency, added *hdrhistogram.Histogram // microseconds
}

func (c *callStats) init() {
	c.latency = hdrhistogram.New(1, maxRecordedMicros, histogramDigits)
	c.added = hdrhistogram.New(1, maxRecordedMicros, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, ns int64) {
	_ = h.RecordValue(min(max(ns/1000, 0), maxRecordedMicros)) // fails only for values outside the range
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

// inMeasuredTime reports whether a time is in the measured part of the run.
func (f *fleet) inMeasuredTime(at int64) bool { return at >= f.measureFrom && at < f.measureEnd }

// secondAt returns the second of the series that contains a time.
func (f *fleet) secondAt(at int64) *experiment.Second { return &f.seconds[(at-f.measureFrom)/1e9] }

// countOffered counts a call that arrives at a sidecar. A call counts for the second of its arrival.
func (f *fleet) countOffered(c *call) {
	f.meter.calls++
	if !c.measured {
		return
	}
	f.services[f.tiers[c.tier].service].stats.Offered++
	if c.parent < 0 {
		f.totals.Offered++
		f.secondAt(c.arrivedAt).Offered++
	}
}

// countEnd counts the end of a call for its service and, if a client made it, in the totals and the series.
func (f *fleet) countEnd(c *call, s status) {
	if !c.measured {
		return
	}
	stats := &f.services[f.tiers[c.tier].service].stats
	f.countEndIn(stats, c, s)
	if c.parent >= 0 {
		return
	}
	f.countEndIn(&f.totals, c, s)
	second := f.secondAt(c.arrivedAt)
	switch {
	case f.now > c.clientDeadline:
		second.Late++
	case s == served:
		second.Served++
	case s == refused:
		second.Refused++
	default:
		second.Failed++
	}
}

// countEndIn counts the end of a call in one scope. Any end after the client's deadline is late.
func (f *fleet) countEndIn(stats *callStats, c *call, s status) {
	switch {
	case f.now > c.clientDeadline:
		stats.Late++
	case s == refused:
		stats.Refused++
	case s == failed:
		stats.Failed++
	default:
		stats.Served++
		if f.now-c.arrivedAt <= int64(f.exp.Classes[c.class].TargetLatency) {
			stats.InTime++
		}
		recordDuration(stats.latency, f.now-c.arrivedAt)
		recordDuration(stats.added, c.waitTime)
	}
}

// countNoSidecar counts a client's call for which no front sidecar is up.
func (f *fleet) countNoSidecar(service int32) {
	if !f.inMeasuredTime(f.now) {
		return
	}
	for _, stats := range [...]*callStats{&f.totals, &f.services[service].stats} {
		stats.Offered++
		stats.Failed++
	}
	f.secondAt(f.now).Offered++
	f.secondAt(f.now).Failed++
}

func (f *fleet) countAttempt(s *service, newConnection bool) {
	if !f.inMeasuredTime(f.now) {
		return
	}
	s.stats.Attempts++
	f.totals.Attempts++
	if newConnection {
		s.stats.Connections++
		f.totals.Connections++
		f.secondAt(f.now).Connections++
	}
}

// control counts control traffic in the measured time.
type control struct {
	refusedCalls                 int64
	busyTime                     int64
	peakQueue                    int
	sidecarBytes, discoveryBytes int64 // bytes sent and received
	propagation                  *hdrhistogram.Histogram
}

func (c *control) init() { c.propagation = hdrhistogram.New(1, maxRecordedMicros, histogramDigits) }

func (c *control) countListCall(f *fleet) {
	if f.inMeasuredTime(f.now) {
		f.secondAt(f.now).ListCalls++
	}
}

func (c *control) countRefusal(f *fleet) {
	if f.inMeasuredTime(f.now) {
		c.refusedCalls++
	}
}

func (c *control) countChange(f *fleet) {
	if f.inMeasuredTime(f.now) {
		f.secondAt(f.now).Changes++
	}
}

func (c *control) recordQueue(f *fleet, n int) {
	if f.inMeasuredTime(f.now) {
		c.peakQueue = max(c.peakQueue, n)
	}
}

func (c *control) addBusyTime(f *fleet, ns int64) {
	if f.inMeasuredTime(f.now) {
		c.busyTime += ns
	}
}

func (c *control) addSidecarBytes(f *fleet, n int) {
	if f.inMeasuredTime(f.now) {
		c.sidecarBytes += int64(n)
	}
}

func (c *control) addDiscoveryBytes(f *fleet, n int) {
	if f.inMeasuredTime(f.now) {
		c.discoveryBytes += int64(n)
	}
}

func (c *control) addBytes(f *fleet, n int) {
	c.addSidecarBytes(f, n)
	c.addDiscoveryBytes(f, n)
}

func (c *control) recordPropagation(f *fleet, ch *change) {
	if f.inMeasuredTime(ch.madeAt) {
		recordDuration(c.propagation, f.now-ch.madeAt)
	}
}

// meter measures the module's processor time by wall-clock time, which includes what else the machine does meanwhile.
type meter struct {
	events, timed, lists int64
	eventTime, listTime  time.Duration
	calls                int64
	startedAt            time.Time
}

// start begins to time a module event if it is a list event or one of the samples. stop ends it.
func (m *meter) start(list bool) {
	if !list {
		m.events++
	}
	if list || m.events%meterSampleInterval == 0 {
		m.startedAt = time.Now()
	}
}

func (m *meter) stop(list bool) {
	if list {
		m.lists++
		m.listTime += time.Since(m.startedAt)
	} else if m.events%meterSampleInterval == 0 {
		m.timed++
		m.eventTime += time.Since(m.startedAt)
	}
}

// heapInUse returns the heap in use in bytes without stopping the program.
func heapInUse() int64 {
	sample := [1]metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample[:])
	return int64(sample[0].Value.Uint64())
}

// liveHeap returns the heap in use in bytes after a garbage collection.
func liveHeap() int64 {
	runtime.GC()
	return heapInUse()
}

func (f *fleet) result(started time.Time) *experiment.Result {
	e, virtual := f.exp, float64(f.measureEnd-f.measureFrom)/1e9
	r := &experiment.Result{
		Name: e.Name, Seed: e.Seed, Version: version(), VirtualSeconds: virtual, RealSeconds: time.Since(started).Seconds(),
		PeakHeapMB: float64(f.peakHeap) / (1 << 20), Sidecars: len(f.sidecars),
		HeapPerSidecarKB: float64(f.initialHeap) / 1024 / float64(max(len(f.sidecars), 1)), SimulatedShares: map[string]float64{},
		Calls: f.totals.result(), Series: f.seconds, Violations: f.violations,
	}
	for i := range f.services {
		s := &f.services[i]
		if s.simulatedShare < 1 {
			r.SimulatedShares[s.Name] = s.simulatedShare
		}
		r.Violations.ColdCrashes += int64(s.coldCrashes)
		r.Services = append(r.Services, experiment.ServiceResult{
			Name: s.Name, Calls: s.stats.result(), ColdCrashes: s.coldCrashes, WorstColdRatio: s.worstColdRatio,
		})
		for k := range s.changeLog {
			if c := &s.changeLog[k]; f.inMeasuredTime(c.madeAt) && c.remaining > 0 {
				r.Control.UnpropagatedChanges++
			}
		}
	}
	for i := range f.calls {
		if c := &f.calls[i]; c.measured && c.openIndex >= 0 && !c.ended && c.tier >= 0 {
			r.Violations.Unanswered++
		}
	}
	f.controlResult(&r.Control, virtual)
	for i := range f.faults {
		r.Faults = append(r.Faults, f.faultResult(i))
		switch f.faults[i].Kind {
		case "down", "silent", "refusing":
			if resync := r.Faults[i].ResyncMax; resync < 0 || r.Control.ResyncMax < 0 {
				r.Control.ResyncMax = -1
			} else {
				r.Control.ResyncMax = max(r.Control.ResyncMax, resync)
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
	traffic, meter := &f.control, &f.meter
	r.CallsPerSecond = float64(calls) / virtual
	r.RefusedCalls, r.PeakQueue = traffic.refusedCalls, traffic.peakQueue
	r.DiscoveryUtilization = float64(traffic.busyTime) / 1e9 / virtual / float64(len(f.discovery.instances))
	r.SidecarBytesPerSecond = float64(traffic.sidecarBytes) / virtual / float64(max(len(f.sidecars), 1))
	r.DiscoveryBytesPerSecond = float64(traffic.discoveryBytes) / virtual
	if meter.timed > 0 && meter.calls > 0 {
		perEvent := float64(meter.eventTime.Nanoseconds()) / float64(meter.timed) / 1000
		r.ModuleMicrosPerCall = perEvent * float64(meter.events) / float64(meter.calls)
	}
	if meter.lists > 0 {
		r.ModuleMicrosPerList = float64(meter.listTime.Nanoseconds()) / float64(meter.lists) / 1000
	}
	if traffic.propagation.TotalCount() > 0 {
		r.PropagationP50, r.PropagationP99 = quantile(traffic.propagation, 50), quantile(traffic.propagation, 99)
		r.PropagationMax = float64(traffic.propagation.Max()) / 1000
	}
}

// faultResult computes the impact of a fault. The fleet has recovered in the first second after the fault's end in which the
// share of served calls is at most one percentage point below that of the ten seconds before the fault.
func (f *fleet) faultResult(i int) experiment.FaultResult {
	ft := &f.faults[i]
	r := experiment.FaultResult{Fault: ft.Kind, At: toMillis(ft.at - f.measureFrom), RecoveryTime: -1, ResyncMax: -1}
	if ft.Target != "" {
		r.Fault += " " + ft.Target
	}
	first, offered, served := int((ft.at-f.measureFrom)/1e9), 0.0, 0.0
	for k := max(first-baselineSeconds, 0); k < min(first, len(f.seconds)); k++ {
		offered += float64(f.seconds[k].Offered)
		served += float64(f.seconds[k].Served)
	}
	share := 1.0
	if offered > 0 {
		share = served / offered
	}
	end, last := float64(ft.endAt-f.measureFrom)/1e9, len(f.seconds)
	for k := int(math.Ceil(end)); k < len(f.seconds); k++ {
		if s := &f.seconds[k]; float64(s.Served) >= (share-recoveryTolerance)*float64(s.Offered) {
			r.RecoveryTime, last = 1000*(float64(k)-end), k
			break
		}
	}
	for k := first; k < last; k++ {
		s := &f.seconds[k]
		r.LostCalls += s.Refused + s.Failed + s.Late
	}
	resyncSecond := len(f.seconds) // second in which discovery has reached all tiers
	for k := range f.faultEnds {
		if e := &f.faultEnds[k]; int(e.fault) == i {
			if e.remaining == 0 {
				r.ResyncMax = toMillis(e.resyncTime)
				resyncSecond = int(math.Ceil(end + float64(e.resyncTime)/1e9))
			}
		}
	}
	for k := first; k < min(max(last, resyncSecond), len(f.seconds)); k++ {
		r.ListCalls += f.seconds[k].ListCalls
	}
	return r
}
