package forkline

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// What goes on across a change of the settings is here. Nothing is chosen: what was learned, and what is open, keeps its
// name, and of two rules the stricter one counts. What may be sent is decided in balancer.go.

// Reconfigure applies new settings atomically: on an error the old ones stay in force. Learned state is kept. Open
// calls keep their deadlines and are retried only as far as both old and new rules allow. Actions are as in Handle.
func (b *Balancer) Reconfigure(now float64, set Settings, actions []Action) ([]Action, error) {
	if err := cmp.Or(set.check(), set.follows(&b.set)); err != nil {
		return actions, fmt.Errorf("forkline: %w", err)
	}
	b.now, b.acts = advanceClock(b.now, now), actions
	b.configure(set)
	for _, s := range b.byID {
		if s.cold {
			s.ramp.place = newRamp(&b.set, &s.ServerEntry, 0).place
		}
		b.closeIdle(s)
	}
	b.dealOut()
	b.sweepAt = b.now
	return b.Handle(now, &Event{}, b.acts), nil
}

// follows names the first setting that cannot take the place of that of a running copy.
func (set *Settings) follows(old *Settings) error {
	for _, s := range [...]struct {
		name    string
		was, is any
	}{
		{"Stage", old.Stage, set.Stage}, {"Stages", old.Stages, set.Stages}, // another tier
		{"ListOnRequest", old.PollList, set.PollList},
	} {
		if s.was != s.is {
			return newSettingError(s.name, "cannot change from %v to %v in a running copy", s.was, s.is)
		}
	}
	return nil
}

// stricter is the class with its rules on repeats cut down to what another one allows too.
func (c Class) stricter(o *Class) Class {
	switch {
	case c.Effect == Keyed && o.Effect == Keyed:
		c.DedupWindow, c.Scope = min(c.DedupWindow, o.DedupWindow), c.Scope|o.Scope
	case c.Effect < o.Effect:
		c.Effect, c.DedupWindow, c.Scope = o.Effect, o.DedupWindow, o.Scope
	}
	return c
}

// carryOver takes over what the settings of before have left, under the names of these.
func (b *Balancer) carryOver(old *Balancer) {
	was, is := 0.0, 0.0
	for i := range b.classes {
		c := &b.classes[i]
		if n := slices.IndexFunc(old.classes, func(o classState) bool { return o.Name == c.Name }); n >= 0 {
			o := &old.classes[n]
			c.latency, c.share, c.served = o.latency, o.share, o.served
			was += c.share * c.latency / o.threshold
			is += c.share * c.latency / c.threshold
		}
	}
	if was > 0 { // the mean ratios, as if the thresholds had always been these: they are compared with later ones
		b.tierLatency, b.limit.mean, b.limit.least = b.tierLatency*is/was, b.limit.mean*is/was, b.limit.least*is/was
		for _, s := range b.byID {
			s.meanLatency *= is / was
		}
	}
	for i, t := range b.set.Tenants {
		n := slices.IndexFunc(old.set.Tenants, func(o Tenant) bool { return o.Name == t.Name })
		if n >= 0 && old.tenants[n].Rate > 0 {
			b.tenants[i].Tokens = min(old.tenants[n].Available(b.now), b.tenants[i].Capacity)
		}
	}
	classes := map[uint16]uint16{} // those of before that are open, by number, and what goes on in their place
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		q := b.requests[id]
		if _, ok := classes[q.class]; !ok {
			classes[q.class] = b.successor(&old.classes[q.class])
		}
		q.class = classes[q.class]
	}
}

// successor is the number of the class in which open requests of one of before go on: that of its name if it allows
// no more than the old one, else one of their own, which ends with them.
func (b *Balancer) successor(old *classState) uint16 {
	state := *old
	n := slices.IndexFunc(b.set.Classes, func(c Class) bool { return c.Name == old.Name })
	if n >= 0 {
		state = b.classes[n]
		state.Class = state.stricter(&old.Class)
		if state.Class == b.classes[n].Class {
			return uint16(n)
		}
	}
	b.classes = append(b.classes, state)
	return uint16(len(b.classes) - 1)
}
