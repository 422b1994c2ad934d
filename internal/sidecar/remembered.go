package sidecar

import (
	"hash/maphash"

	"forkline"
)

const (
	// A client sends a request once more, under its id, only while it waits for the answer. That is at most the longest
	// deadline of any class; twice that covers what its clock, the network and a core that is short add to it.
	idRetentionFactor = 2.0

	maxRecentIDs = 1 << 16 // ids, some 2 MB
)

// remembered holds the ids of requests that have ended, may have run, and may not simply run twice. Their clients may
// not have got the answer, as their connections can be reset on the way, and may send them once more. It is bounded in
// time and in number, and keeps hashes, as ids may be long.
type recentIDs struct {
	seed    maphash.Seed
	ids     map[uint64]struct{}
	entries []recentID // the oldest first
	first   int        // of those that are still held
}

type recentID struct {
	hash      uint64
	expiresAt float64 // loop's clock, ms
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), ids: map[uint64]struct{}{}}
}

// add remembers an id until a time, or as long as those before it.
func (r *recentIDs) add(id string, expiresAt float64) {
	if n := len(r.entries); n > r.first {
		expiresAt = max(expiresAt, r.entries[n-1].expiresAt)
	}
	hash := maphash.String(r.seed, id)
	if _, ok := r.ids[hash]; !ok {
		r.ids[hash] = struct{}{}
		r.entries = append(r.entries, recentID{hash, expiresAt})
	}
}

// has tells whether an id is remembered.
func (r *recentIDs) contains(id string) bool {
	_, ok := r.ids[maphash.String(r.seed, id)]
	return ok
}

// full tells whether there would be no room for the ids of so many more requests.
func (r *recentIDs) isFull(additional int) bool { return len(r.ids)+additional >= maxRecentIDs }

// expire forgets the ids whose time is over.
func (r *recentIDs) expire(now float64) {
	for r.first < len(r.entries) && r.entries[r.first].expiresAt <= now {
		delete(r.ids, r.entries[r.first].hash)
		r.first++
	}
	if r.first > len(r.entries)/2 {
		r.entries = r.entries[:copy(r.entries, r.entries[r.first:])]
		r.first = 0
	}
}

// rememberTime is how long an id can come back by the settings, in ms.
func idRetentionFor(settings *forkline.Settings) float64 {
	longest := 0.0
	for _, c := range settings.Classes {
		longest = max(longest, c.Timeout)
	}
	return idRetentionFactor * longest
}
