// Package stats holds the small statistics that decisions rest on. Nothing in it has a clock: every time is the
// caller's, in milliseconds, and must not go back.
package stats

import (
	"math"
	"slices"
)

// Rate is a rate of events a second that forgets exponentially. The zero Rate has seen none.
type Rate struct {
	PerSecond float64 // as of the last event
	UpdatedAt float64 // time of that
}

// Add counts n events, with the time constant of forgetting in ms.
func (r *Rate) Add(now, n, memory float64) {
	r.PerSecond = r.PerSecond*math.Exp((r.UpdatedAt-now)/memory) + n*1000/memory
	r.UpdatedAt = now
}

// Window counts events within a sliding window. It is exact: a bucket that refills would let a full one and its
// refill through within one window. Entries that have left the window are dropped in bulk.
type Window struct {
	times []float64
	first int
}

// Add counts one event.
func (w *Window) Add(now float64) { w.times = append(w.times, now) }

// CountSince counts the events from a time on, and forgets older ones.
func (w *Window) CountSince(from float64) int {
	for w.first < len(w.times) && w.times[w.first] < from {
		w.first++
	}
	if w.first > len(w.times)/2 {
		w.times = w.times[:copy(w.times, w.times[w.first:])]
		w.first = 0
	}
	return len(w.times) - w.first
}

// Len is how many events are held, for tests of memory.
func (w *Window) Len() int { return len(w.times) }

// Sample is one measured value.
type Sample struct{ At, Value float64 }

// Recent appends the values of a ring that holds count samples, or the last of them: those taken since a time, and
// older ones, but none from before the oldest time, while fewer than enough are held.
func Recent(values []float64, ring []Sample, count int, since, oldest float64, enough int) []float64 {
	for i := range min(count, len(ring)) {
		s := ring[(count-1-i)%len(ring)]
		if s.At < oldest || s.At < since && len(values) >= enough {
			break
		}
		values = append(values, s.Value)
	}
	return values
}

// Quantile sorts values, of which there must be one at least, and returns the least that a share of them stays under.
func Quantile(values []float64, share float64) float64 {
	slices.Sort(values)
	return values[int(math.Ceil(share*float64(len(values))))-1]
}

// TokenBucket lets events through at a rate, and ahead of it by as many as it holds.
type TokenBucket struct {
	Tokens, UpdatedAt float64 // held then
	Rate, Capacity    float64 // refilled a second, and held at most
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(now, rate, most float64) TokenBucket {
	return TokenBucket{Tokens: most, UpdatedAt: now, Rate: rate, Capacity: most}
}

// Available is how many tokens it holds.
func (t *TokenBucket) Available(now float64) float64 {
	return min(t.Capacity, t.Tokens+(now-t.UpdatedAt)/1000*t.Rate)
}

// Take takes a token and tells whether there was one.
func (t *TokenBucket) Take(now float64) bool {
	t.Tokens, t.UpdatedAt = t.Available(now), now
	if t.Tokens < 1 {
		return false
	}
	t.Tokens--
	return true
}

// Share is the share of events of one kind among all, as of late.
type Share float64

// Observe takes in one event with a weight.
func (s *Share) Observe(is bool, weight float64) {
	*s -= Share(weight) * *s
	if is {
		*s += Share(weight)
	}
}

// Odds is how many events of the kind there are for each one of another.
func (s Share) Odds() float64 { return float64(s) / (1 - float64(s)) }
