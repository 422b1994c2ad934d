package sidecar

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"time"

	"forkline"
	"forkline/internal/wire"
)

var errEnded = errors.New("the sidecar has ended")

// Reload applies a new configuration atomically, as far as a running process can change it; on an error nothing
// changes. Keys that need a restart are named in the log. The current list and accepted requests are kept.
func (s *Sidecar) Reload(cfg Config) error {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	if cfg.ReloadRequestedAt.IsZero() {
		cfg.ReloadRequestedAt = time.Now()
	}
	if !reflect.DeepEqual(cfg.Site, s.cfg.Site) {
		if err := s.change(&cfg.Site); err != nil {
			return err
		}
		s.mu.Lock()
		s.cfg.Site = cfg.Site
		s.mu.Unlock()
		slog.Info("settings in force", "hash", fmt.Sprintf("%016x", cfg.SettingsHash), "after", time.Since(cfg.ReloadRequestedAt).Round(10*time.Microsecond))
	}
	if kept := s.kept(&cfg); len(kept) > 0 {
		slog.Warn("kept until the next start", "keys", strings.Join(kept, " "))
	}
	s.SetDiscoveryAddr(cfg.Discovery)
	return nil
}

// kept names what cannot change in a running process.
func (s *Sidecar) kept(cfg *Config) []string {
	var keys []string
	for _, k := range [...]struct {
		key     string
		was, is any
	}{
		{"name", s.cfg.Name, cfg.Name}, {"listen", s.cfg.Listen, cfg.Listen}, {"seed", s.cfg.Seed, cfg.Seed},
		{"limits.sockets", s.cfg.Sockets, cfg.Sockets},
	} {
		if k.was != k.is {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// change has the loop put settings in force, between two events, and waits until it has.
func (s *Sidecar) change(site *wire.Site) error {
	result, t := make(chan error, 1), newTables(&site.Settings)
	s.loop.post(func() {
		err := s.loop.change(site, t)
		if err == nil {
			s.front.tables.Store(t)
		}
		result <- err
	})
	select {
	case err := <-result:
		return err
	case <-s.loop.ended:
		return errEnded
	}
}

// change puts settings in force in the module and the loop.
func (l *loop) change(site *wire.Site, t *tables) (err error) {
	set := l.settings(site.Settings)
	l.actions = l.actions[:0]
	renamed := !slices.Equal(l.directory.zones, site.Zones) || !slices.Equal(l.directory.kinds, site.Kinds)
	if renamed { // what may have run in a zone by its old number must not be repeated by the new one
		if l.actions, err = l.balancer.Reconfigure(l.now(), unrepeated(set), l.actions); err != nil {
			return err
		}
	}
	if l.actions, err = l.balancer.Reconfigure(l.now(), set, l.actions); err != nil {
		return err
	}
	l.tables, l.comeBack = t, millis(set.Limits.RetryAfter())
	l.remember = max(l.remember, rememberTime(&site.Settings)) // clients may wait by the settings of before
	l.up.configure(site.Settings.Limits, set.Safety.DrainGrace)
	for _, c := range l.calls {
		c.restrict(t)
		if c.again != nil {
			c.again.restrict(t)
		}
	}
	l.carryOutAll()
	if l.directory.zones, l.directory.kinds = site.Zones, site.Kinds; renamed {
		list := List{}
		for id := range l.listed {
			list.Targets = append(list.Targets, l.directory.told[id])
		}
		slices.SortFunc(list.Targets, func(a, b Target) int { return strings.Compare(a.UID, b.UID) })
		if l.known == nil {
			l.list(list, forkline.ListDelta)
		}
	}
	return nil
}

// unrepeated are settings in which nothing is repeated within a zone.
func unrepeated(set forkline.Settings) forkline.Settings {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		if c := &set.Classes[i]; c.Effect == forkline.Keyed && c.Scope == forkline.ScopeZone {
			c.Effect = forkline.Unsafe
		}
	}
	return set
}

// restrict has an open call keep the stricter of its class's old and new rule.
func (c *call) restrict(t *tables) {
	if index, ok := t.classes[c.class]; ok {
		effect := t.set.Classes[index].Effect
		c.safe, c.out.once = c.safe && effect == forkline.Safe, c.out.once || effect == forkline.Unsafe
	}
}

// place gives a call that was read by older tables what those in force say, and tells whether it can be taken.
func (l *loop) place(c *call) bool {
	class, status, complaint := l.tables.class(c.class, c.method, c.keyed)
	if class == nil {
		l.finish(c, answer{status: status, body: []byte(complaint + "\n")})
		return false
	}
	wait := c.wait
	if l.tables.place(c, &l.margin); c.backstop == nil {
		c.event.Deadline += c.wait - wait
	}
	return true
}
