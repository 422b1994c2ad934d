// Package deadline holds what a sidecar keeps back of its client's deadline before it hands the rest on: deadline
// propagation through any number of tiers. It is sans-I/O and has no clock of its own.
package deadline

import "math"

// All times are in milliseconds.
const (
	// MaxMargin and MostPart bound what is held back: the first, or this share of the time left, whichever is less. It is also
	// held where too little has been measured. Answers as late as that are past a class's aim anyhow.
	MaxMargin      = 50.0
	MaxMarginShare = 0.1

	way      = 5     // for the way there and back, which nothing on this side can measure, and for work that no delay shows
	enough   = 16    // measured delays, from which on they are believed: those of a few calls
	halfLife = 2000  // in which the memory of a delay halves
	stale    = 60000 // what was measured longer ago says nothing about the core now
)

// Phase is a part of a request's way through a sidecar on which it may wait for the core. One that meets its deadline may
// meet all of them, one after another.
type Phase int

const (
	Intake   Phase = iota // from the arrival of a request, or of an attempt's outcome, to its being taken up
	Timer                 // by which a timer fires late
	Response              // from the decision on an answer to its first byte
	parts
)

// Margin is how long before its client's deadline a sidecar has to be done with a request, by the delays that it has
// seen of late. Of each part it keeps a decaying maximum: a quantile would need more delays than a sidecar with a few
// calls a second has. The zero Margin has measured nothing. It is not safe for concurrent use.
type Margin struct {
	worst [parts]float64 // delay
	at    [parts]float64 // when that was so much
	seen  int
	last  float64 // when a delay was last measured
}

// Observe notes a delay of a part. The clock may be any that runs on; delays below 0 count as none.
func (m *Margin) Observe(p Phase, now, delay float64) {
	if now-m.last > stale {
		*m = Margin{}
	}
	m.last = now
	m.seen = min(m.seen+1, enough)
	// More than can be held back need not be remembered, and would be for long.
	if delay = min(delay, MaxMargin); delay >= m.decayed(p, now) {
		m.worst[p], m.at[p] = max(delay, 0), now
	}
}

// Reserve is what to hold back of the time that is left until a deadline. It is less than that, and at least 0.
func (m *Margin) Reserve(left, now float64) float64 {
	most := min(MaxMargin, MaxMarginShare*max(left, 0))
	if m.seen < enough || now-m.last > stale {
		return most
	}
	sum := float64(way)
	for p := range parts {
		sum += m.decayed(p, now)
	}
	return min(sum, most)
}

func (m *Margin) decayed(p Phase, now float64) float64 {
	return m.worst[p] * math.Exp2(min(0, m.at[p]-now)/halfLife)
}
