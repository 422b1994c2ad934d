package fleet

import (
	"fmt"
	"time"

	"forkline"
	"forkline/internal/experiment"
)

const (
	startTime   = time.Second     // from the end of an endpoint to its successor's start
	longestStop = 3 * time.Second // longest time given to a request at a planned end
)

// fault is one of the experiment's, with what it has hit.
type fault struct {
	experiment.Fault
	source
	service   int // -1 = any or all
	region    int
	hits      func(place) bool
	endpoints []int32
	fronts    []int32
	at, until int64
}

// faultEnd is the end of a fault, and who has not heard of discovery since.
type faultEnd struct {
	fault   int32
	pending int32
	at      int64
	told    int64 // after it the last sidecar had; 0 = not yet
}

func (f *fleet) buildFaults() error {
	for i, spec := range f.exp.Faults {
		ft := fault{Fault: spec, source: newSource(f.exp.Seed, actorFault, i), service: -1}
		var err error
		switch spec.Kind {
		case "machine", "restart", "changes", "burst":
			ft.service, err = f.serviceNamed(spec.Target)
		case "rack", "zone":
			ft.hits, err = f.targets(spec.Kind, spec.Target)
		case "split":
			ft.region, err = f.region(spec.Target)
		case "down", "silent", "refusing":
		default:
			err = fmt.Errorf("%w: its kind is unknown", errShape)
		}
		if err == nil && (spec.At < 0 || spec.Duration < 0 || spec.Count < 0 || spec.Kind == "burst" && !(spec.Factor > 0)) {
			err = fmt.Errorf("%w: its times, count or factor", errShape)
		}
		if err != nil {
			return fmt.Errorf("fault %d, %q: %w", i, spec.Kind, err)
		}
		ft.at = f.from + int64(spec.At)
		ft.until = ft.at + int64(spec.Duration)
		f.faults = append(f.faults, ft)
		f.at(ft.at, evFault, int32(i), 0, 0)
	}
	return nil
}

// pick draws so many endpoints, of a service or of all, that are up.
func (f *fleet) pick(ft *fault) []int32 {
	var from []int32
	for i := range f.endpoints {
		if e := &f.endpoints[i]; e.up && !e.draining && (ft.service < 0 || int(e.service) == ft.service) {
			from = append(from, int32(i))
		}
	}
	n := min(ft.Count, len(from))
	for i := range n {
		j := i + ft.below(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

func (f *fleet) beginFault(id int32) {
	ft := &f.faults[id]
	d := &f.disco
	switch ft.Kind {
	case "machine":
		ft.endpoints = f.pick(ft)
		f.vanish(ft)
	case "rack", "zone":
		for i := range f.endpoints {
			if ft.hits(f.endpoints[i].place) {
				ft.endpoints = append(ft.endpoints, int32(i))
			}
		}
		for i := range f.processes {
			if p := &f.processes[i]; p.endpoint < 0 && ft.hits(p.place) {
				ft.fronts = append(ft.fronts, int32(i))
			}
		}
		f.vanish(ft)
	case "split":
		f.net.split[ft.region]++
		f.cut(ft.region, true)
	case "down":
		d.down++
		f.endWatches(false)
	case "silent":
		d.silent++
		f.endWatches(true)
	case "refusing":
		d.refusing++
	case "restart":
		for k, e := range f.pick(ft) {
			f.at(ft.at+int64(ft.Duration)*int64(k)/int64(ft.Count), evDrain, e, f.endpoints[e].gen, 0)
		}
	case "changes":
		for k := range ft.Count {
			f.at(ft.at+int64(ft.Duration)*int64(k)/int64(ft.Count), evChange, id, 0, 0)
		}
	case "burst":
		f.burst(ft, ft.Factor)
	}
	f.at(ft.until, evFaultEnd, id, 0, 0)
}

func (f *fleet) endFault(id int32) {
	ft := &f.faults[id]
	d := &f.disco
	switch ft.Kind {
	case "machine", "rack", "zone":
		for _, e := range ft.endpoints {
			f.endpoints[e].down--
			f.comeUp(e)
		}
		for _, p := range ft.fronts {
			if f.processes[p].down--; f.processes[p].down == 0 {
				f.startProcess(p)
			}
		}
	case "split":
		f.net.split[ft.region]--
		if f.net.split[ft.region] == 0 {
			f.splitUntil[ft.region] = f.now
			f.cut(ft.region, false)
		}
	case "down":
		d.down--
	case "silent":
		d.silent--
	case "refusing":
		d.refusing--
	case "burst":
		f.burst(ft, 1/ft.Factor)
	}
	if ft.Kind == "down" || ft.Kind == "silent" || ft.Kind == "refusing" {
		d.reachedFrom = f.now
		for i := range d.instances {
			if in := &d.instances[i]; d.speaks() {
				f.write(in, in.all)
			}
		}
	}
	end := faultEnd{fault: id, at: f.now}
	for t := range f.tiers {
		if f.tiers[t].balancer != nil {
			end.pending++
		}
	}
	f.ends = append(f.ends, end)
}

// vanish takes machines away without a word.
func (f *fleet) vanish(ft *fault) {
	for _, e := range ft.endpoints {
		ep := &f.endpoints[e]
		ep.down++
		if ep.up {
			f.note(e, forkline.Removed)
		}
		f.goDown(e, true)
	}
	for _, p := range ft.fronts {
		f.processes[p].down++
		f.endProcess(p)
	}
}

// burst has clients call so many times as often.
func (f *fleet) burst(ft *fault, factor float64) {
	for i := range f.services {
		if ft.service < 0 || ft.service == i {
			f.quicken(int32(i), factor)
		}
	}
}

// drain begins the replacement of an endpoint: it finishes what it has, and a grace is left for those not told yet.
func (f *fleet) drain(ev *event) {
	e := &f.endpoints[ev.id]
	if !e.up || e.draining || e.gen != ev.gen {
		return
	}
	e.draining, e.drainAt = true, f.now
	f.note(ev.id, forkline.Draining)
	longest := time.Duration(0)
	for _, c := range f.exp.Classes {
		longest = max(longest, time.Duration(c.Timeout))
	}
	f.at(f.now+int64(f.exp.Sidecar.DrainGrace)+ns(min(longest, longestStop)), evKill, ev.id, e.gen, 0)
}

func (f *fleet) kill(ev *event) {
	e := &f.endpoints[ev.id]
	if !e.up || !e.draining || e.gen != ev.gen {
		return
	}
	f.note(ev.id, forkline.Removed)
	f.goDown(ev.id, false)
	e.gen++
	e.knownAt, e.oldKnown = 0, e.knownAt
	f.at(f.now+ns(startTime), evStart, ev.id, e.gen, 0)
}

// configure makes one change of configuration: all modules of the service, or of all services, are told.
func (f *fleet) configure(id int32) {
	ft := &f.faults[id]
	for i := range f.services {
		if s := &f.services[i]; ft.service < 0 || ft.service == i {
			l := learning{service: int32(i), region: f.disco.instances[0].region, config: true}
			l.entry, l.made = s.cur[ft.below(len(s.cur))], f.now
			f.disco.learning = append(f.disco.learning, l)
			f.at(f.now+int64(f.exp.Discovery.Lag), evLearn, 0, 0, uint64(len(f.disco.learning)-1))
		}
	}
}
