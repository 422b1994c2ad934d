package sidecar

import (
	"hash/fnv"
	"io"
	"slices"

	"forkline"
)

// directory assigns IDs to servers. The ID is a hash of the UID and thus the same at every sidecar, as the assignment
// of server subsets to copies requires. Only if two UIDs collide does one of them get another ID.
type directory struct {
	zones, kinds []string
	ids          map[string]uint32
	uids         map[uint32]string
	targets      map[uint32]Target // last known entry of each listed server
}

func newDirectory(zones, kinds []string) *directory {
	return &directory{zones: zones, kinds: kinds, ids: map[string]uint32{}, uids: map[uint32]string{}, targets: map[uint32]Target{}}
}

// id returns the ID of a server and assigns one if it has none.
func (d *directory) id(uid string) uint32 {
	if id, ok := d.ids[uid]; ok {
		return id
	}
	h := fnv.New32a()
	io.WriteString(h, uid)
	id := h.Sum32()
	for d.uids[id] != "" {
		id++
	}
	d.ids[uid], d.uids[id] = id, uid
	return id
}

// entry converts a target to the module's format. A zone that the settings do not name gets a number that no sidecar
// has as its own zone.
func (d *directory) entry(t *Target) forkline.ServerEntry {
	zone, kind := slices.Index(d.zones, t.Zone), slices.Index(d.kinds, t.Kind)
	if zone < 0 {
		zone = min(len(d.zones), 255)
	}
	id := d.id(t.UID)
	d.targets[id] = *t
	return forkline.ServerEntry{
		Server: id, Zone: uint8(zone), Kind: uint16(max(kind, 0)), Cell: t.Cell,
		State: serverStates[t.State], Weight: t.Weight, Started: t.BootMS,
	}
}

// prune forgets servers that are no longer listed, as UIDs come and go for as long as a sidecar runs.
func (d *directory) prune(isListed func(id uint32) bool) {
	for uid, id := range d.ids {
		if !isListed(id) {
			delete(d.ids, uid)
			delete(d.uids, id)
			delete(d.targets, id)
		}
	}
}
