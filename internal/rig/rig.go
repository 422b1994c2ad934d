// Package rig measures real sidecar processes on loopback. It supplies the stand-ins around them: a discovery service,
// endpoints and clients. Figures about discovery or endpoints describe these stand-ins only.
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
	// MaxSidecars is the largest number of sidecar processes started; figures for more are extrapolated.
	MaxSidecars = 300
	// MaxEndpointAddrs is the largest number of stand-in endpoints with their own address; longer lists reuse addresses.
	MaxEndpointAddrs = 300

	listenAddr    = "127.0.0.1:0"
	sidecarMemory = 48 << 20               // bytes of memory that one sidecar is assumed to need at most
	startTimeout  = 60 * time.Second       // longest wait for a process to be ready; generous, for a busy machine
	checkInterval = 10 * time.Millisecond  // between two checks of an awaited condition
	callTimeout   = 5 * time.Second        // timeout of a client's call
	warmupTime    = 3 * time.Second        // of calls before the measured ones
	settleDelay   = 500 * time.Millisecond // between a change of the load and the first measurement under it
)

// Usage holds the resources that a process uses.
type Usage struct {
	CPU         time.Duration // user and kernel time since the start of the process
	Resident    int64         // resident memory in bytes
	Peak        int64         // highest resident memory so far, in bytes
	Descriptors int           // open file descriptors
}

// readUsage reads the usage of a process from /proc. Processor time is accurate to 20 ms, or better if the kernel reports
// the run time of each thread.
func readUsage(pid int) (Usage, error) {
	var u Usage
	dir := "/proc/" + strconv.Itoa(pid)
	text, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the process name before it may contain spaces
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
	if threadTime, err := threadRunTime(dir); err == nil {
		u.CPU = max(u.CPU, threadTime) // each may miss some time
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
	u.Descriptors = len(files)
	return u, err
}

// threadRunTime returns the time that the threads of a process have run, to the nanosecond. It misses threads that have
// ended.
func threadRunTime(dir string) (time.Duration, error) {
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
		runTime, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(runTime, 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// Machine describes the load on the machine during a measurement.
type Machine struct {
	Cores       int       `json:"cores"`
	LoadBefore  float64   `json:"load_before"` // mean number of running or runnable processes in the last minute
	LoadAfter   float64   `json:"load_after"`
	Start       time.Time `json:"start"`
	RealSeconds float64   `json:"real_s"`
}

// ObserveMachine records the machine's state at the start of a measurement. The function that it returns completes the
// record at the end.
func ObserveMachine() func() Machine {
	m := Machine{Cores: runtime.NumCPU(), Start: time.Now().Truncate(time.Second)}
	started := time.Now()
	m.LoadBefore, _ = LoadAverage()
	return func() Machine {
		m.LoadAfter, _ = LoadAverage()
		m.RealSeconds = time.Since(started).Seconds()
		return m
	}
}

// LoadAverage returns the mean number of running or runnable processes in the last minute.
func LoadAverage() (float64, error) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0, fmt.Errorf("load: %w", err)
	}
	first, _, _ := strings.Cut(string(text), " ")
	return strconv.ParseFloat(first, 64)
}

// checkMemory returns an error if the number of sidecars is out of range, or if they may need more than half of the
// available memory.
func checkMemory(sidecars int) error {
	if sidecars < 1 || sidecars > MaxSidecars {
		return fmt.Errorf("rig: %d sidecars; the number must be from 1 to %d", sidecars, MaxSidecars)
	}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if name, value, _ := strings.Cut(line, ":"); name == "MemAvailable" {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err == nil && int64(sidecars)*sidecarMemory > kb<<10/2 {
				return fmt.Errorf("rig: %d sidecars may need more than half of the %d MB of available memory", sidecars, kb>>10)
			}
		}
	}
	return nil
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errTimeout = errors.New("timed out")

// waitUntil polls until done returns true, for at most timeout.
func waitUntil(ctx context.Context, timeout time.Duration, done func() bool) error {
	for deadline := time.Now().Add(timeout); !done(); {
		if time.Now().After(deadline) {
			return errTimeout
		}
		if err := sleep(ctx, checkInterval); err != nil {
			return err
		}
	}
	return nil
}
