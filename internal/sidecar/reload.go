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

var errSidecarEnded = errors.New("the sidecar has ended")

// Reload applies a new configuration atomically, as far as a running process can change it; on an error nothing
// changes. Keys that need a restart are named in the log. The current list and accepted requests are kept.
func (s *Sidecar) Reload(cfg Config) error {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	if cfg.ReloadRequestedAt.IsZero() {
		cfg.ReloadRequestedAt = time.Now()
	}
	if !reflect.DeepEqual(cfg.Site, s.cfg.Site) {
		if err := s.applySettings(&cfg.Site); err != nil {
			return err
		}
		s.mu.Lock()
		s.cfg.Site = cfg.Site
		s.mu.Unlock()
		slog.Info("settings in force", "hash", fmt.Sprintf("%016x", cfg.SettingsHash), "after", time.Since(cfg.ReloadRequestedAt).Round(10*time.Microsecond))
	}
	if restartOnly := s.restartOnlyChanges(&cfg); len(restartOnly) > 0 {
		slog.Warn("kept until the next start", "keys", strings.Join(restartOnly, " "))
	}
	s.limitMemory(cfg.MemoryMB)
	s.loop.post(func() { s.loop.endedIDs.resize(cfg.MemoryMB) })
	s.SetDiscoveryAddr(cfg.Discovery)
	return nil
}

// restartOnlyChanges returns the changed keys that take effect only after a restart.
func (s *Sidecar) restartOnlyChanges(cfg *Config) []string {
	var keys []string
	for _, setting := range [...]struct {
		key     string
		was, is any
	}{
		{"name", s.cfg.Name, cfg.Name}, {"listen", s.cfg.Listen, cfg.Listen}, {"seed", s.cfg.Seed, cfg.Seed},
		{"limits.sockets", s.cfg.Sockets, cfg.Sockets},
	} {
		if setting.was != setting.is {
			keys = append(keys, setting.key)
		}
	}
	return keys
}

// applySettings has the loop apply new settings between two events and waits for the result.
func (s *Sidecar) applySettings(site *wire.Site) error {
	result, index := make(chan error, 1), newSettingsIndex(&site.Settings)
	s.loop.post(func() {
		err := s.loop.reconfigure(site, index)
		if err == nil {
			s.front.index.Store(index)
		}
		result <- err
	})
	select {
	case err := <-result:
		return err
	case <-s.loop.done:
		return errSidecarEnded
	}
}

// reconfigure applies new settings to the module and the loop.
func (l *loop) reconfigure(site *wire.Site, index *settingsIndex) (err error) {
	settings := l.moduleSettings(site.Settings)
	l.actions = l.actions[:0]
	renumbered := !slices.Equal(l.directory.zones, site.Zones) || !slices.Equal(l.directory.kinds, site.Kinds)
	// A request that may have run in a zone under its old number must not be repeated under the new one.
	if renumbered {
		if l.actions, err = l.balancer.Reconfigure(l.now(), withoutZoneRepeats(settings), l.actions); err != nil {
			return err
		}
	}
	if l.actions, err = l.balancer.Reconfigure(l.now(), settings, l.actions); err != nil {
		return err
	}
	l.reloadedIndex, l.retryAfter = index, msToDuration(settings.Limits.RetryAfter())
	l.idRetention = max(l.idRetention, idRetentionFor(&site.Settings)) // clients may still wait by the previous settings
	l.upstream.configure(site.Settings.Limits, settings.Safety.DrainGrace)
	for _, c := range l.calls {
		c.keepStricterEffect(index)
		if c.retry != nil {
			c.retry.keepStricterEffect(index)
		}
	}
	l.applyActions()
	if l.directory.zones, l.directory.kinds = site.Zones, site.Kinds; renumbered {
		list := List{}
		for id := range l.serverReady {
			list.Targets = append(list.Targets, l.directory.targets[id])
		}
		slices.SortFunc(list.Targets, func(a, b Target) int { return strings.Compare(a.UID, b.UID) })
		if l.cachedList == nil {
			l.updateList(list, forkline.ListDelta)
		}
	}
	return nil
}

// withoutZoneRepeats returns settings under which no request is repeated within a zone.
func withoutZoneRepeats(settings forkline.Settings) forkline.Settings {
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		if c := &settings.Classes[i]; c.Effect == forkline.Keyed && c.Scope == forkline.ScopeZone {
			c.Effect = forkline.Unsafe
		}
	}
	return settings
}

// keepStricterEffect makes an open call keep the stricter of the old and new effect of its class.
func (c *call) keepStricterEffect(index *settingsIndex) {
	if class, ok := index.classes[c.class]; ok {
		effect := index.settings.Classes[class].Effect
		c.safe, c.outgoing.atMostOnce = c.safe && effect == forkline.Safe, c.outgoing.atMostOnce || effect == forkline.Unsafe
	}
}

// reapplySettings applies the current settings to a call that was parsed under older ones, and reports whether the
// call can be accepted.
func (l *loop) reapplySettings(c *call) bool {
	if _, err := l.reloadedIndex.resolveClass(c.class, c.method, c.hasKey); err != nil {
		l.finish(c, response{status: err.status, body: []byte(err.reason + "\n")}, reasonEffectChanged)
		return false
	}
	previous := c.answerWithin
	if l.reloadedIndex.apply(c, &l.margin); c.backstop == nil {
		c.event.Deadline += c.answerWithin - previous
	}
	return true
}
