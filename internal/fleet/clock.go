package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind tells what an event does; id names the actor and arg is its own.
type kind uint8

const (
	evArrive    kind = iota + 1 // service: a client calls
	evTimer                     // tier, arg: a timer of the module is due
	evTick                      // tier: the discovery policy wants to hear the time
	evReach                     // attempt: it reaches its endpoint
	evWork                      // endpoint: the work on its next request is done
	evStep                      // attempt, arg: the call that it made has ended so
	evAnswer                    // attempt, arg: its outcome reaches its sidecar
	evExpire                    // attempt: nobody waits for it any more
	evStop                      // attempt: its endpoint hears that
	evBackstop                  // call: it must be answered now
	evAsk                       // tier, arg: its call reaches discovery
	evTurn                      // tier, arg: discovery answers that call
	evTold                      // tier, arg: the first object of a watch arrives
	evDelta                     // tier, arg: a change arrives on a watch
	evListEnded                 // tier, arg: a call failed or its watch broke
	evBeat                      // discovery instance: a sign of life on each watch
	evLearn                     // arg: discovery learns of a change
	evFault                     // fault: it begins
	evFaultEnd                  // fault: it ends
	evDrain                     // endpoint: it is to be replaced
	evKill                      // endpoint: its process ends
	evStart                     // endpoint: its successor starts
	evChange                    // fault: a change of configuration
)

// event is one thing that happens at a time. Those of one instant happen in the order in which they were put in.
type event struct {
	at  int64 // virtual ns
	seq uint64
	arg uint64
	id  int32
	gen uint16 // of the actor: an event for one that is gone is dropped
	kind
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// clock is virtual time: a heap of events, four to a node.
type clock struct {
	now  int64
	seq  uint64
	heap []event
}

func (c *clock) at(at int64, k kind, id int32, gen uint16, arg uint64) {
	c.seq++
	c.heap = append(c.heap, event{at: max(at, c.now), seq: c.seq, arg: arg, id: id, gen: gen, kind: k})
	h := c.heap
	i := len(h) - 1
	e := h[i]
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
}

// next takes the first event out and moves the time on to it.
func (c *clock) next() event {
	h := c.heap
	first, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	c.heap, c.now = h, first.at
	if len(h) == 0 {
		return first
	}
	i := 0
	for {
		child := 4*i + 1
		if child >= len(h) {
			break
		}
		least := child
		for j := child + 1; j < min(child+4, len(h)); j++ {
			if h[j].before(&h[least]) {
				least = j
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return first
}

// ms is the module's clock.
func ms(ns int64) float64 { return float64(ns) / 1e6 }

func ns(d time.Duration) int64 { return int64(d) }

// source is one actor's random numbers: what one actor draws does not shift what others do.
type source struct{ rand.PCG }

// Actors of one kind have numbers; the kinds keep their streams apart.
const (
	actorProcess uint64 = iota + 1
	actorEndpoint
	actorClients
	actorDiscovery
	actorFault
	actorModule
)

func newSource(seed, actor uint64, number int) source {
	var s source
	s.Seed(seed, actor<<40|uint64(number))
	for range 4 { // the first numbers of like seeds are alike
		s.Uint64()
	}
	return s
}

// float is in [0, 1).
func (s *source) float() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// exp has the mean 1.
func (s *source) exp() float64 { return -math.Log(1 - s.float()) }

func (s *source) below(n int) int { return int(s.float() * float64(n)) }
