package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkline"
	"forkline/internal/experiment"
)

// service is one service of the graph with what follows from the whole of it.
type service struct {
	experiment.Service
	first     int32   // its endpoints stand together from this one on
	fronts    []int32 // processes at its front
	tiers     []int32 // all modules that balance for it
	inner     []int32 // services it calls, in the order of the modules of each of its processes
	calls     []callSpec
	depth     int     // longest way from a front
	height    int     // longest way to a service that calls none
	trueRate  float64 // calls a second that all its callers together make
	share     float64 // of them that are played
	started   rate    // requests that its endpoints began
	up        int     // endpoints that are up
	clients   source
	factor    float64 // of the clients' rate, by bursts
	arrivals  uint16  // generation of the pending arrival
	base, cur []forkline.ServerEntry
	log       []change // what discovery knows, the version is the number of changes
	stats     callStats
	falls     int
	worstCold float64
}

// callSpec is one edge of the call graph: so many calls are played for each request that is played.
type callSpec struct {
	tier   int // number among the modules of the process
	played float64
}

// rate is calls a second, smoothed over a second.
type rate struct {
	perSecond float64
	at        int64
}

func (r *rate) add(now int64) {
	r.perSecond = r.value(now) + 1
	r.at = now
}

func (r *rate) value(now int64) float64 { return r.perSecond * math.Exp(float64(r.at-now)/1e9) }

var errShape = errors.New("fleet: the experiment cannot be played")

// plan works out the graph: who calls whom, how deep, and how often.
func plan(e *experiment.Experiment) ([]service, error) {
	services := make([]service, len(e.Services))
	number := make(map[string]int, len(services))
	for i, s := range e.Services {
		if s.SimulatedShare == 0 {
			s.SimulatedShare = 1
		}
		if s.Endpoints < 1 || !(s.Cores > 0) || s.MeanWork <= 0 || s.Slots < 1 || s.SimulatedShare < 0 || s.SimulatedShare > 1 || s.ClientRate < 0 {
			return nil, fmt.Errorf("%w: service %q: endpoints, cores, work, slots or thin", errShape, s.Name)
		}
		services[i] = service{Service: s, factor: 1}
		number[s.Name] = i
	}
	calledBy := make([]int, len(services)) // callers not yet ranked
	for i := range services {
		s := &services[i]
		for _, c := range s.Calls {
			to, ok := number[c.To]
			if !ok || c.Times < 0 {
				return nil, fmt.Errorf("%w: service %q calls %q %v times", errShape, s.Name, c.To, c.Times)
			}
			tier := -1
			for k, known := range s.inner {
				if int(known) == to {
					tier = k
				}
			}
			if tier < 0 {
				tier = len(s.inner)
				s.inner = append(s.inner, int32(to))
				calledBy[to]++
			}
			s.calls = append(s.calls, callSpec{tier: tier, played: c.Times})
		}
	}
	var order []int
	for i, n := range calledBy {
		if n == 0 {
			order = append(order, i)
		}
	}
	played := make([]float64, len(services))
	for k := 0; k < len(order); k++ {
		s := &services[order[k]]
		if s.FrontSidecars > 0 {
			s.trueRate += s.ClientRate
			played[order[k]] += s.ClientRate * s.SimulatedShare
		}
		if s.share = s.SimulatedShare; s.trueRate > 0 {
			s.share = played[order[k]] / s.trueRate
		}
		for c := range s.calls {
			spec := &s.calls[c]
			to := int(s.inner[spec.tier])
			services[to].trueRate += s.trueRate * spec.played
			spec.played *= min(1, services[to].SimulatedShare/max(s.share, 1e-9))
			played[to] += played[order[k]] * spec.played
			services[to].depth = max(services[to].depth, s.depth+1)
		}
		for _, to := range s.inner {
			if calledBy[to]--; calledBy[to] == 0 {
				order = append(order, int(to))
			}
		}
	}
	if len(order) < len(services) {
		return nil, fmt.Errorf("%w: services call each other in a ring", errShape)
	}
	for k := len(order) - 1; k >= 0; k-- {
		s := &services[order[k]]
		for _, to := range s.inner {
			s.height = max(s.height, services[to].height+1)
		}
	}
	return services, nil
}

// settings are those of one module.
func (f *fleet) settings(s *service, front bool, rank int, at place) forkline.Settings {
	side := &f.exp.Sidecar
	set := forkline.Settings{
		Copies: len(s.tiers), Rank: rank, Zone: int(at.zone), PollList: !f.exp.Discovery.Pushed,
		Classes: f.classes,
		Limits: forkline.Limits{
			MaxAttempts: side.MaxAttempts, CancelAttempts: true, IdleTimeout: ms(int64(side.IdleTimeout)), MaxStreams: 1,
		},
		Safety: forkline.Safety{
			AnswerSlack: ms(ns(answerSlack)), DrainGrace: ms(int64(side.DrainGrace)), ColdCapacity: side.ColdCapacity,
			RampTime: ms(int64(side.RampTime)), OverloadMultiple: side.OverloadMultiple, OverloadWindow: ms(int64(side.OverloadWindow)),
			PollInterval: ms(int64(side.PollInterval)),
		},
	}
	set.Stages = s.height + 1
	if !front {
		set.Stage, set.Stages = s.depth, s.depth+s.height+1
	}
	return set
}

func moduleClasses(classes []experiment.Class) ([]forkline.Class, error) {
	effects := map[string]forkline.Effect{"": forkline.Safe, "safe": forkline.Safe, "keyed": forkline.Keyed,
		"unsafe": forkline.Unsafe}
	var all []forkline.Class
	for _, c := range classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return nil, fmt.Errorf("%w: class %q: effect %q", errShape, c.Name, c.Effect)
		}
		m := forkline.Class{
			Name: c.Name, Value: c.Value, TargetLatency: ms(int64(c.TargetLatency)), Timeout: ms(int64(c.Timeout)), Effect: effect,
		}
		if effect == forkline.Keyed {
			m.DedupWindow = m.Timeout // all endpoints of a service remember a key for as long as its call may last
		}
		all = append(all, m)
	}
	return all, nil
}

// build lays the fleet out: endpoints and front sidecars are dealt out over the zones, and over the racks of each.
func (f *fleet) build() error {
	e := f.exp
	var zones []place
	var racks []int
	for r, region := range e.Regions {
		for range max(region.Zones, 1) {
			zones = append(zones, place{region: uint8(r), zone: uint8(len(zones))})
			racks = append(racks, max(region.Racks, 1))
		}
	}
	if len(zones) == 0 || len(zones) > 200 || len(e.Classes) == 0 || len(f.services) == 0 {
		return fmt.Errorf("%w: it has %d zones, %d classes and %d services", errShape, len(zones), len(e.Classes),
			len(f.services))
	}
	f.net = network{Network: e.Network, split: make([]int, len(e.Regions))}
	f.racks = racks
	f.zoneFrom = make([]int, len(e.Regions))
	for i := len(zones) - 1; i >= 0; i-- {
		f.zoneFrom[zones[i].region] = i
	}
	dealt := make([]int, len(zones))
	deal := func(n int) place {
		p := zones[n%len(zones)]
		p.rack = uint16(dealt[p.zone] % racks[p.zone])
		dealt[p.zone]++
		return p
	}
	turn := 0
	for i := range f.services {
		s := &f.services[i]
		s.clients = newSource(e.Seed, actorClients, i)
		s.stats.init()
		s.first, s.up = int32(len(f.endpoints)), s.Endpoints
		for range s.Endpoints {
			at := deal(turn)
			turn++
			process := int32(-1)
			if len(s.inner) > 0 {
				process = f.addProcess(at, int32(len(f.endpoints)), s.inner)
			}
			f.endpoints = append(f.endpoints, endpoint{service: int32(i), process: process, place: at, up: true,
				started: -1, source: newSource(e.Seed, actorEndpoint, len(f.endpoints))})
		}
	}
	for i := range f.services {
		s := &f.services[i]
		for range s.FrontSidecars {
			s.fronts = append(s.fronts, f.addProcess(deal(turn), -1, []int32{int32(i)}))
			turn++
		}
		s.base = make([]forkline.ServerEntry, s.Endpoints)
		for k := range s.base {
			s.base[k] = f.entry(s.first+int32(k), forkline.Ready)
		}
		s.cur = append([]forkline.ServerEntry(nil), s.base...)
	}
	perZone := make([]int, len(zones))
	for i := range f.services {
		clear(perZone)
		tiers := f.services[i].tiers
		for _, t := range tiers { // zone by zone in turn, as the module deals servers out; unequal zones shift that
			at := f.processes[f.tiers[t].process].zone
			f.tiers[t].rank = int32(perZone[at]*len(zones) + int(at))
			perZone[at]++
			f.tiers[t].conns = make([]conn, f.services[i].Endpoints)
		}
		slices.SortFunc(tiers, func(a, b int32) int { return cmp.Compare(f.tiers[a].rank, f.tiers[b].rank) })
		for rank, t := range tiers {
			f.tiers[t].rank = int32(rank)
		}
	}
	f.buildDiscovery()
	return nil
}

func (f *fleet) addProcess(at place, owner int32, called []int32) int32 {
	id := int32(len(f.processes))
	p := process{place: at, endpoint: owner, tierFrom: int32(len(f.tiers)), tierTo: int32(len(f.tiers) + len(called)),
		source: newSource(f.exp.Seed, actorProcess, int(id))}
	f.processes = append(f.processes, p)
	for _, s := range called {
		f.services[s].tiers = append(f.services[s].tiers, int32(len(f.tiers)))
		f.tiers = append(f.tiers, tier{process: id, service: s})
	}
	return id
}

// entry is what discovery tells of an endpoint. A successor has an id of its own, so ids tell the endpoint by
// remainder and its generation by quotient.
func (f *fleet) entry(e int32, state forkline.ServerState) forkline.ServerEntry {
	p := &f.endpoints[e]
	started := 0.0
	if p.started > 0 {
		started = ms(p.started)
	}
	return forkline.ServerEntry{
		Server: uint32(e) + uint32(p.gen)*uint32(len(f.endpoints)), Zone: p.zone, State: state, Weight: 1, Started: started,
	}
}

// find is the endpoint that an id names; current is false if it has been replaced.
func (f *fleet) find(server uint32) (e int32, current bool) {
	n := uint32(len(f.endpoints))
	e = int32(server % n)
	return e, uint32(f.endpoints[e].gen) == server/n
}

// targets tells what stands at a place: a zone is "region/zone" by numbers, a rack "region/zone/rack".
func (f *fleet) targets(kind, target string) (func(place) bool, error) {
	parts := strings.Split(target, "/")
	var n []int
	for _, p := range parts {
		if v, err := strconv.Atoi(p); err == nil && v >= 0 {
			n = append(n, v)
		}
	}
	wanted := 2
	if kind == "rack" {
		wanted = 3
	}
	if len(n) != len(parts) || len(n) != wanted || n[0] >= len(f.zoneFrom) || n[1] >= max(f.exp.Regions[n[0]].Zones, 1) ||
		wanted == 3 && n[2] >= f.racks[f.zoneFrom[n[0]]] {
		return nil, fmt.Errorf("%w: no %s is %q", errShape, kind, target)
	}
	zone := uint8(f.zoneFrom[n[0]] + n[1])
	return func(p place) bool { return p.zone == zone && (wanted == 2 || int(p.rack) == n[2]) }, nil
}

func (f *fleet) region(target string) (int, error) {
	for i, r := range f.exp.Regions {
		if r.Name == target || fmt.Sprint(i) == target {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: no region is %q", errShape, target)
}

// serviceNamed is -1 for "", which stands for any or all.
func (f *fleet) serviceNamed(name string) (int, error) {
	if name == "" {
		return -1, nil
	}
	for i := range f.services {
		if f.services[i].Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: no service is %q", errShape, name)
}

func seconds(d experiment.Duration) float64 { return time.Duration(d).Seconds() }
