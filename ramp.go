// The interface of this module, its Settings, Events and Actions, is in api.go.

package forkline

import (
	"math"

	"forkline/internal/stats"
)

const (
	rampCopies  = 32.0       // copies that may send to a cold server, at least: uneven traffic evens out
	rampServers = 4.0        // servers that a copy may send to in the mean, at least, were all of them cold
	goldenRatio = 0.61803399 // multiples of it, modulo 1, are spread evenly however many there are
)

// ramp is one copy's part in the budget of a cold server, which falls under the sum of all copies. They share
// nothing, so the parts add up by how they are dealt: the same copies by hash at all may send, each for calls
// that it has itself taken; their phases, in which parts become a whole call, are spread evenly; and what is
// not used at once is lost, as what hundreds of copies saved would be spent in one moment.
type ramp struct {
	place     int     // of this copy in the order in which the budget is dealt out
	demand    float64 // of this copy, as far as it has been turned into credit, in calls
	offeredAt float64 // since when there is credit for a whole call
}

// newRamp finds a copy's place for one start of a server by rendezvous hashing: also a copy that is told late
// or was restarted comes to the order of the others.
func newRamp(set *Settings, e *ServerEntry, demand float64) ramp {
	r := ramp{demand: demand}
	key := stats.Mix(uint64(e.Server) ^ stats.Mix(math.Float64bits(e.Started)))
	for rank := range set.Copies {
		if stats.Mix(key+uint64(rank)) < stats.Mix(key+uint64(set.Rank)) {
			r.place++
		}
	}
	return r
}

// phase is the part of a call that the copy starts with.
func (r *ramp) phase() float64 { return math.Mod(goldenRatio*float64(r.place+1), 1) }

// weight is the copy's part over that of an even deal; 0 = it may not send.
func (r *ramp) weight(copies, servers, warm int) float64 {
	senders := min(float64(copies), max(rampCopies, math.Ceil(rampServers*float64(copies)/float64(servers))))
	if warm == 0 { // none but these can take a copy's calls
		senders = float64(copies)
	}
	if float64(r.place) >= senders {
		return 0
	}
	return float64(copies) / senders
}

// refill adds to the credit. Whole calls not sent within creditTime are lost, and those past the most that
// may be sent at once; the phase stays, as copies that all lost it would go on in step.
func (r *ramp) refill(credit, more, most, now float64) float64 {
	if credit >= 1 && now > r.offeredAt+creditTime {
		credit -= math.Floor(credit)
	}
	if credit < 1 {
		r.offeredAt = now
	}
	credit += more
	return credit - max(0, math.Ceil(credit-most-1))
}
