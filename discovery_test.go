package forkline

import (
	"fmt"
	"testing"
)

// asking is a copy whose list is asked for; ask gives the time of its next call, with nothing else happening.
type asking struct {
	b     *Balancer
	now   float64
	timer Action
}

func newAsking(t *testing.T, copies, rank, stage int) *asking {
	t.Helper()
	set := plain()
	set.PollList, set.Copies, set.Rank, set.Stage, set.Stages = true, copies, rank, stage, 2
	a := &asking{now: 1.7e12}
	var err error
	if a.b, err = New(set, uint64(rank), a.now); err != nil {
		t.Fatal(err)
	}
	a.hear(ListCached)
	return a
}

// hear tells the copy of discovery and whether it asks at once.
func (a *asking) hear(kind ListKind) bool { return a.do(Event{Kind: EvList, List: kind}) }

func (a *asking) do(ev Event) (asks bool) {
	for _, act := range a.b.Handle(a.now, &ev, nil) {
		switch act.Kind {
		case ActTimer:
			if a.timer.Token == 0 || a.now+act.Delay < a.timer.Delay {
				a.timer = Action{Token: act.Token, Delay: a.now + act.Delay} // the moment, here
			}
		case ActWatchList:
			asks = true
		}
	}
	return asks
}

func (a *asking) ask(t *testing.T) float64 {
	t.Helper()
	for range 100 {
		token := a.timer.Token
		if token == 0 {
			t.Fatal("no timer while the list is to be asked for")
		}
		a.now, a.timer = max(a.now, a.timer.Delay), Action{}
		if a.do(Event{Kind: EvTimer, Token: token}) {
			return a.now
		}
	}
	t.Fatal("never asked")
	return 0
}

// While calls fail every copy asks once in 5 s, however long that lasts, and the copies of two tiers do so evenly.
func TestFailingCallsComeEvenly(t *testing.T) {
	const copies, rounds = 50, 40
	calls := map[int]int{} // in each tenth of a second
	for i := range 2 * copies {
		a := newAsking(t, copies, i%copies, i/copies)
		a.ask(t)
		a.hear(ListFailed)
		last := a.ask(t)
		for round := range rounds {
			a.hear(ListFailed)
			at := a.ask(t)
			if gap := at - last; gap > 5000 || round > 0 && gap != 5000 {
				t.Fatalf("copy %d, round %d: asked again after %v ms", i, round, gap)
			}
			last = at
			if round > 2 && round < rounds-3 {
				calls[int(at-1.7e12)/100]++
			}
		}
	}
	for tenth, n := range calls {
		if n > 4 { // 100 copies in 5 s are 2
			t.Errorf("%d calls in the tenth of a second %d", n, tenth)
		}
	}
}

// After a move, an answer or a broken watch the next call is no more than 1 s away, whatever failed before.
func TestAMoveIsFollowedSoon(t *testing.T) {
	for rank := range 12 {
		for name, kinds := range map[string][]ListKind{"move": {ListMoved}, "answer and break": {ListDelta, ListFailed}} {
			a := newAsking(t, 12, rank, 0)
			for range 10 {
				a.ask(t)
				a.hear(ListFailed)
			}
			a.now += 1
			from := a.now
			for _, kind := range kinds {
				a.hear(kind)
			}
			at := a.ask(t)
			a.hear(ListFailed)
			if wait, again := at-from, a.ask(t)-at; wait > 1000 || kinds[0] == ListMoved && again > 1000 {
				t.Errorf("copy %d: %s: asked after %v and %v ms", rank, name, wait, again)
			}
		}
	}
}

// Where the list is pushed, nothing that is heard of discovery has it asked for.
func TestPushedListsAreNotAskedFor(t *testing.T) {
	b, err := New(plain(), 1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for i, kind := range []ListKind{ListCached, ListFailed, ListMoved, ListDelta} {
		if acts := b.Handle(1000*float64(i+2), &Event{Kind: EvList, List: kind}, nil); len(acts) > 0 {
			t.Error(fmt.Sprint(kind, ": ", acts))
		}
	}
}
