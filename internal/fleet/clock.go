package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// eventKind identifies what happens in an event. The comments below state what the fields id and arg of the event refer to:
// "tier, arg" means that id is a tier and arg depends on the kind.
type eventKind uint8

const (
	evClientCall      eventKind = iota + 1 // service: a client makes a call
	evModuleTimer                          // tier, arg: a timer of the module fires
	evWatchTick                            // tier, arg: a timer of the discovery policy fires
	evAttemptArrives                       // attempt: it arrives at its endpoint
	evWorkDone                             // endpoint, arg: the work on its next request is done
	evInnerCallEnds                        // attempt, arg: the inner call that it waits for ends with status arg
	evOutcomeArrives                       // attempt, arg: outcome arg arrives at its sidecar
	evAttemptTimeout                       // attempt: its deadline passes
	evCancelArrives                        // attempt: its cancellation arrives at its endpoint
	evBackstop                             // call: the sidecar must answer it if the module has not
	evListCallArrives                      // tier, arg: its list call arg arrives at discovery
	evListCallServed                       // tier, arg: discovery answers list call arg
	evListArrives                          // tier, arg: the first object of a watch arrives at the sidecar
	evChangeArrives                        // tier, arg: a change arrives on a watch at the sidecar
	evListCallEnds                         // tier, arg: list call arg fails or its watch breaks
	evHeartbeat                            // discovery instance: it sends a heartbeat on each watch
	evDiscoveryLearns                      // arg: discovery learns of a change
	evFaultBegins                          // fault: it starts
	evFaultEnds                            // fault: it ends
	evDrainBegins                          // endpoint: it begins to drain before its replacement
	evDrainEnds                            // endpoint: its drain ends and its process exits
	evSuccessorStarts                      // endpoint: its successor starts
	evConfigChange                         // fault: one of its configuration changes is made
)

// event is one event of the simulation. Events at the same time are handled in the order in which they were scheduled.
type event struct {
	at  int64 // virtual time in ns
	seq uint64
	arg uint64
	id  int32
	gen uint16 // generation of the actor; an event for an earlier generation is dropped
	eventKind
}

func (e *event) less(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// clock is the virtual time with a 4-ary heap of pending events.
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

// pop removes the first event and advances the time to it.
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

// toMillis converts virtual time to the clock of the module, which is in ms.
func toMillis(ns int64) float64 { return float64(ns) / 1e6 }

func toNanos(d time.Duration) int64 { return int64(d) }

// randSource is the random number generator of one actor. Each actor has its own, so that the numbers that one draws do not
// change those of the others.
type randSource struct{ rand.PCG }

// Kinds of actors. The kind and the number of an actor select its stream of random numbers.
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
	for range 4 { // the first numbers of similar seeds are correlated
		s.Uint64()
	}
	return s
}

// uniform returns a number in [0, 1).
func (s *randSource) uniform() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// exp returns an exponentially distributed number with mean 1.
func (s *randSource) exp() float64 { return -math.Log(1 - s.uniform()) }

func (s *randSource) intn(n int) int { return int(s.uniform() * float64(n)) }
