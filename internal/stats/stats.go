// Package stats provides the statistics that balancing decisions use: rates, sliding windows, samples, quantiles and
// token buckets. It reads no clock: the caller passes every time, in milliseconds, and times must not decrease.
package stats

import (
	"math"
	"slices"
)

// Rate is an exponentially decaying rate of events. Its zero value has counted no events.
type Rate struct {
	PerSecond float64 // rate at the time of the last event
	UpdatedAt float64 // time of the last event, in ms
}

// Add counts n events. The rate decays with the given time constant in ms.
func (r *Rate) Add(now, n, timeConstant float64) {
	r.PerSecond = r.PerSecond*math.Exp((r.UpdatedAt-now)/timeConstant) + n*1000/timeConstant
	r.UpdatedAt = now
}

// Window counts the events in a sliding window. A token bucket would be less strict: within one window it lets through a full
// bucket and its refill. Events that have left the window are removed in bulk.
//
// The count is exact up to maxExactEvents. Beyond that, events within a small part of the window leave it together, with the first
// of them or, if LeaveLate is set, with the last, so that the memory does not grow with the rate.
type Window struct {
	LeaveLate bool

	groups []eventGroup // oldest first
	first  int          // index of the oldest group in the window
	count  int          // events of the groups from first on
	from   float64      // start of the window at the last call of Since
}

// eventGroup is a number of events that count as having occurred at the same time.
type eventGroup struct {
	first float64 // time of the first event
	at    float64 // time at which they count
	count int
}

const (
	maxExactEvents   = 1 << 13 // events in a window that are counted one by one
	windowResolution = 1 << 10 // groups into which a window is divided at least, beyond that
)

// Add counts one event.
func (w *Window) Add(now float64) {
	w.count++
	if last := len(w.groups) - 1; w.count > maxExactEvents && last >= w.first {
		if g := &w.groups[last]; now-g.first < (now-w.from)/windowResolution {
			g.count++
			if w.LeaveLate {
				g.at = now
			}
			return
		}
	}
	w.groups = append(w.groups, eventGroup{now, now, 1})
}

// Since returns the number of events at or after the given time and removes older ones.
func (w *Window) Since(from float64) int {
	w.from = from
	for w.first < len(w.groups) && w.groups[w.first].at < from {
		w.count -= w.groups[w.first].count
		w.first++
	}
	if w.first > len(w.groups)/2 {
		w.groups = w.groups[:copy(w.groups, w.groups[w.first:])]
		w.first = 0
	}
	return w.count
}

// Len returns the number of groups in memory, including those that have left the window. It exists for tests.
func (w *Window) Len() int { return len(w.groups) }

// Sample is a measured value and the time of the measurement, in ms.
type Sample struct{ At, Value float64 }

// Recent appends the values of recent samples in a ring buffer to values, latest first. The ring has received count
// samples in total. Samples taken at or after since are always included. Older ones, back to the time oldest, are
// included only while values has fewer than enough entries.
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

// Quantile sorts values, which must not be empty, and returns the smallest of them that at least the given share of
// the values do not exceed.
func Quantile(values []float64, share float64) float64 {
	slices.Sort(values)
	return values[int(math.Ceil(share*float64(len(values))))-1]
}

// TokenBucket limits events to a rate and allows bursts up to its capacity.
type TokenBucket struct {
	Tokens, UpdatedAt float64 // number of tokens at the time UpdatedAt (ms)
	Rate, Capacity    float64 // tokens added per second, and the largest number of tokens in the bucket
}

// NewTokenBucket returns a full token bucket.
func NewTokenBucket(now, rate, capacity float64) TokenBucket {
	return TokenBucket{Tokens: capacity, UpdatedAt: now, Rate: rate, Capacity: capacity}
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

// Observe adds one event with the given weight. matches reports whether the event is of the counted kind.
func (s *Share) Observe(matches bool, weight float64) {
	*s -= Share(weight) * *s
	if matches {
		*s += Share(weight)
	}
}

// Odds returns the ratio of events of the counted kind to all other events.
func (s Share) Odds() float64 { return float64(s) / (1 - float64(s)) }
