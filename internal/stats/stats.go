// Package stats holds the small statistics that decisions rest on. Nothing in it has a clock: every time is the
// caller's, in milliseconds, and must not go back.
package stats

import (
	"math"
	"slices"
)

// Rate is an exponentially decaying rate of events. The zero Rate has counted no events.
type Rate struct {
	PerSecond float64 // as of the last event
	UpdatedAt float64 // time of the last event
}

// Add counts n events. The rate decays with the given time constant in ms.
func (r *Rate) Add(now, n, timeConstant float64) {
	r.PerSecond = r.PerSecond*math.Exp((r.UpdatedAt-now)/timeConstant) + n*1000/timeConstant
	r.UpdatedAt = now
}

// Window counts events in a sliding window. The count is exact: a token bucket would let a full bucket and its
// refill through within one window. Events that have left the window are dropped in bulk.
type Window struct {
	times []float64
	first int
}

// Add counts one event.
func (w *Window) Add(now float64) { w.times = append(w.times, now) }

// Since returns the number of events at or after the given time and drops older ones.
func (w *Window) Since(from float64) int {
	for w.first < len(w.times) && w.times[w.first] < from {
		w.first++
	}
	if w.first > len(w.times)/2 {
		w.times = w.times[:copy(w.times, w.times[w.first:])]
		w.first = 0
	}
	return len(w.times) - w.first
}

// Len returns the number of events in memory, including those that have left the window. Tests use it.
func (w *Window) Len() int { return len(w.times) }

// Sample is a measured value and its time.
type Sample struct{ At, Value float64 }

// Recent appends the values of recent samples of a ring to values, the latest first. The ring has taken count samples
// so far. Samples taken at or after since are always used. Older ones, down to the time oldest, are used only while
// values has fewer than enough entries.
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

// Quantile sorts values, which must not be empty, and returns the smallest one that at least the given share of them
// do not exceed.
func Quantile(values []float64, share float64) float64 {
	slices.Sort(values)
	return values[int(math.Ceil(share*float64(len(values))))-1]
}

// TokenBucket limits events to a rate and allows bursts up to its capacity.
type TokenBucket struct {
	Tokens, UpdatedAt float64 // tokens at the time UpdatedAt
	Rate, Capacity    float64 // tokens added per second, and the most the bucket holds
}

// NewTokenBucket returns a full token bucket.
func NewTokenBucket(now, rate, most float64) TokenBucket {
	return TokenBucket{Tokens: most, UpdatedAt: now, Rate: rate, Capacity: most}
}

// Available returns the number of tokens in the bucket at the given time.
func (t *TokenBucket) Available(now float64) float64 {
	return min(t.Capacity, t.Tokens+(now-t.UpdatedAt)/1000*t.Rate)
}

// Take removes a token and reports whether one was available.
func (t *TokenBucket) Take(now float64) bool {
	t.Tokens, t.UpdatedAt = t.Available(now), now
	if t.Tokens < 1 {
		return false
	}
	t.Tokens--
	return true
}

// Share is an exponentially weighted average of the share of events of one kind among all events.
type Share float64

// Observe adds one event with the given weight.
func (s *Share) Observe(is bool, weight float64) {
	*s -= Share(weight) * *s
	if is {
		*s += Share(weight)
	}
}

// Odds returns the ratio of events of the kind to all other events.
func (s Share) Odds() float64 { return float64(s) / (1 - float64(s)) }
