package stats

import (
	"math"
	"testing"
)

func TestRateDecays(t *testing.T) {
	var r Rate
	for at := 0.0; at < 60000; at += 100 {
		r.Add(at, 1, 2000)
	}
	if math.Abs(r.PerSecond-10) > 0.5 {
		t.Errorf("rate is %.2f events per second, want 10", r.PerSecond)
	}
	before := r.PerSecond
	if r.Add(r.UpdatedAt+2000, 0, 2000); math.Abs(r.PerSecond-before/math.E) > 1e-9 {
		t.Errorf("rate is %.2f events per second after one time constant without events, want %.2f", r.PerSecond, before/math.E)
	}
}

func TestWindowIsExactAndBounded(t *testing.T) {
	var w Window
	for at := range 10000 {
		w.Add(float64(at))
		want := min(at+1, 101)
		if got := w.Since(float64(at - 100)); got != want {
			t.Fatalf("%d events since %d, want %d", got, at-100, want)
		}
	}
	if w.Len() > 300 {
		t.Errorf("%d events are in memory for a window of 101", w.Len())
	}
}

// Guards against memory that grows with the rate of events: at 100 events per ms the groups must stay bounded, and the count must
// differ from the exact one by no more than the events of one group, in the direction that LeaveLate names.
func TestWindowIsBoundedAtAnyRate(t *testing.T) {
	const length, perMS = 10000, 100
	for _, late := range []bool{false, true} {
		w := Window{LeaveLate: late}
		for i := range 3 * length * perMS {
			now := float64(i) / perMS
			w.Since(now - length)
			w.Add(now)
			if i%perMS != 0 {
				continue
			}
			exact, got := min(i+1, length*perMS+1), w.Since(now-length)
			if off := got - exact; late && off < 0 || !late && off > 0 || max(off, -off) > length*perMS/windowResolution+perMS {
				t.Fatalf("late %v: %d events at %v ms, want about %d", late, got, now, exact)
			}
		}
		if w.Len() > 2*(maxExactEvents+2*windowResolution) {
			t.Errorf("late %v: %d groups are in memory", late, w.Len())
		}
	}
}

func TestRecentUsesOlderSamplesOnlyWhenFewAreRecent(t *testing.T) {
	ring := make([]Sample, 4)
	for i := range 6 {
		ring[i%4] = Sample{At: float64(100 * i), Value: float64(i)}
	}
	for _, c := range []struct {
		since, oldest float64
		enough        int
		want          int
	}{{450, 0, 1, 1}, {450, 0, 3, 3}, {450, 350, 3, 2}, {0, 0, 1, 4}} {
		if got := Recent(nil, ring, 6, c.since, c.oldest, c.enough); len(got) != c.want || got[0] != 5 {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

func TestQuantile(t *testing.T) {
	if got := Quantile([]float64{5, 1, 4, 2, 3}, 0.8); got != 4 {
		t.Errorf("80th percentile is %v, want 4", got)
	}
}

func TestTokenBucketLimitsRateAndBurst(t *testing.T) {
	b := NewTokenBucket(0, 10, 5)
	taken := 0
	for at := 0.0; at < 10000; at++ {
		if b.Take(at) {
			taken++
		}
	}
	if taken != 104 {
		t.Errorf("%d tokens taken in 10 s at 10 per second with a burst of 5, want 104", taken)
	}
	if b.Available(1e9) != 5 {
		t.Errorf("%v tokens available after an idle period, want the capacity of 5", b.Available(1e9))
	}
}

func TestShareConverges(t *testing.T) {
	var s Share
	for i := range 10000 {
		s.Observe(i%4 == 0, 0.005)
	}
	if math.Abs(float64(s)-0.25) > 0.02 || math.Abs(s.Odds()-1.0/3) > 0.04 {
		t.Errorf("share %v, odds %v; want 0.25 and 1/3", s, s.Odds())
	}
}
