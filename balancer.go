// The interface of this module, its Settings, Events and Actions, is in api.go.

// Package forkline decides, for one copy of a balancer, which server gets which call. It is sans-I/O: New
// makes a Balancer and Handle turns each event into actions. The mechanism is SMACE's (Kim and Schulzrinne)
// with our additions; docs/design.md tells the two apart.
package forkline

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"forkline/internal/stats"
)

const ( // times are milliseconds, shares have no unit
	revisePeriod    = 10000.0 // paper, VI-C: the load of a server is revised every 10 s
	decreaseTo      = 0.9     // paper, VI-C: over threshold, load becomes this share of goodput
	windowTime      = 1000.0  // paper, IV-A: latency statistics cover one second
	windowSamples   = 20      // fewest samples whose second largest is a p95
	ringSize        = 32      // samples kept for each server; a little over a window
	poolSize        = 128     // samples kept of the tier, to fill sparse windows
	tail            = 0.95    // paper, IV-A: the percentile that is held under the threshold
	thresholdPart   = 0.7     // threshold as a share of the class aim; leaves room for waiting
	creditTime      = 100.0   // credit is kept for this time: with more, old credit outweighs calls out
	headroom        = 2.0     // load over the demand or goodput that was seen; room for bursts
	floorPart       = 0.05    // an ejected server keeps this share of the mean load, for trial calls
	failRatio       = 2.0     // how far over threshold a failure counts
	runLimit        = 2.5     // failures in a run, goods leaking away, that eject a server at once
	runLeak         = 0.25    // one good answer takes this much of a run away
	sharedFailures  = 2.0     // and so many times as much as the tier's failures add for each good answer
	trialGoods      = 3       // good trial calls in a row that make an ejected server unmeasured
	sharedPart      = 0.4     // part of the tier in trouble from which the cause is held to be shared
	coldPart        = 0.7     // part of its present share that a cold server is given at most
	demandTime      = 2000.0  // time constant of the demand average
	queuePart       = 0.3     // longest wait in the queue, as a share of the mean aim
	overQuotaPart   = 0.5     // part of the limit that a dense copy's calls beyond a quota may find taken
	quotaBurst      = 2000.0  // a tenant may run ahead of its quota by this time's worth
	repeatShare     = 0.1     // retry budget where none is told: repeats of what may have run, per request
	repeatFree      = 5.0     // and how many more of them
	repeatWindow    = 10000.0 // within this time
	latencyGain     = 0.05    // weight of a new answer in a class's mean latency
	servedGain      = 0.005   // and of a call in the served part of its class, which the goal counts daily
	latencyWeight   = 7.0     // a server's mean answer over the tier's, against its share of credit left
	tryTimeoutMeans = 6.0     // mean answers of its class that a call waits for a server that says nothing
	probeCount      = 3       // servers asked for each call where probes are all but free
	probePrice      = 0.02    // dearest: points of the goal for a probe of each choice at every tier
	askMost         = 3       // times that a call asks, while those asked hold more than the mean
	lostPart        = 0.05    // part of attempts without a connection past which open ones are kept to
	lostTries       = 20      // draws for a server with an open connection to ask
	probeWait       = 0.05    // share of its threshold that a call waits for answers, and they count
	probeAgain      = 0.15    // share of the longest threshold after which a waiting call asks others
	subsetHeld      = 2.0     // calls that a server's own copies have out there before they go elsewhere
	heldFirst       = 5.0     // calls a server is taken to hold at once, over all copies, till measured
	heldLeast       = 2.0     // and a copy at least: with one call at a time a sparse copy measures nothing
	wakeLeast       = 5.0     // shortest timer, so that waiting calls cost little CPU
	wakeMost        = 20.0    // longest timer while calls wait
	comeBack        = 1000.0  // a refused client is asked back then: answers have been measured anew
	askSpread       = 0.3     // first call to the list is spread over this share of PollInterval
)

// server is what this copy knows of one server, from its list and its own calls.
type server struct {
	ServerEntry
	listed, live, asked bool    // by the list; it is among the live ones; a probe is out
	linked              bool    // it answered since a connection last failed
	held, heldAt        float64 // calls it holds, as it told a probe, and when
	subsetShare         float64 // part of this server that is this copy's own
	cold                bool
	ramp                ramp // while it is cold
	measured            bool // has a load of its own; others take the mean
	ejected             bool // at the floor since a run of failures
	silent              bool // it said nothing for too long, with calls out: the limit is for others
	out, streams        int  // attempts sent and not ended; those of them whose answer has begun
	connecting          int  // those of them that wait for a new connection
	load, maxLoad       float64
	credit, accruedAt   float64
	lastSent            float64
	heard               float64                // last answer, or first send since none was out
	closeAt             float64                // it drains: idle connections are closed again then; 0 = not
	reviseAt, since     float64                // next revision, and since when good is counted
	run                 float64                // failures in a run
	good, goods         int                    // good answers since then, and in a row since the ejection
	samples             [ringSize]stats.Sample // latencies as ratios to their classes' thresholds
	count               int                    // samples ever taken
	meanLatency         float64                // mean ratio of its answers; 0 = none yet
	meanConcurrency     float64                // mean number of calls out there, with each of these
}

func (s *server) ready() bool { return s.listed && s.State == Ready }

// expected is the ratio that one more call should meet: its mean latency is that of calls sent a while
// ago, and follows what it holds now too late.
func (s *server) expected() float64 {
	return s.meanLatency * math.Sqrt(float64(s.out+1)/max(s.meanConcurrency, 1))
}

// serves tells whether the concurrency limit counts this server too.
func (s *server) serves() bool { return s.ready() && !s.ejected && !s.silent }

// attempt is one send of a request.
type attempt struct {
	server     *server
	zone       uint8  // of the server when it was sent: a later list may tell another one, but the
	cell       uint16 // group that remembers the request is that of then
	sentAt     float64
	held       float64 // calls the server held with it, as far as told
	open       bool
	silent     bool // it was called off, as its server said nothing
	connecting bool // it waits for a new connection
	streams    bool // its answer has begun
}

// request is one call that this copy has taken.
type request struct {
	id                uint32
	class, tenant     uint16
	ended             bool // a final answer was given or the client left
	inTime            bool // it was served within its aim
	queued, streaming bool
	mayRun            bool // some closed attempt may have run
	aimAt, due        float64
	backAt            float64 // held back until then; 0 = not
	readyAt           float64 // answers to its probes are waited for until then
	asks, open        int     // times it asked; attempts out
	attempts          []attempt
	firstRun          float64 // send time of the earliest attempt that may have run
}

// classState is what this copy has learned of a class.
type classState struct {
	Class
	threshold float64
	latency   float64 // mean of good answers
	share     float64 // of the calls that come
	served    float64 // part of its calls that are answered within the aim
}

// Balancer is one balancer copy of a tier. It is not safe for concurrent use.
type Balancer struct {
	set                 Settings
	rng                 stats.Random
	now                 float64
	acts                []Action
	byID                map[uint32]*server
	live                []*server // listed and ready, in the order heard of
	asked, warm         int       // probes out; servers that are not cold
	heldMean, turn      float64   // mean of what servers told; time that a call takes for each held
	zoneServers         []*server // of the own zone, in the order in which all copies deal them out
	zones               int       // in which there are servers
	requests            map[uint32]*request
	queue, spare        []*request
	sweepAt             float64             // when the first waiting call is to be given up
	classes             []classState        // of the settings, then those that only open calls are still of
	tenants             []stats.TokenBucket // local quotas
	pool                [poolSize]stats.Sample
	pooled              int
	measured, ejections int     // servers with a load of their own; those of them that are ejected
	meanLoad            float64 // mean load of those that are not
	sends, arrivals     stats.Rate
	came                float64     // calls, ever
	connLost            stats.Share // attempts without a connection, of late
	failing             stats.Share // attempts without an answer, of late, at servers that are not ejected
	meanAim             float64
	taken, further      stats.Window // requests, and attempts that the retry budget counts
	hedgeTimers         []hedgeTimer // of attempts of safe classes, the next one first
	closing             []*server    // draining, and to be closed once more
	budgetTold, probing bool         // the site states the retry budget; probes are cheap
	out, connecting     int          // calls out at servers that serve; calls that wait for a connection
	limit               concurrencyLimit
	tierLatency         float64 // mean ratio of answers
	scratch             []float64
	silence             float64 // time without an answer, with calls out, that is over threshold
	wakeAt, askAt       float64 // when the pending timer is due, and the list is to be asked; 0 = not
	timer               uint64  // its number
	askRounds           float64 // length of the copies' next round of calls
}

// New returns a Balancer for one copy. Its random numbers are determined by the seed.
func New(set Settings, seed uint64, now float64) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("forkline: %w", err)
	}
	b := &Balancer{
		rng: stats.NewRandom(seed), now: now, sweepAt: math.Inf(1),
		byID: map[uint32]*server{}, requests: map[uint32]*request{},
	}
	b.configure(set)
	if set.PollList {
		b.askRounds = askRound
		b.askAt = now + b.rng.Float64()*askSpread*set.Safety.PollInterval
	}
	b.limit = concurrencyLimit{least: math.Inf(1), leastFrom: now + 2*b.silence}
	return b, nil
}

// configure puts settings in force; what was learned under names that they keep goes on.
func (b *Balancer) configure(set Settings) {
	old, f := *b, &b.set.Safety
	b.set, b.classes, b.tenants, b.silence, b.meanAim = set, nil, nil, 0, 0
	if b.budgetTold = f.RetryBudgetWindow > 0; !b.budgetTold {
		f.RetryBudgetMin, f.RetryBudgetRatio, f.RetryBudgetWindow = repeatFree, repeatShare, repeatWindow
	}
	n := float64(len(set.Classes))
	for _, c := range set.Classes {
		state := classState{Class: c, threshold: c.TargetLatency * thresholdPart, share: 1 / n, served: 1}
		state.threshold *= float64(set.Stages-set.Stage) / float64(set.Stages) // the tiers still ahead
		b.classes = append(b.classes, state)
		b.silence = max(b.silence, state.threshold)
		b.meanAim += c.TargetLatency / n
	}
	cheap := set.ProbeCost*probeCount*float64(set.Stages) <= probePrice
	b.probing = set.Limits.Probing && set.ReportField > 0 && cheap
	for _, t := range set.Tenants {
		rate := t.Quota / float64(set.Copies)
		b.tenants = append(b.tenants, stats.NewTokenBucket(b.now, rate, max(rate*quotaBurst/1000, 1)))
	}
	b.carryOver(&old)
}

// Handle processes one event and appends the resulting actions to actions.
func (b *Balancer) Handle(now float64, ev *Event, actions []Action) []Action {
	clean := ev.sanitized()
	b.now, b.acts, ev = advanceClock(b.now, now), actions, &clean
	switch ev.Kind {
	case EvRequest:
		b.arrive(ev)
	case EvResponseStarted:
		b.first(ev)
	case EvOutcome:
		b.outcome(ev)
	case EvConnecting, EvConnected:
		if q := b.requests[ev.Request]; q != nil && int(ev.Attempt) < len(q.attempts) {
			b.connects(&q.attempts[ev.Attempt], ev.Kind == EvConnecting)
		}
	case EvClientGone:
		if q := b.requests[ev.Request]; q != nil {
			for i := range q.attempts { // servers whose work stops must do none for nobody
				if q.attempts[i].open && b.set.Limits.CancelAttempts && !q.streaming {
					b.acts = append(b.acts, Action{Kind: ActCancel, Request: q.id, Attempt: uint16(i)})
				}
			}
			b.forget(q)
		}
	case EvList:
		b.list(ev)
	case EvProbeResult:
		if s := b.byID[ev.Server]; s != nil && s.asked {
			s.asked = false
			b.asked--
			b.closeIdle(s)
			if f := b.set.ReportField; ev.Outcome == OK && f > 0 && f <= min(ev.ReportLen, len(ev.Report)) {
				s.held, s.heldAt = float64(ev.Report[f-1]), b.now
				b.heldMean += latencyGain * (s.held - b.heldMean)
			}
		}
	case EvTimer:
		if ev.Token == b.timer {
			b.wakeAt = 0 // known by its number: a host's clock may round it to come early
		}
		b.closeAgain()
	}
	b.callOffSilent()
	b.dispatch()
	b.wake()
	return b.acts
}

// --- A call arrives, waits in the queue and is sent.

// arrive takes a new call: it is queued, or ended at once when the queue is full for it.
func (b *Balancer) arrive(ev *Event) {
	if b.requests[ev.Request] != nil || int(ev.Class) >= len(b.set.Classes) {
		return
	}
	q := b.newRequest()
	q.id, q.class, q.tenant, q.due = ev.Request, ev.Class, ev.Tenant, ev.Deadline
	c := &b.classes[q.class]
	q.aimAt = b.now + min(c.Timeout, c.TargetLatency+c.TargetWorkFactor*ev.WorkHint)
	if b.set.Stage > 0 && c.LateValue == 0 {
		q.due = min(q.due, q.aimAt) // past the aim its caller's answer is worth nothing, but holds a slot
	}
	b.requests[q.id] = q
	for i := range b.set.Classes {
		b.classes[i].share -= servedGain * b.classes[i].share
	}
	b.classes[q.class].share += servedGain
	b.arrivals.Add(b.now, 1, demandTime)
	b.came++
	b.taken.Since(b.now - b.set.Safety.RetryBudgetWindow)
	b.taken.Add(b.now)
	// queue_length: as many calls as were sent of late in the longest wait; unbounded with no server.
	over := b.overQuota(q)
	bound := (1 + queuePart*b.meanAim/1000*b.sends.PerSecond) * b.valueShare(q, over)
	full, most := len(b.live) > 0 && len(b.queue) > int(bound), b.set.Limits.MaxOpenRequests
	full = full || over && b.limit.initial > heldLeast && float64(b.out) >= overQuotaPart*b.limit.most
	if full || most > 0 && len(b.requests) > most {
		b.end(q)
		return
	}
	b.enqueue(q, len(b.queue))
	b.probe(q)
}

// probe asks some servers what they hold, for a call that has just come. It acts where a
// probe costs next to nothing: a copy with few calls learns so what all copies have sent.
func (b *Balancer) probe(q *request) {
	if !b.probing || len(b.live) == 0 {
		return
	}
	q.asks++
	q.readyAt = b.now + probeWait*b.classes[q.class].threshold
	for range probeCount {
		s := b.live[int(b.rng.Float64()*float64(len(b.live)))]
		for try := 0; try < lostTries && b.connLost > lostPart && !b.linked(s); try++ {
			s = b.live[int(b.rng.Float64()*float64(len(b.live)))]
		}
		if !s.asked && !s.ejected {
			s.asked = true
			b.asked++
			b.acts = append(b.acts, Action{Kind: ActProbe, Server: s.Server})
		}
	}
}

// enqueue puts a call into the queue, new ones at its end.
func (b *Balancer) enqueue(q *request, place int) {
	q.queued = true
	b.queue = slices.Insert(b.queue, place, q)
	b.sweepAt = min(b.sweepAt, b.lastStart(q))
}

// valueShare is the part of the queue that a call may fill: its worth for each unit of work against the best
// class's, so that cheap calls are refused first while the order stays first-in.
func (b *Balancer) valueShare(q *request, over bool) float64 {
	best := 0.0
	for i := range b.set.Classes {
		best = max(best, b.value(i))
	}
	share := b.value(int(q.class)) / max(best, 1e-9)
	if over {
		share *= b.set.OverQuotaValue
	}
	return share
}

// value is what a call of a class adds to the goal for each unit of work; the aim stands in till that is
// measured. Where the goal counts the worst-served class by itself, a call of that class adds to that too.
func (b *Balancer) value(class int) float64 {
	c := &b.classes[class]
	worth := c.Value
	if b.set.Stage == 0 && b.worstServed() == class {
		mean := 0.0
		for i := range b.set.Classes {
			mean += b.classes[i].share * b.classes[i].Value
		}
		worth += b.set.WorstClassWeight * mean / max(c.share, latencyGain)
	}
	if b.set.ValueByWork || c.latency == 0 {
		return worth / c.TargetLatency
	}
	return worth / c.latency
}

// worstServed is the class of which the smallest part is served within its aim; -1 if there is just one.
func (b *Balancer) worstServed() int {
	worst := -1
	for i := range b.set.Classes {
		if len(b.set.Classes) > 1 && (worst < 0 || b.classes[i].served < b.classes[worst].served) {
			worst = i
		}
	}
	return worst
}

// overQuota takes a call off its tenant's local quota and tells whether that was used up.
func (b *Balancer) overQuota(q *request) bool {
	told := b.set.Stage == 0 && int(q.tenant) < len(b.tenants) && b.tenants[q.tenant].Rate > 0
	return told && !b.tenants[q.tenant].Take(b.now)
}

// dispatch sends from the head of the queue while a server has credit for it.
func (b *Balancer) dispatch() {
	if b.now >= b.sweepAt {
		b.sweep()
	}
	if b.set.Stage == 0 && b.now >= b.limit.reviseAt { // only the front has a limit
		b.limit.reviseAt = b.now + windowTime
		p95, ok := b.p95(nil)
		b.limit.revise(float64(b.out), p95, ok, b.scratch)
	}
	taken := 0
	for _, q := range b.queue {
		if !q.ended && (!b.mayTry(q) || q.mayRun && b.classes[q.class].Effect != Safe) {
			b.end(q) // while it waited, the retry budget was used up or its class has changed
		}
		if !q.ended {
			if q.backAt > 0 && b.now >= q.backAt {
				q.backAt = 0
				b.probe(q) // held back before: old figures must not let it go blind
			}
			crowded := b.crowded() && (!b.findSilent() || b.crowded())
			if crowded || b.now < q.backAt || b.asked > 0 && b.now < q.readyAt {
				break
			}
			if s := b.choose(q); s == nil || !b.send(q, s) {
				break
			}
		}
		q.queued = false
		b.release(q)
		taken++
	}
	if taken > 0 {
		b.queue = slices.Delete(b.queue, 0, taken)
	}
}

// crowded tells whether as many calls are out as may be. Only the front sheds: an inner error would waste
// upstream work.
func (b *Balancer) crowded() bool {
	return b.set.Stage == 0 && float64(max(b.out, b.connecting)) >= b.limit.most
}

// sweep ends every waiting call that cannot be answered usefully any more, also behind the head.
func (b *Balancer) sweep() {
	b.sweepAt = math.Inf(1)
	for _, q := range b.queue {
		if at := b.lastStart(q); !q.ended && b.now >= at {
			b.end(q)
		} else if !q.ended {
			b.sweepAt = min(b.sweepAt, at)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(q *request) bool {
		q.queued = !q.ended
		b.release(q)
		return q.ended
	})
}

// lastStart is the latest time at which sending is of use: at the front an answer past the aim is worthless.
// Past thresholdPart of the aim the mean answer does not count: a class never sent is never measured again.
func (b *Balancer) lastStart(q *request) float64 {
	until := q.due
	if b.set.Stage == 0 {
		until = min(until, q.aimAt)
	}
	return until - min(b.classes[q.class].latency, thresholdPart*b.classes[q.class].TargetLatency)
}

// choose returns the server with most credit left that the call may go to, or nil.
func (b *Balancer) choose(q *request) *server {
	if !b.mayTry(q) {
		return nil
	}
	var best *server
	bestRank := math.Inf(-1)
	for _, s := range b.live {
		if b.now >= s.reviseAt {
			b.revise(s)
		}
		most := b.accrue(s)
		left := s.credit - float64(s.out)
		if s.cold && s.credit < 1 || s.ejected && left < 1 || s.silent && s.out > 0 {
			continue
		}
		// Of like servers the quicker one.
		rank := left/most - latencyWeight*s.expected()/max(b.tierLatency, 1e-9)
		if s.ejected && b.classes[q.class].Effect == Safe {
			rank += 50 // a trial call: its floor is small, and without one it never returns
		} else if b.told(s) {
			rank += 1000 - 10*(s.held+s.run) // each failure in a run weighs like a call held
		} else if b.overdue(s) {
			rank -= 40
		} else if s.subsetShare > 0 && b.subsetTakes(s) || s.cold && s.run < 1 && b.quick(s) {
			rank += 40 // what a cold one may get is little, and lost if not used
		} else if own := int(s.Zone) == b.set.Zone; own && b.linked(s) {
			rank += 30 // connections cost both ends and are few: open another only at need
		} else if b.linked(s) {
			rank += 20
		} else if own && left >= 1 && s.run < 1 {
			rank += 10
		} else {
			rank -= s.run
		}
		if b.connLost > lostPart && !b.linked(s) {
			rank -= 2000 // new connections fail: keep to the open ones
		}
		if slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.server == s }) {
			rank -= 2000 // it did not help the last time: any other server first
		}
		if rank < bestRank || rank == bestRank && s.lastSent >= best.lastSent || !b.permitted(q, s) {
			continue
		}
		best, bestRank = s, rank
	}
	if best != nil && b.told(best) && best.held > b.heldMean && q.asks < askMost {
		b.probe(q) // all those asked hold more than most servers do
		return nil
	}
	if best != nil && b.set.Stage == 0 && b.told(best) && b.now+b.turn*(best.held+1) > q.aimAt {
		q.backAt = b.now + probeAgain*b.silence
		return nil // even the least of those asked holds too many for the aim
	}
	return best
}

// subsetTakes tells whether a server of the own subset takes this call: it has few out and, if slower than
// the tier, keeps only a part of its calls by chance. Without it, servers of all speeds are loaded alike.
func (b *Balancer) subsetTakes(s *server) bool {
	return s.run <= runLimit && float64(s.out) < subsetHeld*s.subsetShare/(1+s.run) && b.quick(s)
}

// quick holds for a server as fast as the tier; for a slower one by chance.
func (b *Balancer) quick(s *server) bool {
	own, tier := s.meanLatency, b.tierLatency
	return own <= tier || b.rng.Float64()*own*own < tier*tier
}

// linked tells whether a call finds an open connection there, as far as known.
func (b *Balancer) linked(s *server) bool {
	l := &b.set.Limits
	return s.linked && s.out < max(l.MaxStreams, 1) && (l.IdleTimeout <= 0 || b.now-s.heard < l.IdleTimeout)
}

// told tells whether what a server holds was heard just now.
func (b *Balancer) told(s *server) bool { return s.heldAt > 0 && b.now-s.heldAt < probeWait*b.silence }

// send is the one way to a server. It checks the rules, whatever was decided before.
func (b *Balancer) send(q *request, s *server) bool {
	if !b.mayTry(q) || !b.permitted(q, s) {
		return false
	}
	b.sends.Add(b.now, 1, demandTime)
	if b.counted(q) {
		b.further.Add(b.now)
	}
	s.credit = max(s.credit-1, -subsetHeld) // what is borrowed is bounded
	b.count(s, 1)
	s.lastSent = b.now
	if s.held++; !b.told(s) {
		s.held = 0 // an old figure says nothing of this call's wait
	}
	q.open++
	q.attempts = append(q.attempts, attempt{
		server: s, zone: s.Zone, cell: s.Cell, sentAt: b.now, held: s.held, open: true,
	})
	if wait := b.tryTimeout(q, s); wait > 0 {
		b.setHedge(hedgeTimer{b.now + wait, q.id, uint16(len(q.attempts) - 1)})
	}
	act := Action{Kind: ActSend, Request: q.id, Server: s.Server, Deadline: q.due}
	if c := &b.classes[q.class]; q.mayRun && c.Effect == Keyed {
		act.LastByteBy = q.firstRun + c.DedupWindow // a slow connection must not carry a repeat past it
	}
	b.acts = append(b.acts, act)
	return true
}

// overdue tells whether a server has calls out and gave no answer for too long: it is over threshold already.
func (b *Balancer) overdue(s *server) bool { return s.out > s.streams && b.now-s.heard > b.silence }

// findSilent takes the servers that are overdue out of the concurrency limit, and tells whether there were
// any: their calls may stay out till they time out, and would leave none for idle servers. Till one is
// heard of again it gets one call at a time. Where none else serves the cause is shared, and all stay in.
func (b *Balancer) findSilent() bool {
	found := false
	serving := slices.ContainsFunc(b.live, func(s *server) bool { return s.serves() && !b.overdue(s) })
	for _, s := range b.live {
		if serving && s.serves() && b.overdue(s) {
			s.silent, found = true, true
		}
	}
	if found {
		b.recount()
	}
	return found
}

// heard notes that a server gave a sign of life; what this copy did or ran out of itself is none.
func (b *Balancer) heard(s *server) {
	s.heard = b.now
	if s.silent {
		s.silent = false
		b.recount()
	}
}

// connects notes that an attempt waits for a new connection, or does so no more. Meanwhile it holds no place
// in the concurrency limit: its server does no work for it, and others would be kept from idle servers.
func (b *Balancer) connects(a *attempt, waits bool) {
	if !a.open || a.connecting == waits {
		return
	}
	change := -1
	if a.connecting = waits; waits {
		change = 1
	}
	a.server.connecting += change
	b.connecting += change
	if a.server.serves() {
		b.out -= change
	}
}

// count notes that a call went out to a server or came back.
func (b *Balancer) count(s *server, calls int) {
	if calls > 0 && s.out == 0 {
		s.heard = b.now
	}
	s.out += calls
	if s.serves() {
		b.out += calls
	}
}

// end is the one way to a final answer of our own: refused where a repeat is harmless, else failed.
func (b *Balancer) end(q *request) {
	c := &b.classes[q.class]
	harmless := c.Effect == Safe || q.open == 0 && !q.mayRun || c.Effect == Keyed && c.Scope == ScopeAll
	kind := ActFail
	if harmless {
		kind = ActRefuse
	}
	b.acts = append(b.acts, Action{Kind: kind, Request: q.id, Delay: b.set.Limits.RetryAfter()})
	b.forget(q)
}

// RetryAfter returns the retry delay that a refusal carries: 0 if none is sent, at most MaxRetryAfter.
func (l *Limits) RetryAfter() float64 {
	if !l.SendRetryAfter {
		return 0
	}
	return min(comeBack, cmp.Or(l.MaxRetryAfter, comeBack))
}

// forget marks a call as ended; its record stays until its last attempt closes.
func (b *Balancer) forget(q *request) {
	if c := &b.classes[q.class]; !q.ended {
		c.served -= servedGain * c.served
		if q.inTime {
			c.served += servedGain
		}
	}
	q.ended = true
	b.release(q)
}

func (b *Balancer) release(q *request) {
	if q.ended && q.open == 0 && !q.queued {
		delete(b.requests, q.id)
		b.spare = append(b.spare, q)
	}
}

func (b *Balancer) newRequest() *request {
	if len(b.spare) == 0 {
		return &request{}
	}
	q := b.spare[len(b.spare)-1]
	b.spare = b.spare[:len(b.spare)-1]
	*q = request{attempts: q.attempts[:0]}
	return q
}

// first notes that a stream has begun: the attempt belongs to the client now.
func (b *Balancer) first(ev *Event) {
	if q := b.requests[ev.Request]; q != nil && int(ev.Attempt) < len(q.attempts) && !q.streaming {
		q.streaming, q.attempts[ev.Attempt].streams = true, true
		q.attempts[ev.Attempt].server.streams++
		b.heard(q.attempts[ev.Attempt].server)
		b.learn(q.attempts[ev.Attempt].server, int(q.class), OK, ev.Elapsed)
		if b.set.Stage == 0 {
			b.limit.observe(b.now, ev.Elapsed/b.classes[q.class].threshold)
		}
	}
}

// outcome closes an attempt, learns from it and decides what follows for the call.
func (b *Balancer) outcome(ev *Event) {
	q := b.requests[ev.Request]
	if q == nil || int(ev.Attempt) >= len(q.attempts) || !q.attempts[ev.Attempt].open {
		return
	}
	a := &q.attempts[ev.Attempt]
	b.connects(a, false)
	a.open = false
	b.count(a.server, -1)
	if a.streams {
		a.server.streams--
	}
	switch ev.Outcome {
	case OK, Error, Rejected, Reset:
		b.heard(a.server)
	}
	b.closeIdle(a.server)
	q.open--
	if a.silent && ev.Outcome == Cancelled {
		ev.Outcome = Timeout
	}
	if !q.streaming {
		b.learn(a.server, int(q.class), ev.Outcome, ev.Elapsed)
		if ev.Outcome == OK && !ev.NewConnection && b.set.Stage == 0 {
			b.limit.observe(b.now, cmp.Or(ev.ServiceTime, ev.Elapsed)/b.classes[q.class].threshold)
		}
	}
	if b.probing && ev.Outcome == OK && a.held >= 1 {
		b.turn += max(latencyGain, 1/float64(b.pooled)) * (ev.Elapsed/a.held - b.turn)
	}
	neverRan := ev.Outcome == Rejected || ev.Outcome == ConnectFailed || ev.Outcome == NotSent
	if !neverRan && !q.mayRun { // attempts follow each other, so the first that may have run is the earliest
		q.mayRun, q.firstRun = true, a.sentAt
	}
	q.inTime = q.inTime || ev.Outcome == OK && b.now <= q.aimAt
	switch {
	case q.ended || ev.RequestDone || ev.Outcome == OK:
		b.forget(q)
	case b.now >= b.lastStart(q):
		b.end(q)
	case b.mayTry(q) && (!q.mayRun || b.classes[q.class].Effect == Safe):
		b.enqueue(q, 0)
	default: // it may have run: once more only where the rules allow, and at once, not to block the head
		if s := b.choose(q); s == nil || !b.send(q, s) {
			b.end(q)
		}
	}
}

// learn puts an outcome into the server's window and the tier's pool.
func (b *Balancer) learn(s *server, class int, out Outcome, took float64) {
	if out == Cancelled || out == NotSent {
		return
	}
	ratio := failRatio
	if c := &b.classes[class]; out == OK {
		ratio = took / c.threshold
		gain := max(2*latencyGain, 1/float64(s.count+1))
		s.meanLatency += gain * (min(ratio, failRatio) - s.meanLatency)
		s.meanConcurrency += gain * (float64(s.out+1) - s.meanConcurrency)
		c.latency = cmp.Or(c.latency, took)
		c.latency += latencyGain * (took - c.latency)
		b.tierLatency += max(latencyGain, 1/float64(b.pooled+1)) * (min(ratio, failRatio) - b.tierLatency)
	}
	s.linked = out == OK || s.linked && out != ConnectFailed
	b.connLost.Observe(out == ConnectFailed, latencyGain)
	sm := stats.Sample{At: b.now, Value: ratio}
	s.samples[s.count%ringSize] = sm
	s.count++
	if (out == OK || out == Rejected) && !s.ejected { // others tell of one server, not of the load
		b.pool[b.pooled%poolSize] = sm
		b.pooled++
	}
	if !s.ejected {
		b.failing.Observe(out != OK && out != Rejected, latencyGain)
	}
	if ratio <= 1 {
		s.good++
		s.run = max(0, s.run-runLeak-sharedFailures*b.failing.Odds())
		if s.goods++; s.ejected && s.goods >= trialGoods {
			s.unmeasure(b.now)
			b.recount()
		}
		return
	}
	s.goods, s.run = 0, s.run+1
	more := float64(b.ejections+1) <= max(1, sharedPart*float64(len(b.live)))
	if s.run > runLimit && !s.ejected && s.ready() && more {
		s.ejected, s.measured, s.load = true, true, b.floor()
		b.recount()
	}
}

// accrue refills a server's credit for the time gone by and returns its most.
func (b *Balancer) accrue(s *server) float64 {
	load := b.loadOf(s)
	most := max(1, load*creditTime/1000)
	if s.cold { // for the calls that came, not by time: rates of thin traffic are guesses, and read too high
		demand := max(s.ramp.demand, b.demand())
		more := load / max(b.arrivals.PerSecond, 1e-9) * (demand - s.ramp.demand)
		s.credit, s.ramp.demand = s.ramp.refill(s.credit, more, most, b.now), demand
	} else {
		s.credit = min(most, s.credit+load*(b.now-s.accruedAt)/1000)
	}
	s.accruedAt = b.now
	return most
}

// demand is the calls that came so far, each counted over demandTime: a burst reaches cold servers late.
func (b *Balancer) demand() float64 {
	return b.came - b.arrivals.PerSecond*math.Exp((b.arrivals.UpdatedAt-b.now)/demandTime)*demandTime/1000
}

// loadOf is the load a server is given now, in calls a second of this copy.
func (b *Balancer) loadOf(s *server) float64 {
	load := s.load
	if !s.measured {
		load = b.meanLoad
		if b.measured == 0 {
			load = headroom * b.sends.PerSecond / float64(max(len(b.live), 1))
		}
	}
	if s.cold {
		age := b.now - s.Started
		if age < b.set.Safety.RampTime {
			from, share := b.set.Safety.ColdCapacity, b.arrivals.PerSecond/float64(max(len(b.live), 1))
			weight := s.ramp.weight(b.set.Copies, max(len(b.live), 1), b.warm)
			if len(b.zoneServers) > 0 && int(s.Zone) != b.set.Zone {
				weight = 0
			} else if len(b.zoneServers) > 0 {
				weight *= float64(b.zones) // for the copies of other zones
			}
			most := weight * coldPart * share * (from + (1-from)*max(age, 0)/max(b.set.Safety.RampTime, 1))
			if !s.measured && b.measured == 0 { // all cold at the start: nothing was sent, nor ever would be
				return most
			} else if !s.measured {
				load *= weight
			}
			return min(load, most)
		}
		s.cold = false
	}
	return load
}

// floor is the least load of a server, so that trial calls still reach it.
func (b *Balancer) floor() float64 { return max(floorPart*b.meanLoad, 1000/revisePeriod) }

// revise is the paper's rule, every 10 s for each server.
func (b *Balancer) revise(s *server) {
	goodput := float64(s.good) * 1000 / max(b.now-s.since, 1)
	s.reviseAt, s.since, s.good = b.now+revisePeriod, b.now, 0
	p95, ok := b.p95(s)
	if !ok || s.ejected {
		return
	}
	s.load, s.measured = revised(b.loadOf(s), goodput, p95, b.floor(), max(s.maxLoad, b.meanLoad)), true
	if p95 <= 1 {
		s.maxLoad = max(s.maxLoad, 2*headroom*goodput)
	}
	b.recount()
}

// revised gives the next load by the two formulas of the paper's section VI, held between floor and most.
func revised(load, goodput, p95, floor, most float64) float64 {
	if p95 > 1 {
		return max(floor, decreaseTo*goodput)
	}
	next := load * math.Sqrt(1+(1-p95))
	if most > 0 {
		next = min(next, max(most, load))
	}
	return max(floor, next)
}

// p95 is the ratio that 95 in 100 calls stay under: over the last second, over a
// longer window until it holds enough samples, and filled up from the tier's.
func (b *Balancer) p95(s *server) (float64, bool) {
	b.scratch = b.scratch[:0]
	if s != nil {
		b.recent(s.samples[:], s.count)
		if len(b.scratch) == 0 {
			return 0, false
		}
	}
	if len(b.scratch) < windowSamples {
		b.recent(b.pool[:], b.pooled)
	}
	if len(b.scratch) < windowSamples {
		return 0, false
	}
	return stats.Quantile(b.scratch, tail), true
}

// recent adds the samples of the last second, and older ones while too few are held.
func (b *Balancer) recent(ring []stats.Sample, count int) {
	b.scratch = stats.Recent(b.scratch, ring, count, b.now-windowTime, b.now-revisePeriod, windowSamples)
}

// unmeasure lets a server take the others' mean again, as after a good run of trials; a recount is due.
func (s *server) unmeasure(now float64) {
	s.measured, s.ejected, s.silent = false, false, false
	s.run, s.goods, s.count, s.good = 0, 0, 0, 0
	s.since, s.reviseAt = now, now+revisePeriod
}

// recount renews what depends on the servers that serve: the mean load of the measured ones, and the
// concurrency limit. It follows them both ways, less for cold ones. Taking alone would add up: servers
// replaced one by one would leave none for idle servers. With the limit for all, those left after ejections
// are driven over. It does harm where an ejection is wrong, or the list names servers that cannot serve.
func (b *Balancer) recount() {
	sum, n, ejected, serving := 0.0, 0, 0, 0.0
	b.out, b.warm = 0, 0
	for _, s := range b.live {
		if !s.cold {
			b.warm++
		}
		if s.ejected {
			ejected++
		} else if s.measured {
			sum += s.load
			n++
		}
		if !s.serves() {
			continue
		}
		b.out += s.out - s.connecting
		if s.cold {
			serving += b.set.Safety.ColdCapacity
		} else {
			serving++
		}
	}
	b.ejections, b.measured, b.meanLoad = ejected, n, sum/float64(max(n, 1))
	if serving > 0 {
		b.limit.follow(serving)
	}
}

// --- The list of servers.

func (b *Balancer) list(ev *Event) {
	if ev.List != ListFailed { // it could be reached, or is elsewhere
		b.askRounds = askSoon
	}
	if ev.List == ListFailed || ev.List == ListMoved {
		if at := b.nextTurn(); b.set.PollList && (b.askAt == 0 || at < b.askAt) {
			b.askAt = at
		}
		if ev.List == ListFailed {
			b.askRounds = askRound
		}
		return
	}
	if ev.List != ListDelta {
		for _, s := range b.byID {
			s.listed = false
		}
	}
	for i := range ev.Servers {
		if s := b.entry(&ev.Servers[i]); s.listed && !s.live {
			s.live = true
			b.live = append(b.live, s)
		}
	}
	b.live = slices.DeleteFunc(b.live, func(s *server) bool {
		b.closeIdle(s)
		s.live = s.ready()
		return !s.live
	})
	// Servers come and go for as long as a copy runs: what is gone for good must not be kept.
	maps.DeleteFunc(b.byID, func(_ uint32, s *server) bool { return !s.listed && s.out == 0 && !s.asked })
	if b.dealOut(); b.limit.most == 0 {
		b.limit.reviseAt = b.now // calls that came ahead of the first list must not wait for the next one
	}
}

// closeIdle closes the idle connections to a server that drains: on the notice, after each outcome and probe
// there, and once more later, for one that was still being opened. A quiet copy would hold the drain up.
func (b *Balancer) closeIdle(s *server) {
	if s.ready() || b.set.Safety.DrainCloseTimeout <= 0 {
		return
	}
	if s.closeAt == 0 {
		b.closing = append(b.closing, s)
	}
	s.closeAt = b.now + b.set.Safety.DrainCloseTimeout/2
	b.acts = append(b.acts, Action{Kind: ActCloseIdle, Server: s.Server},
		Action{Kind: ActTimer, Delay: b.set.Safety.DrainCloseTimeout / 2})
}

// closeAgain does so for those whose time has come, give or take what a host rounds off a timer.
func (b *Balancer) closeAgain() {
	b.closing = slices.DeleteFunc(b.closing, func(s *server) bool {
		if b.now < s.closeAt-1 {
			return false
		}
		if s.closeAt = 0; !s.ready() {
			b.acts = append(b.acts, Action{Kind: ActCloseIdle, Server: s.Server})
		}
		return true
	})
}

// dealOut deals the zone's servers out over the copies: an even stretch each of one order that all know.
// A copy sees only its own calls, so without this each server is loaded by chance.
func (b *Balancer) dealOut() {
	b.recount()
	b.limit.initial = max(heldLeast, heldFirst*float64(len(b.live))/float64(b.set.Copies))
	zones, seen := 1, [256]bool{}
	b.zoneServers, b.zones = b.zoneServers[:0], 0
	for _, s := range b.live {
		if !seen[s.Zone] {
			seen[s.Zone] = true
			b.zones++
		}
		s.subsetShare = 0
		zones = max(zones, int(s.Zone)+1)
		if int(s.Zone) == b.set.Zone {
			b.zoneServers = append(b.zoneServers, s)
		}
	}
	slices.SortFunc(b.zoneServers, func(a, c *server) int {
		return cmp.Compare(stats.Mix(uint64(a.Server)), stats.Mix(uint64(c.Server)))
	})
	copies := max(b.set.Copies/zones, 1)
	each := float64(len(b.zoneServers)) / float64(copies)
	from := each * float64(b.set.Rank/zones%copies)
	for i, s := range b.zoneServers {
		s.subsetShare = max(0, min(from+each, float64(i+1))-max(from, float64(i)))
	}
}

// entry takes one line of the list; a fresh start time makes the server new and cold.
func (b *Balancer) entry(e *ServerEntry) *server {
	s := b.byID[e.Server]
	if s == nil {
		s = &server{accruedAt: b.now, lastSent: -b.rng.Float64(), since: b.now}
		s.reviseAt = b.now + revisePeriod*(0.2+0.8*b.rng.Float64())
		b.byID[e.Server] = s
	}
	fresh := e.Started > s.Started
	s.ServerEntry = *e
	if fresh {
		s.unmeasure(b.now)
		s.maxLoad, s.meanLatency, s.linked = 0, 0, false
		if b.now-s.Started < b.set.Safety.RampTime {
			s.ramp = newRamp(&b.set, e, b.demand())
			s.cold, s.credit, s.accruedAt = true, s.ramp.phase(), b.now
		}
	}
	s.listed = e.State != Removed
	return s
}

// wake asks for the list when that is due, and keeps one timer pending while calls wait or it is to be asked.
func (b *Balancer) wake() {
	if b.askAt != 0 && b.now >= b.askAt {
		b.askAt = 0
		b.acts = append(b.acts, Action{Kind: ActWatchList})
	}
	at := cmp.Or(b.askAt, math.Inf(1))
	if len(b.queue) > 0 {
		at = min(at, max(b.now+wakeLeast, min(b.sweepAt, b.now+wakeMost)))
	}
	if len(b.hedgeTimers) > 0 {
		at = min(at, b.hedgeTimers[0].at)
	}
	if math.IsInf(at, 1) || b.wakeAt != 0 && b.wakeAt <= at {
		return
	}
	b.wakeAt, b.timer = at, b.timer+1
	b.acts = append(b.acts, Action{Kind: ActTimer, Delay: max(at-b.now, 0), Token: b.timer})
}
