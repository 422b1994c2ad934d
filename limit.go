// The interface of this module, its Settings, Events and Actions, is in api.go.

package forkline

import (
	"cmp"
	"math"
	"slices"
)

const (
	minRatio          = 1e-6  // of latency to threshold: logarithms must be finite
	shedThreshold     = 1.2   // ratio of p95 to threshold that counts as overload: tails alone pass 1
	waitThreshold     = 1.3   // ratio of the mean to its baseline that counts as waiting
	baselineDrift     = 0.005 // the baseline rises by this share per second
	fastBaselineDrift = 0.2   // at most by this one while the limit is at its initial value
)

// concurrencyLimit bounds the attempts that a copy at the front may have in flight.
type concurrencyLimit struct {
	maxInFlight  float64 // the limit, in attempts; 0 = not set yet
	initial      float64 // its first and least value: the copies must not overload an unmeasured tier
	servers      float64 // servers that it is scaled to: those in the limit, a cold one by its capacity
	reviseAt     float64 // time of the next revision
	baselineFrom float64 // time from which the baseline is tracked
	meanRatio    float64 // geometric mean of latencies over their thresholds
	answerCount  int     // number of answers in meanRatio
	baseline     float64 // smallest meanRatio, rising slowly; meanRatio above it indicates waiting
}

// scaleTo scales the limit with the number of servers, up and down.
func (l *concurrencyLimit) scaleTo(servers float64) {
	l.maxInFlight *= servers / cmp.Or(l.servers, servers)
	l.servers = servers
}

// observe adds a ratio. The mean is geometric: waiting delays all answers, the network few but by much.
func (l *concurrencyLimit) observe(now, ratio float64) {
	ratio = min(max(ratio, minRatio), failureRatio)
	l.answerCount++
	l.meanRatio = cmp.Or(l.meanRatio, ratio)
	l.meanRatio *= math.Pow(ratio/l.meanRatio, max(latencyGain, 1/float64(l.answerCount)))
	if now > l.baselineFrom { // the first answers are unusually fast
		l.baseline = min(l.baseline, l.meanRatio)
	}
}

// revise applies SMACE's rule to the limit each second: 10 s are too long in an overload. Signs of waiting
// are slow answers and a mean well above its baseline. With both the limit falls; it rises by the mean
// (without a baseline, by slow answers): both lag behind the load, and overloaded servers stay slow. At its
// initial value it causes no waiting: a mean that stays high then, without slow answers, is the new baseline.
func (l *concurrencyLimit) revise(inFlight, p95 float64, ok bool, ratios []float64) {
	l.maxInFlight = cmp.Or(l.maxInFlight, l.initial)
	waiting, tail := l.meanRatio/(waitThreshold*l.baseline), p95/shedThreshold
	if math.IsInf(l.baseline, 1) {
		waiting = tail
	}
	l.baseline *= 1 + baselineDrift
	if l.maxInFlight <= l.initial && ok && tail <= 1 && l.meanRatio > l.baseline {
		l.baseline = min(l.baseline*(1+fastBaselineDrift), l.meanRatio)
	}
	switch {
	case len(ratios) == 0 || !ok && math.IsInf(l.baseline, 1): // nothing measured
	case waiting > 1 && (tail > 1 || !ok):
		within, _ := slices.BinarySearch(ratios, shedThreshold)
		goodShare := float64(within) / float64(len(ratios))
		bound := min(l.maxInFlight, max(inFlight, l.maxInFlight/headroom))
		l.maxInFlight = max(l.initial, decreaseFactor*goodShare*bound)
	default:
		rise := math.Sqrt(1 + max(0, 1-waiting*waiting))
		bound := max(l.maxInFlight, l.initial, headroom*(inFlight+1))
		l.maxInFlight = min(l.maxInFlight*rise, bound)
	}
}
