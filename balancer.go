// The interface of this module, its Settings, Events and Actions, is in api.go.

// Package forkline decides, for one copy of a load balancer, which server gets which request. It does no I/O:
// New returns a Balancer, and Handle turns each event into actions. The algorithm is SMACE (Kim and
// Schulzrinne) with extensions; docs/design.md tells the two apart.
package forkline

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"forkline/internal/stats"
)

const ( // times are in ms, shares and ratios have no unit
	revisePeriod         = 10000.0 // SMACE, section VI-C: the load of a server is revised every 10 s
	decreaseFactor       = 0.9     // VI-C: over its threshold, a server gets this share of its goodput
	latencyWindow        = 1000.0  // SMACE, section IV-A: latency statistics cover one second
	minSamples           = 20      // fewest samples whose second largest is a p95
	ringSize             = 32      // latency samples kept per server, a little over minSamples
	poolSize             = 128     // samples kept for the tier, to fill sparse windows
	latencyQuantile      = 0.95    // SMACE, section IV-A: the quantile kept below the threshold
	thresholdRatio       = 0.7     // threshold over the target latency of a class; leaves time for queueing
	creditLifetime       = 100.0   // any longer, and old credit would outweigh attempts in flight
	headroom             = 2.0     // load over the observed demand or goodput, for bursts
	minLoadShare         = 0.05    // share of the mean load that an ejected server keeps, for trials
	failureRatio         = 2.0     // latency ratio that a failed attempt counts as
	maxFailureRun        = 2.5     // failures in a run, less its decay, that eject a server
	failureRunDecay      = 0.25    // subtracted from the run for each answer within the threshold
	tierFailureWeight    = 2.0     // more decay, per failure in the tier for each success
	trialSuccesses       = 3       // successes in a row that end an ejection
	maxEjectedShare      = 0.4     // share of servers; beyond it, the cause is assumed to be shared
	coldShare            = 0.7     // largest part of an even share, by its ramp, that a cold server gets
	demandTau            = 2000.0  // time constant of the averages of sends and arrivals
	queueWaitShare       = 0.3     // longest wait in the queue, over the mean target latency
	overQuotaShare       = 0.5     // share of the limit above which over-quota requests are refused
	quotaBurstTime       = 2000.0  // a tenant may run ahead of its quota by this time's worth
	defaultRetryRatio    = 0.1     // default retry budget: repeats, per request, of what may have run,
	defaultRetryMin      = 5.0     // plus this number,
	defaultRetryWindow   = 10000.0 // within this window
	latencyGain          = 0.05    // weight of a new value in moving averages
	servedGain           = 0.005   // likewise for the served share, which the goal counts over a day
	latencyWeight        = 7.0     // weight of a server's latency over the tier's, against its credit left
	attemptTimeoutFactor = 6.0     // mean latencies of the class to wait for an unresponsive server
	probeCount           = 3       // servers probed per request where probing is cheap
	maxProbeCost         = 0.02    // points of the goal that probes at all tiers may cost
	maxProbeRounds       = 3       // rounds per request, while the probed servers are busier than most
	connFailureLimit     = 0.05    // failure rate above which servers with an open connection are preferred
	maxDraws             = 20      // random draws for a connected server to probe
	probeTimeoutShare    = 0.05    // share of the threshold that requests wait for reports and use them
	probeRetryShare      = 0.15    // share of maxThreshold after which a waiting request probes again
	subsetConcurrency    = 2.0     // attempts at a server of the own subset before requests go elsewhere
	initialConcurrency   = 5.0     // attempts that a server can take from all copies, until measured
	minConcurrency       = 2.0     // least initial limit: with one at a time a copy may never measure
	minWakeDelay         = 5.0     // shortest timer, so that waiting requests cost little CPU
	maxWakeDelay         = 20.0    // longest timer while requests wait
	defaultRetryAfter    = 1000.0  // sent with a refusal; by then latency is measured anew
	firstPollSpread      = 0.3     // share of Safety.PollInterval over which the first poll is spread
)

// server is what this copy knows of one server, from its list and its own attempts.
type server struct {
	ServerEntry
	listed, live, probePending bool    // on the list; among the live ones; a probe is out
	connected                  bool    // has answered since a connection last failed
	reportedCalls, reportedAt  float64 // requests in progress by its last report, and its time
	subsetShare                float64 // part of this server that is in the copy's own subset
	cold                       bool
	ramp                       ramp    // used while cold
	measured                   bool    // has its own load; others take the mean load
	ejected                    bool    // at the minimum load since a run of failures
	unresponsive               bool    // overdue, and so left out of the concurrency limit
	inFlight, streams          int     // attempts; those whose response has started
	connecting                 int     // attempts in flight that wait for a new connection
	load, maxLoad              float64 // requests per second at which credit accrues; their bound
	credit, accruedAt          float64 // sends that it may still get; time of the last accrual
	lastSentAt                 float64
	lastActivity               float64                // last answer, or first send with none in flight
	closeIdleAt                float64                // time to close idle connections again; 0 = never
	reviseAt, successesSince   float64                // next revision; since when successes are counted
	failureRun                 float64                // failures in a run, less its decay
	successes, successRun      int                    // answers in threshold since successesSince; in a row
	samples                    [ringSize]stats.Sample // latency ratios: latency over the class's threshold
	sampleCount                int                    // samples ever taken
	meanRatio                  float64                // mean latency ratio; 0 = no answer yet
	meanConcurrency            float64                // mean attempts in flight with each answer
}

func (s *server) ready() bool { return s.listed && s.State == Ready }

// expectedRatio estimates the ratio of one more attempt: the mean alone lags behind the concurrency.
func (s *server) expectedRatio() float64 {
	return s.meanRatio * math.Sqrt(float64(s.inFlight+1)/max(s.meanConcurrency, 1))
}

// inLimit reports whether the concurrency limit counts this server.
func (s *server) inLimit() bool { return s.ready() && !s.ejected && !s.unresponsive }

// attempt is one send of a request to a server.
type attempt struct {
	server        *server
	zone          uint8  // of the server when it was sent: a later list may move the server,
	cell          uint16 // but not the scope that remembers the request
	sentAt        float64
	reportedCalls float64 // requests in progress at the server with this one, if reported
	open          bool
	abandoned     bool // cancelled, as its server was unresponsive
	connecting    bool // waits for a new connection
	streaming     bool // its response has started
}

// request is one request that this copy has accepted.
type request struct {
	id                    uint32
	class, tenant         uint16
	ended                 bool // a final answer was given or the client left
	inTime                bool // served within its target latency
	queued, streaming     bool
	mayHaveRun            bool // some closed attempt may have run
	targetAt, deadline    float64
	heldUntil             float64 // waits for a less busy server until then; 0 = not
	probesUntil           float64 // waits for answers to its probes until then
	probeRounds, inFlight int     // rounds of probes sent; attempts in flight
	attempts              []attempt
	firstRunAt            float64 // send time of the earliest attempt that may have run
}

// classState is what this copy has learned about a class.
type classState struct {
	Class
	threshold    float64
	meanLatency  float64 // of successful answers, in ms
	arrivalShare float64 // of arriving requests that are of this class
	servedShare  float64 // of its requests that are served within the target
}

// Balancer is one balancer copy of a tier. It is not safe for concurrent use.
type Balancer struct {
	cfg                              Settings
	rng                              stats.Random
	now                              float64
	actions                          []Action
	servers                          map[uint32]*server
	live                             []*server // listed and ready, in the order of their appearance
	probesPending, numWarm           int       // outstanding probes; live servers that are not cold
	meanReported, callTime           float64   // mean of reports; ms of latency per reported request
	zoneServers                      []*server // of the own zone, in an order that all copies share
	numZones                         int       // with live servers
	requests                         map[uint32]*request
	queue, freeRequests              []*request
	sweepAt                          float64             // when the first queued request must be ended
	classes                          []classState        // as configured, then removed ones still in use
	quotas                           []stats.TokenBucket // this copy's part of the tenants' quotas
	pool                             [poolSize]stats.Sample
	poolCount                        int
	numMeasured, numEjected          int     // live servers with their own load; ejected ones
	meanLoad                         float64 // of measured servers that are not ejected
	sends, arrivals                  stats.Rate
	arrived                          float64     // requests ever arrived
	connFailureRate                  stats.Share // moving average of attempts without a connection
	failureRate                      stats.Share // likewise, of failed ones at servers not ejected
	meanTarget                       float64
	accepted, retries                stats.Window   // requests and repeats in the retry budget's window
	attemptTimers                    []attemptTimer // of safe classes' attempts, earliest first
	closing                          []*server      // draining servers whose connections are closed again
	budgetConfigured, probingEnabled bool           // the site states a retry budget; probes are cheap
	inFlight, connecting             int            // attempts that the limit counts; attempts that connect
	limit                            concurrencyLimit
	tierRatio                        float64 // mean latency ratio of the tier
	scratch                          []float64
	maxThreshold                     float64 // largest, in ms: a server with no answer for longer is overdue
	wakeAt                           float64 // time of the pending timer; 0 = none
	timerToken                       uint64  // of the pending timer
	polls                            pollSchedule
}

// New returns a Balancer for one copy. Its random numbers are determined by the seed.
func New(settings Settings, seed uint64, now float64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, fmt.Errorf("forkline: %w", err)
	}
	b := &Balancer{rng: stats.NewRandom(seed), now: now, sweepAt: math.Inf(1), servers: map[uint32]*server{},
		requests: map[uint32]*request{}, retries: stats.Window{LeaveLate: true}} // a budget is a limit
	b.configure(settings)
	if settings.PollList {
		b.polls.lost = true
		b.polls.nextAt = now + b.rng.Float64()*firstPollSpread*settings.Safety.PollInterval
	}
	b.limit = concurrencyLimit{baseline: math.Inf(1), baselineFrom: now + 2*b.maxThreshold}
	return b, nil
}

// configure applies settings and keeps what was learned under names that are still in use.
func (b *Balancer) configure(settings Settings) {
	old, safety := *b, &b.cfg.Safety
	b.cfg, b.classes, b.quotas, b.maxThreshold, b.meanTarget = settings, nil, nil, 0, 0
	if b.budgetConfigured = safety.RetryBudgetWindow > 0; !b.budgetConfigured {
		safety.RetryBudgetMin, safety.RetryBudgetRatio, safety.RetryBudgetWindow =
			defaultRetryMin, defaultRetryRatio, defaultRetryWindow
	}
	n := float64(len(settings.Classes))
	for _, c := range settings.Classes {
		state := classState{Class: c, threshold: c.TargetLatency * thresholdRatio,
			arrivalShare: 1 / n, servedShare: 1}
		state.threshold *= float64(settings.Stages-settings.Stage) / float64(settings.Stages) // tiers ahead
		b.classes = append(b.classes, state)
		b.maxThreshold = max(b.maxThreshold, state.threshold)
		b.meanTarget += c.TargetLatency / n
	}
	affordable := settings.ProbeCost*probeCount*float64(settings.Stages) <= maxProbeCost
	b.probingEnabled = settings.Limits.Probing && settings.ReportField > 0 && affordable
	for _, t := range settings.Tenants {
		rate := t.Quota / float64(settings.Copies)
		b.quotas = append(b.quotas, stats.NewTokenBucket(b.now, rate, max(rate*quotaBurstTime/1000, 1)))
	}
	b.carryOver(&old)
}

// Handle processes one event and appends the resulting actions to actions.
func (b *Balancer) Handle(now float64, ev *Event, actions []Action) []Action {
	clean := ev.sanitized()
	b.now, b.actions, ev = advanceClock(b.now, now), actions, &clean
	switch ev.Kind {
	case EvRequest:
		b.acceptRequest(ev)
	case EvResponseStarted:
		b.responseStarted(ev)
	case EvOutcome:
		b.attemptEnded(ev)
	case EvConnecting, EvConnected:
		if q := b.requests[ev.Request]; q != nil && int(ev.Attempt) < len(q.attempts) {
			b.setConnecting(&q.attempts[ev.Attempt], ev.Kind == EvConnecting)
		}
	case EvClientGone:
		if q := b.requests[ev.Request]; q != nil {
			for i := range q.attempts { // servers that support it should stop work for a client that left
				if q.attempts[i].open && b.cfg.Limits.CancelAttempts && !q.streaming {
					b.actions = append(b.actions, Action{Kind: ActCancel, Request: q.id, Attempt: uint16(i)})
				}
			}
			b.markEnded(q)
		}
	case EvList:
		b.updateList(ev)
	case EvProbeResult:
		if s := b.servers[ev.Server]; s != nil && s.probePending {
			s.probePending = false
			b.probesPending--
			b.closeIdle(s)
			if f := b.cfg.ReportField; ev.Outcome == OK && f > 0 && f <= min(ev.ReportLen, len(ev.Report)) {
				s.reportedCalls, s.reportedAt = float64(ev.Report[f-1]), b.now
				b.meanReported += latencyGain * (s.reportedCalls - b.meanReported)
			}
		}
	case EvTimer:
		if ev.Token == b.timerToken {
			b.wakeAt = 0 // matched by token: rounded timers may fire early
		}
		b.closeIdleDue()
	}
	b.cancelUnresponsive()
	b.dispatch()
	b.scheduleWake()
	return b.actions
}

// acceptRequest queues a new request, or ends it at once if the queue is full for it.
func (b *Balancer) acceptRequest(ev *Event) {
	if b.requests[ev.Request] != nil || int(ev.Class) >= len(b.cfg.Classes) {
		return
	}
	q := b.newRequest()
	q.id, q.class, q.tenant, q.deadline = ev.Request, ev.Class, ev.Tenant, ev.Deadline
	c := &b.classes[q.class]
	q.targetAt = b.now + min(c.Timeout, c.TargetLatency+c.TargetWorkFactor*ev.WorkHint)
	if b.cfg.Stage > 0 && c.LateValue == 0 {
		q.deadline = min(q.deadline, q.targetAt) // a late answer has no value, but holds a slot
	}
	b.requests[q.id] = q
	for i := range b.cfg.Classes {
		b.classes[i].arrivalShare -= servedGain * b.classes[i].arrivalShare
	}
	b.classes[q.class].arrivalShare += servedGain
	b.arrivals.Add(b.now, 1, demandTau)
	b.arrived++
	b.accepted.Since(b.now - b.cfg.Safety.RetryBudgetWindow)
	b.accepted.Add(b.now)
	// The queue holds what recent rates send within the longest wait; it is unbounded without servers.
	overQuota := b.overQuota(q)
	bound := (1 + queueWaitShare*b.meanTarget/1000*b.sends.PerSecond) * b.queueShare(q, overQuota)
	full, maxOpen := len(b.live) > 0 && len(b.queue) > int(bound), b.cfg.Limits.MaxOpenRequests
	full = full || overQuota && b.limit.initial > minConcurrency && // not at copies with few servers
		float64(b.inFlight) >= overQuotaShare*b.limit.maxInFlight
	if full || maxOpen > 0 && len(b.requests) > maxOpen {
		b.endRequest(q)
		return
	}
	b.enqueue(q, len(b.queue))
	b.sendProbes(q)
}

// sendProbes asks some servers for their load, which a copy with little traffic cannot know otherwise.
func (b *Balancer) sendProbes(q *request) {
	if !b.probingEnabled || len(b.live) == 0 {
		return
	}
	q.probeRounds++
	q.probesUntil = b.now + probeTimeoutShare*b.classes[q.class].threshold
	for range probeCount {
		s := b.live[int(b.rng.Float64()*float64(len(b.live)))]
		for try := 0; try < maxDraws && b.connFailureRate > connFailureLimit && !b.hasOpenConn(s); try++ {
			s = b.live[int(b.rng.Float64()*float64(len(b.live)))]
		}
		if !s.probePending && !s.ejected {
			s.probePending = true
			b.probesPending++
			b.actions = append(b.actions, Action{Kind: ActProbe, Server: s.Server})
		}
	}
}

// enqueue inserts a request into the queue at an index: new requests at the end, repeats at the head.
func (b *Balancer) enqueue(q *request, index int) {
	q.queued = true
	b.queue = slices.Insert(b.queue, index, q)
	b.sweepAt = min(b.sweepAt, b.lastUsefulSend(q))
}

// queueShare is the share of the queue that a request may fill: its value per unit of work over that of the
// best class. Cheap requests are refused first while the order stays first-in, first-out.
func (b *Balancer) queueShare(q *request, overQuota bool) float64 {
	best := 0.0
	for i := range b.cfg.Classes {
		best = max(best, b.value(i))
	}
	share := b.value(int(q.class)) / max(best, 1e-9)
	if overQuota {
		share *= b.cfg.OverQuotaValue
	}
	return share
}

// value is what a request of a class adds to the goal per unit of work; the target latency stands for work
// until it is measured. If the goal weights the worst-served class, that class's requests add to it too.
func (b *Balancer) value(class int) float64 {
	c := &b.classes[class]
	value := c.Value
	if b.cfg.Stage == 0 && b.worstServedClass() == class {
		mean := 0.0
		for i := range b.cfg.Classes {
			mean += b.classes[i].arrivalShare * b.classes[i].Value
		}
		value += b.cfg.WorstClassWeight * mean / max(c.arrivalShare, latencyGain)
	}
	if b.cfg.ValueByWork || c.meanLatency == 0 {
		return value / c.TargetLatency
	}
	return value / c.meanLatency
}

// worstServedClass returns the class with the smallest served share, or -1 if there is only one class.
func (b *Balancer) worstServedClass() int {
	worst := -1
	for i := range b.cfg.Classes {
		if len(b.cfg.Classes) > 1 && (worst < 0 || b.classes[i].servedShare < b.classes[worst].servedShare) {
			worst = i
		}
	}
	return worst
}

// overQuota takes a token of the tenant's local quota and reports whether there was none.
func (b *Balancer) overQuota(q *request) bool {
	limited := b.cfg.Stage == 0 && int(q.tenant) < len(b.quotas) && b.quotas[q.tenant].Rate > 0
	return limited && !b.quotas[q.tenant].Take(b.now)
}

// dispatch sends from the head of the queue while a server has credit for it.
func (b *Balancer) dispatch() {
	if b.now >= b.sweepAt {
		b.sweep()
	}
	if b.cfg.Stage == 0 && b.now >= b.limit.reviseAt { // only the front has a limit
		b.limit.reviseAt = b.now + latencyWindow
		p95, ok := b.p95(nil)
		b.limit.revise(float64(b.inFlight), p95, ok, b.scratch)
	}
	removed := 0
	for _, q := range b.queue {
		if !q.ended && (!b.mayAttempt(q) || q.mayHaveRun && b.classes[q.class].Effect != Safe) {
			b.endRequest(q) // meanwhile the retry budget was used up or its class changed
		}
		if !q.ended {
			if q.heldUntil > 0 && b.now >= q.heldUntil {
				q.heldUntil = 0
				b.sendProbes(q) // it was held back: the old reports are outdated
			}
			atLimit := b.limitReached() && (!b.excludeUnresponsive() || b.limitReached())
			if atLimit || b.now < q.heldUntil || b.probesPending > 0 && b.now < q.probesUntil {
				break
			}
			if s := b.choose(q); s == nil || !b.send(q, s) {
				break
			}
		}
		q.queued = false
		b.release(q)
		removed++
	}
	if removed > 0 {
		b.queue = slices.Delete(b.queue, 0, removed)
	}
}

// limitReached reports whether the limit is used up. Only the front sheds: inner errors waste upstream work.
func (b *Balancer) limitReached() bool {
	return b.cfg.Stage == 0 && float64(max(b.inFlight, b.connecting)) >= b.limit.maxInFlight
}

// sweep ends all queued requests that can no longer be answered in time, also behind the head.
func (b *Balancer) sweep() {
	b.sweepAt = math.Inf(1)
	for _, q := range b.queue {
		if at := b.lastUsefulSend(q); !q.ended && b.now >= at {
			b.endRequest(q)
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

// lastUsefulSend is the latest useful send time: at the front, late answers have no value. The mean latency
// counts up to thresholdRatio of the target, or a slow class would never be sent and measured again.
func (b *Balancer) lastUsefulSend(q *request) float64 {
	latest := q.deadline
	if b.cfg.Stage == 0 {
		latest = min(latest, q.targetAt)
	}
	return latest - min(b.classes[q.class].meanLatency, thresholdRatio*b.classes[q.class].TargetLatency)
}

// choose returns the server with the best score that the request may go to, or nil.
func (b *Balancer) choose(q *request) *server {
	if !b.mayAttempt(q) {
		return nil
	}
	var best *server
	bestScore := math.Inf(-1)
	for _, s := range b.live {
		if b.now >= s.reviseAt {
			b.reviseLoad(s)
		}
		maxCredit := b.accrueCredit(s)
		available := s.credit - float64(s.inFlight)
		if s.cold && s.credit < 1 || s.ejected && available < 1 || s.unresponsive && s.inFlight > 0 {
			continue
		}
		score := available/maxCredit - latencyWeight*s.expectedRatio()/max(b.tierRatio, 1e-9)
		if s.ejected && b.classes[q.class].Effect == Safe {
			score += 50 // a trial: with its minimum load it would never be chosen
		} else if b.hasFreshReport(s) {
			score += 1000 - 10*(s.reportedCalls+s.failureRun) // each failure in a run weighs like one request
		} else if b.overdue(s) {
			score -= 40
		} else if s.subsetShare > 0 && b.subsetAccepts(s) || s.cold && s.failureRun < 1 && b.fastEnough(s) {
			score += 40 // a cold server's credit is small, and lost if not used
		} else if sameZone := int(s.Zone) == b.cfg.Zone; sameZone && b.hasOpenConn(s) {
			score += 30 // connections are costly at both ends: open new ones only at need
		} else if b.hasOpenConn(s) {
			score += 20
		} else if sameZone && available >= 1 && s.failureRun < 1 {
			score += 10
		} else {
			score -= s.failureRun
		}
		if b.connFailureRate > connFailureLimit && !b.hasOpenConn(s) {
			score -= 2000 // new connections fail: prefer open ones
		}
		if slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.server == s }) {
			score -= 2000 // already tried: prefer any other server
		}
		if score < bestScore || score == bestScore && s.lastSentAt >= best.lastSentAt || !b.mayUse(q, s) {
			continue
		}
		best, bestScore = s, score
	}
	if best != nil && b.hasFreshReport(best) && best.reportedCalls > b.meanReported &&
		q.probeRounds < maxProbeRounds {
		b.sendProbes(q) // all probed servers are busier than most
		return nil
	}
	if best != nil && b.cfg.Stage == 0 && b.hasFreshReport(best) &&
		b.now+b.callTime*(best.reportedCalls+1) > q.targetAt {
		q.heldUntil = b.now + probeRetryShare*b.maxThreshold
		return nil // even the least busy server would miss the target
	}
	return best
}

// subsetAccepts reports whether a server of the own subset takes this request: it has few in flight and, if
// slower than the tier, gets only a random part. Otherwise servers of all speeds would be loaded alike.
func (b *Balancer) subsetAccepts(s *server) bool {
	return s.failureRun <= maxFailureRun &&
		float64(s.inFlight) < subsetConcurrency*s.subsetShare/(1+s.failureRun) && b.fastEnough(s)
}

// fastEnough reports whether a server is as fast as the tier; a slower one passes at random.
func (b *Balancer) fastEnough(s *server) bool {
	mean, tier := s.meanRatio, b.tierRatio
	return mean <= tier || b.rng.Float64()*mean*mean < tier*tier
}

// hasOpenConn reports whether an attempt would probably find an open connection to the server.
func (b *Balancer) hasOpenConn(s *server) bool {
	l := &b.cfg.Limits
	return s.connected && s.inFlight < max(l.MaxStreams, 1) &&
		(l.IdleTimeout <= 0 || b.now-s.lastActivity < l.IdleTimeout)
}

// hasFreshReport reports whether the server's last load report is recent enough to be used.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < probeTimeoutShare*b.maxThreshold
}

// send starts an attempt; no other function does. It checks the rules again, whatever was decided before.
func (b *Balancer) send(q *request, s *server) bool {
	if !b.mayAttempt(q) || !b.mayUse(q, s) {
		return false
	}
	b.sends.Add(b.now, 1, demandTau)
	if b.usesBudget(q) {
		b.retries.Add(b.now)
	}
	s.credit = max(s.credit-1, -subsetConcurrency) // credit may be borrowed, within bounds
	b.addInFlight(s, 1)
	s.lastSentAt = b.now
	if s.reportedCalls++; !b.hasFreshReport(s) {
		s.reportedCalls = 0 // an outdated report says nothing of this request's wait
	}
	q.inFlight++
	q.attempts = append(q.attempts, attempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: b.now,
		reportedCalls: s.reportedCalls, open: true})
	if wait := b.attemptTimeout(q, s); wait > 0 {
		b.addAttemptTimer(attemptTimer{b.now + wait, q.id, uint16(len(q.attempts) - 1)})
	}
	action := Action{Kind: ActSend, Request: q.id, Server: s.Server, Deadline: q.deadline}
	if c := &b.classes[q.class]; q.mayHaveRun && c.Effect == Keyed {
		action.LastByteBy = q.firstRunAt + c.DedupWindow // a slow connection must not deliver it later
	}
	b.actions = append(b.actions, action)
	return true
}

// overdue reports whether a server has attempts in flight and gave no answer for longer than any threshold.
func (b *Balancer) overdue(s *server) bool {
	return s.inFlight > s.streams && b.now-s.lastActivity > b.maxThreshold
}

// excludeUnresponsive takes overdue servers out of the limit and reports whether there were any: attempts
// that hang until they time out would leave no capacity for idle servers. Until one is active again it gets
// one attempt at a time. If all servers are overdue, the cause is shared and all stay in.
func (b *Balancer) excludeUnresponsive() bool {
	found := false
	serving := slices.ContainsFunc(b.live, func(s *server) bool { return s.inLimit() && !b.overdue(s) })
	for _, s := range b.live {
		if serving && s.inLimit() && b.overdue(s) {
			s.unresponsive, found = true, true
		}
	}
	if found {
		b.recount()
	}
	return found
}

// noteActivity records a sign of life of a server. Timeouts, cancellations and failed connects do not count.
func (b *Balancer) noteActivity(s *server) {
	s.lastActivity = b.now
	if s.unresponsive {
		s.unresponsive = false
		b.recount()
	}
}

// setConnecting records whether an attempt waits for a new connection. Meanwhile the limit does not count it:
// its server does no work for it, and others would be kept from idle servers.
func (b *Balancer) setConnecting(a *attempt, connecting bool) {
	if !a.open || a.connecting == connecting {
		return
	}
	delta := -1
	if a.connecting = connecting; connecting {
		delta = 1
	}
	a.server.connecting += delta
	b.connecting += delta
	if a.server.inLimit() {
		b.inFlight -= delta
	}
}

// addInFlight counts an attempt that was sent (1) or has closed (-1).
func (b *Balancer) addInFlight(s *server, delta int) {
	if delta > 0 && s.inFlight == 0 {
		s.lastActivity = b.now
	}
	s.inFlight += delta
	if s.inLimit() {
		b.inFlight += delta
	}
}

// endRequest gives the balancer's own final answer: refused if a repeat is safe, otherwise failed.
func (b *Balancer) endRequest(q *request) {
	c := &b.classes[q.class]
	safe := c.Effect == Safe || q.inFlight == 0 && !q.mayHaveRun || c.Effect == Keyed && c.Scope == ScopeAll
	kind := ActFail
	if safe {
		kind = ActRefuse
	}
	b.actions = append(b.actions, Action{Kind: kind, Request: q.id, Delay: b.cfg.Limits.RetryAfter()})
	b.markEnded(q)
}

// RetryAfter returns the retry delay that a refusal carries: 0 if none is sent, at most MaxRetryAfter.
func (l *Limits) RetryAfter() float64 {
	if !l.SendRetryAfter {
		return 0
	}
	return min(defaultRetryAfter, cmp.Or(l.MaxRetryAfter, defaultRetryAfter))
}

// markEnded marks a request as ended. Its record stays until the last attempt closes.
func (b *Balancer) markEnded(q *request) {
	if c := &b.classes[q.class]; !q.ended {
		c.servedShare -= servedGain * c.servedShare
		if q.inTime {
			c.servedShare += servedGain
		}
	}
	q.ended = true
	b.release(q)
}

func (b *Balancer) release(q *request) {
	if q.ended && q.inFlight == 0 && !q.queued {
		delete(b.requests, q.id)
		b.freeRequests = append(b.freeRequests, q)
	}
}

func (b *Balancer) newRequest() *request {
	if len(b.freeRequests) == 0 {
		return &request{}
	}
	q := b.freeRequests[len(b.freeRequests)-1]
	b.freeRequests = b.freeRequests[:len(b.freeRequests)-1]
	*q = request{attempts: q.attempts[:0]}
	return q
}

// responseStarted records that a stream has begun: from then on the attempt is bound to the client.
func (b *Balancer) responseStarted(ev *Event) {
	if q := b.requests[ev.Request]; q != nil && int(ev.Attempt) < len(q.attempts) && !q.streaming {
		q.streaming, q.attempts[ev.Attempt].streaming = true, true
		q.attempts[ev.Attempt].server.streams++
		b.noteActivity(q.attempts[ev.Attempt].server)
		b.recordOutcome(q.attempts[ev.Attempt].server, int(q.class), OK, ev.Elapsed)
		if b.cfg.Stage == 0 {
			b.limit.observe(b.now, ev.Elapsed/b.classes[q.class].threshold)
		}
	}
}

// attemptEnded closes an attempt, learns from its outcome and decides what follows for the request.
func (b *Balancer) attemptEnded(ev *Event) {
	q := b.requests[ev.Request]
	if q == nil || int(ev.Attempt) >= len(q.attempts) || !q.attempts[ev.Attempt].open {
		return
	}
	a := &q.attempts[ev.Attempt]
	b.setConnecting(a, false)
	a.open = false
	b.addInFlight(a.server, -1)
	if a.streaming {
		a.server.streams--
	}
	switch ev.Outcome {
	case OK, Error, Rejected, Reset:
		b.noteActivity(a.server)
	}
	b.closeIdle(a.server)
	q.inFlight--
	if a.abandoned && ev.Outcome == Cancelled {
		ev.Outcome = Timeout
	}
	if !q.streaming {
		b.recordOutcome(a.server, int(q.class), ev.Outcome, ev.Elapsed)
		if ev.Outcome == OK && !ev.NewConnection && b.cfg.Stage == 0 {
			b.limit.observe(b.now, cmp.Or(ev.ServiceTime, ev.Elapsed)/b.classes[q.class].threshold)
		}
	}
	if b.probingEnabled && ev.Outcome == OK && a.reportedCalls >= 1 {
		b.callTime += max(latencyGain, 1/float64(b.poolCount)) * (ev.Elapsed/a.reportedCalls - b.callTime)
	}
	neverRan := ev.Outcome == Rejected || ev.Outcome == ConnectFailed || ev.Outcome == NotSent
	if !neverRan && !q.mayHaveRun { // attempts are sequential, so the first that may have run is the earliest
		q.mayHaveRun, q.firstRunAt = true, a.sentAt
	}
	q.inTime = q.inTime || ev.Outcome == OK && b.now <= q.targetAt
	switch {
	case q.ended || ev.RequestDone || ev.Outcome == OK:
		b.markEnded(q)
	case b.now >= b.lastUsefulSend(q):
		b.endRequest(q)
	case b.mayAttempt(q) && (!q.mayHaveRun || b.classes[q.class].Effect == Safe):
		b.enqueue(q, 0)
	default: // it may have run: repeat it where the rules allow, and at once, not to block the queue
		if s := b.choose(q); s == nil || !b.send(q, s) {
			b.endRequest(q)
		}
	}
}

// recordOutcome adds an outcome to the server's samples and the tier's pool.
func (b *Balancer) recordOutcome(s *server, class int, outcome Outcome, elapsed float64) {
	if outcome == Cancelled || outcome == NotSent {
		return
	}
	ratio := failureRatio
	if c := &b.classes[class]; outcome == OK {
		ratio = elapsed / c.threshold
		gain := max(2*latencyGain, 1/float64(s.sampleCount+1))
		s.meanRatio += gain * (min(ratio, failureRatio) - s.meanRatio)
		s.meanConcurrency += gain * (float64(s.inFlight+1) - s.meanConcurrency)
		c.meanLatency = cmp.Or(c.meanLatency, elapsed)
		c.meanLatency += latencyGain * (elapsed - c.meanLatency)
		b.tierRatio += max(latencyGain, 1/float64(b.poolCount+1)) * (min(ratio, failureRatio) - b.tierRatio)
	}
	s.connected = outcome == OK || s.connected && outcome != ConnectFailed
	b.connFailureRate.Observe(outcome == ConnectFailed, latencyGain)
	sample := stats.Sample{At: b.now, Value: ratio}
	s.samples[s.sampleCount%ringSize] = sample
	s.sampleCount++
	if (outcome == OK || outcome == Rejected) && !s.ejected { // other outcomes concern one server
		b.pool[b.poolCount%poolSize] = sample
		b.poolCount++
	}
	if !s.ejected {
		b.failureRate.Observe(outcome != OK && outcome != Rejected, latencyGain)
	}
	if ratio <= 1 {
		s.successes++
		s.failureRun = max(0, s.failureRun-failureRunDecay-tierFailureWeight*b.failureRate.Odds())
		if s.successRun++; s.ejected && s.successRun >= trialSuccesses {
			s.resetMeasurements(b.now)
			b.recount()
		}
		return
	}
	s.successRun, s.failureRun = 0, s.failureRun+1
	mayEject := float64(b.numEjected+1) <= max(1, maxEjectedShare*float64(len(b.live)))
	if s.failureRun > maxFailureRun && !s.ejected && s.ready() && mayEject {
		s.ejected, s.measured, s.load = true, true, b.minLoad()
		b.recount()
	}
}

// accrueCredit adds the credit earned since the last call and returns the server's maximum.
func (b *Balancer) accrueCredit(s *server) float64 {
	load := b.loadFor(s)
	maxCredit := max(1, load*creditLifetime/1000)
	if s.cold { // by arrivals, not time: rates of sparse traffic are guesses, and tend to be high
		demand := max(s.ramp.demand, b.smoothedArrivals())
		added := load / max(b.arrivals.PerSecond, 1e-9) * (demand - s.ramp.demand)
		s.credit, s.ramp.demand = s.ramp.refill(s.credit, added, maxCredit, b.now), demand
	} else {
		s.credit = min(maxCredit, s.credit+load*(b.now-s.accruedAt)/1000)
	}
	s.accruedAt = b.now
	return maxCredit
}

// smoothedArrivals is the number of arrivals, each spread over demandTau: bursts reach cold servers late.
func (b *Balancer) smoothedArrivals() float64 {
	return b.arrived - b.arrivals.PerSecond*math.Exp((b.arrivals.UpdatedAt-b.now)/demandTau)*demandTau/1000
}

// loadFor is the load that a server gets now, in requests per second of this copy.
func (b *Balancer) loadFor(s *server) float64 {
	load := s.load
	if !s.measured {
		load = b.meanLoad
		if b.numMeasured == 0 {
			load = headroom * b.sends.PerSecond / float64(max(len(b.live), 1))
		}
	}
	if s.cold {
		age := b.now - s.Started
		if age < b.cfg.Safety.RampTime {
			minShare, share := b.cfg.Safety.ColdCapacity, b.arrivals.PerSecond/float64(max(len(b.live), 1))
			weight := s.ramp.weight(b.cfg.Copies, max(len(b.live), 1), b.numWarm)
			if len(b.zoneServers) > 0 && int(s.Zone) != b.cfg.Zone {
				weight = 0
			} else if len(b.zoneServers) > 0 {
				weight *= float64(b.numZones) // the copies of other zones send none
			}
			maxLoad := weight * coldShare * share *
				(minShare + (1-minShare)*max(age, 0)/max(b.cfg.Safety.RampTime, 1))
			if !s.measured && b.numMeasured == 0 { // all cold at the start: load is 0, and would stay 0
				return maxLoad
			} else if !s.measured {
				load *= weight
			}
			return min(load, maxLoad)
		}
		s.cold = false
	}
	return load
}

// minLoad is the least load of a server, so that trial requests still reach it.
func (b *Balancer) minLoad() float64 { return max(minLoadShare*b.meanLoad, 1000/revisePeriod) }

// reviseLoad applies SMACE's rule to a server, every 10 s.
func (b *Balancer) reviseLoad(s *server) {
	goodput := float64(s.successes) * 1000 / max(b.now-s.successesSince, 1)
	s.reviseAt, s.successesSince, s.successes = b.now+revisePeriod, b.now, 0
	p95, ok := b.p95(s)
	if !ok || s.ejected {
		return
	}
	s.load, s.measured = nextLoad(b.loadFor(s), goodput, p95, b.minLoad(), max(s.maxLoad, b.meanLoad)), true
	if p95 <= 1 {
		s.maxLoad = max(s.maxLoad, 2*headroom*goodput)
	}
	b.recount()
}

// nextLoad returns the next load by the two formulas of SMACE, section VI, within minLoad and maxLoad.
func nextLoad(load, goodput, p95, minLoad, maxLoad float64) float64 {
	if p95 > 1 {
		return max(minLoad, decreaseFactor*goodput)
	}
	next := load * math.Sqrt(1+(1-p95))
	if maxLoad > 0 {
		next = min(next, max(maxLoad, load))
	}
	return max(minLoad, next)
}

// p95 is the p95 ratio of the last second or, with few samples, of a longer time and then of the tier too.
func (b *Balancer) p95(s *server) (float64, bool) {
	b.scratch = b.scratch[:0]
	if s != nil {
		b.appendRecent(s.samples[:], s.sampleCount)
		if len(b.scratch) == 0 {
			return 0, false
		}
	}
	if len(b.scratch) < minSamples {
		b.appendRecent(b.pool[:], b.poolCount)
	}
	if len(b.scratch) < minSamples {
		return 0, false
	}
	return stats.Quantile(b.scratch, latencyQuantile), true
}

// appendRecent adds the samples of the last second, and older ones while there are too few.
func (b *Balancer) appendRecent(ring []stats.Sample, count int) {
	b.scratch = stats.Recent(b.scratch, ring, count, b.now-latencyWindow, b.now-revisePeriod, minSamples)
}

// resetMeasurements lets a server take the mean load again. The caller must then call recount.
func (s *server) resetMeasurements(now float64) {
	s.measured, s.ejected, s.unresponsive = false, false, false
	s.failureRun, s.successRun, s.sampleCount, s.successes = 0, 0, 0, 0
	s.successesSince, s.reviseAt = now, now+revisePeriod
}

// recount updates what depends on the servers in the limit: the mean load, and the limit itself, which grows
// and shrinks with them, by less for cold ones. Shrinking alone would add up: servers replaced one by one
// would leave no capacity. Keeping the limit would overload those left after ejections. Scaling does harm
// where an ejection is wrong, or where the list names servers that cannot serve.
func (b *Balancer) recount() {
	sum, n, ejected, serving := 0.0, 0, 0, 0.0
	b.inFlight, b.numWarm = 0, 0
	for _, s := range b.live {
		if !s.cold {
			b.numWarm++
		}
		if s.ejected {
			ejected++
		} else if s.measured {
			sum += s.load
			n++
		}
		if !s.inLimit() {
			continue
		}
		b.inFlight += s.inFlight - s.connecting
		if s.cold {
			serving += b.cfg.Safety.ColdCapacity
		} else {
			serving++
		}
	}
	b.numEjected, b.numMeasured, b.meanLoad = ejected, n, sum/float64(max(n, 1))
	if serving > 0 {
		b.limit.scaleTo(serving)
	}
}

func (b *Balancer) updateList(ev *Event) {
	b.schedulePoll(ev)
	if ev.List == ListFailed || ev.List == ListMoved {
		return
	}
	if ev.List != ListDelta {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for i := range ev.Servers {
		if s := b.applyEntry(&ev.Servers[i]); s.listed && !s.live {
			s.live = true
			b.live = append(b.live, s)
		}
	}
	b.live = slices.DeleteFunc(b.live, func(s *server) bool {
		b.closeIdle(s)
		s.live = s.ready()
		return !s.live
	})
	maps.DeleteFunc(b.servers, func(_ uint32, s *server) bool { // those gone for good must not be kept
		return !s.listed && s.inFlight == 0 && !s.probePending
	})
	if b.assignSubsets(); b.limit.maxInFlight == 0 {
		b.limit.reviseAt = b.now // requests before the first list must not wait for the next revision
	}
}

// closeIdle closes the idle connections to a draining server: on the notice, after each outcome and probe
// there, and once more later for one that was being opened. An idle copy would delay the drain.
func (b *Balancer) closeIdle(s *server) {
	if s.ready() || b.cfg.Safety.DrainCloseTimeout <= 0 {
		return
	}
	if s.closeIdleAt == 0 {
		b.closing = append(b.closing, s)
	}
	s.closeIdleAt = b.now + b.cfg.Safety.DrainCloseTimeout/2
	b.actions = append(b.actions, Action{Kind: ActCloseIdle, Server: s.Server},
		Action{Kind: ActTimer, Delay: b.cfg.Safety.DrainCloseTimeout / 2})
}

// closeIdleDue closes idle connections again where due, with 1 ms of tolerance for rounded timers.
func (b *Balancer) closeIdleDue() {
	b.closing = slices.DeleteFunc(b.closing, func(s *server) bool {
		if b.now < s.closeIdleAt-1 {
			return false
		}
		if s.closeIdleAt = 0; !s.ready() {
			b.actions = append(b.actions, Action{Kind: ActCloseIdle, Server: s.Server})
		}
		return true
	})
}

// assignSubsets assigns the zone's servers to copies: each gets an equal range of an order that all share. A
// copy sees only its own requests, so without subsets the load of each server would be left to chance.
func (b *Balancer) assignSubsets() {
	b.recount()
	b.limit.initial = max(minConcurrency, initialConcurrency*float64(len(b.live))/float64(b.cfg.Copies))
	zones, seen := 1, [256]bool{}
	b.zoneServers, b.numZones = b.zoneServers[:0], 0
	for _, s := range b.live {
		if !seen[s.Zone] {
			seen[s.Zone] = true
			b.numZones++
		}
		s.subsetShare = 0
		zones = max(zones, int(s.Zone)+1)
		if int(s.Zone) == b.cfg.Zone {
			b.zoneServers = append(b.zoneServers, s)
		}
	}
	slices.SortFunc(b.zoneServers, func(a, c *server) int {
		return cmp.Compare(stats.Mix(uint64(a.Server)), stats.Mix(uint64(c.Server)))
	})
	copies := max(b.cfg.Copies/zones, 1)
	subsetSize := float64(len(b.zoneServers)) / float64(copies)
	from := subsetSize * float64(b.cfg.Rank/zones%copies)
	for i, s := range b.zoneServers {
		s.subsetShare = max(0, min(from+subsetSize, float64(i+1))-max(from, float64(i)))
	}
}

// applyEntry applies one entry of the list; a later start time makes the server new and cold.
func (b *Balancer) applyEntry(e *ServerEntry) *server {
	s := b.servers[e.Server]
	if s == nil {
		s = &server{accruedAt: b.now, lastSentAt: -b.rng.Float64(), successesSince: b.now}
		s.reviseAt = b.now + revisePeriod*(0.2+0.8*b.rng.Float64())
		b.servers[e.Server] = s
	}
	restarted := e.Started > s.Started
	s.ServerEntry = *e
	if restarted {
		s.resetMeasurements(b.now)
		s.maxLoad, s.meanRatio, s.connected = 0, 0, false
		if b.now-s.Started < b.cfg.Safety.RampTime {
			s.ramp = newRamp(&b.cfg, e, b.smoothedArrivals())
			s.cold, s.credit, s.accruedAt = true, s.ramp.phase(), b.now
		}
	}
	s.listed = e.State != Removed
	return s
}

// scheduleWake polls the list if due, and keeps one timer pending for the queue, polls and attempt timers.
func (b *Balancer) scheduleWake() {
	if b.polls.nextAt != 0 && b.now >= b.polls.nextAt {
		b.polls.nextAt, b.polls.lastAt = 0, b.now
		b.actions = append(b.actions, Action{Kind: ActWatchList})
	}
	at := cmp.Or(b.polls.nextAt, math.Inf(1))
	if len(b.queue) > 0 {
		at = min(at, max(b.now+minWakeDelay, min(b.sweepAt, b.now+maxWakeDelay)))
	}
	if len(b.attemptTimers) > 0 {
		at = min(at, b.attemptTimers[0].at)
	}
	if math.IsInf(at, 1) || b.wakeAt != 0 && b.wakeAt <= at {
		return
	}
	b.wakeAt, b.timerToken = at, b.timerToken+1
	b.actions = append(b.actions, Action{Kind: ActTimer, Delay: max(at-b.now, 0), Token: b.timerToken})
}
