package forkline

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"forkline/internal/stats"
)

// event is something that happens to a fleet at an instant of virtual time.
type event struct {
	at  float64
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// rampScenario is a fleet of copies in front of one tier, some servers of which start cold.
type rampScenario struct {
	name                  string
	copies, servers, cold int
	rate                  float64 // requests per second, over all copies
	heavyFactor           float64 // rate of every fifth copy, over that of the others; 0 = even
	zones                 int     // over which servers and copies are spread; 0 = 1
	notifyDelay           float64 // copies are notified up to this long after the start, in ms
	restartShare          float64 // share of the copies that restart during the ramp
	massRestarts          int     // times that all copies restart almost at once
	burstFactor           float64 // all rates rise by this factor for a while during the ramp; 0 = no burst
	draining              int     // warm servers that drain during the ramp
	startTogether         bool    // the copies start together with the servers
}

const (
	coldStartAt    = 1e6 + 12000.0 // cold servers start when the loads of the others are measured
	rampTime       = 16000.0
	overloadWindow = 2000.0
	coldCapacity   = 0.3
	loadFactor     = 0.5 // demand over the tier's capacity
	drainAt        = coldStartAt + 13000
	burstStart     = coldStartAt + 5000
	burstEnd       = coldStartAt + 8000
)

// testFleet runs a rampScenario with real balancers, in one loop.
type testFleet struct {
	rampScenario
	rng         *rand.Rand
	now         float64
	seq         int
	events      eventQueue
	balancers   []*Balancer
	generations []int
	notified    []bool
	request     uint32
	sends       map[uint32][]float64 // to each cold server
	freeAt      map[uint32]float64   // when a server will have finished its work
}

func (f *testFleet) schedule(at float64, do func()) {
	f.seq++
	heap.Push(&f.events, event{at, f.seq, do})
}

func (f *testFleet) list(withCold bool) []ServerEntry {
	entries := readyServers(f.servers)
	for i := range entries {
		entries[i].Zone = uint8(i % max(f.zones, 1))
	}
	for i := range entries[:f.draining] {
		if f.now >= drainAt {
			entries[i].State = Draining
		}
	}
	for i := range entries[f.servers-f.cold:] {
		entries[f.servers-f.cold+i].Started = coldStartAt
	}
	if !withCold {
		entries = entries[:f.servers-f.cold]
	}
	return entries
}

func (f *testFleet) startCopy(t *testing.T, i int) {
	t.Helper()
	settings := testSettings()
	settings.Copies, settings.Rank, settings.Zone = f.copies, i, i%max(f.zones, 1)
	settings.Classes = []Class{{TargetLatency: 2000, Timeout: 3000, Value: 1}}
	settings.Safety.ColdCapacity, settings.Safety.RampTime, settings.Safety.OverloadWindow = coldCapacity, rampTime, overloadWindow
	b, err := New(settings, f.rng.Uint64(), f.now)
	if err != nil {
		t.Fatal(err)
	}
	f.balancers[i] = b
	f.generations[i]++
	f.handle(i, Event{Kind: EvList, List: ListCached, Servers: f.list(f.notified[i])})
}

// handle passes an event to one copy; servers answer its requests in 10 to 40 ms.
func (f *testFleet) handle(i int, ev Event) {
	generation, firstCold := f.generations[i], uint32(100+f.servers-f.cold)
	later := func(after float64, ev Event) {
		f.schedule(f.now+after, func() {
			if f.generations[i] == generation {
				f.handle(i, ev)
			}
		})
	}
	for _, a := range f.balancers[i].Handle(f.now, &ev, nil) {
		switch a.Kind {
		case ActSend:
			if a.Server >= firstCold {
				f.sends[a.Server] = append(f.sends[a.Server], f.now)
			}
			latency := f.serviceLatency(a.Server)
			later(latency, Event{Kind: EvOutcome, Request: a.Request, Attempt: a.Attempt, Server: a.Server, Elapsed: latency, RequestDone: true})
		case ActTimer:
			later(a.Delay, Event{Kind: EvTimer, Token: a.Token})
		}
	}
}

// serviceLatency returns the latency of an answer: some work, and the wait behind earlier requests.
func (f *testFleet) serviceLatency(server uint32) float64 {
	capacity := f.rate / float64(f.servers) / loadFactor
	if server >= uint32(100+f.servers-f.cold) {
		capacity *= warmth(f.now)
	}
	freeAt := max(f.freeAt[server], f.now)
	f.freeAt[server] = freeAt + 1000/capacity
	return freeAt - f.now + 10 + 30*f.rng.Float64()
}

// demandFactor is the demand at a time over the scenario's rate.
func (f *testFleet) demandFactor(at float64) float64 {
	if f.burstFactor > 0 && at >= burstStart && at < burstEnd {
		return f.burstFactor
	}
	return 1
}

// numReady is the number of servers that are listed and ready.
func (f *testFleet) numReady(at float64) int {
	if at >= drainAt {
		return f.servers - f.draining
	}
	return f.servers
}

func (f *testFleet) scheduleArrivals(i int, rate float64) {
	maxFactor := max(f.burstFactor, 1)
	f.schedule(f.now+f.rng.ExpFloat64()*1000/(rate*maxFactor), func() {
		if f.rng.Float64()*maxFactor < f.demandFactor(f.now) {
			f.request++
			f.handle(i, Event{Kind: EvRequest, Request: f.request, Deadline: f.now + 3000})
		}
		f.scheduleArrivals(i, rate)
	})
}

func runScenario(t *testing.T, scenario rampScenario, seed uint64) *testFleet {
	t.Helper()
	f := &testFleet{
		rampScenario: scenario, rng: rand.New(rand.NewPCG(seed, 7)), now: 1e6, balancers: make([]*Balancer, scenario.copies),
		generations: make([]int, scenario.copies), notified: make([]bool, scenario.copies), sends: map[uint32][]float64{},
		freeAt: map[uint32]float64{},
	}
	if scenario.startTogether {
		f.now = coldStartAt
	}
	heavy := max(scenario.heavyFactor, 1)
	mean := (4 + heavy) / 5
	for i := range scenario.copies {
		f.notified[i] = scenario.startTogether
		f.startCopy(t, i)
		rate := scenario.rate / float64(scenario.copies)
		if scenario.heavyFactor > 0 && scenario.copies >= 5 {
			if rate /= mean; i%5 == 3 {
				rate *= heavy
			}
		}
		f.scheduleArrivals(i, rate)
		f.schedule(coldStartAt+scenario.notifyDelay*f.rng.Float64(), func() {
			if !f.notified[i] {
				f.notified[i] = true
				f.handle(i, Event{Kind: EvList, List: ListFull, Servers: f.list(true)})
			}
		})
		if scenario.draining > 0 {
			f.schedule(drainAt+300*f.rng.Float64(), func() {
				f.handle(i, Event{Kind: EvList, List: ListFull, Servers: f.list(f.notified[i])})
			})
		}
		if f.rng.Float64() < scenario.restartShare {
			f.schedule(coldStartAt+rampTime*f.rng.Float64(), func() { f.startCopy(t, i) })
		}
		for k := range scenario.massRestarts {
			f.schedule(coldStartAt+4000+1500*float64(k)+300*f.rng.Float64(), func() { f.startCopy(t, i) })
		}
	}
	for len(f.events) > 0 && f.events[0].at < coldStartAt+rampTime {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.do()
	}
	return f
}

// warmth is the share of its capacity that a cold server has at a time.
func warmth(at float64) float64 {
	return coldCapacity + (1-coldCapacity)*max(0, at-coldStartAt)/rampTime
}

// worstOverload is the largest ratio of the requests that a cold server got in a window to those that it can
// take: N + 2 * sqrt(N) + 2, where N is the given number of even shares of the demand, by its warmth, in the
// window. With an overload multiple of 3 a server of a tier that is asked for twice its capacity can take 1.5
// shares, and 4.5 in a tier that is loaded to two thirds.
func (f *testFleet) worstOverload(shares float64) float64 {
	worst := 0.0
	for _, times := range f.sends {
		from := 0
		for i, at := range times {
			for times[from] <= at-overloadWindow {
				from++
			}
			n := shares * f.rate / float64(f.servers) * warmth(times[from]) * overloadWindow / 1000
			worst = max(worst, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
		}
	}
	return worst
}

// usefulShare is what the cold servers got in sum, over an even share of the demand by their warmth.
func (f *testFleet) usefulShare() float64 {
	share, sends := 0.0, 0
	for at := coldStartAt; at < coldStartAt+rampTime; at += 10 {
		share += f.rate / float64(f.numReady(at)) * f.demandFactor(at) * warmth(at) * 0.01
	}
	for _, times := range f.sends {
		sends += len(times)
	}
	return float64(sends) / (share * float64(f.cold))
}

// runSeeds runs a scenario with a number of copies on some seeds. It returns the worst ratio, the worst
// against a plain even share, and the mean useful share.
func runSeeds(t *testing.T, scenario rampScenario, copies, seeds int) (worst, plainWorst, usefulShare float64) {
	t.Helper()
	scenario.copies = copies
	for seed := range seeds {
		f := runScenario(t, scenario, uint64(seed))
		worst, plainWorst, usefulShare = max(worst, f.worstOverload(1.5)), max(plainWorst, f.worstOverload(1)), usefulShare+f.usefulShare()/float64(seeds)
	}
	return worst, plainWorst, usefulShare
}

// Copies share no state, yet a cold server must get no more than it can take from all of them together,
// whatever their number. It must also get a useful part of that, or the warm servers would be overloaded.
func TestColdServersAreNotOverloadedByAllCopies(t *testing.T) {
	t.Parallel()
	for _, scenario := range []rampScenario{
		{name: "even", cold: 1},
		{name: "uneven", cold: 1, heavyFactor: 6},
		{name: "half of the tier cold", cold: 10, heavyFactor: 6},
		{name: "notified late", cold: 4, notifyDelay: 5000},
		{name: "three zones", cold: 6, zones: 3},
		{name: "restarts", cold: 4, heavyFactor: 6, restartShare: 1},
		{name: "restarts at once", cold: 4, massRestarts: 2},
		{name: "burst", cold: 4, burstFactor: 2.5},
		{name: "warm servers drain", cold: 10, draining: 6},
		{name: "most warm servers drain", cold: 10, draining: 9},
	} {
		for _, rate := range []float64{40, 240} {
			scenario, traffic, seeds := scenario, "sparse", 3
			if scenario.rate, scenario.servers = rate, 20; rate > 100 {
				traffic, seeds = "dense", 1
			}
			t.Run(traffic+"/"+scenario.name, func(t *testing.T) {
				t.Parallel()
				fewCopiesWorst, minUseful := 0.0, coldShare/3
				if scenario.massRestarts > 0 {
					minUseful /= 2 // a new copy gives no part before requests arrive
				}
				for _, copies := range []int{2, 10, 30, 100, 300} {
					worst, plain, useful := runSeeds(t, scenario, copies, seeds)
					t.Logf("%3d copies: worst %.2f of what a server can take (%.2f of a plain share), useful %.2f",
						copies, worst, plain, useful)
					if copies == 10 {
						fewCopiesWorst = worst
					}
					if worst > 1 {
						t.Errorf("%d copies: a cold server got %.2f of what it can take", copies, worst)
					}
					if useful < minUseful {
						t.Errorf("%d copies: cold servers got %.2f of an even share", copies, useful)
					}
					if worst > fewCopiesWorst+0.45 && copies > 10 {
						t.Errorf("the worst ratio rose from %.2f with 10 copies to %.2f with %d", fewCopiesWorst, worst, copies)
					}
				}
			})
		}
	}
}

// Where all servers are cold, as at the start of a deployment, every copy must send as far as they can take
// it.
func TestCopiesSendWhereAllServersAreCold(t *testing.T) {
	t.Parallel()
	scenario := rampScenario{servers: 20, cold: 20, rate: 240, startTogether: true}
	for _, copies := range []int{2, 10, 30, 100, 300} {
		if worst, _, useful := runSeeds(t, scenario, copies, 1); worst > 1 || useful < coldShare/2 {
			t.Errorf("%d copies: worst %.2f of what a server can take, useful %.2f", copies, worst, useful)
		}
	}
}

// The parts that all copies have in a cold server add up to its budget, and each start of a server allocates
// them to other copies.
func TestRampIsAllocatedInFull(t *testing.T) {
	for _, c := range []struct{ copies, servers int }{{1, 1}, {2, 40}, {17, 3}, {300, 60}, {300, 2}, {3000, 200}} {
		for warm := range 2 {
			sum, positions := 0.0, map[int]bool{}
			phases := make([]float64, 0, c.copies)
			for rank := range c.copies {
				r := newRamp(&Settings{Copies: c.copies, Rank: rank}, &ServerEntry{Server: 5, Started: 1e12}, 0)
				weight := r.weight(c.copies, c.servers, warm)
				sum, positions[r.position] = sum+weight, true
				if weight > 0 {
					phases = append(phases, r.phase())
				} else if warm == 0 {
					t.Errorf("%+v: copy %d may not send though all servers are cold", c, rank)
				}
			}
			if math.Abs(sum-float64(c.copies)) > 1e-6 || len(positions) != c.copies {
				t.Errorf("%+v: parts add up to %v of %d even ones, in %d positions", c, sum, c.copies, len(positions))
			}
			slices.Sort(phases)
			for i := range len(phases) - 1 {
				if gap := phases[i+1] - phases[i]; gap > 3/float64(len(phases)) {
					t.Errorf("%+v: gap of phases at %.3f of %.3f", c, phases[i], gap)
				}
			}
		}
	}
}

// A server with a start in the future must get a finite load, also with a ramp time of 0.
func TestColdServerWithoutRampTime(t *testing.T) {
	settings := testSettings()
	settings.Safety.RampTime = 0
	h := newHarness(t, settings, ServerEntry{Server: 1, Started: 5000})
	h.request(1, 0)
	if s := h.b.servers[1]; math.IsNaN(h.b.loadFor(s)) || math.IsNaN(s.credit) {
		t.Errorf("load %v, credit %v", h.b.loadFor(s), s.credit)
	}
}

// Credit that is not used in time is lost, except for its fraction.
func TestUnusedRampCreditIsLost(t *testing.T) {
	var r ramp
	credit := r.refill(0.8, 0.5, 1, 1000)
	if credit != 1.3 {
		t.Fatalf("credit %v, want 1.3", credit)
	}
	if credit = r.refill(credit, 0, 1, 1000+creditLifetime); credit != 1.3 {
		t.Errorf("credit %v within its lifetime, want 1.3", credit)
	}
	if credit = r.refill(credit, 0.1, 1, 1001+creditLifetime); math.Abs(credit-0.4) > 1e-9 {
		t.Errorf("credit %v after its lifetime, want 0.4", credit)
	}
	if credit = r.refill(0.4, 7, 1, 2000); math.Abs(credit-1.4) > 1e-9 {
		t.Errorf("credit %v for a burst of demand, want 1.4", credit)
	}
}

// A restarted server must not get its old load, nor a burst from all copies at once.
func TestColdServerIsNotOverloaded(t *testing.T) {
	coldSends, sends := 0, 0
	for seed := range uint64(40) {
		settings := testSettings()
		settings.Copies = 40
		b, _ := New(settings, seed, 0)
		entries := readyServers(3)
		entries[2].Started = 999
		b.Handle(1000, &Event{Kind: EvList, List: ListCached, Servers: entries}, nil)
		for i := range 20 {
			now := 1000 + 50*float64(i)
			for _, a := range b.Handle(now, &Event{Kind: EvRequest, Request: uint32(i), Deadline: now + 900}, nil) {
				if a.Kind != ActSend {
					continue
				}
				sends++
				if a.Server == 102 {
					coldSends++
				}
				b.Handle(now+10, &Event{Kind: EvOutcome, Request: a.Request, Server: a.Server, Elapsed: 10, RequestDone: true}, nil)
			}
		}
	}
	// An even share would be 0.33 of the sends; the cold server may get a fifth of that.
	if share := float64(coldSends) / float64(sends); share > 0.2*0.33*1.5 {
		t.Errorf("the cold server got %.3f of %d sends", share, sends)
	}
}

// The load that a copy may send to a cold server rises with the server's age from the initial capacity, and
// is a part of an even share of the copy's own arrivals: all copies together stay below one server's share.
func TestColdShareIsBounded(t *testing.T) {
	entries := readyServers(10)
	entries[9].Started = 1000
	h := newHarness(t, testSettings(), entries...)
	s := h.b.servers[entries[9].Server]
	h.b.arrivals = stats.Rate{PerSecond: 100, UpdatedAt: h.now}
	h.b.numMeasured, h.b.meanLoad = 1, 1e6
	for _, age := range []float64{0, 5000, 19999} {
		h.b.now = 1000 + age
		warmth := 0.2 + 0.8*age/20000
		if got, bound := h.b.loadFor(s), coldShare*10*warmth; got > bound+1e-9 || got < bound/2 {
			t.Errorf("age %v: load %v, want %v", age, got, bound)
		}
	}
	if h.b.now = 21001; h.b.loadFor(s) < 1e5 {
		t.Error("load still bounded when warm")
	}
}
