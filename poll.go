package forkline

import "math"

// This file schedules when a copy polls the list; it makes no routing decisions.

const (
	fastPollRound = 1000.0 // ms in which all copies poll once, after a watch broke or discovery moved
	pollRound     = 5000.0 // ms, for later rounds: copies count as notified of a change after 6 s, so 1 s is left for an answer
)

// nextPollAt is the time of this copy's next slot to poll the list. Each copy has one slot per round by its
// rank: while discovery is unreachable and when it returns, it polls at the same rate, evenly spread among
// the copies and tiers. A wrong clock shifts slots but not their rate. Slots are whole ms, so that sums are
// exact.
func (b *Balancer) nextPollAt() float64 {
	slot := float64(b.cfg.Rank) + float64(b.cfg.Stage)/float64(b.cfg.Stages)
	offset := math.Floor(pollRound * math.Mod(slot/float64(b.cfg.Copies), 1))
	return b.now + b.nextPollRound - math.Mod(b.now+pollRound-offset, b.nextPollRound)
}
