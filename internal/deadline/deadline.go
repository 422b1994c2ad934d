// Package deadline computes the margin that a sidecar subtracts from its client's deadline before it passes the rest
// on, for deadline propagation through any number of tiers. It performs no I/O and has no clock of its own.
package deadline

import "math"

// All times are in milliseconds.
const (
	// The margin is at most MaxMargin or MaxMarginShare of the remaining time, whichever is less. This maximum also
	// applies while too few delays have been measured. Answers this late miss the target latency of their class anyway.
	MaxMargin      = 50.0
	MaxMarginShare = 0.1

	fixedReserve  = 5     // for the network in both directions, which cannot be measured here, and for work that shows no delay
	minSamples    = 16    // delays observed, over a few calls, before the estimate is used
	decayHalfLife = 2000  // in which the weight of a delay halves
	staleAfter    = 60000 // older samples say nothing about current CPU contention
)

// Phase is a part of a request's path through a sidecar in which it may wait for a CPU core. A request that meets its
// deadline may pass through all of them, one after another.
type Phase int

// The phases of a request.
const (
	Intake   Phase = iota // from the arrival of a request, or of an attempt's outcome, until its processing starts
	Timer                 // delay by which a timer fires late
	Response              // from the decision on an answer until its first byte is written
	numPhases
)

// Margin estimates from recent delays how long before its client's deadline a sidecar must finish a request. It keeps a
// decaying maximum for each phase: a quantile would need more samples than a sidecar with a few calls per second has.
// The zero Margin has no samples. It is not safe for concurrent use.
type Margin struct {
	maxDelay     [numPhases]float64 // largest recent delay of each phase
	maxDelayAt   [numPhases]float64 // when that delay was observed
	samples      int
	lastSampleAt float64 // when the last delay was observed
}

// Observe records a delay of a phase. The clock may be any monotonic one. Negative delays count as 0.
func (m *Margin) Observe(phase Phase, now, delay float64) {
	if now-m.lastSampleAt > staleAfter {
		*m = Margin{}
	}
	m.lastSampleAt = now
	m.samples = min(m.samples+1, minSamples)
	// Delays beyond MaxMargin cannot be reserved for and would take long to decay.
	if delay = min(delay, MaxMargin); delay >= m.decayed(phase, now) {
		m.maxDelay[phase], m.maxDelayAt[phase] = max(delay, 0), now
	}
}

// Reserve returns the margin to subtract from the time that is left until a deadline. It is at least 0 and never more
// than MaxMarginShare of the time left.
func (m *Margin) Reserve(remaining, now float64) float64 {
	limit := min(MaxMargin, MaxMarginShare*max(remaining, 0))
	if m.samples < minSamples || now-m.lastSampleAt > staleAfter {
		return limit
	}
	total := float64(fixedReserve)
	for phase := range numPhases {
		total += m.decayed(phase, now)
	}
	return min(total, limit)
}

func (m *Margin) decayed(phase Phase, now float64) float64 {
	return m.maxDelay[phase] * math.Exp2(min(0, m.maxDelayAt[phase]-now)/decayHalfLife)
}
