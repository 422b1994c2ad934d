package probe

import (
	"context"
	"errors"
	"testing"
	"time"

	"forkline/internal/slope"
)

// Every measure returns a figure at every size, and processor time above zero. The values themselves mean something only
// on an idle machine and are not checked.
func TestEveryMeasureHasACostAtEverySize(t *testing.T) {
	o := Options{Servers: []int{4, 40}, Queued: []int{5, 50}, Rounds: 1, MinRound: time.Microsecond}
	r, err := o.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Series) != len(measures) {
		t.Errorf("%d series, want one for each of %d measures", len(r.Series), len(measures))
	}
	for _, s := range r.Series {
		if len(s.Points) != 2 {
			t.Errorf("%s: points %v, want 2", s.Name, s.Points)
		}
		for _, p := range s.Points {
			if !(p.Y > 0) && s.Y == unitMicros {
				t.Errorf("%s at %v costs %v, want more than 0", s.Name, p.X, p.Y)
			}
		}
	}
}

// Heap does not depend on other load on the machine, so its values are checked: it grows linearly with the number of
// servers or queued calls, by 100 to 5,000 bytes each.
func TestHeapGrowsLinearlyWithServersAndQueuedCalls(t *testing.T) {
	for name, f := range map[string]func(context.Context, Options, int) (float64, error){"tier": tierHeap, "queue": queueHeap} {
		var points []slope.Point
		for _, n := range []int{1000, 2000, 4000, 8000} {
			y, err := f(context.Background(), Options{}, n)
			if err != nil {
				t.Fatal(err)
			}
			points = append(points, slope.Point{X: float64(n), Y: y})
		}
		fit, err := slope.FitPoints(points)
		if err != nil || fit.Slope < 100 || fit.Slope > 5000 || fit.R2 < 0.9 {
			t.Errorf("%s: fit %+v, error %v, points %v", name, fit, err, points)
		}
	}
}

// The host sends calls at a steady rate and answers each of them; the module refuses none.
func TestTierAnswersEveryCall(t *testing.T) {
	tier, err := newTier(30, 1)
	if err != nil {
		t.Fatal(err)
	}
	from := tier.now
	for range 1000 {
		tier.advanceToNextRequest()
	}
	if tier.unserved != 0 || tier.sent != 1000 || len(tier.inFlight) > 5 || tier.now-from > 1000*defaultInterval+1 || tier.queued() != 0 {
		t.Errorf("%d refused or failed, %d sent, %d in flight, %d queued after %v ms",
			tier.unserved, tier.sent, len(tier.inFlight), tier.queued(), tier.now-from)
	}
}

// Without a list calls are queued until their target latency has passed and are then given up, so that with 50 calls in
// that time about 50 are queued.
func TestCallsAreQueuedWithoutAList(t *testing.T) {
	tier, err := newTier(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	tier.interval = targetLatency / 50
	for range 200 {
		tier.advanceToNextRequest()
	}
	if n := tier.queued(); n < 45 || n > 55 || tier.sent != 0 {
		t.Errorf("%d queued, %d sent; want about 50 and none", n, tier.sent)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (Options{}).Run(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	if _, err := (Options{Servers: []int{0}}).Run(context.Background()); err == nil {
		t.Error("no error for a tier of 0 servers")
	}
}
