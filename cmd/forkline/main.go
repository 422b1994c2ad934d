// Command forkline is a sidecar load balancer. It accepts HTTP requests and forwards each to an endpoint of its tier
// that the balancer chooses.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"forkline/internal/sidecar"
)

// goMemoryShare is the share of the memory limit that the Go runtime may use. The rest is headroom for memory that the
// runtime does not count and for allocations during a garbage collection.
const goMemoryShare = 0.6

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "forkline:", err)
		os.Exit(1)
	}
}

func run() error {
	signal.Ignore(syscall.SIGPIPE)     // or a log line would end the process once nobody reads the log
	hangups := make(chan os.Signal, 1) // one pending signal is enough: its reload reads the latest file
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // a sidecar is allotted one core
	limitMemory(cfg.MemoryMB)
	slog.SetDefault(slog.With("name", cfg.Name))

	cfg.Sockets = allowedDescriptors(cfg.Sockets)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.New(cfg)
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			reload(s)
		}
	}()
	return s.Run(ctx)
}

// allowedDescriptors returns the configured number of descriptors or, if that is lower, the limit of the system, but at
// least sidecar.MinSockets. With a number above the system's limit, client connections would take the descriptors that
// are reserved for discovery.
func allowedDescriptors(sockets int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(sockets) {
		return sockets
	}
	slog.Warn("fewer descriptors than the settings tell", "limit", limit.Cur, "sockets", sockets)
	return max(int(limit.Cur), sidecar.MinSockets)
}

// reload reads the configuration file again and applies it. An invalid configuration changes nothing.
func reload(s *sidecar.Sidecar) {
	signalledAt := time.Now()
	cfg, err := load(os.Getenv)
	if err == nil {
		cfg.ReloadRequestedAt, cfg.Sockets = signalledAt, allowedDescriptors(cfg.Sockets)
		err = s.Reload(cfg)
	}
	if err != nil {
		slog.Error("configuration kept", "err", err)
		return
	}
	limitMemory(cfg.MemoryMB)
}

// limitMemory sets the memory limit of the Go runtime to its share of the given limit.
func limitMemory(mb int) { debug.SetMemoryLimit(int64(goMemoryShare * float64(mb) * (1 << 20))) }
