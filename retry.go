// The interface of this module, its Settings, Events and Actions, is in api.go.

package forkline

import (
	"cmp"
	"slices"
)

// Whether and where a request may have a further attempt, and when an attempt is given up for one, is here.

// hedgeTimer is an attempt that may have gone to a server that is silent, and when to look.
type hedgeTimer struct {
	at      float64
	request uint32
	attempt uint16
}

// tryTimeout is how long a call waits for a server that says nothing; 0 = to its end. An inner copy hears of
// each server too seldom to tell, but for an ejected one; a call that may not run twice is not sent twice.
func (b *Balancer) tryTimeout(q *request, s *server) float64 {
	if b.set.Stage > 0 && !s.ejected || !b.set.Limits.CancelAttempts || b.classes[q.class].Effect != Safe {
		return 0
	}
	return tryTimeoutMeans * b.classes[q.class].latency
}

// setHedge notes when to look after an attempt.
func (b *Balancer) setHedge(d hedgeTimer) {
	later := func(o, d hedgeTimer) int { return cmp.Compare(o.at, d.at) }
	place, _ := slices.BinarySearchFunc(b.hedgeTimers, d, later)
	b.hedgeTimers = slices.Insert(b.hedgeTimers, place, d)
}

// callOffSilent calls off attempts at servers that have said nothing since, while there is time for others.
// One that answers other calls is only slow: a further attempt would add to its load.
func (b *Balancer) callOffSilent() {
	for len(b.hedgeTimers) > 0 && b.hedgeTimers[0].at <= b.now {
		d := b.hedgeTimers[0]
		b.hedgeTimers = slices.Delete(b.hedgeTimers, 0, 1)
		q := b.requests[d.request]
		if q == nil || q.ended || q.streaming || !q.attempts[d.attempt].open {
			continue
		}
		a := &q.attempts[d.attempt]
		wait := b.tryTimeout(q, a.server) // 0 if its class has changed
		if at := max(a.sentAt, a.server.heard) + wait; at > b.now {
			b.setHedge(hedgeTimer{at, d.request, d.attempt})
		} else if wait > 0 && b.now < b.lastStart(q) && len(q.attempts) < b.set.Limits.MaxAttempts {
			a.silent = true
			b.acts = append(b.acts, Action{Kind: ActCancel, Request: q.id, Attempt: d.attempt})
		}
	}
}

// mayTry tells whether the rules let this call have an attempt now, at any server.
func (b *Balancer) mayTry(q *request) bool {
	if q.ended || q.streaming || q.open > 0 || b.now >= q.due || len(q.attempts) >= b.set.Limits.MaxAttempts {
		return false
	}
	return !b.counted(q) || b.budgetLeft() >= 1
}

// counted tells whether the next attempt comes out of the retry budget. Where the site states one,
// every attempt but the first does, also after an outcome that proves that nothing ran.
func (b *Balancer) counted(q *request) bool {
	return len(q.attempts) > 0 && (b.budgetTold || q.mayRun)
}

// budgetLeft is how many further attempts may be made now. The window is exact: a bucket that refills
// lets a full one and its refill through within one window.
func (b *Balancer) budgetLeft() float64 {
	f := &b.set.Safety
	taken, made := b.taken.Since(b.now-f.RetryBudgetWindow), b.further.Since(b.now-f.RetryBudgetWindow)
	return f.RetryBudgetMin + f.RetryBudgetRatio*float64(taken) - float64(made)
}

// permitted tells whether the rules let a call that may have an attempt have it at this server.
func (b *Balancer) permitted(q *request, s *server) bool {
	if !s.ready() || s.cold && s.credit < 1 {
		return false
	}
	c := &b.classes[q.class]
	if !q.mayRun || c.Effect == Safe {
		return true
	}
	outside := func(a attempt) bool { return a.sentAt >= q.firstRun && !c.Scope.remembers(&a, s) }
	return c.Effect == Keyed && b.now < q.firstRun+c.DedupWindow && !slices.ContainsFunc(q.attempts, outside)
}

// remembers tells whether a server is in the group that an attempt was sent to.
func (g DedupScope) remembers(a *attempt, s *server) bool {
	return (g&ScopeZone == 0 || a.zone == s.Zone) && (g&ScopeCell == 0 || a.cell == s.Cell)
}
