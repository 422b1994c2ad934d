package deadline

import (
	"math/rand/v2"
	"testing"
)

const second = 1000.0

// observeAll observes the same delay of all phases every 100 ms for the given duration. It returns the time at the end.
func observeAll(m *Margin, start, duration, delay float64) float64 {
	now := start
	for ; now < start+duration; now += 100 {
		for p := range numPhases {
			m.Observe(p, now, delay)
		}
	}
	return now
}

func TestMaximumReservedUntilEnoughSamples(t *testing.T) {
	var m Margin
	for i := range minSamples {
		for left, want := range map[float64]float64{100: 10, 400: 40, 2000: MaxMargin, 60000: MaxMargin} {
			if got := m.Reserve(left, 10); got != want {
				t.Fatalf("after %d samples, %v ms reserved of %v, want %v", i, got, left, want)
			}
		}
		m.Observe(Phase(i%int(numPhases)), 10, 0)
	}
	if got := m.Reserve(2000, 10); got != fixedReserve {
		t.Errorf("%v ms reserved on an idle core, want %v", got, fixedReserve)
	}
	if got := m.Reserve(10, 10); got != 1 {
		t.Errorf("%v ms reserved of 10, want 1", got)
	}
}

func TestStaleSamplesAreDiscarded(t *testing.T) {
	var m Margin
	now := observeAll(&m, 0, 10*second, 0)
	if got := m.Reserve(2000, now+staleAfter+second); got != MaxMargin {
		t.Errorf("%v ms reserved %v s after the last sample, want %v", got, staleAfter/second+1, MaxMargin)
	}
	m.Observe(Timer, now+staleAfter+second, 0)
	if got := m.Reserve(2000, now+staleAfter+second); got != MaxMargin {
		t.Errorf("%v ms reserved after one sample, want %v", got, MaxMargin)
	}
}

// Delays of 30 ms in every phase must raise the margin to its maximum within a second. After they end, the margin must
// fall steadily and be low again after 10 s.
func TestMarginFollowsCPUContention(t *testing.T) {
	var m Margin
	now := observeAll(&m, 0, 10*second, 0.1)
	if got := m.Reserve(2000, now); got > fixedReserve+3*0.1 {
		t.Errorf("%v ms reserved on an idle core, want little more than the fixed reserve", got)
	}
	now = observeAll(&m, now, second, 30)
	if got := m.Reserve(2000, now); got != MaxMargin {
		t.Errorf("%v ms reserved after a second on a busy core, want %v", got, MaxMargin)
	}
	busy := observeAll(&m, now, 60*second, 30)
	if got := m.Reserve(2000, busy); got != MaxMargin {
		t.Errorf("%v ms reserved after a minute on a busy core, want %v", got, MaxMargin)
	}
	last := MaxMargin
	for now = busy; now < busy+10*second; now = observeAll(&m, now, second, 0.1) {
		got := m.Reserve(2000, now)
		if got > last {
			t.Errorf("the margin is %v ms, after %v ms a second before", got, last)
		}
		last = got
	}
	if got := m.Reserve(2000, now); got > 2*fixedReserve {
		t.Errorf("%v ms reserved 10 s after the load, want at most %v", got, 2*fixedReserve)
	}
}

// Moderate delays must be reserved for as observed, and no more.
func TestDelaysOfAllPhasesAddUp(t *testing.T) {
	var m Margin
	observeAll(&m, 0, 10*second, 0)
	now := 10 * second
	for p, delay := range []float64{4, 8, 2} {
		m.Observe(Phase(p), now, delay)
	}
	if got := m.Reserve(2000, now); got != fixedReserve+14 {
		t.Errorf("%v ms reserved, want %v", got, fixedReserve+14)
	}
	if got := m.Reserve(100, now); got != 10 {
		t.Errorf("%v ms reserved of 100, want 10", got)
	}
}

// A single stall, however long, must not raise the margin for longer than a delay of MaxMargin does.
func TestSingleStallDecays(t *testing.T) {
	var m Margin
	now := observeAll(&m, 0, 10*second, 0)
	m.Observe(Timer, now, 20*second)
	if got := m.Reserve(2000, now); got != MaxMargin {
		t.Errorf("%v ms reserved right after the stall, want %v", got, MaxMargin)
	}
	if now = observeAll(&m, now, 10*second, 0); m.Reserve(2000, now) > 2*fixedReserve {
		t.Errorf("%v ms reserved 10 s after the stall, want at most twice the fixed reserve", m.Reserve(2000, now))
	}
}

// Whatever the clock and the delays do, the margin must stay within its lower and upper bound.
func TestReserveIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var m Margin
	for now := 1e12; now < 1e12+100*second; now += 20 * (random.Float64() - 0.1) {
		m.Observe(Phase(random.IntN(int(numPhases))), now, random.NormFloat64()*random.ExpFloat64()*20)
		left := 3000 * random.Float64() * random.Float64() * random.Float64()
		got := m.Reserve(left, now)
		if least := min(fixedReserve, MaxMarginShare*left); !(got >= least && got <= min(MaxMargin, MaxMarginShare*left)) {
			t.Fatalf("%v ms reserved of %v", got, left)
		}
	}
	if got := m.Reserve(-5, 1e12); got != 0 {
		t.Errorf("%v ms reserved of a negative time", got)
	}
}
