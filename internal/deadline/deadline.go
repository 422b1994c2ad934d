// Package deadline computes the margin that a sidecar subtracts from its client's deadline before it passes the rest
// on, for deadline propagation through any number of tiers. It is sans-I/O and has no clock of its own.
package deadline

import "math"

// All times are in milliseconds.
const (
	// The margin is at most MaxMargin or MaxMarginShare of the remaining time, whichever is less. This maximum also
	// applies while too few delays have been measured. Answers this late miss the target latency of their class anyway.
	MaxMargin      = 50.0
	MaxMarginShare = 0.1

	way      = 5     // for the way there and back, which nothing on this side can measure, and for work that no delay shows
	enough   = 16    // measured delays, from which on they are believed: those of a few calls
	halfLife = 2000  // in which the memory of a delay halves
	stale    = 60000 // what was measured longer ago says nothing about the core now
)

// Phase is a part of a request's path through a sidecar in which it may wait for a CPU core. A request that meets its
// deadline may pass through all of them, one after another.
type Phase int

const (
	Intake   Phase = iota // from the arrival of a request, or of an attempt's outcome, until its processing starts
	Timer                 // delay by which a timer fires late
	Response              // from the decision on an answer until its first byte is written
	parts
)

// Margin estimates from recent delays how long before its client's deadline a sidecar must finish a request. It keeps a
// decaying maximum for each phase: a quantile would need more samples than a sidecar with a few calls per second has.
// The zero Margin has no samples. It is not safe for concurrent use.
type Margin struct {
	worst [parts]float64 // delay
	at    [parts]float64 // when that was so much
	seen  int
	last  float64 // when a delay was last measured
}

// Observe records a delay of a phase. The clock may be any monotonic one. Negative delays count as 0.
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

// Reserve returns the margin to subtract from the time that is left until a deadline. It is at least 0 and never more
// than MaxMarginShare of the time left.
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
