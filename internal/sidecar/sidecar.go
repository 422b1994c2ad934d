// Package sidecar runs the decision module on real sockets. The loop owns the module and every request; the
// front takes requests from clients, upstream carries attempts to endpoints, discovery follows the list.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"forkline"
	"forkline/internal/listwatch"
	"forkline/internal/wire"
)

// Config is the configuration of a sidecar.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	MemoryMB, Sockets       int
	Site                    wire.Site
	InitialList             List      // list to use until discovery answers
	SettingsHash            uint64    // of the settings' text, for the log
	ReloadRequestedAt       time.Time // time of the request to load this configuration, for the log
}

// MinSockets is the smallest descriptor limit that leaves descriptors for both clients and endpoints.
const MinSockets = 64

// reserved descriptors are for the runtime, standard streams and the listener, some 14, for the calls to discovery that
// wait beside each other while it is silent, 10 at most, and for those on their way.
func reservedSockets(sockets int) int { return 24 + sockets/32 }

const (
	downstreamShare = 0.6  // of the other descriptors; endpoints get the rest
	killDelay       = 0.7  // seconds from the longest deadline to SIGKILL
	maxKillDeadline = 3.0  // longest deadline that SIGKILL waits for
	exitLead        = 0.35 // seconds before SIGKILL at which what is left is given up
)

// Sidecar is one sidecar process: a balancer copy with its listener and connections.
type Sidecar struct {
	reloadMu        sync.Mutex // one Reload at a time; the loop must not wait for it
	mu              sync.Mutex
	cfg             Config // guarded by mu; Reload alone changes it
	loop            *loop
	front           *front
	discovery       *discovery
	listener        net.Listener
	maxDownstream   int           // connections that clients may hold
	cachedListDelay time.Duration // see agentFirst
}

// New validates the configuration and opens the listener. Connections wait in its backlog until Run.
func New(cfg Config) (*Sidecar, error) {
	available := cfg.Sockets - reservedSockets(cfg.Sockets)
	s := &Sidecar{cfg: cfg, maxDownstream: int(downstreamShare * float64(available))}
	settings := &s.cfg.Site.Settings
	var err error
	if s.loop, err = newLoop(&s.cfg, newUpstream(settings.Limits, settings.Safety.DrainGrace, available-s.maxDownstream)); err != nil {
		return nil, err
	}
	s.discovery = newDiscovery(&s.cfg, s.loop)
	if !settings.PollList {
		s.cachedListDelay = defaultCachedListDelay
	}
	s.front = newFront(s.loop, settings, s.maxDownstream)
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// newDiscovery ties discovery and the loop together; ask or follow begins.
func newDiscovery(cfg *Config, l *loop) *discovery {
	d := &discovery{
		addr: cfg.Discovery, rev: cfg.InitialList.Rev, policy: listwatch.PushPolicy,
		random: rand.New(rand.NewPCG(cfg.Seed, 0)).Float64,
		onList: func(list List) {
			kind := forkline.ListDelta
			if list.Full {
				kind = forkline.ListFull
			}
			l.post(func() { l.updateList(list, kind) })
		},
		onFailed: func() { l.post(func() { l.handleListEvent(forkline.ListFailed) }) },
	}
	if cfg.Site.Settings.PollList {
		d.policy = listwatch.PollPolicy
		d.onAnswered = func() { l.post(func() { l.handleListEvent(forkline.ListDelta) }) } // no changes so far
	}
	return d
}

// Run serves until ctx ends, then finishes the accepted requests.
func (s *Sidecar) Run(ctx context.Context) error {
	watchCtx, stop := context.WithCancel(context.Background()) // drains count to the end
	defer stop()
	defer close(s.loop.done)
	if s.cfg.Site.Settings.PollList {
		s.loop.requestWatch = func() { go s.discovery.poll(watchCtx) }
		s.loop.post(func() { s.loop.updateList(s.cfg.InitialList, forkline.ListCached) }) // ahead of what the watch tells
	} else {
		// What the agent has counts as told from the first moment on. So nothing is sent by the list of before until
		// the agent has changed it, or has said nothing for too long.
		s.loop.cachedList = &s.cfg.InitialList
		cachedListTimer := time.AfterFunc(s.cachedListDelay, func() { s.loop.post(s.loop.useCachedList) })
		defer cachedListTimer.Stop()
		s.discovery.follow(watchCtx)
	}
	go s.loop.run()
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.front.serve(s.listener) }()
	slog.Info("serving", "listen", s.listener.Addr(), "known", len(s.cfg.InitialList.Targets), "rev", s.cfg.InitialList.Rev)
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.front.drain(s.listener, s.drainLimit())
	return nil
}

// SetDiscoveryAddr watches discovery at another address from now on. The current list stays in use. The loop must not
// wait for discovery's mutex, because a watch holds it while it waits for space in the loop's event queue.
func (s *Sidecar) SetDiscoveryAddr(addr string) {
	if s.discovery.move(addr) {
		slog.Info("discovery moves", "addr", addr)
		s.loop.post(func() { s.loop.handleListEvent(forkline.ListMoved) })
	}
}

// last is the time from SIGTERM at which what is left is given up, so as to be answered before SIGKILL.
func (s *Sidecar) drainLimit() time.Duration {
	longest := 0.0
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cfg.Site.Settings.Classes {
		longest = max(longest, c.Timeout/1000)
	}
	return time.Duration((min(longest, maxKillDeadline) + killDelay - exitLead) * float64(time.Second))
}
