// Command forkline is one sidecar: it takes requests over HTTP and has the decision module choose
// which endpoint of its tier serves each.
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

// memoryPart is the share of the memory limit that the Go runtime may fill; the rest is room for what it
// does not count, and for the time that a collection takes.
const memoryPart = 0.6

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "forkline:", err)
		os.Exit(1)
	}
}

func run() error {
	hangups := make(chan os.Signal, 1) // one waiting is enough: it reads the file as it is then
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // one core is all a sidecar has
	limitMemory(cfg.MemoryMB)
	slog.SetDefault(slog.With("name", cfg.Name))

	cfg.Sockets = allowed(cfg.Sockets)
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

// allowed is how many of the descriptors that the settings tell the system gives: were more used, clients would take
// those that are kept for discovery.
func allowed(sockets int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(sockets) {
		return sockets
	}
	slog.Warn("fewer descriptors than the settings tell", "limit", limit.Cur, "sockets", sockets)
	return max(int(limit.Cur), sidecar.MinSockets)
}

// reload reads the configuration anew and puts it in force. One that cannot be used changes nothing.
func reload(s *sidecar.Sidecar) {
	signalled := time.Now()
	cfg, err := load(os.Getenv)
	if err == nil {
		cfg.ReloadRequestedAt, cfg.Sockets = signalled, allowed(cfg.Sockets)
		err = s.Reload(cfg)
	}
	if err != nil {
		slog.Error("configuration kept", "err", err)
		return
	}
	limitMemory(cfg.MemoryMB)
}

// limitMemory has the Go runtime keep to its share of a limit.
func limitMemory(mb int) { debug.SetMemoryLimit(int64(memoryPart * float64(mb) * (1 << 20))) }
