package forkline

import "math"

// This file schedules when a copy polls the list; it makes no routing decisions.

const (
	fastPollRound = 1000.0 // ms in which all copies poll once
	pollRound     = 5000.0 // ms, of the rounds once discovery has failed for longer: it may be overloaded

	// A change counts as notified, whether or not it has arrived, at the latest this long after discovery has
	// it and can be reached, after a watch that missed it has fallen silent, and after discovery has moved.
	notifyTime      = 6000.0 // ms
	movedNotifyTime = 4000.0 // ms
)

// pollSchedule is when a copy polls the list. All times are in ms.
type pollSchedule struct {
	nextAt        float64 // time of the next poll; 0 = none
	lastAt        float64 // time of the last one
	lost          bool    // changes no longer arrive
	fastRoundsEnd float64 // end of the fast rounds that have begun when the list was lost
}

// schedulePoll schedules the next poll after an event of discovery, if the list is polled.
func (b *Balancer) schedulePoll(ev *Event) {
	p := &b.polls
	switch {
	case !b.cfg.PollList:
		return
	case ev.List == ListMoved:
		b.beginFastRounds(movedNotifyTime)
	case ev.List != ListFailed:
		p.lost = false
		return
	case !p.lost:
		b.beginFastRounds(notifyTime - ev.Elapsed)
	}
	at := b.nextPollSlot(b.now, fastPollRound)
	// A slot that has passed while the last poll was waited for is made up for in a fast round.
	if slot := b.nextPollSlot(p.lastAt, pollRound); at > p.fastRoundsEnd && slot > b.now {
		at = slot
	}
	if p.nextAt == 0 || at < p.nextAt {
		p.nextAt = at
	}
}

// beginFastRounds has the copies poll in fast rounds, as changes no longer arrive and count as notified after the
// given time. One round is enough if a poll in a long one is still in time when the first one fails. Otherwise
// they last until the time is over, so that a poll that is refused or hangs is followed by another one in time.
func (b *Balancer) beginFastRounds(timeLeft float64) {
	if timeLeft >= fastPollRound+pollRound {
		timeLeft = fastPollRound
	}
	b.polls.lost = true
	b.polls.fastRoundsEnd = max(b.polls.fastRoundsEnd, b.now+max(timeLeft, fastPollRound))
}

// nextPollSlot is the time of this copy's first slot after the given time, in rounds of the given length. Each
// copy has one slot per round by its rank: while discovery is unreachable and when it returns, it polls at the
// same rate, evenly spread among the copies and tiers. A wrong clock shifts slots but not their rate. Slots are
// whole ms, so that sums are exact.
func (b *Balancer) nextPollSlot(after, round float64) float64 {
	slot := float64(b.cfg.Rank) + float64(b.cfg.Stage)/float64(b.cfg.Stages)
	offset := math.Floor(pollRound * math.Mod(slot/float64(b.cfg.Copies), 1))
	return after + round - math.Mod(after+pollRound-offset, round)
}
