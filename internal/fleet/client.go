package fleet

import (
	"time"

	"forkline/internal/experiment"
)

// frontNotices is how long clients are still led to a front sidecar that is down.
const frontNotices = 2 * time.Second

// schedule draws when the next client of a service calls. Clients are many: they call at random, whether or not they are
// served, and do not come again.
func (f *fleet) schedule(id int32) {
	s := &f.services[id]
	perSecond := s.ClientRate * s.SimulatedShare * s.factor
	if len(s.fronts) == 0 || !(perSecond > 0) {
		return
	}
	f.at(f.now+int64(s.clients.exp()/perSecond*1e9), evArrive, id, s.arrivals, 0)
}

// arrive is a client's call, at one of the front sidecars of its service.
func (f *fleet) arrive(ev *event) {
	s := &f.services[ev.id]
	if ev.gen != s.arrivals || f.now >= f.end {
		return
	}
	f.schedule(ev.id)
	class, at := uint16(0), s.clients.float()*f.shares
	for i := range f.exp.Classes {
		if class = uint16(i); at < f.exp.Classes[i].Share {
			break
		}
		at -= f.exp.Classes[i].Share
	}
	first := s.clients.below(len(s.fronts))
	for i := range s.fronts {
		p := &f.processes[s.fronts[(first+i)%len(s.fronts)]]
		if p.up {
			f.take(p.tierFrom, class, f.now+int64(f.exp.Classes[class].Timeout), -1)
			return
		}
		if f.now < p.downAt+ns(frontNotices) {
			break
		}
	}
	f.unanswered(ev.id)
}

// quicken changes the rate of a service's clients; what they would have done is drawn anew.
func (f *fleet) quicken(id int32, factor float64) {
	s := &f.services[id]
	s.factor *= factor
	s.arrivals++
	f.schedule(id)
}

func sumShares(classes []experiment.Class) float64 {
	sum := 0.0
	for _, c := range classes {
		sum += c.Share
	}
	return sum
}
