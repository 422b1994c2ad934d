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

// service is one service of the call graph with its state and the values derived from the graph.
type service struct {
	experiment.Service
	firstEndpoint            int32   // its endpoints are contiguous from this index
	frontSidecars            []int32 // indexes of its front sidecars
	tiers                    []int32 // all modules that balance for it, in the order of their ranks
	callees                  []int32 // services that it calls, in the order of the modules of each of its sidecars
	calls                    []callSpec
	depth                    int     // longest path in the call graph to it
	height                   int     // longest path in the call graph from it
	totalRate                float64 // calls per second of all its callers, including those that are not simulated
	simulatedShare           float64 // share of them that is simulated
	startRate                rate    // rate at which its endpoints start requests
	endpointsUp              int     // number of endpoints that are up
	clientRand               randSource
	rateFactor               float64 // factor of the client rate, changed by bursts
	arrivalGen               uint16  // generation of the pending client call
	initialList, currentList []forkline.ServerEntry
	changeLog                []change // changes that discovery knows; their number is the version of the list
	stats                    callStats
	coldCrashes              int
	worstColdRatio           float64
}

// callSpec is one edge of the call graph.
type callSpec struct {
	tier           int     // index among the modules of the sidecar
	timesSimulated float64 // simulated calls for each simulated request of the caller
}

// rate is an exponential moving average of events per second with a time constant of 1 s.
type rate struct {
	perSecond float64
	at        int64
}

func (r *rate) add(now int64) {
	r.perSecond = r.value(now) + 1
	r.at = now
}

func (r *rate) value(now int64) float64 { return r.perSecond * math.Exp(float64(r.at-now)/1e9) }

var errInvalid = errors.New("fleet: invalid experiment")

// planServices computes the call graph: the callees, depths and rates of all services.
func planServices(e *experiment.Experiment) ([]service, error) {
	services := make([]service, len(e.Services))
	number := make(map[string]int, len(services))
	for i, s := range e.Services {
		if s.SimulatedShare == 0 {
			s.SimulatedShare = 1
		}
		if s.Endpoints < 1 || !(s.Cores > 0) || s.MeanWork <= 0 || s.Slots < 1 || s.SimulatedShare < 0 || s.SimulatedShare > 1 ||
			s.ClientRate < 0 {
			return nil, fmt.Errorf("%w: service %q: invalid endpoints, cores, work, slots, thin or rate", errInvalid, s.Name)
		}
		services[i] = service{Service: s, rateFactor: 1}
		number[s.Name] = i
	}
	calledBy := make([]int, len(services)) // number of callers that are not in order yet
	for i := range services {
		s := &services[i]
		for _, c := range s.Calls {
			to, ok := number[c.To]
			if !ok || c.Times < 0 {
				return nil, fmt.Errorf("%w: service %q calls %q %v times", errInvalid, s.Name, c.To, c.Times)
			}
			tier := -1
			for k, callee := range s.callees {
				if int(callee) == to {
					tier = k
				}
			}
			if tier < 0 {
				tier = len(s.callees)
				s.callees = append(s.callees, int32(to))
				calledBy[to]++
			}
			s.calls = append(s.calls, callSpec{tier: tier, timesSimulated: c.Times})
		}
	}
	var order []int
	for i, n := range calledBy {
		if n == 0 {
			order = append(order, i)
		}
	}
	simulated := make([]float64, len(services))
	for k := 0; k < len(order); k++ {
		s := &services[order[k]]
		if s.FrontSidecars > 0 {
			s.totalRate += s.ClientRate
			simulated[order[k]] += s.ClientRate * s.SimulatedShare
		}
		if s.simulatedShare = s.SimulatedShare; s.totalRate > 0 {
			s.simulatedShare = simulated[order[k]] / s.totalRate
		}
		for c := range s.calls {
			spec := &s.calls[c]
			to := int(s.callees[spec.tier])
			services[to].totalRate += s.totalRate * spec.timesSimulated
			spec.timesSimulated *= min(1, services[to].SimulatedShare/max(s.simulatedShare, 1e-9))
			simulated[to] += simulated[order[k]] * spec.timesSimulated
			services[to].depth = max(services[to].depth, s.depth+1)
		}
		for _, to := range s.callees {
			if calledBy[to]--; calledBy[to] == 0 {
				order = append(order, int(to))
			}
		}
	}
	if len(order) < len(services) {
		return nil, fmt.Errorf("%w: the call graph has a cycle", errInvalid)
	}
	for k := len(order) - 1; k >= 0; k-- {
		s := &services[order[k]]
		for _, to := range s.callees {
			s.height = max(s.height, services[to].height+1)
		}
	}
	return services, nil
}

// moduleSettings returns the settings of one module.
func (f *fleet) moduleSettings(s *service, front bool, rank int, loc location) forkline.Settings {
	cfg := &f.exp.Sidecar
	settings := forkline.Settings{
		Copies: len(s.tiers), Rank: rank, Zone: int(loc.zone), PollList: !f.exp.Discovery.Pushed,
		Classes: f.classes,
		Limits: forkline.Limits{
			MaxAttempts: cfg.MaxAttempts, CancelAttempts: true, IdleTimeout: toMillis(int64(cfg.IdleTimeout)), MaxStreams: 1,
		},
		Safety: forkline.Safety{
			AnswerSlack: toMillis(toNanos(answerSlack)), DrainGrace: toMillis(int64(cfg.DrainGrace)), ColdCapacity: cfg.ColdCapacity,
			RampTime: toMillis(int64(cfg.RampTime)), OverloadMultiple: cfg.OverloadMultiple,
			OverloadWindow: toMillis(int64(cfg.OverloadWindow)), PollInterval: toMillis(int64(cfg.PollInterval)),
		},
	}
	settings.Stages = s.height + 1
	if !front {
		settings.Stage, settings.Stages = s.depth, s.depth+s.height+1
	}
	return settings
}

func moduleClasses(classes []experiment.Class) ([]forkline.Class, error) {
	effects := map[string]forkline.Effect{"": forkline.Safe, "safe": forkline.Safe, "keyed": forkline.Keyed,
		"unsafe": forkline.Unsafe}
	var all []forkline.Class
	for _, c := range classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return nil, fmt.Errorf("%w: class %q: unknown effect %q", errInvalid, c.Name, c.Effect)
		}
		m := forkline.Class{
			Name: c.Name, Value: c.Value, TargetLatency: toMillis(int64(c.TargetLatency)), Timeout: toMillis(int64(c.Timeout)),
			Effect: effect,
		}
		if effect == forkline.Keyed {
			m.DedupWindow = m.Timeout // all endpoints of a service remember a key for as long as its call can last
		}
		all = append(all, m)
	}
	return all, nil
}

// buildTopology creates the endpoints and sidecars. Endpoints and front sidecars are distributed round-robin over the zones,
// and over the racks of each zone.
func (f *fleet) buildTopology() error {
	e := f.exp
	var zones []location
	var racks []int
	for r, region := range e.Regions {
		for range max(region.Zones, 1) {
			zones = append(zones, location{region: uint8(r), zone: uint8(len(zones))})
			racks = append(racks, max(region.Racks, 1))
		}
	}
	if len(zones) == 0 || len(zones) > 200 || len(e.Classes) == 0 || len(f.services) == 0 {
		return fmt.Errorf("%w: it has %d zones, %d classes and %d services", errInvalid, len(zones), len(e.Classes),
			len(f.services))
	}
	f.net = network{Network: e.Network, splits: make([]int, len(e.Regions))}
	f.racks = racks
	f.zoneFrom = make([]int, len(e.Regions))
	for i := len(zones) - 1; i >= 0; i-- {
		f.zoneFrom[zones[i].region] = i
	}
	placedInZone := make([]int, len(zones))
	nextLocation := func(n int) location {
		loc := zones[n%len(zones)]
		loc.rack = uint16(placedInZone[loc.zone] % racks[loc.zone])
		placedInZone[loc.zone]++
		return loc
	}
	nextIndex := 0
	for i := range f.services {
		s := &f.services[i]
		s.clientRand = newRandSource(e.Seed, actorClients, i)
		s.stats.init()
		s.firstEndpoint, s.endpointsUp = int32(len(f.endpoints)), s.Endpoints
		for range s.Endpoints {
			loc := nextLocation(nextIndex)
			nextIndex++
			sidecarID := int32(-1)
			if len(s.callees) > 0 {
				sidecarID = f.addSidecar(loc, int32(len(f.endpoints)), s.callees)
			}
			f.endpoints = append(f.endpoints, endpoint{service: int32(i), sidecar: sidecarID, location: loc, up: true,
				startedAt: -1, randSource: newRandSource(e.Seed, actorEndpoint, len(f.endpoints))})
		}
	}
	for i := range f.services {
		s := &f.services[i]
		for range s.FrontSidecars {
			s.frontSidecars = append(s.frontSidecars, f.addSidecar(nextLocation(nextIndex), -1, []int32{int32(i)}))
			nextIndex++
		}
		s.initialList = make([]forkline.ServerEntry, s.Endpoints)
		for k := range s.initialList {
			s.initialList[k] = f.serverEntry(s.firstEndpoint+int32(k), forkline.Ready)
		}
		s.currentList = append([]forkline.ServerEntry(nil), s.initialList...)
	}
	perZone := make([]int, len(zones))
	for i := range f.services {
		clear(perZone)
		tiers := f.services[i].tiers
		// Ranks alternate between the zones, as the module assigns servers; unequal zones shift the pattern.
		for _, t := range tiers {
			zone := f.sidecars[f.tiers[t].sidecar].zone
			f.tiers[t].rank = int32(perZone[zone]*len(zones) + int(zone))
			perZone[zone]++
			f.tiers[t].conns = make([]connPool, f.services[i].Endpoints)
		}
		slices.SortFunc(tiers, func(a, b int32) int { return cmp.Compare(f.tiers[a].rank, f.tiers[b].rank) })
		for rank, t := range tiers {
			f.tiers[t].rank = int32(rank)
		}
	}
	f.buildDiscovery()
	return nil
}

// addSidecar adds a sidecar with a tier for each callee and returns its index.
func (f *fleet) addSidecar(loc location, endpoint int32, callees []int32) int32 {
	id := int32(len(f.sidecars))
	sc := sidecar{location: loc, endpoint: endpoint, firstTier: int32(len(f.tiers)), endTier: int32(len(f.tiers) + len(callees)),
		randSource: newRandSource(f.exp.Seed, actorSidecar, int(id))}
	f.sidecars = append(f.sidecars, sc)
	for _, s := range callees {
		f.services[s].tiers = append(f.services[s].tiers, int32(len(f.tiers)))
		f.tiers = append(f.tiers, tier{sidecar: id, service: s})
	}
	return id
}

// serverEntry returns the list entry of an endpoint. Each successor has its own server id: the id modulo the number of
// endpoints is the endpoint, the quotient is its generation.
func (f *fleet) serverEntry(e int32, state forkline.ServerState) forkline.ServerEntry {
	ep := &f.endpoints[e]
	started := 0.0
	if ep.startedAt > 0 {
		started = toMillis(ep.startedAt)
	}
	return forkline.ServerEntry{
		Server: uint32(e) + uint32(ep.gen)*uint32(len(f.endpoints)), Zone: ep.zone, State: state, Weight: 1, Started: started,
	}
}

// findEndpoint returns the endpoint of a server id. current is false if another generation of it is running now.
func (f *fleet) findEndpoint(server uint32) (e int32, current bool) {
	n := uint32(len(f.endpoints))
	e = int32(server % n)
	return e, uint32(f.endpoints[e].gen) == server/n
}

// locationFilter returns a function that reports whether a location is in the target, which has the form "region/zone" or
// "region/zone/rack", all numbers.
func (f *fleet) locationFilter(kind, target string) (func(location) bool, error) {
	parts := strings.Split(target, "/")
	var numbers []int
	for _, part := range parts {
		if v, err := strconv.Atoi(part); err == nil && v >= 0 {
			numbers = append(numbers, v)
		}
	}
	wantParts := 2
	if kind == "rack" {
		wantParts = 3
	}
	if len(numbers) != len(parts) || len(numbers) != wantParts || numbers[0] >= len(f.zoneFrom) ||
		numbers[1] >= max(f.exp.Regions[numbers[0]].Zones, 1) ||
		wantParts == 3 && numbers[2] >= f.racks[f.zoneFrom[numbers[0]]] {
		return nil, fmt.Errorf("%w: there is no %s %q", errInvalid, kind, target)
	}
	zone := uint8(f.zoneFrom[numbers[0]] + numbers[1])
	return func(loc location) bool { return loc.zone == zone && (wantParts == 2 || int(loc.rack) == numbers[2]) }, nil
}

func (f *fleet) regionNumber(target string) (int, error) {
	for i, r := range f.exp.Regions {
		if r.Name == target || fmt.Sprint(i) == target {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: there is no region %q", errInvalid, target)
}

// serviceByName returns the index of a service, or -1 for "", which means any or all.
func (f *fleet) serviceByName(name string) (int, error) {
	if name == "" {
		return -1, nil
	}
	for i := range f.services {
		if f.services[i].Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: there is no service %q", errInvalid, name)
}

func seconds(d experiment.Duration) float64 { return time.Duration(d).Seconds() }
