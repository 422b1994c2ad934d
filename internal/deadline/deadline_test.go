package deadline

import (
	"math/rand/v2"
	"testing"
)

const second = 1000.0

// after has a margin measure all parts, ten times a second, for so long. It returns the time then.
func after(m *Margin, from, long, delay float64) float64 {
	at := from
	for ; at < from+long; at += 100 {
		for p := range parts {
			m.Observe(p, at, delay)
		}
	}
	return at
}

func TestAllIsHeldUntilEnoughWasMeasured(t *testing.T) {
	var m Margin
	for i := range enough {
		for left, want := range map[float64]float64{100: 10, 400: 40, 2000: MaxMargin, 60000: MaxMargin} {
			if got := m.Reserve(left, 10); got != want {
				t.Fatalf("after %d delays %v ms are held back of %v, want %v", i, got, left, want)
			}
		}
		m.Observe(Phase(i%int(parts)), 10, 0)
	}
	if got := m.Reserve(2000, 10); got != way {
		t.Errorf("%v ms are held back on an idle core, want %v", got, way)
	}
	if got := m.Reserve(10, 10); got != 1 {
		t.Errorf("%v ms are held back of 10, want 1", got)
	}
}

func TestDelaysOfLongAgoSayNothing(t *testing.T) {
	var m Margin
	now := after(&m, 0, 10*second, 0)
	if got := m.Reserve(2000, now+stale+second); got != MaxMargin {
		t.Errorf("%v ms are held back %v s after the last delay, want %v", got, stale/second+1, MaxMargin)
	}
	m.Observe(Timer, now+stale+second, 0)
	if got := m.Reserve(2000, now+stale+second); got != MaxMargin {
		t.Errorf("%v ms are held back after one delay, want %v", got, MaxMargin)
	}
}

// A core on which everything waits for 30 ms.
func TestABusyCoreGetsAllAtOnceAndGivesItBack(t *testing.T) {
	var m Margin
	now := after(&m, 0, 10*second, 0.1)
	if got := m.Reserve(2000, now); got > way+3*0.1 {
		t.Errorf("%v ms are held back on an idle core", got)
	}
	now = after(&m, now, second, 30)
	if got := m.Reserve(2000, now); got != MaxMargin {
		t.Errorf("%v ms are held back after a second on a busy core, want %v", got, MaxMargin)
	}
	busy := after(&m, now, 60*second, 30)
	if got := m.Reserve(2000, busy); got != MaxMargin {
		t.Errorf("%v ms are held back after a minute on a busy core, want %v", got, MaxMargin)
	}
	last := MaxMargin
	for now = busy; now < busy+10*second; now = after(&m, now, second, 0.1) {
		got := m.Reserve(2000, now)
		if got > last {
			t.Errorf("%v ms are held back after %v", got, last)
		}
		last = got
	}
	if got := m.Reserve(2000, now); got > 2*way {
		t.Errorf("%v ms are held back 10 s after, want less than %v", got, 2*way)
	}
}

// A core that is a little busy costs what is measured there, and no more.
func TestTheDelaysOfAllPartsAddUp(t *testing.T) {
	var m Margin
	after(&m, 0, 10*second, 0)
	now := 10 * second
	for p, delay := range []float64{4, 8, 2} {
		m.Observe(Phase(p), now, delay)
	}
	if got := m.Reserve(2000, now); got != way+14 {
		t.Errorf("%v ms are held back, want %v", got, way+14)
	}
	if got := m.Reserve(100, now); got != 10 {
		t.Errorf("%v ms are held back of 100, want 10", got)
	}
}

// One stall, however long, is not remembered for longer than what it can make the margin.
func TestOneStallIsForgotten(t *testing.T) {
	var m Margin
	now := after(&m, 0, 10*second, 0)
	m.Observe(Timer, now, 20*second)
	if got := m.Reserve(2000, now); got != MaxMargin {
		t.Errorf("%v ms are held back right after, want %v", got, MaxMargin)
	}
	if now = after(&m, now, 10*second, 0); m.Reserve(2000, now) > 2*way {
		t.Errorf("%v ms are held back 10 s after", m.Reserve(2000, now))
	}
}

// Whatever the clock and the delays are: something is left, and never more than was there.
func TestWhatIsHeldBackIsAPart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var m Margin
	for now := 1e12; now < 1e12+100*second; now += 20 * (random.Float64() - 0.1) {
		m.Observe(Phase(random.IntN(int(parts))), now, random.NormFloat64()*random.ExpFloat64()*20)
		left := 3000 * random.Float64() * random.Float64() * random.Float64()
		got := m.Reserve(left, now)
		if least := min(way, MaxMarginShare*left); !(got >= least && got <= min(MaxMargin, MaxMarginShare*left)) {
			t.Fatalf("%v ms are held back of %v", got, left)
		}
	}
	if got := m.Reserve(-5, 1e12); got != 0 {
		t.Errorf("%v ms are held back of less than nothing", got)
	}
}
