package probe

import (
	"context"
	"errors"
	"testing"
	"time"

	"forkline/internal/slope"
)

// Every measure gives a cost above nothing at every size. How much, only a run on a quiet machine tells.
func TestEveryMeasureGivesACostAtEverySize(t *testing.T) {
	o := Options{Servers: []int{4, 40}, Waiting: []int{5, 50}, Rounds: 1, Round: time.Microsecond}
	r, err := o.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Series) != len(measures) {
		t.Errorf("%d series of %d measures", len(r.Series), len(measures))
	}
	for _, s := range r.Series {
		if len(s.Points) != 2 {
			t.Errorf("%s: points %v", s.Name, s.Points)
		}
		for _, p := range s.Points {
			if !(p.Y > 0) && s.Y == micros {
				t.Errorf("%s at %v costs %v", s.Name, p.X, p.Y)
			}
		}
	}
}

// Heap does not depend on what else the machine does: its slope is what a server holds, and it is linear.
func TestHeapFollowsServersAndWaitingCalls(t *testing.T) {
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
			t.Errorf("%s: %+v, %v of %v", name, fit, err, points)
		}
	}
}

// The host plays what it says: calls at a steady rate, each answered, none refused.
func TestTheTierAnswersEveryCall(t *testing.T) {
	tier, err := newTier(30, 1)
	if err != nil {
		t.Fatal(err)
	}
	from := tier.now
	for range 1000 {
		tier.arrive()
	}
	if tier.ended != 0 || tier.sent != 1000 || len(tier.out) > 5 || tier.now-from > 1000*gap+1 || tier.waits() != 0 {
		t.Errorf("%d ended, %d sent, %d out, %d wait after %v ms", tier.ended, tier.sent, len(tier.out), tier.waits(), tier.now-from)
	}
}

// Without a list calls wait, as many as come within their aim, and are then given up.
func TestCallsWaitWithoutAList(t *testing.T) {
	tier, err := newTier(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	tier.gap = aim / 50
	for range 200 {
		tier.arrive()
	}
	if n := tier.waits(); n < 45 || n > 55 || tier.sent != 0 {
		t.Errorf("%d wait, %d sent; want 50 and none", n, tier.sent)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (Options{}).Run(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	if _, err := (Options{Servers: []int{0}}).Run(context.Background()); err == nil {
		t.Error("a tier of no servers was measured")
	}
}
