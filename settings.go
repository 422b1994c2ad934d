package forkline

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// This file carries state over a change of settings. It makes no routing decisions: learned state and open
// requests are kept under their names, and of two rules the stricter one applies. What may be sent is decided
// in balancer.go.

// Reconfigure puts new settings in force atomically: on an error, none of them. Learned state stays. Open
// requests keep their times, and are repeated only as far as both the old and the new rules allow. The
// returned actions are as those of Handle.
func (b *Balancer) Reconfigure(now float64, settings Settings, actions []Action) ([]Action, error) {
	if err := cmp.Or(settings.validate(), settings.validateChange(&b.cfg)); err != nil {
		return actions, fmt.Errorf("forkline: %w", err)
	}
	b.now, b.actions = advanceClock(b.now, now), actions
	b.configure(settings)
	for _, s := range b.servers {
		if s.cold {
			s.ramp.position = newRamp(&b.cfg, &s.ServerEntry, 0).position
		}
		b.closeIdle(s)
	}
	b.assignSubsets()
	b.sweepAt = b.now
	return b.Handle(now, &Event{}, b.actions), nil
}

// validateChange returns an error for the first setting that cannot replace that of a running copy.
func (s *Settings) validateChange(old *Settings) error {
	for _, field := range [...]struct {
		name               string
		oldValue, newValue any
	}{
		{"Stage", old.Stage, s.Stage}, {"Stages", old.Stages, s.Stages}, // these make it another tier
		{"ListOnRequest", old.PollList, s.PollList},
	} {
		if field.oldValue != field.newValue {
			return newSettingError(field.name, "cannot change from %v to %v in a running copy", field.oldValue, field.newValue)
		}
	}
	return nil
}

// restrictedBy returns the class with its rules on repeats restricted to what other allows too.
func (c Class) restrictedBy(other *Class) Class {
	switch {
	case c.Effect == Keyed && other.Effect == Keyed:
		c.DedupWindow, c.Scope = min(c.DedupWindow, other.DedupWindow), c.Scope|other.Scope
	case c.Effect < other.Effect:
		c.Effect, c.DedupWindow, c.Scope = other.Effect, other.DedupWindow, other.Scope
	}
	return c
}

// carryOver copies what was learned under the old settings, by the names of classes and tenants.
func (b *Balancer) carryOver(old *Balancer) {
	oldMean, newMean := 0.0, 0.0
	for i := range b.classes {
		c := &b.classes[i]
		if n := slices.IndexFunc(old.classes, func(o classState) bool { return o.Name == c.Name }); n >= 0 {
			o := &old.classes[n]
			c.meanLatency, c.arrivalShare, c.servedShare = o.meanLatency, o.arrivalShare, o.servedShare
			oldMean += c.arrivalShare * c.meanLatency / o.threshold
			newMean += c.arrivalShare * c.meanLatency / c.threshold
		}
	}
	if oldMean > 0 { // scale mean ratios to the new thresholds, as later ratios are compared with them
		b.tierRatio, b.limit.meanRatio, b.limit.baseline =
			b.tierRatio*newMean/oldMean, b.limit.meanRatio*newMean/oldMean, b.limit.baseline*newMean/oldMean
		for _, s := range b.servers {
			s.meanRatio *= newMean / oldMean
		}
	}
	for i, t := range b.cfg.Tenants {
		n := slices.IndexFunc(old.cfg.Tenants, func(o Tenant) bool { return o.Name == t.Name })
		if n >= 0 && old.quotas[n].Rate > 0 {
			b.quotas[i].Tokens = min(old.quotas[n].Available(b.now), b.quotas[i].Capacity)
		}
	}
	newIndex := map[uint16]uint16{} // from the old class of an open request to its successor
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		q := b.requests[id]
		if _, ok := newIndex[q.class]; !ok {
			newIndex[q.class] = b.successorClass(&old.classes[q.class])
		}
		q.class = newIndex[q.class]
	}
}

// successorClass returns the index of the class in which open requests of an old class continue: the one of
// the same name if it allows no more than the old one, otherwise an added class that is dropped with its last
// request.
func (b *Balancer) successorClass(old *classState) uint16 {
	state := *old
	n := slices.IndexFunc(b.cfg.Classes, func(c Class) bool { return c.Name == old.Name })
	if n >= 0 {
		state = b.classes[n]
		state.Class = state.restrictedBy(&old.Class)
		if state.Class == b.classes[n].Class {
			return uint16(n)
		}
	}
	b.classes = append(b.classes, state)
	return uint16(len(b.classes) - 1)
}
