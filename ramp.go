// The interface of this module, its Settings, Events and Actions, is in api.go.

package forkline

import (
	"math"

	"forkline/internal/stats"
)

const (
	rampCopies  = 32.0       // least number of copies that may send to a cold server: evens out their traffic
	rampServers = 4.0        // least mean number of servers that a copy may send to if all are cold
	goldenRatio = 0.61803399 // its multiples modulo 1 are evenly spread, for any number of them
)

// ramp is one copy's part in the budget of a cold server, which bounds the sum over all copies. They share no
// state, so the parts add up by construction: a hash selects the same copies at all of them, each sends only
// requests that it accepted; the phases at which parts become whole requests are evenly spread; and credit
// not used at once is lost, as hundreds of copies would spend saved credit at the same instant.
type ramp struct {
	position  int     // of this copy in the order in which the budget is allocated
	demand    float64 // of this copy, in requests, as far as converted to credit
	offeredAt float64 // since when there is credit for a whole request
}

// newRamp ranks the copy for one start of a server by rendezvous hashing: late or restarted copies agree.
func newRamp(settings *Settings, e *ServerEntry, demand float64) ramp {
	r := ramp{demand: demand}
	key := stats.Mix(uint64(e.Server) ^ stats.Mix(math.Float64bits(e.Started)))
	for rank := range settings.Copies {
		if stats.Mix(key+uint64(rank)) < stats.Mix(key+uint64(settings.Rank)) {
			r.position++
		}
	}
	return r
}

// phase is the fraction of a request's credit that the copy starts with.
func (r *ramp) phase() float64 { return math.Mod(goldenRatio*float64(r.position+1), 1) }

// weight is the copy's part of the budget, relative to an equal allocation; 0 = it may not send.
func (r *ramp) weight(copies, servers, warm int) float64 {
	senders := min(float64(copies), max(rampCopies, math.Ceil(rampServers*float64(copies)/float64(servers))))
	if warm == 0 { // only cold servers can take a copy's requests
		senders = float64(copies)
	}
	if float64(r.position) >= senders {
		return 0
	}
	return float64(copies) / senders
}

// refill adds to the credit. Credit for whole requests is lost if it was not used within creditLifetime or is
// past what may be sent at once. The fraction stays: copies that all lost it would go on in step.
func (r *ramp) refill(credit, added, limit, now float64) float64 {
	if credit >= 1 && now > r.offeredAt+creditLifetime {
		credit -= math.Floor(credit)
	}
	if credit < 1 {
		r.offeredAt = now
	}
	credit += added
	return credit - max(0, math.Ceil(credit-limit-1))
}
