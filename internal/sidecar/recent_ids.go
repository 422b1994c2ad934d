package sidecar

import (
	"hash/maphash"

	"forkline"
)

const (
	// A client retries a request under the same ID only while it waits for the response, which is at most the longest
	// timeout of any class. Twice that also covers clock differences, network delays and CPU contention.
	idRetentionFactor = 2.0

	maxRecentIDs = 1 << 16 // about 2 MB
)

// recentIDs holds the IDs of calls that have ended, may have run and are not safe to repeat. Their clients may not
// have received the response, as a connection can be reset in transit, and may retry. The set is bounded in time and
// size. It stores hashes, since IDs may be long.
type recentIDs struct {
	seed    maphash.Seed
	ids     map[uint64]struct{}
	entries []recentID // in order of expiry
	first   int        // index of the first entry that has not expired
}

type recentID struct {
	hash      uint64
	expiresAt float64 // ms, on the loop's clock
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), ids: map[uint64]struct{}{}}
}

// add stores an ID until the given time, or until the preceding entry expires if that is later.
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

// contains reports whether an ID is stored.
func (r *recentIDs) contains(id string) bool {
	_, ok := r.ids[maphash.String(r.seed, id)]
	return ok
}

// isFull reports whether there is no space for the IDs of additional more calls.
func (r *recentIDs) isFull(additional int) bool { return len(r.ids)+additional >= maxRecentIDs }

// expire removes the IDs that expire by now.
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

// idRetentionFor returns how long a client may retry an ID under the given settings, in ms.
func idRetentionFor(settings *forkline.Settings) float64 {
	longest := 0.0
	for _, c := range settings.Classes {
		longest = max(longest, c.Timeout)
	}
	return idRetentionFactor * longest
}
