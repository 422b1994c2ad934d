package forkline

import (
	"fmt"
	"testing"
)

// poller is a copy that polls its list. nextPoll advances the clock to its next poll, without other events.
type poller struct {
	balancer *Balancer
	now      float64
	timer    Action
}

func newPoller(t *testing.T, copies, rank, stage int) *poller {
	t.Helper()
	settings := testSettings()
	settings.PollList, settings.Copies, settings.Rank, settings.Stage, settings.Stages = true, copies, rank, stage, 2
	p := &poller{now: 1.7e12}
	var err error
	if p.balancer, err = New(settings, uint64(rank), p.now); err != nil {
		t.Fatal(err)
	}
	p.listEvent(ListCached)
	return p
}

// listEvent passes an event of discovery and reports whether the copy polls at once.
func (p *poller) listEvent(kind ListKind) bool { return p.handle(Event{Kind: EvList, List: kind}) }

func (p *poller) handle(ev Event) (polls bool) {
	for _, action := range p.balancer.Handle(p.now, &ev, nil) {
		switch action.Kind {
		case ActTimer:
			if p.timer.Token == 0 || p.now+action.Delay < p.timer.Delay {
				p.timer = Action{Token: action.Token, Delay: p.now + action.Delay} // here Delay holds the absolute time
			}
		case ActWatchList:
			polls = true
		}
	}
	return polls
}

func (p *poller) nextPoll(t *testing.T) float64 {
	t.Helper()
	for range 100 {
		token := p.timer.Token
		if token == 0 {
			t.Fatal("no timer though a poll is due")
		}
		p.now, p.timer = max(p.now, p.timer.Delay), Action{}
		if p.handle(Event{Kind: EvTimer, Token: token}) {
			return p.now
		}
	}
	t.Fatal("no poll in 100 timers")
	return 0
}

// While polls fail, every copy polls once in 5 s, however long that lasts, and the copies of two tiers do so
// evenly.
func TestFailingPollsAreSpreadEvenly(t *testing.T) {
	const copies, rounds = 50, 40
	polls := map[int]int{} // by tenth of a second
	for i := range 2 * copies {
		p := newPoller(t, copies, i%copies, i/copies)
		p.nextPoll(t)
		p.listEvent(ListFailed)
		last := p.nextPoll(t)
		for round := range rounds {
			p.listEvent(ListFailed)
			at := p.nextPoll(t)
			if gap := at - last; gap > 5000 || round > 0 && gap != 5000 {
				t.Fatalf("copy %d, round %d: polled again after %v ms", i, round, gap)
			}
			last = at
			if round > 2 && round < rounds-3 {
				polls[int(at-1.7e12)/100]++
			}
		}
	}
	for tenth, n := range polls {
		if n > 4 { // 100 copies in 5 s make 2
			t.Errorf("%d polls in the tenth of a second %d", n, tenth)
		}
	}
}

// Guards against requests to a draining server (issue 36, review/9): after a watch has been silent for 3 s, and after a move, a copy
// must poll once a second until changes count as notified, 6 s after the silence began and 4 s after the move. After a watch has
// ended, one poll in a second is followed by another one in time. Later polls are 5 s apart, so that an outage brings no more.
func TestLostListIsPolledUntilChangesCountAsNotified(t *testing.T) {
	ended, silent := Event{Kind: EvList, List: ListFailed}, Event{Kind: EvList, List: ListFailed, Elapsed: 3000}
	moved, received := Event{Kind: EvList, List: ListMoved}, Event{Kind: EvList, List: ListDelta}
	for name, c := range map[string]struct {
		events    []Event
		limit     float64 // ms from the last event until changes count as notified
		failAfter float64 // ms from a poll to its failure
		least     int     // polls within the limit
		most      int
	}{
		"silent, refused":           {[]Event{received, silent}, 3000, 0, 3, 3},
		"silent, overdue":           {[]Event{received, silent}, 3000, 1700, 2, 2},
		"moved, refused":            {[]Event{moved}, 4000, 0, 4, 4},
		"moved, overdue":            {[]Event{moved}, 4000, 1700, 2, 2},
		"ended, refused":            {[]Event{received, ended}, 6000, 0, 2, 3},
		"ended, overdue":            {[]Event{received, ended}, 6000, 1700, 2, 3},
		"moved after a silence":     {[]Event{received, silent, moved}, 4000, 0, 4, 4},
		"silent after a move":       {[]Event{moved, received, silent}, 3000, 0, 3, 4},
		"moved after a long outage": {[]Event{ended, ended, moved}, 4000, 0, 4, 4},
		"silent for a long time":    {[]Event{received, {Kind: EvList, List: ListFailed, Elapsed: 60000}}, 1000, 0, 1, 1},
	} {
		for rank := range 12 {
			p := newPoller(t, 12, rank, rank%2)
			for range 10 {
				p.nextPoll(t)
				p.listEvent(ListFailed)
			}
			p.now += 0.5
			from := p.now
			for _, ev := range c.events {
				p.handle(ev)
			}
			polls, previous := 0, from
			for {
				at := p.nextPoll(t)
				if at > from+c.limit {
					if gap := at - previous; gap > 5000 {
						t.Errorf("%s, copy %d: the first later poll comes after %v ms", name, rank, gap)
					}
					break
				}
				polls, previous = polls+1, at
				p.now += c.failAfter
				p.listEvent(ListFailed)
			}
			if polls < c.least || polls > c.most {
				t.Errorf("%s, copy %d: %d polls in %v ms, want %d to %d", name, rank, polls, c.limit, c.least, c.most)
			}
			p.listEvent(ListFailed)
			at := p.nextPoll(t)
			p.listEvent(ListFailed)
			if gap := p.nextPoll(t) - at; gap != 5000 {
				t.Errorf("%s, copy %d: later polls are %v ms apart", name, rank, gap)
			}
		}
	}
}

// After a move, an answer or a broken watch the next poll is at most 1 s away, whatever failed before.
func TestMovedDiscoveryIsPolledSoon(t *testing.T) {
	for rank := range 12 {
		for name, kinds := range map[string][]ListKind{"move": {ListMoved}, "answer and broken watch": {ListDelta, ListFailed}} {
			p := newPoller(t, 12, rank, 0)
			for range 10 {
				p.nextPoll(t)
				p.listEvent(ListFailed)
			}
			p.now += 1
			from := p.now
			for _, kind := range kinds {
				p.listEvent(kind)
			}
			at := p.nextPoll(t)
			p.listEvent(ListFailed)
			if wait, next := at-from, p.nextPoll(t)-at; wait > 1000 || kinds[0] == ListMoved && next > 1000 {
				t.Errorf("copy %d: %s: polled after %v and %v ms", rank, name, wait, next)
			}
		}
	}
}

// Where lists are pushed, no event of discovery causes a poll.
func TestPushedListsAreNotPolled(t *testing.T) {
	b, err := New(testSettings(), 1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for i, kind := range []ListKind{ListCached, ListFailed, ListMoved, ListDelta} {
		if actions := b.Handle(1000*float64(i+2), &Event{Kind: EvList, List: kind}, nil); len(actions) > 0 {
			t.Error(fmt.Sprint(kind, ": ", actions))
		}
	}
}
