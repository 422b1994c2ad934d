package fleet

import (
	"time"

	"forkline/internal/experiment"
)

// frontFailureDelay is the time for which clients are still routed to a front sidecar that has gone down.
const frontFailureDelay = 2 * time.Second

// scheduleClientCall draws the time of the next client call of a service. Clients are an open population: they call at
// random times whether or not earlier calls are served, and do not retry.
func (f *fleet) scheduleClientCall(id int32) {
	s := &f.services[id]
	perSecond := s.ClientRate * s.SimulatedShare * s.rateFactor
	if len(s.frontSidecars) == 0 || !(perSecond > 0) {
		return
	}
	f.schedule(f.now+int64(s.clientRand.exp()/perSecond*1e9), evClientCall, id, s.arrivalGen, 0)
}

// clientCall starts the call of a client at one of the front sidecars of its service.
func (f *fleet) clientCall(ev *event) {
	s := &f.services[ev.id]
	if ev.gen != s.arrivalGen || f.now >= f.measureEnd {
		return
	}
	f.scheduleClientCall(ev.id)
	class, draw := uint16(0), s.clientRand.uniform()*f.shareSum
	for i := range f.exp.Classes {
		if class = uint16(i); draw < f.exp.Classes[i].Share {
			break
		}
		draw -= f.exp.Classes[i].Share
	}
	first := s.clientRand.intn(len(s.frontSidecars))
	for i := range s.frontSidecars {
		sc := &f.sidecars[s.frontSidecars[(first+i)%len(s.frontSidecars)]]
		if sc.up {
			f.startCall(sc.firstTier, class, f.now+int64(f.exp.Classes[class].Timeout), -1)
			return
		}
		if f.now < sc.downAt+toNanos(frontFailureDelay) {
			break
		}
	}
	f.countNoSidecar(ev.id)
}

// scaleClientRate multiplies the rate of a service's client calls and draws the time of the next one again.
func (f *fleet) scaleClientRate(id int32, factor float64) {
	s := &f.services[id]
	s.rateFactor *= factor
	s.arrivalGen++
	f.scheduleClientCall(id)
}

func sumShares(classes []experiment.Class) float64 {
	sum := 0.0
	for _, c := range classes {
		sum += c.Share
	}
	return sum
}
