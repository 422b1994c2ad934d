package fleet

import (
	"time"

	"forkline/internal/experiment"
)

const jitterShare = 0.1 // maximum deviation of a message's delay, as a share of it

// location is the location of a machine. Zones are numbered across all regions, racks within their zone.
type location struct {
	region, zone uint8
	rack         uint16
}

// network delays messages, loses some, which the transport retransmits, and is partitioned by faults.
type network struct {
	experiment.Network
	splits []int // number of active faults that cut a region off, by region
}

// reaches reports whether a message gets from one region to another. A message that is sent during a split is lost for good,
// as no transport retransmits for as long as a split lasts.
func (n *network) reaches(from, to uint8) bool {
	return from == to || n.splits[from] == 0 && n.splits[to] == 0
}

// delay draws the one-way delay of a message in ns.
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
