// The interface of this module, its Settings, Events and Actions, is in api.go.

package forkline

import (
	"cmp"
	"slices"
)

// This file decides whether and where a request may be repeated, and when an attempt is cancelled for that.

// attemptTimer is the time to check whether the server of an attempt is unresponsive.
type attemptTimer struct {
	at      float64
	request uint32
	attempt uint16
}

// attemptTimeout is how long an attempt waits for an unresponsive server; 0 = until its deadline. An inner
// copy has too few answers of a server to judge it, unless it is ejected. Only safe requests may run twice.
func (b *Balancer) attemptTimeout(q *request, s *server) float64 {
	if b.cfg.Stage > 0 && !s.ejected || !b.cfg.Limits.CancelAttempts || b.classes[q.class].Effect != Safe {
		return 0
	}
	return attemptTimeoutFactor * b.classes[q.class].meanLatency
}

// addAttemptTimer inserts a timer in order of time.
func (b *Balancer) addAttemptTimer(timer attemptTimer) {
	byTime := func(x, y attemptTimer) int { return cmp.Compare(x.at, y.at) }
	index, _ := slices.BinarySearchFunc(b.attemptTimers, timer, byTime)
	b.attemptTimers = slices.Insert(b.attemptTimers, index, timer)
}

// cancelUnresponsive cancels attempts whose server has shown no activity for their timeout, while there is
// time for another one. A server that answers other requests is only slow: an attempt would add to its load.
func (b *Balancer) cancelUnresponsive() {
	for len(b.attemptTimers) > 0 && b.attemptTimers[0].at <= b.now {
		timer := b.attemptTimers[0]
		b.attemptTimers = slices.Delete(b.attemptTimers, 0, 1)
		q := b.requests[timer.request]
		if q == nil || q.ended || q.streaming || !q.attempts[timer.attempt].open {
			continue
		}
		a := &q.attempts[timer.attempt]
		timeout := b.attemptTimeout(q, a.server) // 0 if its class has changed
		if at := max(a.sentAt, a.server.lastActivity) + timeout; at > b.now {
			b.addAttemptTimer(attemptTimer{at, timer.request, timer.attempt})
		} else if timeout > 0 && b.now < b.lastUsefulSend(q) && len(q.attempts) < b.cfg.Limits.MaxAttempts {
			a.abandoned = true
			b.actions = append(b.actions, Action{Kind: ActCancel, Request: q.id, Attempt: timer.attempt})
		}
	}
}

// mayAttempt reports whether the rules allow the request an attempt now, at any server.
func (b *Balancer) mayAttempt(q *request) bool {
	if q.ended || q.streaming || q.inFlight > 0 || b.now >= q.deadline ||
		len(q.attempts) >= b.cfg.Limits.MaxAttempts {
		return false
	}
	return !b.usesBudget(q) || b.budgetLeft() >= 1
}

// usesBudget reports whether the next attempt counts. A configured budget counts all but the first one.
func (b *Balancer) usesBudget(q *request) bool {
	return len(q.attempts) > 0 && (b.budgetConfigured || q.mayHaveRun)
}

// budgetLeft is the number of repeats allowed now. A token bucket would add its refill within the window.
func (b *Balancer) budgetLeft() float64 {
	safety := &b.cfg.Safety
	accepted, retries := b.accepted.Since(b.now-safety.RetryBudgetWindow),
		b.retries.Since(b.now-safety.RetryBudgetWindow)
	return safety.RetryBudgetMin + safety.RetryBudgetRatio*float64(accepted) - float64(retries)
}

// mayUse reports whether the rules allow a request that may have an attempt to have it at this server.
func (b *Balancer) mayUse(q *request, s *server) bool {
	if !s.ready() || s.cold && s.credit < 1 {
		return false
	}
	c := &b.classes[q.class]
	if !q.mayHaveRun || c.Effect == Safe {
		return true
	}
	beyond := func(a attempt) bool { return a.sentAt >= q.firstRunAt && !c.Scope.remembers(&a, s) }
	return c.Effect == Keyed && b.now < q.firstRunAt+c.DedupWindow && !slices.ContainsFunc(q.attempts, beyond)
}

// remembers reports whether a server is in the scope to which an attempt was sent.
func (g DedupScope) remembers(a *attempt, s *server) bool {
	return (g&ScopeZone == 0 || a.zone == s.Zone) && (g&ScopeCell == 0 || a.cell == s.Cell)
}
