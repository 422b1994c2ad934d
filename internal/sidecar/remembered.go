package sidecar

import (
	"hash/maphash"

	"forkline"
)

const (
	// A client sends a request once more, under its id, only while it waits for the answer. That is at most the longest
	// deadline of any class; twice that covers what its clock, the network and a core that is short add to it.
	rememberDeadlines = 2.0

	mostRemembered = 1 << 16 // ids, some 2 MB
)

// remembered holds the ids of requests that have ended, may have run, and may not simply run twice. Their clients may
// not have got the answer, as their connections can be reset on the way, and may send them once more. It is bounded in
// time and in number, and keeps hashes, as ids may be long.
type remembered struct {
	seed  maphash.Seed
	ids   map[uint64]struct{}
	order []rememberedID // the oldest first
	first int            // of those that are still held
}

type rememberedID struct {
	hash  uint64
	until float64 // loop's clock, ms
}

func newRemembered() *remembered {
	return &remembered{seed: maphash.MakeSeed(), ids: map[uint64]struct{}{}}
}

// add remembers an id until a time, or as long as those before it.
func (r *remembered) add(id string, until float64) {
	if n := len(r.order); n > r.first {
		until = max(until, r.order[n-1].until)
	}
	hash := maphash.String(r.seed, id)
	if _, ok := r.ids[hash]; !ok {
		r.ids[hash] = struct{}{}
		r.order = append(r.order, rememberedID{hash, until})
	}
}

// has tells whether an id is remembered.
func (r *remembered) has(id string) bool {
	_, ok := r.ids[maphash.String(r.seed, id)]
	return ok
}

// full tells whether there would be no room for the ids of so many more requests.
func (r *remembered) full(more int) bool { return len(r.ids)+more >= mostRemembered }

// expire forgets the ids whose time is over.
func (r *remembered) expire(now float64) {
	for r.first < len(r.order) && r.order[r.first].until <= now {
		delete(r.ids, r.order[r.first].hash)
		r.first++
	}
	if r.first > len(r.order)/2 {
		r.order = r.order[:copy(r.order, r.order[r.first:])]
		r.first = 0
	}
}

// rememberTime is how long an id can come back by the settings, in ms.
func rememberTime(set *forkline.Settings) float64 {
	longest := 0.0
	for _, c := range set.Classes {
		longest = max(longest, c.Timeout)
	}
	return rememberDeadlines * longest
}
