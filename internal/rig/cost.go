package rig

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"forkline/internal/sidecar"
	"forkline/internal/slope"
)

// SidecarCost measures one real sidecar process, idle and with calls: its resident memory, processor time and control
// traffic against the length of its list, the rate of list changes and the number of client connections. Zero fields
// take the defaults.
type SidecarCost struct {
	Binary           string        // path of the sidecar; if empty, it is built from this source tree
	Duration         time.Duration // time of each measurement; default 5 s
	Rate             float64       // calls a second, where calls are sent; default 168
	ServiceTime      time.Duration // of an endpoint for a call; default 0
	ListLengths      []int         // lengths of the list; default 10 to 2,800
	ChangesPerMinute []int         // with a list of 300 entries; default 0 to 6,000
	Connections      []int         // client connections, with a list of 300 entries; default 10 to 1,000
}

// Result holds a series for each measure, and the load on the machine meanwhile.
type Result struct {
	Machine Machine        `json:"machine"`
	Series  []slope.Series `json:"series"`
}

const (
	unitCPUPerSecond  = "ms of processor time a second"
	unitCPUPerCall    = "ms of processor time a call"
	unitResident      = "MB resident"
	axisListLength    = "entries of the list"
	defaultListLength = 300 // entries, where something else varies
)

// testbed is a stand-in discovery, stand-in endpoints and the sidecars between them.
type testbed struct {
	dir, binary  string // working directory; path of the sidecar
	discovery    *Discovery
	endpoints    *Endpoints
	pollInterval time.Duration

	mu        sync.Mutex
	processes []*process // by sidecar number; nil before the first start
	seeds     *rand.Rand // source of the sidecars' seeds
}

// newTestbed starts discovery and endpoints, with a list of the given number of entries, but no sidecars yet.
func newTestbed(ctx context.Context, binary string, sidecars, entries int, serviceTime time.Duration) (b *testbed, err error) {
	if err := checkMemory(sidecars); err != nil {
		return nil, err
	}
	if entries < 1 {
		return nil, fmt.Errorf("rig: invalid list length %d; must be at least 1", entries)
	}
	b = &testbed{pollInterval: defaultPollInterval, processes: make([]*process, sidecars), seeds: rand.New(rand.NewPCG(1, 2))}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	if b.dir, err = os.MkdirTemp("", "rig"); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	if b.binary = binary; binary == "" {
		if b.binary, err = Build(ctx, b.dir); err != nil {
			return nil, err
		}
	}
	if b.endpoints, err = NewEndpoints(min(entries, MaxEndpointAddrs), serviceTime); err != nil {
		return nil, err
	}
	if b.discovery, err = NewDiscovery(sidecars, 0, 0); err != nil {
		return nil, err
	}
	return b, b.discovery.Change(b.endpoints.Targets(entries)...)
}

// startSidecar starts sidecar i and waits until it is ready. Its configuration contains the current list, as that of a
// real sidecar contains the last list it knew.
func (b *testbed) startSidecar(ctx context.Context, i int, pollList bool) error {
	name := fmt.Sprint("n", i)
	settings := sidecarSettings(len(b.processes), i, pollList, b.pollInterval)
	return b.startWithSettings(ctx, name, i, settings)
}

// startWithSettings starts sidecar i with the given settings, in place of an earlier process, and waits until it is ready.
func (b *testbed) startWithSettings(ctx context.Context, name string, i int, settings map[string]any) error {
	p, err := startProcess(ctx, b.binary, b.dir, name, b.discovery.Addr(i), b.discovery.List(), b.nextSeed(), settings)
	if err != nil {
		return err
	}
	b.mu.Lock()
	if old := b.processes[i]; old != nil {
		p.earlier = old.earlier
	}
	b.processes[i] = p
	b.mu.Unlock()
	return p.waitReady(ctx)
}

// nextSeed returns a new seed for each start, as the deploy page requires: sidecars with equal seeds would all draw the
// same delays.
func (b *testbed) nextSeed() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seeds.Uint64()
}

// addr returns the client address of sidecar i, or its last one if it has ended.
func (b *testbed) addr(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.processes[i].addr
}

// close kills the sidecars, stops the stand-ins and removes the working directory.
func (b *testbed) close() {
	killAll(b.processes)
	if b.discovery != nil {
		b.discovery.Close()
	}
	if b.endpoints != nil {
		b.endpoints.Close()
	}
	os.RemoveAll(b.dir)
}

// usageDelta is the resource usage over a period.
type usageDelta struct {
	seconds float64
	cpuMs   float64 // processor time of the sidecar
	Usage           // at the end of the period
	control Traffic // between sidecar and discovery
}

// controlBytesPerSecond returns the rate of control traffic in both directions.
func (u usageDelta) controlBytesPerSecond() float64 {
	return float64(u.control.Received+u.control.Sent) / u.seconds
}

// measure executes run and returns what the first sidecar used meanwhile.
func (b *testbed) measure(ctx context.Context, run func() error) (usageDelta, error) {
	if err := sleep(ctx, settleDelay); err != nil {
		return usageDelta{}, err
	}
	before, err := b.processes[0].usage()
	if err != nil {
		return usageDelta{}, err
	}
	started, controlBefore := time.Now(), b.discovery.Traffic()
	if err := run(); err != nil {
		return usageDelta{}, err
	}
	after, err := b.processes[0].usage()
	return usageDelta{
		seconds: time.Since(started).Seconds(), cpuMs: milliseconds(after.CPU - before.CPU),
		Usage: after, control: b.discovery.Traffic().sub(controlBefore),
	}, err
}

// newPollingTestbed starts a testbed with one sidecar that requests its list from discovery, and waits until its watch
// is open.
func newPollingTestbed(ctx context.Context, binary string, entries int, serviceTime time.Duration) (*testbed, error) {
	b, err := newTestbed(ctx, binary, 1, entries, serviceTime)
	if err != nil {
		return nil, err
	}
	if err = b.startSidecar(ctx, 0, true); err == nil {
		err = waitUntil(ctx, startTimeout, func() bool { return b.discovery.Traffic().Watches > 0 })
	}
	if err != nil {
		b.close()
		return nil, fmt.Errorf("rig: %w", err)
	}
	return b, nil
}

// Run takes the measurements one after another; each takes Duration and some seconds.
func (o SidecarCost) Run(ctx context.Context) (Result, error) {
	o.Duration, o.Rate = cmp.Or(o.Duration, 5*time.Second), cmp.Or(o.Rate, 168)
	if len(o.ListLengths) == 0 {
		o.ListLengths = []int{10, 100, 300, 1000, 2800}
	}
	if len(o.ChangesPerMinute) == 0 {
		o.ChangesPerMinute = []int{0, 60, 600, 3000, 6000}
	}
	if len(o.Connections) == 0 {
		o.Connections = []int{10, 100, 300, 1000}
	}
	observed := ObserveMachine()
	callsPrefix, callsSuffix := fmt.Sprintf("at %v calls a second: ", o.Rate), fmt.Sprintf("with %v calls a second", o.Rate)
	var r Result
	const control, perSecond = "control", "bytes a second"
	lists := []slope.Series{
		{Name: "at rest: memory", X: axisListLength, Y: unitResident},
		{Name: "at rest: processor", X: axisListLength, Y: unitCPUPerSecond},
		{Name: "at rest: " + control, X: axisListLength, Y: perSecond},
		{Name: callsPrefix + "memory", X: axisListLength, Y: unitResident},
		{Name: callsPrefix + "processor", X: axisListLength, Y: unitCPUPerCall},
		{Name: callsPrefix + control, X: axisListLength, Y: perSecond},
		{Name: callsPrefix + "connections opened to endpoints", X: axisListLength, Y: "connections a call"},
	}
	const changesPrefix, pollsPrefix = "changes: ", "clients that ask for readiness once a second: "
	changes := []slope.Series{
		{Name: changesPrefix + "memory", X: "changes a minute", Y: unitResident},
		{Name: changesPrefix + "processor", X: "changes a minute", Y: unitCPUPerSecond},
		{Name: changesPrefix + control, X: "changes a minute", Y: perSecond},
		{Name: changesPrefix + "processor, " + callsSuffix, X: "changes a minute", Y: unitCPUPerSecond},
	}
	connections := []slope.Series{
		{Name: pollsPrefix + "memory", X: "connections", Y: unitResident},
		{Name: pollsPrefix + "processor", X: "connections", Y: unitCPUPerSecond},
		{Name: pollsPrefix + "processor, " + callsSuffix, X: "connections", Y: unitCPUPerSecond},
	}
	for _, n := range o.ListLengths {
		if err := o.measureList(ctx, n, lists); err != nil {
			return r, err
		}
	}
	for _, n := range o.ChangesPerMinute {
		if err := o.measureChanges(ctx, n, changes); err != nil {
			return r, err
		}
	}
	for _, n := range o.Connections {
		if err := o.measureConnections(ctx, n, connections); err != nil {
			return r, err
		}
	}
	r.Machine, r.Series = observed(), slices.Concat(lists, changes, connections)
	return r, nil
}

// measureList measures a list of n entries, without calls and then with calls.
func (o SidecarCost) measureList(ctx context.Context, n int, series []slope.Series) error {
	b, err := newPollingTestbed(ctx, o.Binary, n, o.ServiceTime)
	if err != nil {
		return err
	}
	defer b.close()
	u, err := b.measure(ctx, func() error { return sleep(ctx, o.Duration) })
	if err != nil {
		return err
	}
	series[0].Add(float64(n), megabytes(u.Resident))
	series[1].Add(float64(n), u.cpuMs/u.seconds)
	series[2].Add(float64(n), u.controlBytesPerSecond())
	via := newRoute(func() string { return b.addr(0) })
	defer via.close()
	if err := sendCalls(ctx, o.Rate, warmupTime, classByEffect["safe"], 1, via); err != nil {
		return err
	}
	before, openedBefore := via.results(), b.endpoints.connections.Load()
	if u, err = b.measure(ctx, func() error { return sendCalls(ctx, o.Rate, o.Duration, classByEffect["safe"], 2, via) }); err != nil {
		return err
	}
	after := via.results()
	if after.Served-before.Served <= 0 || after.Served < after.Total()/2 {
		return fmt.Errorf("rig: list of %d entries: %d calls served, %d refused, %d failed", n, after.Served, after.Refused, after.Failed)
	}
	series[3].Add(float64(n), megabytes(u.Resident))
	calls := float64(after.Total() - before.Total())
	series[4].Add(float64(n), u.cpuMs/calls)
	series[5].Add(float64(n), u.controlBytesPerSecond())
	series[6].Add(float64(n), float64(b.endpoints.connections.Load()-openedBefore)/calls)
	return nil
}

// measureChanges measures changes of single entries, without calls and then with calls.
func (o SidecarCost) measureChanges(ctx context.Context, perMinute int, series []slope.Series) error {
	b, err := newPollingTestbed(ctx, o.Binary, defaultListLength, 0)
	if err != nil {
		return err
	}
	defer b.close()
	targets := b.endpoints.Targets(defaultListLength)
	u, err := b.measure(ctx, func() error { return makeChanges(ctx, b.discovery, targets, perMinute, o.Duration) })
	if err != nil {
		return err
	}
	series[0].Add(float64(perMinute), megabytes(u.Resident))
	series[1].Add(float64(perMinute), u.cpuMs/u.seconds)
	series[2].Add(float64(perMinute), u.controlBytesPerSecond())
	u, err = o.measureWithCalls(ctx, b, func() error { return makeChanges(ctx, b.discovery, targets, perMinute, o.Duration) })
	series[3].Add(float64(perMinute), u.cpuMs/max(u.seconds, 1e-9))
	return err
}

// measureWithCalls measures run as measure does, while calls are sent at o.Rate, after warm-up calls.
func (o SidecarCost) measureWithCalls(ctx context.Context, b *testbed, run func() error) (usageDelta, error) {
	via := newRoute(func() string { return b.addr(0) })
	defer via.close()
	if err := sendCalls(ctx, o.Rate, warmupTime, classByEffect["safe"], 1, via); err != nil {
		return usageDelta{}, err
	}
	var loadErr error
	u, err := b.measure(ctx, func() error {
		var calls sync.WaitGroup
		defer calls.Wait()
		calls.Go(func() { loadErr = sendCalls(ctx, o.Rate, o.Duration, classByEffect["safe"], 2, via) })
		return run()
	})
	if c := via.results(); err == nil && loadErr == nil && c.Served < c.Total()/2 {
		err = fmt.Errorf("rig: %d calls served, %d refused, %d failed", c.Served, c.Refused, c.Failed)
	}
	return u, cmp.Or(err, loadErr)
}

// makeChanges spreads changes evenly over the duration. Each entry in turn drains and becomes ready again.
func makeChanges(ctx context.Context, d *Discovery, targets []sidecar.Target, perMinute int, duration time.Duration) error {
	if perMinute < 0 || perMinute > 60000 {
		return fmt.Errorf("rig: %d changes a minute; must be from 0 to 60000", perMinute)
	}
	started, changes := time.Now(), int(float64(perMinute)*duration.Minutes())
	for i := range changes {
		if err := sleep(ctx, time.Until(started.Add(time.Duration(float64(i)/float64(changes)*float64(duration))))); err != nil {
			return err
		}
		if err := d.Change(toggleDrain(targets[i/2%len(targets)], i)); err != nil {
			return err
		}
	}
	return sleep(ctx, time.Until(started.Add(duration)))
}

// toggleDrain returns t, which is ready, as draining for an even i and unchanged for an odd i.
func toggleDrain(t sidecar.Target, i int) sidecar.Target {
	if i%2 == 0 {
		t.State = "Terminating"
	}
	return t
}

// measureConnections measures n clients that each poll the readiness path once a second, without calls and then with calls.
func (o SidecarCost) measureConnections(ctx context.Context, n int, series []slope.Series) error {
	if n < 1 || n > socketLimit/2 {
		return fmt.Errorf("rig: %d client connections; the number must be from 1 to %d", n, socketLimit/2)
	}
	b, err := newPollingTestbed(ctx, o.Binary, defaultListLength, 0)
	if err != nil {
		return err
	}
	defer b.close()
	pollCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	failed := make(chan error, n)
	ready := make(chan struct{}, n)
	for i := range n {
		clients.Go(func() {
			if err := sleep(pollCtx, time.Duration(i)*time.Second/time.Duration(n)); err != nil {
				return
			}
			if err := pollReadiness(pollCtx, b.addr(0), ready); err != nil && pollCtx.Err() == nil {
				failed <- err
			}
		})
	}
	for range n {
		select {
		case <-ready:
		case err := <-failed:
			return fmt.Errorf("rig: %d connections: %w", n, err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	u, err := b.measure(ctx, func() error { return sleep(ctx, o.Duration) })
	if err != nil {
		return err
	}
	select {
	case err := <-failed:
		return fmt.Errorf("rig: %d connections: %w", n, err)
	default:
	}
	series[0].Add(float64(n), megabytes(u.Resident))
	series[1].Add(float64(n), u.cpuMs/u.seconds)
	u, err = o.measureWithCalls(ctx, b, func() error { return sleep(ctx, o.Duration) })
	series[2].Add(float64(n), u.cpuMs/max(u.seconds, 1e-9))
	select {
	case pollErr := <-failed:
		return fmt.Errorf("rig: %d connections: %w", n, pollErr)
	default:
		return err
	}
}

// pollReadiness polls the readiness path over one connection until ctx ends. It sends to ready after the first answer.
func pollReadiness(ctx context.Context, addr string, ready chan<- struct{}) error {
	c, err := (&net.Dialer{Timeout: clientDialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for notify := ready; ; notify = nil {
		c.SetDeadline(time.Now().Add(callTimeout))
		if _, err := io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"); err != nil {
			return err
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return err
		}
		if res.StatusCode != http.StatusOK || res.Close {
			return errors.New("ready: " + res.Status)
		}
		if notify != nil {
			notify <- struct{}{}
		}
		if err := sleep(ctx, time.Second); err != nil {
			return nil // ctx has ended, which is no failure
		}
	}
}

// milliseconds returns d in ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// megabytes returns a number of bytes in units of 2^20.
func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
