// The interface of this module, its Settings, Events and Actions, is in api.go.

package forkline

import (
	"cmp"
	"math"
	"slices"
)

const (
	shedOver   = 1.2   // ratio of p95 to threshold at which the front sheds: tails alone pass 1
	waitOver   = 1.3   // the front sheds only for waiting: answers take so many times the least mean
	leastDrift = 0.005 // and that least mean forgets by this share a second
)

// concurrencyLimit bounds the calls that a copy at the front may have out at once.
type concurrencyLimit struct {
	most      float64 // calls out at once; 0 = not bounded yet
	initial   float64 // its start: the copies must not overrun an unmeasured tier
	serving   float64 // servers it is for: ready, not ejected, a cold one in part
	reviseAt  float64 // time of the next revision
	leastFrom float64 // the least mean counts from then on
	mean      float64 // mean ratio of answers to their thresholds
	least     float64 // and its least: they tell of waiting
}

// full tells whether so many calls out are all that may be.
func (l *concurrencyLimit) full(out int) bool { return float64(out) >= l.most }

// follow has the limit follow the servers that serve, both ways.
func (l *concurrencyLimit) follow(serving float64) {
	l.most *= serving / cmp.Or(l.serving, serving)
	l.serving = serving
}

// observe takes over the mean ratio of answers as it is now.
func (l *concurrencyLimit) observe(now, mean float64) {
	l.mean = mean
	if now > l.leastFrom { // the first answers are the quick ones
		l.least = min(l.least, mean)
	}
}

// revise applies the paper's rule to the calls that may be out at once, each second: ten are too long for an
// overload. Two signs tell of waiting: slow answers, and a mean well over its least. It sheds when both do,
// and rises by the mean (by slow answers till there is a least): either lags behind the calls that are out,
// and servers once driven over stay slow for long. It rises too late where the least is of a quieter time.
func (l *concurrencyLimit) revise(out, p95 float64, ok bool, ratios []float64) {
	l.most = cmp.Or(l.most, l.initial)
	waits, slow := l.mean/(waitOver*l.least), p95/shedOver
	if math.IsInf(l.least, 1) {
		waits = slow
	}
	l.least *= 1 + leastDrift
	switch {
	case len(ratios) == 0 || !ok && math.IsInf(l.least, 1): // nothing measured
	case waits > 1 && (slow > 1 || !ok):
		good, _ := slices.BinarySearch(ratios, shedOver)
		part := float64(good) / float64(len(ratios))
		most := min(l.most, max(out, l.most/headroom))
		l.most = max(l.initial, decreaseTo*part*most)
	default:
		rise := math.Sqrt(1 + max(0, 1-waits*waits))
		most := max(l.most, l.initial, headroom*(out+1))
		l.most = min(l.most*rise, most)
	}
}
