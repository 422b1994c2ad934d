package forkline

import (
	"math/rand/v2"
	"testing"
)

// clientRequest is what the simulation knows of a request that it passed to the balancer.
type clientRequest struct {
	class    uint16
	classes  []Class // its class, under each of the settings so far
	deadline float64
	answers  int
	ended    bool
	attempts []sentAttempt
}

type sentAttempt struct {
	server     uint32
	zone       uint8 // of the server when the attempt was sent
	cell       uint16
	sentAt     float64
	open       bool
	mayHaveRun bool
}

// pendingTimer is a timer that the balancer set.
type pendingTimer struct {
	at    float64
	token uint64
}

// simulation passes random legal events to one balancer and checks its actions by the rules.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	b        *Balancer
	settings Settings
	now      float64
	nextID   uint32
	requests map[uint32]*clientRequest
	order    []uint32 // open requests, in the order of arrival
	servers  []ServerEntry
	timers   []pendingTimer
	trace    []Action
	accepted []float64          // arrival times, if a budget is configured
	repeats  []float64          // times of attempts beyond a request's first
	probes   []uint32           // outstanding
	drainUse map[uint32]float64 // last notice, send or outcome at a draining server
}

func newSimulation(t *testing.T, seed uint64, servers int) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), settings: testSettings(), now: 1000,
		nextID: 1, requests: map[uint32]*clientRequest{}, servers: readyServers(servers),
	}
	sim.settings.Copies, sim.settings.PollList = 1+int(seed%7), seed%2 == 0
	sim.settings.Limits.Hedging = seed%3 == 0
	sim.settings.Stage, sim.settings.Stages = int(seed%2), 2
	if seed%4 < 2 {
		sim.settings.Safety.RetryBudgetMin, sim.settings.Safety.RetryBudgetRatio, sim.settings.Safety.RetryBudgetWindow = 2, 0.2, 3000
	}
	if seed%3 > 0 {
		sim.settings.Safety.DrainCloseTimeout = 1500
	}
	sim.drainUse = map[uint32]float64{}
	sim.settings.Limits.CancelAttempts = seed%5 > 0
	sim.settings.Limits.Probing, sim.settings.ReportField = seed%6 > 2, 1
	sim.settings.Tenants = []Tenant{{Quota: 5}, {Quota: 50}}
	b, err := New(sim.settings, seed, sim.now)
	if err != nil {
		t.Fatal(err)
	}
	sim.b = b
	sim.handle(Event{Kind: EvList, List: ListCached, Servers: sim.servers})
	return sim
}

// handle passes one event to the balancer and checks the resulting actions.
func (sim *simulation) handle(ev Event) {
	sim.t.Helper()
	sim.checkActions(sim.b.Handle(sim.now, &ev, nil))
}

// checkActions checks actions by the rules.
func (sim *simulation) checkActions(actions []Action) {
	sim.t.Helper()
	for _, a := range actions {
		sim.trace = append(sim.trace, a)
		switch a.Kind {
		case ActSend:
			sim.checkSend(a)
		case ActRefuse, ActFail:
			sim.checkEnd(a)
		case ActCloseIdle:
			delete(sim.drainUse, a.Server)
		case ActCancel:
			if !sim.settings.Limits.CancelAttempts || int(a.Attempt) >= len(sim.requests[a.Request].attempts) {
				sim.t.Fatalf("%v: cancels attempt %d of request %d", sim.now, a.Attempt, a.Request)
			}
		case ActProbe:
			if !sim.settings.Limits.Probing || sim.entry(a.Server) == nil {
				sim.t.Fatalf("%v: probes server %d", sim.now, a.Server)
			}
			sim.probes = append(sim.probes, a.Server)
		case ActTimer:
			sim.timers = append(sim.timers, pendingTimer{sim.now + max(a.Delay, 5) - 0.0004, a.Token}) // fires slightly early, as if rounded
		}
	}
}

func (sim *simulation) entry(id uint32) *ServerEntry {
	for i := range sim.servers {
		if sim.servers[i].Server == id {
			return &sim.servers[i]
		}
	}
	return nil
}

func (sim *simulation) checkSend(a Action) {
	sim.t.Helper()
	c, s := sim.requests[a.Request], sim.entry(a.Server)
	switch {
	case c == nil || c.ended:
		sim.t.Fatalf("%v: send for request %d, which has ended", sim.now, a.Request)
	case s == nil || s.State != Ready:
		sim.t.Fatalf("%v: send to server %d, which is draining or removed", sim.now, a.Server)
	case len(c.attempts) >= sim.settings.Limits.MaxAttempts:
		sim.t.Fatalf("%v: attempt %d of request %d", sim.now, len(c.attempts), a.Request)
	}
	if len(c.attempts) > 0 && sim.settings.Safety.RetryBudgetWindow > 0 {
		sim.repeats = append(sim.repeats, sim.now)
		from, safety := sim.now-sim.settings.Safety.RetryBudgetWindow, &sim.settings.Safety
		if used := countSince(sim.repeats, from); used > safety.RetryBudgetMin+safety.RetryBudgetRatio*countSince(sim.accepted, from+1e-6)+1e-9 {
			sim.t.Fatalf("%v: %v repeats, %v requests accepted", sim.now, used, countSince(sim.accepted, from))
		}
	}
	for _, class := range c.classes {
		sim.checkRepeat(a, c, s, class)
	}
	c.attempts = append(c.attempts, sentAttempt{server: a.Server, zone: s.Zone, cell: s.Cell, sentAt: sim.now, open: true})
}

// checkRepeat checks a send by the rules of one class.
func (sim *simulation) checkRepeat(a Action, c *clientRequest, s *ServerEntry, class Class) {
	sim.t.Helper()
	first := 0.0
	for _, p := range c.attempts {
		if p.open && !sim.settings.Limits.Hedging {
			sim.t.Fatalf("%v: two attempts of request %d at once", sim.now, a.Request)
		}
		if !p.open && !p.mayHaveRun || class.Effect == Safe {
			continue
		}
		if first == 0 {
			first = p.sentAt
		}
		switch {
		case class.Effect == Unsafe:
			sim.t.Fatalf("%v: unsafe request %d may have run and was sent again", sim.now, a.Request)
		case sim.now >= first+class.DedupWindow:
			sim.t.Fatalf("%v: keyed request %d sent again after its window", sim.now, a.Request)
		case class.Scope == ScopeCell && p.cell != s.Cell || class.Scope == ScopeZone && p.zone != s.Zone:
			sim.t.Fatalf("%v: keyed request %d sent outside its scope", sim.now, a.Request)
		}
	}
}

// countSince returns the number of times that are not before from.
func countSince(times []float64, from float64) (n float64) {
	for _, at := range times {
		if at >= from {
			n++
		}
	}
	return n
}

func (sim *simulation) checkEnd(a Action) {
	sim.t.Helper()
	c := sim.requests[a.Request]
	if c == nil || c.ended {
		sim.t.Fatalf("%v: second answer for request %d", sim.now, a.Request)
	}
	if sim.now > c.deadline+20 {
		sim.t.Fatalf("%v: answer for request %d after its deadline %v", sim.now, a.Request, c.deadline)
	}
	for _, class := range c.classes {
		unsafeToRetry := class.Effect == Unsafe || class.Effect == Keyed && class.Scope != ScopeAll
		for _, p := range c.attempts {
			if a.Kind == ActRefuse && unsafeToRetry && (p.open || p.mayHaveRun) {
				sim.t.Fatalf("%v: request %d refused though it may have run", sim.now, a.Request)
			}
		}
	}
	sim.end(a.Request)
}

func (sim *simulation) end(id uint32) {
	c := sim.requests[id]
	c.ended = true
	c.answers++
}

// step advances the clock and makes one random thing happen.
func (sim *simulation) step() {
	sim.t.Helper()
	sim.advance(sim.now + sim.rng.Float64()*10)
	switch p := sim.rng.Float64(); {
	case p < 0.35:
		sim.arrive()
	case p < 0.9:
		sim.closeRandom()
	case p < 0.93:
		sim.changeServer()
	case p < 0.94 && len(sim.order) > 0:
		id := sim.order[sim.rng.IntN(len(sim.order))]
		if c := sim.requests[id]; !c.ended {
			sim.end(id)
			sim.handle(Event{Kind: EvClientGone, Request: id})
		}
	case p < 0.945 && len(sim.probes) > 0:
		ev := Event{Kind: EvProbeResult, Server: sim.probes[0], Outcome: OK, ReportLen: 1, Report: [4]float32{sim.rng.Float32() * 9}}
		sim.probes = sim.probes[1:]
		if e := sim.entry(ev.Server); e.State == Draining && sim.settings.Safety.DrainCloseTimeout > 0 {
			sim.drainUse[ev.Server] = sim.now
		}
		sim.handle(ev)
	case p < 0.95 && sim.settings.PollList:
		sim.handle(Event{Kind: EvList, List: ListFailed})
	case p < 0.951:
		sim.advance(sim.now + 20000) // many seconds with only timers and timeouts
	}
	sim.checkState()
}

// advance moves the clock on; timers and timeouts happen in their order on the way.
func (sim *simulation) advance(to float64) {
	sim.t.Helper()
	for {
		at, timer := to, -1
		for i, t := range sim.timers {
			if t.at < at {
				at, timer = t.at, i
			}
		}
		expired, attempt := uint32(0), -1
		for _, id := range sim.order {
			for i, p := range sim.requests[id].attempts {
				if deadline := sim.requests[id].deadline; p.open && deadline < at {
					at, expired, attempt = deadline, id, i
				}
			}
		}
		sim.now = max(sim.now, at)
		switch {
		case attempt >= 0:
			sim.close(expired, attempt, Timeout)
		case timer >= 0:
			token := sim.timers[timer].token
			sim.timers = append(sim.timers[:timer], sim.timers[timer+1:]...)
			sim.handle(Event{Kind: EvTimer, Token: token})
		default:
			return
		}
	}
}

func (sim *simulation) arrive() {
	id := sim.nextID
	sim.nextID++
	c := &clientRequest{class: uint16(sim.rng.IntN(len(sim.settings.Classes))), deadline: sim.now + 50 + sim.rng.Float64()*900}
	c.classes = []Class{sim.settings.Classes[c.class]}
	sim.requests[id] = c
	sim.order = append(sim.order, id)
	sim.accepted = append(sim.accepted, sim.now)
	sim.handle(Event{Kind: EvRequest, Request: id, Class: c.class, Tenant: uint16(id % 2), Deadline: c.deadline})
}

// closeRandom closes a random open attempt with a random outcome.
func (sim *simulation) closeRandom() {
	if len(sim.order) == 0 {
		return
	}
	id := sim.order[sim.rng.IntN(len(sim.order))]
	for i, p := range sim.requests[id].attempts {
		if p.open {
			outcome := OK
			if sim.rng.Float64() < 0.3 {
				outcome = []Outcome{Error, Rejected, ConnectFailed, Reset, Cancelled, NotSent}[sim.rng.IntN(6)]
			}
			sim.close(id, i, outcome)
			return
		}
	}
}

func (sim *simulation) close(id uint32, attempt int, outcome Outcome) {
	c := sim.requests[id]
	p := &c.attempts[attempt]
	p.open, p.mayHaveRun = false, outcome != Rejected && outcome != ConnectFailed && outcome != NotSent
	if outcome == OK && !c.ended {
		sim.end(id)
	}
	if e := sim.entry(p.server); e.State == Draining && sim.settings.Safety.DrainCloseTimeout > 0 {
		sim.drainUse[p.server] = sim.now
	}
	sim.handle(Event{Kind: EvOutcome, Request: id, Attempt: uint16(attempt), Server: p.server,
		Outcome: outcome, Elapsed: sim.now - p.sentAt, RequestDone: c.ended})
}

// changeServer drains, removes, restarts, adds or moves a server.
func (sim *simulation) changeServer() {
	e := &sim.servers[sim.rng.IntN(len(sim.servers))]
	delete(sim.drainUse, e.Server)
	switch sim.rng.IntN(5) {
	case 4:
		e.Zone, e.Cell = uint8(sim.rng.IntN(2)), uint16(sim.rng.IntN(2))
	case 0:
		if e.State != Draining && sim.settings.Safety.DrainCloseTimeout > 0 {
			sim.drainUse[e.Server] = sim.now
		}
		e.State = Draining
	case 1:
		e.State = Removed
	default:
		if e.State != Ready {
			e.State, e.Started = Ready, sim.now
		}
	}
	sim.handle(Event{Kind: EvList, List: ListDelta, Servers: []ServerEntry{*e}})
}

// checkState fails the test for a request without an answer, and forgets finished ones.
func (sim *simulation) checkState() {
	for server, at := range sim.drainUse {
		if sim.now > at+sim.settings.Safety.DrainCloseTimeout {
			sim.t.Fatalf("%v: connections to draining server %d not closed since %v", sim.now, server, at)
		}
	}
	open := sim.order[:0]
	for _, id := range sim.order {
		c := sim.requests[id]
		hasOpen := false
		for _, p := range c.attempts {
			hasOpen = hasOpen || p.open
		}
		if !c.ended && sim.now > c.deadline+20 {
			sim.t.Fatalf("%v: request %d, with deadline %v, has no answer", sim.now, id, c.deadline)
		}
		if c.ended && !hasOpen {
			delete(sim.requests, id)
			continue
		}
		open = append(open, id)
	}
	sim.order = open
}

// The rules hold for any legal order of events, with one server or several.
func TestRulesHoldForRandomEvents(t *testing.T) {
	sends := 0
	for seed := range uint64(24) {
		sim := newSimulation(t, seed, []int{1, 2, 9, 40}[seed%4])
		for range 3000 {
			sim.step()
		}
		sim.advance(sim.now + 5000)
		sim.checkState()
		for _, a := range sim.trace {
			if a.Kind == ActSend {
				sends++
			}
		}
		if len(sim.order) != 0 || len(sim.b.requests) != 0 || sim.b.inFlight != 0 {
			t.Errorf("seed %d: %d requests open, %d records held, %d in flight", seed, len(sim.order), len(sim.b.requests), sim.b.inFlight)
		}
	}
	if sends < 5000 {
		t.Errorf("only %d sends, too few to have tested the rules", sends)
	}
}

// FuzzHandle passes raw events: none may panic, and no request may be held forever.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{1, 0, 2, 3, 9, 5, 3, 1, 7, 3, 4, 4, 200, 1, 2, 5, 1, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := New(testSettings(), 3, 0)
		if err != nil {
			t.Fatal(err)
		}
		now := 0.0
		for ; len(raw) >= 6; raw = raw[6:] {
			now += float64(raw[5])
			b.Handle(now, &Event{
				Kind: EventKind(raw[0] % 9), List: ListKind(raw[1] % 5), Outcome: Outcome(raw[1] % 9),
				Class: uint16(raw[2] % 5), Request: uint32(raw[3] % 16), Attempt: uint16(raw[2] % 3),
				Server: uint32(raw[4] % 8), Deadline: now + float64(raw[4]), Elapsed: float64(raw[5]), RequestDone: raw[1] > 99,
				Servers: []ServerEntry{{Server: uint32(raw[4] % 8), State: ServerState(raw[2] % 3), Started: float64(raw[1])}},
			}, nil)
		}
		b.Handle(now+1e6, &Event{Kind: EvTimer}, nil)
		if len(b.queue) != 0 {
			t.Errorf("%d requests still wait", len(b.queue))
		}
	})
}
