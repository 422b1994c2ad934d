package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind tells what an event does; id names the actor and arg is its own.
type eventKind uint8

const (
	evClientCall      eventKind = iota + 1 // service: a client calls
	evModuleTimer                          // tier, arg: a timer of the module is due
	evWatchTick                            // tier: the discovery policy wants to hear the time
	evAttemptArrives                       // attempt: it reaches its endpoint
	evWorkDone                             // endpoint: the work on its next request is done
	evInnerCallEnds                        // attempt, arg: the call that it made has ended so
	evOutcomeArrives                       // attempt, arg: its outcome reaches its sidecar
	evAttemptTimeout                       // attempt: nobody waits for it any more
	evCancelArrives                        // attempt: its endpoint hears that
	evBackstop                             // call: it must be answered now
	evListCallArrives                      // tier, arg: its call reaches discovery
	evListCallServed                       // tier, arg: discovery answers that call
	evListArrives                          // tier, arg: the first object of a watch arrives
	evChangeArrives                        // tier, arg: a change arrives on a watch
	evListCallEnds                         // tier, arg: a call failed or its watch broke
	evHeartbeat                            // discovery instance: a sign of life on each watch
	evDiscoveryLearns                      // arg: discovery learns of a change
	evFaultBegins                          // fault: it begins
	evFaultEnds                            // fault: it ends
	evDrainBegins                          // endpoint: it is to be replaced
	evDrainEnds                            // endpoint: its process ends
	evSuccessorStarts                      // endpoint: its successor starts
	evConfigChange                         // fault: a change of configuration
)

// event is one thing that happens at a time. Those of one instant happen in the order in which they were put in.
type event struct {
	at  int64 // virtual ns
	seq uint64
	arg uint64
	id  int32
	gen uint16 // of the actor: an event for one that is gone is dropped
	eventKind
}

func (e *event) less(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// clock is virtual time: a heap of events, four to a node.
type clock struct {
	now  int64
	seq  uint64
	heap []event
}

func (c *clock) schedule(at int64, kind eventKind, id int32, gen uint16, arg uint64) {
	c.seq++
	c.heap = append(c.heap, event{at: max(at, c.now), seq: c.seq, arg: arg, id: id, gen: gen, eventKind: kind})
	h := c.heap
	i := len(h) - 1
	e := h[i]
	for i > 0 {
		parent := (i - 1) / 4
		if !e.less(&h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = e
}

// next takes the first event out and moves the time on to it.
func (c *clock) pop() event {
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
			if h[j].less(&h[least]) {
				least = j
			}
		}
		if !h[least].less(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return first
}

// ms is the module's clock.
func toMillis(ns int64) float64 { return float64(ns) / 1e6 }

func toNanos(d time.Duration) int64 { return int64(d) }

// source is one actor's random numbers: what one actor draws does not shift what others do.
type randSource struct{ rand.PCG }

// Actors of one kind have numbers; the kinds keep their streams apart.
const (
	actorSidecar uint64 = iota + 1
	actorEndpoint
	actorClients
	actorDiscovery
	actorFault
	actorModule
)

func newRandSource(seed, actor uint64, number int) randSource {
	var s randSource
	s.Seed(seed, actor<<40|uint64(number))
	for range 4 { // the first numbers of like seeds are alike
		s.Uint64()
	}
	return s
}

// float is in [0, 1).
func (s *randSource) uniform() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// exp has the mean 1.
func (s *randSource) exp() float64 { return -math.Log(1 - s.uniform()) }

func (s *randSource) intn(n int) int { return int(s.uniform() * float64(n)) }
