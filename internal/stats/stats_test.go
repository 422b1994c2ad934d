package stats

import (
	"math"
	"testing"
)

func TestRateForgets(t *testing.T) {
	var r Rate
	for at := 0.0; at < 60000; at += 100 {
		r.Add(at, 1, 2000)
	}
	if math.Abs(r.PerSecond-10) > 0.5 {
		t.Errorf("%.2f events a second, want 10", r.PerSecond)
	}
	before := r.PerSecond
	if r.Add(r.At+2000, 0, 2000); math.Abs(r.PerSecond-before/math.E) > 1e-9 {
		t.Errorf("%.2f events a second after the memory's time without any, want %.2f", r.PerSecond, before/math.E)
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
	if w.Held() > 300 {
		t.Errorf("%d events are held of a window of 101", w.Held())
	}
}
