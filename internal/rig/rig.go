// Package rig measures real sidecar processes on loopback, between stand-ins that it has itself: a discovery, endpoints
// and clients. What it tells of discovery or of endpoints is told of these stand-ins.
package rig

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxProcesses is the most sidecars that a rig starts: past that, figures are extrapolated.
	MaxProcesses = 300
	// MaxListeners is the most stand-in endpoints with an address of their own; longer lists use addresses again.
	MaxListeners = 300

	host        = "127.0.0.1:0"
	sidecarRoom = 48 << 20               // bytes of memory that a sidecar is taken to need at most
	startTime   = 60 * time.Second       // longest wait for a sidecar to be ready, on a busy machine
	pollTime    = 10 * time.Millisecond  // between two looks at what a rig waits for
	callTimeout = 5 * time.Second        // of a client's call
	warmTime    = 3 * time.Second        // of calls before those that are measured
	settleTime  = 500 * time.Millisecond // between a change of what is measured and its first figure
)

// Usage is what a process has used since its start.
type Usage struct {
	CPU      time.Duration // processor time in user and kernel mode
	Resident int64         // bytes of memory now
	Peak     int64         // most of it so far
	Sockets  int           // open descriptors
}

// usage reads /proc of a process of ours. Processor time counts to 20 ms, or finer where the kernel tells it by threads.
func usage(pid int) (Usage, error) {
	var u Usage
	dir := "/proc/" + strconv.Itoa(pid)
	text, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name before may hold blanks
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return u, fmt.Errorf("usage: %s/stat has %d fields", dir, len(fields))
	}
	for _, f := range fields[11:13] { // utime and stime, in ticks of 10 ms on Linux
		ticks, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, fmt.Errorf("usage: %s/stat: %w", dir, err)
		}
		u.CPU += time.Duration(ticks) * 10 * time.Millisecond
	}
	if precise, err := scheduled(dir); err == nil {
		u.CPU = max(u.CPU, precise) // both leave something out
	}
	if text, err = os.ReadFile(dir + "/status"); err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmRSS":
			u.Resident = kb << 10
		case "VmHWM":
			u.Peak = kb << 10
		}
	}
	files, err := os.ReadDir(dir + "/fd")
	u.Sockets = len(files)
	return u, err
}

// scheduled is the time that the threads of a process have run, to the nanosecond. Threads that have ended are left out.
func scheduled(dir string) (time.Duration, error) {
	threads, err := os.ReadDir(dir + "/task")
	if err != nil {
		return 0, err
	}
	total := time.Duration(0)
	for _, t := range threads {
		text, err := os.ReadFile(dir + "/task/" + t.Name() + "/schedstat")
		if err != nil {
			return 0, err
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// Machine is what else the machine did while something was measured.
type Machine struct {
	Cores       int       `json:"cores"`
	LoadBefore  float64   `json:"load_before"` // processes that ran or waited to, mean of a minute
	LoadAfter   float64   `json:"load_after"`
	Start       time.Time `json:"start"`
	RealSeconds float64   `json:"real_s"`
}

// Observe begins to note what the machine does; the function that it returns tells it.
func Observe() func() Machine {
	m := Machine{Cores: runtime.NumCPU(), Start: time.Now().Truncate(time.Second)}
	begin := time.Now()
	m.LoadBefore, _ = Load()
	return func() Machine {
		m.LoadAfter, _ = Load()
		m.RealSeconds = time.Since(begin).Seconds()
		return m
	}
}

// Load is the machine's load now: processes that run or wait to, mean of a minute.
func Load() (float64, error) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0, fmt.Errorf("load: %w", err)
	}
	first, _, _ := strings.Cut(string(text), " ")
	return strconv.ParseFloat(first, 64)
}

// enough tells whether the machine has room for so many sidecars in half of its memory.
func enough(processes int) error {
	if processes < 1 || processes > MaxProcesses {
		return fmt.Errorf("rig: %d sidecars; 1 to %d are started", processes, MaxProcesses)
	}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if name, value, _ := strings.Cut(line, ":"); name == "MemAvailable" {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err == nil && int64(processes)*sidecarRoom > kb<<10/2 {
				return fmt.Errorf("rig: %d sidecars may need over half of the %d MB that are free", processes, kb>>10)
			}
		}
	}
	return nil
}

// pause waits for so long, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errWaited = errors.New("waited for too long")

// await polls until f holds.
func await(ctx context.Context, most time.Duration, f func() bool) error {
	for end := time.Now().Add(most); !f(); {
		if time.Now().After(end) {
			return errWaited
		}
		if err := pause(ctx, pollTime); err != nil {
			return err
		}
	}
	return nil
}
