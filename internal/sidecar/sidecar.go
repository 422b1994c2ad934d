// Package sidecar runs the decision module on real sockets. The loop owns the module and all calls, front accepts
// requests from clients, upstream carries attempts to endpoints, and discovery follows the server list.
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
	MemoryMB, Sockets       int // limits on memory and on file descriptors
	Site                    wire.Site
	InitialList             List      // list to use until discovery answers
	SettingsHash            uint64    // hash of the settings file, for the log
	ReloadRequestedAt       time.Time // time of the request to load this configuration, for the log
}

// MinSockets is the smallest descriptor limit that leaves descriptors for both clients and endpoints.
const MinSockets = 64

// reservedSockets returns the number of descriptors that are not available for connections: about 14 for the runtime,
// the standard streams and the listener, at most 10 for concurrent calls to discovery while it does not respond, and
// some for connections that are being established.
func reservedSockets(sockets int) int { return 24 + sockets/32 }

const (
	downstreamShare = 0.6  // share of the available descriptors; endpoints get the rest
	killDelay       = 0.7  // seconds from the longest deadline to SIGKILL
	maxKillDeadline = 3.0  // seconds; longest deadline that delays SIGKILL
	exitLead        = 0.35 // seconds before SIGKILL at which the remaining calls are aborted
)

// Sidecar is one sidecar process: a balancer copy with its listener and connections.
type Sidecar struct {
	reloadMu        sync.Mutex // serializes Reload; the loop must not acquire it
	mu              sync.Mutex
	cfg             Config // guarded by mu; written by Reload only
	loop            *loop
	front           *front
	discovery       *discovery
	listener        net.Listener
	maxDownstream   int           // limit on client connections
	cachedListDelay time.Duration // see defaultCachedListDelay
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
	s.loop.events.state = s.state
	s.limitMemory(cfg.MemoryMB)
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// newDiscovery connects discovery and the loop. Calls start with poll or follow.
func newDiscovery(cfg *Config, l *loop) *discovery {
	d := &discovery{
		addr: cfg.Discovery, rev: cfg.InitialList.Rev, policy: listwatch.PushPolicy, maxObject: maxListBytes(cfg.MemoryMB),
		random: rand.New(rand.NewPCG(cfg.Seed, 0)).Float64,
		onList: func(list List) {
			kind := forkline.ListDelta
			if list.Full {
				kind = forkline.ListFull
			}
			l.post(func() { l.updateList(list, kind) })
		},
		onFailed: func(silence time.Duration) { l.post(func() { l.handleListFailure(silence) }) },
	}
	if cfg.Site.Settings.PollList {
		d.policy = listwatch.PollPolicy
		// An answered call counts as an empty change until its first list arrives.
		d.onAnswered = func() { l.post(func() { l.handleListEvent(forkline.ListDelta) }) }
	}
	return d
}

// Run serves until ctx ends, then finishes the accepted calls.
func (s *Sidecar) Run(ctx context.Context) error {
	// The list is watched until the end, since servers may start draining in the meantime.
	watchCtx, stop := context.WithCancel(context.Background())
	defer stop()
	defer close(s.loop.done)
	if s.cfg.Site.Settings.PollList {
		s.loop.requestWatch = func() { go s.discovery.poll(watchCtx) }
		s.loop.post(func() { s.loop.updateList(s.cfg.InitialList, forkline.ListCached) }) // ahead of anything the watch delivers
	} else {
		// A sidecar counts as notified of everything the agent knows from the start. So no call is sent by the
		// initial list until the agent has sent its changes or has not responded for cachedListDelay.
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
	limit := s.drainLimit()
	slog.Info("draining", "limit", limit)
	s.front.drain(s.listener, limit)
	s.loop.events.flush()
	slog.Info("drained")
	return nil
}

// limitMemory divides a new memory limit among the messages in progress.
func (s *Sidecar) limitMemory(memoryMB int) {
	s.front.downstream.requestMemory.resize(memoryMB, requestMemoryShare)
	s.front.downstream.inputMemory.resize(memoryMB, inputMemoryShare)
	s.loop.upstream.responseMemory.resize(memoryMB, responseMemoryShare)
}

// state returns the counts of connections and the memory in use, for the log.
func (s *Sidecar) state() []slog.Attr {
	attrs := s.front.downstream.state()
	attrs = append(attrs, slog.Int("upstream_open", s.loop.upstream.open()), s.loop.upstream.responseMemory.state("response_bytes"))
	return append(attrs, slog.Uint64("runtime_bytes", runtimeMemory()))
}

// SetDiscoveryAddr watches discovery at another address from now on. The current list stays in use. The loop must not
// wait for discovery's mutex, because a watch holds it while it waits for space in the loop's event queue.
func (s *Sidecar) SetDiscoveryAddr(addr string) {
	if s.discovery.move(addr) {
		slog.Info("discovery moves", "addr", addr)
		s.loop.post(func() { s.loop.handleListEvent(forkline.ListMoved) })
	}
}

// drainLimit returns the time after SIGTERM at which the remaining calls are aborted, so that they are answered
// before SIGKILL.
func (s *Sidecar) drainLimit() time.Duration {
	longest := 0.0
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cfg.Site.Settings.Classes {
		longest = max(longest, c.Timeout/1000)
	}
	return time.Duration((min(longest, maxKillDeadline) + killDelay - exitLead) * float64(time.Second))
}
