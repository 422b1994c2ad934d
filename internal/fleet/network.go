package fleet

import (
	"time"

	"forkline/internal/experiment"
)

const jitterShare = 0.1 // of each message's delay, either way

// place is where a machine stands. Zones are numbered over all regions, racks within their zone.
type location struct {
	region, zone uint8
	rack         uint16
}

// network delays messages, loses some (the transport sends them again) and is split by faults.
type network struct {
	experiment.Network
	splits []int // by region: faults that cut it off now
}

// reaches tells whether a message gets from one region to another. One sent while they are split is lost for good, as
// no transport sends again for as long as a split lasts.
func (n *network) reaches(from, to uint8) bool {
	return from == to || n.splits[from] == 0 && n.splits[to] == 0
}

// delay is the time that a message takes.
func (n *network) delay(from, to location, r *randSource) int64 {
	d := time.Duration(n.BetweenRegions)
	switch {
	case from.zone == to.zone:
		d = time.Duration(n.SameZone)
	case from.region == to.region:
		d = time.Duration(n.SameRegion)
	}
	at := int64(float64(d) * (1 + jitterShare*(2*r.uniform()-1)))
	for n.LossRate > 0 && r.uniform() < n.LossRate {
		at += int64(n.RetransmitDelay)
	}
	return at
}
