package rig

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// SettingsChange measures how soon a change of the settings takes effect in many real sidecars, and what it costs, while
// clients call through all of them. The change adds a class and shortens the timeout of another one. It has taken effect
// when a call of the new class is served and a call of the other class times out. Zero fields take the defaults.
type SettingsChange struct {
	Binary         string        // path of the sidecar; if empty, it is built from this source tree
	Sidecars       int           // default 20
	Endpoints      int           // default 30
	Rate           float64       // calls a second over all sidecars, half of them safe and half unsafe; default 5 a sidecar
	Seed           uint64        // seeds the schedule of the calls
	RollingRestart bool          // apply the change by restarting a tenth of the sidecars at a time instead of by a signal
	Timeout        time.Duration // longest wait for the change to take effect; default 10 s
}

// SettingsChangeResult is the result of one change. Times count from just before the first file is replaced.
type SettingsChangeResult struct {
	Machine        Machine `json:"machine"`
	Sidecars       int     `json:"sidecars"`
	RollingRestart bool    `json:"restart"`
	Seed           uint64  `json:"seed"`
	Applied        int     `json:"in_force"`  // number of sidecars in which the change took effect within Timeout
	P50            float64 `json:"p50_ms"`    // ms until it took effect in half of those sidecars
	Last           float64 `json:"last_ms"`   // ms until it took effect in the last of them
	CPUPerSidecar  float64 `json:"cpu_ms"`    // mean ms of processor time for the change and its checks, without calls; 0 = not measured
	Before         Calls   `json:"before"`    // calls before the change
	During         Calls   `json:"meanwhile"` // calls from the first file until changeMargin after the change
}

const (
	changeServiceTime   = 20 * time.Millisecond // longer than the new, short timeout
	changeCheckInterval = 50 * time.Millisecond // between two checks of one sidecar
	changeMargin        = 2 * time.Second       // time of calls measured after the change; twice that before it
)

// changedSettings adds the class "new", and the class "brief" with a short timeout, to settings.
func changedSettings(settings map[string]any) map[string]any {
	class := func(name string, targetLatency, timeout int) map[string]any {
		return map[string]any{"name": name, "aim": targetLatency, "giveUp": timeout, "effect": "read_like"}
	}
	settings["classes"] = append(settings["classes"].([]any), class("new", 1000, 2500), class("brief", 1000, 10))
	return settings
}

// initialSettings adds the class "brief" with a long timeout, which the change shortens.
func initialSettings(settings map[string]any) map[string]any {
	settings["classes"] = append(settings["classes"].([]any),
		map[string]any{"name": "brief", "aim": 1000, "giveUp": 2500, "effect": "read_like"})
	return settings
}

// Run makes one change and measures it.
func (o SettingsChange) Run(ctx context.Context) (SettingsChangeResult, error) {
	o.Sidecars, o.Endpoints, o.Timeout = cmp.Or(o.Sidecars, 20), cmp.Or(o.Endpoints, 30), cmp.Or(o.Timeout, 10*time.Second)
	o.Rate = cmp.Or(o.Rate, 5*float64(o.Sidecars))
	r := SettingsChangeResult{Sidecars: o.Sidecars, RollingRestart: o.RollingRestart, Seed: o.Seed}
	observed := ObserveMachine()
	b, err := newTestbed(ctx, o.Binary, o.Sidecars, o.Endpoints, changeServiceTime)
	if err != nil {
		return r, err
	}
	defer b.close()
	if err := o.forEachSidecar(func(i int) error { return o.startSidecar(ctx, b, i, initialSettings) }); err != nil {
		return r, err
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	if status := callStatus(ctx, client, b.addr(0), "new"); status != http.StatusNotFound {
		return r, fmt.Errorf("rig: status %d for an unknown class, want 404", status)
	}
	if status := callStatus(ctx, client, b.addr(0), "brief"); status != http.StatusOK {
		return r, fmt.Errorf("rig: status %d for a class with a long timeout, want 200", status)
	}
	if err := o.withCalls(ctx, b, nil, func() error { return sleep(ctx, warmupTime) }); err != nil {
		return r, err
	}
	appliedAfter := make([]time.Duration, o.Sidecars)
	var started time.Time
	applyChange := func() error {
		started = time.Now()
		if o.RollingRestart {
			if err := o.applyByRestart(ctx, b, client, started, appliedAfter); err != nil {
				return err
			}
		} else if err := o.applyBySignal(ctx, b, client, started, appliedAfter); err != nil {
			return err
		}
		return sleep(ctx, changeMargin)
	}
	before, err := o.totalCPU(b)
	if err != nil {
		return r, err
	}
	if err := o.withCalls(ctx, b, &r.Before, func() error { return sleep(ctx, 2*changeMargin) }); err != nil {
		return r, err
	}
	middle, err := o.totalCPU(b)
	if err != nil {
		return r, err
	}
	if err := o.withCalls(ctx, b, &r.During, applyChange); err != nil {
		return r, err
	}
	after, err := o.totalCPU(b)
	if err != nil {
		return r, err
	}
	seconds := time.Since(started).Seconds()
	if !o.RollingRestart { // the usage of a process between its last reading and its end is unknown
		r.CPUPerSidecar = ((after - middle) - (middle-before)*seconds/(2*changeMargin).Seconds()) / float64(o.Sidecars)
	}
	var applied []float64
	for _, d := range appliedAfter {
		if d > 0 {
			applied = append(applied, float64(d)/float64(time.Millisecond))
		}
	}
	if slices.Sort(applied); len(applied) > 0 {
		r.Applied, r.P50, r.Last = len(applied), applied[len(applied)/2], applied[len(applied)-1]
	}
	r.Machine = observed()
	return r, nil
}

// forEachSidecar calls f for all sidecars, 16 at a time, and returns the errors joined.
func (o SettingsChange) forEachSidecar(f func(i int) error) error {
	errs, slots := make([]error, o.Sidecars), make(chan struct{}, 16)
	var running sync.WaitGroup
	for i := range o.Sidecars {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = f(i)
		})
	}
	running.Wait()
	return errors.Join(errs...)
}

// settings returns the settings of sidecar i without the classes that show the change.
func (o SettingsChange) settings(i int) map[string]any {
	return sidecarSettings(o.Sidecars, i, false, defaultPollInterval)
}

// startSidecar starts or restarts sidecar i with edited settings.
func (o SettingsChange) startSidecar(ctx context.Context, b *testbed, i int, edit func(map[string]any) map[string]any) error {
	return b.startWithSettings(ctx, fmt.Sprint("n", i), i, edit(o.settings(i)))
}

// withCalls sends calls while run executes. The counts go to result if it is not nil, with the latency of safe calls only.
func (o SettingsChange) withCalls(ctx context.Context, b *testbed, result *Calls, run func() error) error {
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	safeRoute := newRoute(randomAddr(o.Seed, o.Sidecars, b.addr))
	defer safeRoute.close()
	unsafeRoute := newRoute(randomAddr(o.Seed+1, o.Sidecars, b.addr))
	defer unsafeRoute.close()
	var clients sync.WaitGroup
	// Both return when callCtx ends.
	clients.Go(func() { sendCalls(callCtx, o.Rate/2, time.Hour, classByEffect["safe"], 2*o.Seed, safeRoute) })
	clients.Go(func() { sendCalls(callCtx, o.Rate/2, time.Hour, classByEffect["unsafe"], 2*o.Seed+1, unsafeRoute) })
	err := run()
	stop() // calls still in flight are not counted
	clients.Wait()
	if result != nil {
		safeCalls, unsafeCalls := safeRoute.results(), unsafeRoute.results()
		*result = Calls{
			Served: safeCalls.Served + unsafeCalls.Served, Refused: safeCalls.Refused + unsafeCalls.Refused,
			Failed:      safeCalls.Failed + unsafeCalls.Failed,
			Connections: safeCalls.Connections + unsafeCalls.Connections, Latency: safeCalls.Latency,
		}
	}
	return err
}

// totalCPU returns the processor time of all sidecars so far, in ms.
func (o SettingsChange) totalCPU(b *testbed) (total float64, err error) {
	for i := range o.Sidecars {
		b.mu.Lock()
		p := b.processes[i]
		b.mu.Unlock()
		u, err := p.usage()
		if err != nil {
			return 0, err
		}
		total += float64(u.CPU) / float64(time.Millisecond)
	}
	return total, nil
}

// applyBySignal replaces the configuration files one by one and signals each sidecar, as an operator's tool does. It
// records in appliedAfter when the change takes effect in each.
func (o SettingsChange) applyBySignal(ctx context.Context, b *testbed, client *http.Client, started time.Time,
	appliedAfter []time.Duration) error {
	var checks sync.WaitGroup
	defer checks.Wait()
	for i := range o.Sidecars {
		if err := replaceSettings(filepath.Join(b.dir, fmt.Sprint("n", i, ".json")), changedSettings(o.settings(i))); err != nil {
			return err
		}
		if err := b.processes[i].cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		checks.Go(func() { appliedAfter[i] = o.waitApplied(ctx, client, b.addr(i), started) })
	}
	return nil
}

// waitApplied waits until a sidecar serves the new class and enforces the short timeout, and returns the time since
// started. It returns 0 if that takes longer than o.Timeout.
func (o SettingsChange) waitApplied(ctx context.Context, client *http.Client, addr string, started time.Time) time.Duration {
	for time.Since(started) < o.Timeout {
		if callStatus(ctx, client, addr, "new") == http.StatusOK && callStatus(ctx, client, addr, "brief") != http.StatusOK {
			return time.Since(started)
		}
		if sleep(ctx, changeCheckInterval) != nil {
			return 0
		}
	}
	return 0
}

// applyByRestart restarts the sidecars with the new settings, a tenth at a time. Each gets SIGTERM, and its successor
// starts when it has ended.
func (o SettingsChange) applyByRestart(ctx context.Context, b *testbed, client *http.Client, started time.Time,
	appliedAfter []time.Duration) error {
	o.Timeout = time.Hour // a rolling restart may take longer than the timeout of a signalled change
	for batch := range slices.Chunk(sequence(o.Sidecars), max(1, o.Sidecars/10)) {
		errs := make([]error, len(batch))
		var restarts sync.WaitGroup
		for n, i := range batch {
			restarts.Go(func() {
				old := b.processes[i]
				u, err := old.usage()
				if err == nil {
					old.earlier.CPU = u.CPU
					err = old.cmd.Process.Signal(syscall.SIGTERM)
				}
				if err != nil {
					errs[n] = err
					return
				}
				<-old.exited
				if errs[n] = o.startSidecar(ctx, b, i, changedSettings); errs[n] == nil {
					appliedAfter[i] = o.waitApplied(ctx, client, b.addr(i), started)
				}
			})
		}
		restarts.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	return nil
}

// sequence returns the numbers from 0 to n-1.
func sequence(n int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// replaceSettings replaces the settings in a configuration file atomically.
func replaceSettings(path string, settings map[string]any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("rig: %s: %w", path, err)
	}
	config["settings"] = settings
	if text, err = json.Marshal(config); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return os.Rename(path+".new", path)
}

// callStatus makes one call of a safe class and returns the status of its answer, or 0 if there is none.
func callStatus(ctx context.Context, client *http.Client, addr, class string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/"+class+"/x", nil)
	if err != nil {
		return 0
	}
	req.Header = http.Header{"X-Request-Id": {fmt.Sprint(class, time.Now().UnixNano())}, "X-Class": {class}}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
