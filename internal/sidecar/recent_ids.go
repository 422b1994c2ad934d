package sidecar

import (
	"cmp"
	"hash/maphash"

	"forkline"
)

const (
	// A client that waits retries a request under the same ID within the longest timeout of any class. Twice that also covers
	// network delays and CPU contention.
	idRetentionFactor = 2.0
	// A client that has left may come back under the same ID later, whatever its deadline was.
	minIDRetention = 30000.0 // ms

	recentIDsPerMB  = 1024    // of the memory limit; an ID takes about 60 bytes
	minRecentIDs    = 1 << 14 // however small the memory limit is
	maxOwnerShare   = 1.0 / 16
	sharedFreeShare = 1.0 / 2 // while so much is free, no owner is limited
)

// idOwner is a client's connection, as far as recent IDs are concerned.
type idOwner struct {
	kept int // IDs that came on it and are stored
}

// recentIDs holds the IDs of calls that have ended, may have run and are not safe to repeat. Their clients may not
// have received the response, as a connection can be reset in transit, and may retry. The set is bounded in time and
// size, and so is the part of it that one connection takes. It stores hashes, since IDs may be long.
type recentIDs struct {
	max     int // number of IDs
	seed    maphash.Seed
	ids     map[uint64]struct{}
	entries []recentID // in order of expiry
	first   int        // index of the first entry that has not expired
}

type recentID struct {
	hash      uint64
	expiresAt float64 // ms, on the loop's clock
	owner     *idOwner
}

func newRecentIDs(memoryMB int) *recentIDs {
	r := &recentIDs{seed: maphash.MakeSeed(), ids: map[uint64]struct{}{}}
	r.resize(memoryMB)
	return r
}

// resize sets the number of IDs by the memory limit. What is stored stays.
func (r *recentIDs) resize(memoryMB int) {
	r.max = max(recentIDsPerMB*cmp.Or(memoryMB, defaultMemoryMB), minRecentIDs)
}

// add stores an ID until the given time, or until the preceding entry expires if that is later. The owner
// may be nil.
func (r *recentIDs) add(id string, owner *idOwner, expiresAt float64) {
	if n := len(r.entries); n > r.first {
		expiresAt = max(expiresAt, r.entries[n-1].expiresAt)
	}
	if owner == nil {
		owner = &idOwner{}
	}
	hash := maphash.String(r.seed, id)
	if _, ok := r.ids[hash]; !ok {
		r.ids[hash] = struct{}{}
		r.entries = append(r.entries, recentID{hash, expiresAt, owner})
		owner.kept++
	}
}

// contains reports whether an ID is stored.
func (r *recentIDs) contains(id string) bool {
	_, ok := r.ids[maphash.String(r.seed, id)]
	return ok
}

// isFull reports whether there is no space for the IDs of additional more calls.
func (r *recentIDs) isFull(additional int) bool { return len(r.ids)+additional >= r.max }

// exceedsShare reports whether an owner has stored so many IDs that those of others may soon find no space.
func (r *recentIDs) exceedsShare(owner *idOwner) bool {
	return owner != nil && float64(len(r.ids)) > (1-sharedFreeShare)*float64(r.max) && float64(owner.kept) > maxOwnerShare*float64(r.max)
}

// expire removes the IDs that expire by now.
func (r *recentIDs) expire(now float64) {
	for r.first < len(r.entries) && r.entries[r.first].expiresAt <= now {
		expired := &r.entries[r.first]
		delete(r.ids, expired.hash)
		expired.owner.kept--
		expired.owner = nil
		r.first++
	}
	if r.first > len(r.entries)/2 {
		r.entries = r.entries[:copy(r.entries, r.entries[r.first:])]
		r.first = 0
	}
}

// idRetentionFor returns how long a client may retry an ID under the given settings, in ms.
func idRetentionFor(settings *forkline.Settings) float64 {
	longest := minIDRetention / idRetentionFactor
	for _, c := range settings.Classes {
		longest = max(longest, c.Timeout)
	}
	return idRetentionFactor * longest
}
