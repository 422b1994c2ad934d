package fleet

import (
	"fmt"
	"time"

	"forkline"
	"forkline/internal/experiment"
)

const (
	restartDelay    = time.Second     // time from the end of an endpoint to the start of its successor
	maxDrainTimeout = 3 * time.Second // longest time after the drain grace that a request gets to finish
)

// fault is a fault of the experiment with the endpoints and front sidecars that it took down.
type fault struct {
	experiment.Fault
	randSource
	service       int // -1 for any or all
	region        int
	matches       func(location) bool
	endpoints     []int32
	frontSidecars []int32
	at, endAt     int64
}

// faultEnd is the end of a fault with the number of tiers that discovery has not reached since.
type faultEnd struct {
	fault      int32
	remaining  int32
	endedAt    int64
	resyncTime int64 // time from the end until discovery had reached all tiers; 0 if it has not yet
}

// buildFaults validates the experiment's faults and schedules their starts.
func (f *fleet) buildFaults() error {
	for i, spec := range f.exp.Faults {
		ft := fault{Fault: spec, randSource: newRandSource(f.exp.Seed, actorFault, i), service: -1}
		var err error
		switch spec.Kind {
		case "machine", "restart", "changes", "burst":
			ft.service, err = f.serviceByName(spec.Target)
		case "rack", "zone":
			ft.matches, err = f.locationFilter(spec.Kind, spec.Target)
		case "split":
			ft.region, err = f.regionNumber(spec.Target)
		case "down", "silent", "refusing":
		default:
			err = fmt.Errorf("%w: unknown kind", errInvalid)
		}
		if err == nil && (spec.At < 0 || spec.Duration < 0 || spec.Count < 0 || spec.Kind == "burst" && !(spec.Factor > 0)) {
			err = fmt.Errorf("%w: invalid times, count or factor", errInvalid)
		}
		if err != nil {
			return fmt.Errorf("fault %d, %q: %w", i, spec.Kind, err)
		}
		ft.at = f.measureFrom + int64(spec.At)
		ft.endAt = ft.at + int64(spec.Duration)
		f.faults = append(f.faults, ft)
		f.schedule(ft.at, evFaultBegins, int32(i), 0, 0)
	}
	return nil
}

// pickEndpoints draws Count endpoints that are up and not draining, of one service or of all.
func (f *fleet) pickEndpoints(ft *fault) []int32 {
	var candidates []int32
	for i := range f.endpoints {
		if e := &f.endpoints[i]; e.up && !e.draining && (ft.service < 0 || int(e.service) == ft.service) {
			candidates = append(candidates, int32(i))
		}
	}
	n := min(ft.Count, len(candidates))
	for i := range n {
		j := i + ft.intn(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

func (f *fleet) beginFault(id int32) {
	ft := &f.faults[id]
	d := &f.discovery
	switch ft.Kind {
	case "machine":
		ft.endpoints = f.pickEndpoints(ft)
		f.removeMachines(ft)
	case "rack", "zone":
		for i := range f.endpoints {
			if ft.matches(f.endpoints[i].location) {
				ft.endpoints = append(ft.endpoints, int32(i))
			}
		}
		for i := range f.sidecars {
			if sc := &f.sidecars[i]; sc.endpoint < 0 && ft.matches(sc.location) {
				ft.frontSidecars = append(ft.frontSidecars, int32(i))
			}
		}
		f.removeMachines(ft)
	case "split":
		f.net.splits[ft.region]++
		f.setSplit(ft.region, true)
	case "down":
		d.downFaults++
		f.breakWatches(false)
	case "silent":
		d.silentFaults++
		f.breakWatches(true)
	case "refusing":
		d.refusingFaults++
	case "restart":
		for k, e := range f.pickEndpoints(ft) {
			f.schedule(ft.at+int64(ft.Duration)*int64(k)/int64(ft.Count), evDrainBegins, e, f.endpoints[e].gen, 0)
		}
	case "changes":
		for k := range ft.Count {
			f.schedule(ft.at+int64(ft.Duration)*int64(k)/int64(ft.Count), evConfigChange, id, 0, 0)
		}
	case "burst":
		f.scaleBurst(ft, ft.Factor)
	}
	f.schedule(ft.endAt, evFaultEnds, id, 0, 0)
}

func (f *fleet) endFault(id int32) {
	ft := &f.faults[id]
	d := &f.discovery
	switch ft.Kind {
	case "machine", "rack", "zone":
		for _, e := range ft.endpoints {
			f.endpoints[e].downFaults--
			f.bringUp(e)
		}
		for _, sc := range ft.frontSidecars {
			if f.sidecars[sc].downFaults--; f.sidecars[sc].downFaults == 0 {
				f.startSidecar(sc)
			}
		}
	case "split":
		f.net.splits[ft.region]--
		if f.net.splits[ft.region] == 0 {
			f.splitEndedAt[ft.region] = f.now
			f.setSplit(ft.region, false)
		}
	case "down":
		d.downFaults--
	case "silent":
		d.silentFaults--
	case "refusing":
		d.refusingFaults--
	case "burst":
		f.scaleBurst(ft, 1/ft.Factor)
	}
	if ft.Kind == "down" || ft.Kind == "silent" || ft.Kind == "refusing" {
		d.reachableSince = f.now
		for i := range d.instances {
			if in := &d.instances[i]; d.responds() {
				f.writeChanges(in, in.allTiers)
			}
		}
	}
	end := faultEnd{fault: id, endedAt: f.now}
	for t := range f.tiers {
		if f.tiers[t].balancer != nil {
			end.remaining++
		}
	}
	f.faultEnds = append(f.faultEnds, end)
}

// removeMachines takes the machines of a fault down without closing their connections.
func (f *fleet) removeMachines(ft *fault) {
	for _, e := range ft.endpoints {
		ep := &f.endpoints[e]
		ep.downFaults++
		if ep.up {
			f.reportState(e, forkline.Removed)
		}
		f.takeDown(e, true)
	}
	for _, sc := range ft.frontSidecars {
		f.sidecars[sc].downFaults++
		f.stopSidecar(sc)
	}
}

// scaleBurst multiplies the client rates of the fault's services.
func (f *fleet) scaleBurst(ft *fault, factor float64) {
	for i := range f.services {
		if ft.service < 0 || ft.service == i {
			f.scaleClientRate(int32(i), factor)
		}
	}
}

// beginDrain starts the replacement of an endpoint. It finishes its requests, and has the drain grace for sidecars that have
// not been notified yet.
func (f *fleet) beginDrain(ev *event) {
	e := &f.endpoints[ev.id]
	if !e.up || e.draining || e.gen != ev.gen {
		return
	}
	e.draining, e.drainStart = true, f.now
	f.reportState(ev.id, forkline.Draining)
	maxTimeout := time.Duration(0)
	for _, c := range f.exp.Classes {
		maxTimeout = max(maxTimeout, time.Duration(c.Timeout))
	}
	f.schedule(f.now+int64(f.exp.Sidecar.DrainGrace)+toNanos(min(maxTimeout, maxDrainTimeout)), evDrainEnds, ev.id, e.gen, 0)
}

// endDrain ends an endpoint that has drained, and schedules its successor.
func (f *fleet) endDrain(ev *event) {
	e := &f.endpoints[ev.id]
	if !e.up || !e.draining || e.gen != ev.gen {
		return
	}
	f.reportState(ev.id, forkline.Removed)
	f.takeDown(ev.id, false)
	e.gen++
	e.drainKnownAt, e.predecessorKnownAt = 0, e.drainKnownAt
	f.schedule(f.now+toNanos(restartDelay), evSuccessorStarts, ev.id, e.gen, 0)
}

// changeConfig makes one configuration change, which is sent to all modules of the service or of all services.
func (f *fleet) changeConfig(id int32) {
	ft := &f.faults[id]
	for i := range f.services {
		if s := &f.services[i]; ft.service < 0 || ft.service == i {
			pending := pendingChange{service: int32(i), region: f.discovery.instances[0].region, config: true}
			pending.entry, pending.madeAt = s.currentList[ft.intn(len(s.currentList))], f.now
			f.discovery.pendingChanges = append(f.discovery.pendingChanges, pending)
			f.schedule(f.now+int64(f.exp.Discovery.Lag), evDiscoveryLearns, 0, 0, uint64(len(f.discovery.pendingChanges)-1))
		}
	}
}
