package forkline

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// happening is one thing that is to happen in a fleet, in virtual time.
type happening struct {
	at  float64
	seq int
	do  func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// coldDay is a fleet of copies before one tier, some servers of which start cold.
type coldDay struct {
	name                  string
	copies, servers, cold int
	rate                  float64 // requests a second, over all copies
	heavy                 float64 // rate of every fifth copy, over that of the others; 0 = even
	zones                 int     // servers and copies are spread over so many; 0 = 1
	late                  float64 // copies are told up to so long after the start
	restarts              float64 // part of the copies that start anew within the ramp
	herds                 int     // so many times all copies start anew almost at once
	burst                 float64 // all rates rise by this factor for a while in mid-ramp; 0 = not
	leave                 int     // so many warm servers drain in mid-ramp
	start                 bool    // the copies themselves start with the servers
}

const (
	coldAt     = 1e6 + 12000.0 // the cold servers start when the others' loads have been measured
	coldRamp   = 16000.0
	coldFall   = 2000.0
	coldFirst  = 0.3
	coldLoaded = 0.5 // part of the tier's capacity that the day's demand takes
	leaveAt    = coldAt + 13000
	burstFrom  = coldAt + 5000
	burstTo    = coldAt + 8000
)

// fleet plays a coldDay with real balancers, in one loop.
type fleet struct {
	coldDay
	rng       *rand.Rand
	now       float64
	seq       int
	next      happenings
	balancers []*Balancer
	lives     []int
	told      []bool
	request   uint32
	sends     map[uint32][]float64 // to each cold server
	free      map[uint32]float64   // when a server has done what it got
}

func (f *fleet) at(t float64, do func()) {
	f.seq++
	heap.Push(&f.next, happening{t, f.seq, do})
}

func (f *fleet) list(withCold bool) []ServerEntry {
	entries := ids(f.servers)
	for i := range entries {
		entries[i].Zone = uint8(i % max(f.zones, 1))
	}
	for i := range entries[:f.leave] {
		if f.now >= leaveAt {
			entries[i].State = Draining
		}
	}
	for i := range entries[f.servers-f.cold:] {
		entries[f.servers-f.cold+i].Started = coldAt
	}
	if !withCold {
		entries = entries[:f.servers-f.cold]
	}
	return entries
}

func (f *fleet) boot(t *testing.T, i int) {
	t.Helper()
	set := plain()
	set.Copies, set.Rank, set.Zone = f.copies, i, i%max(f.zones, 1)
	set.Classes = []Class{{TargetLatency: 2000, Timeout: 3000, Value: 1}}
	set.Safety.ColdCapacity, set.Safety.RampTime, set.Safety.OverloadWindow = coldFirst, coldRamp, coldFall
	b, err := New(set, f.rng.Uint64(), f.now)
	if err != nil {
		t.Fatal(err)
	}
	f.balancers[i] = b
	f.lives[i]++
	f.hand(i, Event{Kind: EvList, List: ListCached, Servers: f.list(f.told[i])})
}

// hand gives one copy an event; servers answer what it sends in 10 to 40 ms.
func (f *fleet) hand(i int, ev Event) {
	life, first := f.lives[i], uint32(100+f.servers-f.cold)
	back := func(after float64, ev Event) {
		f.at(f.now+after, func() {
			if f.lives[i] == life {
				f.hand(i, ev)
			}
		})
	}
	for _, a := range f.balancers[i].Handle(f.now, &ev, nil) {
		switch a.Kind {
		case ActSend:
			if a.Server >= first {
				f.sends[a.Server] = append(f.sends[a.Server], f.now)
			}
			took := f.serve(a.Server)
			back(took, Event{Kind: EvOutcome, Request: a.Request, Attempt: a.Attempt, Server: a.Server, Elapsed: took, RequestDone: true})
		case ActTimer:
			back(a.Delay, Event{Kind: EvTimer, Token: a.Token})
		}
	}
}

// serve is the time of an answer: some work, and the wait behind those that came before.
func (f *fleet) serve(server uint32) float64 {
	capacity := f.rate / float64(f.servers) / coldLoaded
	if server >= uint32(100+f.servers-f.cold) {
		capacity *= warmth(f.now)
	}
	free := max(f.free[server], f.now)
	f.free[server] = free + 1000/capacity
	return free - f.now + 10 + 30*f.rng.Float64()
}

// factor is the demand at a time over that of the day.
func (f *fleet) factor(at float64) float64 {
	if f.burst > 0 && at >= burstFrom && at < burstTo {
		return f.burst
	}
	return 1
}

// serving is how many servers are listed and ready.
func (f *fleet) serving(at float64) int {
	if at >= leaveAt {
		return f.servers - f.leave
	}
	return f.servers
}

func (f *fleet) arrivals(i int, rate float64) {
	most := max(f.burst, 1)
	f.at(f.now+f.rng.ExpFloat64()*1000/(rate*most), func() {
		if f.rng.Float64()*most < f.factor(f.now) {
			f.request++
			f.hand(i, Event{Kind: EvRequest, Request: f.request, Deadline: f.now + 3000})
		}
		f.arrivals(i, rate)
	})
}

func play(t *testing.T, day coldDay, seed uint64) *fleet {
	t.Helper()
	f := &fleet{
		coldDay: day, rng: rand.New(rand.NewPCG(seed, 7)), now: 1e6, balancers: make([]*Balancer, day.copies),
		lives: make([]int, day.copies), told: make([]bool, day.copies), sends: map[uint32][]float64{},
		free: map[uint32]float64{},
	}
	if day.start {
		f.now = coldAt
	}
	heavy := max(day.heavy, 1)
	mean := (4 + heavy) / 5
	for i := range day.copies {
		f.told[i] = day.start
		f.boot(t, i)
		rate := day.rate / float64(day.copies)
		if day.heavy > 0 && day.copies >= 5 {
			if rate /= mean; i%5 == 3 {
				rate *= heavy
			}
		}
		f.arrivals(i, rate)
		f.at(coldAt+day.late*f.rng.Float64(), func() {
			if !f.told[i] {
				f.told[i] = true
				f.hand(i, Event{Kind: EvList, List: ListFull, Servers: f.list(true)})
			}
		})
		if day.leave > 0 {
			f.at(leaveAt+300*f.rng.Float64(), func() {
				f.hand(i, Event{Kind: EvList, List: ListFull, Servers: f.list(f.told[i])})
			})
		}
		if f.rng.Float64() < day.restarts {
			f.at(coldAt+coldRamp*f.rng.Float64(), func() { f.boot(t, i) })
		}
		for k := range day.herds {
			f.at(coldAt+4000+1500*float64(k)+300*f.rng.Float64(), func() { f.boot(t, i) })
		}
	}
	for len(f.next) > 0 && f.next[0].at < coldAt+coldRamp {
		h := heap.Pop(&f.next).(happening)
		f.now = h.at
		h.do()
	}
	return f
}

// warmth is the share of its capacity that a cold server has at a time.
func warmth(at float64) float64 { return coldFirst + (1-coldFirst)*max(0, at-coldAt)/coldRamp }

// worst is the largest ratio of the calls that a cold server got in a window to those that it bears: N + 2 x
// root of N + 2, N being so many times its even share of the day's demand, by its warmth, in the window. With
// OverloadMultiple 3 a server of a tier that is asked for twice what it can do bears 1.5 shares, and 4.5 in one that is
// loaded to two thirds.
func (f *fleet) worst(bears float64) float64 {
	worst := 0.0
	for _, times := range f.sends {
		from := 0
		for i, at := range times {
			for times[from] <= at-coldFall {
				from++
			}
			n := bears * f.rate / float64(f.servers) * warmth(times[from]) * coldFall / 1000
			worst = max(worst, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
		}
	}
	return worst
}

// useful is the part that the cold servers got, in sum, of an even share of the demand by their warmth.
func (f *fleet) useful() float64 {
	share, got := 0.0, 0
	for at := coldAt; at < coldAt+coldRamp; at += 10 {
		share += f.rate / float64(f.serving(at)) * f.factor(at) * warmth(at) * 0.01
	}
	for _, times := range f.sends {
		got += len(times)
	}
	return float64(got) / (share * float64(f.cold))
}

// playAll plays a day with so many copies on some seeds. It gives the worst ratio, that against a plain share,
// and the mean useful part.
func playAll(t *testing.T, day coldDay, copies, seeds int) (worst, plain, useful float64) {
	t.Helper()
	day.copies = copies
	for seed := range seeds {
		f := play(t, day, uint64(seed))
		worst, plain, useful = max(worst, f.worst(1.5)), max(plain, f.worst(1)), useful+f.useful()/float64(seeds)
	}
	return worst, plain, useful
}

// Copies share nothing, yet a cold server gets no more than it bears from all of them together: it does not
// matter how many there are. And it gets a useful part of that, or the warm ones would be driven over.
func TestColdServersHoldUnderTheSumOfAllCopies(t *testing.T) {
	t.Parallel()
	for _, day := range []coldDay{
		{name: "even", cold: 1},
		{name: "uneven", cold: 1, heavy: 6},
		{name: "half of the tier", cold: 10, heavy: 6},
		{name: "told late", cold: 4, late: 5000},
		{name: "three zones", cold: 6, zones: 3},
		{name: "restarts", cold: 4, heavy: 6, restarts: 1},
		{name: "restarts at once", cold: 4, herds: 2},
		{name: "burst", cold: 4, burst: 2.5},
		{name: "warm ones drain", cold: 10, leave: 6},
		{name: "most warm ones drain", cold: 10, leave: 9},
	} {
		for _, rate := range []float64{40, 240} {
			day, traffic, seeds := day, "thin", 3
			if day.rate, day.servers = rate, 20; rate > 100 {
				traffic, seeds = "thick", 1
			}
			t.Run(traffic+"/"+day.name, func(t *testing.T) {
				t.Parallel()
				few, least := 0.0, coldShare/3
				if day.herds > 0 {
					least /= 2 // a new copy gives no part before it has seen calls come
				}
				for _, copies := range []int{2, 10, 30, 100, 300} {
					worst, plain, useful := playAll(t, day, copies, seeds)
					t.Logf("%3d copies: worst %.2f of what it bears (%.2f of a plain share), useful %.2f",
						copies, worst, plain, useful)
					if copies == 10 {
						few = worst
					}
					if worst > 1 {
						t.Errorf("%d copies: a cold server got %.2f of what it bears", copies, worst)
					}
					if useful < least {
						t.Errorf("%d copies: cold servers got %.2f of an even share", copies, useful)
					}
					if worst > few+0.45 && copies > 10 {
						t.Errorf("the worst ratio rose from %.2f with 10 copies to %.2f with %d", few, worst, copies)
					}
				}
			})
		}
	}
}

// Where all servers are cold, as at the start of a deployment, every copy sends as far as they bear it.
func TestCopiesSendWhereAllServersAreCold(t *testing.T) {
	t.Parallel()
	day := coldDay{servers: 20, cold: 20, rate: 240, start: true}
	for _, copies := range []int{2, 10, 30, 100, 300} {
		if worst, _, useful := playAll(t, day, copies, 1); worst > 1 || useful < coldShare/2 {
			t.Errorf("%d copies: worst %.2f of what a server bears, useful %.2f", copies, worst, useful)
		}
	}
}

// The parts that all copies have in a cold server add up to the whole, and are dealt to another part of the
// copies for each start of a server.
func TestRampIsDealtOutWhole(t *testing.T) {
	for _, c := range []struct{ copies, servers int }{{1, 1}, {2, 40}, {17, 3}, {300, 60}, {300, 2}, {3000, 200}} {
		for warm := range 2 {
			sum, places := 0.0, map[int]bool{}
			phases := make([]float64, 0, c.copies)
			for rank := range c.copies {
				r := newRamp(&Settings{Copies: c.copies, Rank: rank}, &ServerEntry{Server: 5, Started: 1e12}, 0)
				weight := r.weight(c.copies, c.servers, warm)
				sum, places[r.position] = sum+weight, true
				if weight > 0 {
					phases = append(phases, r.phase())
				} else if warm == 0 {
					t.Errorf("%+v: copy %d may not send though all servers are cold", c, rank)
				}
			}
			if math.Abs(sum-float64(c.copies)) > 1e-6 || len(places) != c.copies {
				t.Errorf("%+v: parts add up to %v of %d even ones, in %d places", c, sum, c.copies, len(places))
			}
			slices.Sort(phases)
			for i := range len(phases) - 1 {
				if gap := phases[i+1] - phases[i]; gap > 3/float64(len(phases)) {
					t.Errorf("%+v: no phase from %.3f on for %.3f", c, phases[i], gap)
				}
			}
		}
	}
}

// A server that is to start in the future gets a finite load, also where there is no time to become warm in.
func TestColdServerWithoutRamp(t *testing.T) {
	set := plain()
	set.Safety.RampTime = 0
	h := start(t, set, ServerEntry{Server: 1, Started: 5000})
	h.request(1, 0)
	if s := h.b.servers[1]; math.IsNaN(h.b.loadFor(s)) || math.IsNaN(s.credit) {
		t.Errorf("load %v, credit %v", h.b.loadFor(s), s.credit)
	}
}

// What is on offer for too long is lost, but for its phase.
func TestRampSavesNothingUp(t *testing.T) {
	var r ramp
	credit := r.refill(0.8, 0.5, 1, 1000)
	if credit != 1.3 {
		t.Fatalf("credit %v, want 1.3", credit)
	}
	if credit = r.refill(credit, 0, 1, 1000+creditLifetime); credit != 1.3 {
		t.Errorf("credit %v within the time, want 1.3", credit)
	}
	if credit = r.refill(credit, 0.1, 1, 1001+creditLifetime); math.Abs(credit-0.4) > 1e-9 {
		t.Errorf("credit %v after it, want 0.4", credit)
	}
	if credit = r.refill(0.4, 7, 1, 2000); math.Abs(credit-1.4) > 1e-9 {
		t.Errorf("credit %v for a lump of demand, want 1.4", credit)
	}
}
