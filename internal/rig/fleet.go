package rig

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// Fleet runs outages of discovery and a wave of restarts with real sidecars, for comparison with a hollow fleet. Zero
// fields take the defaults.
type Fleet struct {
	Binary            string        // path of the sidecar; if empty, it is built from this source tree
	Sidecars          int           // default 20
	Endpoints         int           // default 30
	PushLists         bool          // sidecars have their lists pushed instead of requesting them
	Rate              float64       // client calls a second over all sidecars; default 0, so that all processor time is for control
	ServiceTime       time.Duration // of an endpoint for a call; default 0
	DiscoveryCallTime time.Duration // time that discovery takes for each call, one at a time; default 0
	DiscoveryMaxWait  time.Duration // longest wait of a call for its turn; default unlimited
	PollInterval      time.Duration // setting: time between list calls of a sidecar without a watch; default 10 s
	Outages           []Outage      // outages, one after another; default all three kinds
	RestTime          time.Duration // measured time at rest, before the outages and after the recovery from each; default 10 s
	OutageTime        time.Duration // length of an outage; default 8 s
	KilledShare       float64       // share of the sidecars killed at once and restarted; default 0.7, negative = none
}

// Phase holds the measurements of one phase of a run. Processor time and memory are per sidecar.
type Phase struct {
	Name           string  `json:"name"`
	Seconds        float64 `json:"seconds"`
	Control        Traffic `json:"control"`
	CallsPerSecond []int   `json:"calls_per_second"` // calls that discovery received in each second
	CPUMean        float64 `json:"cpu_ms_s"`         // mean over the sidecars, ms of processor time a second
	CPUMax         float64 `json:"cpu_ms_s_most"`    // highest of a sidecar
	ResidentMean   float64 `json:"resident_mb"`      // mean over the sidecars at the end of the phase, MB
	ResidentMax    float64 `json:"resident_mb_most"` // highest of a sidecar
	Calls          Calls   `json:"calls"`            // client calls, without those in flight at the end
	Answered       int     `json:"answered"`         // number of sidecars that discovery has answered since the phase began
	LastAnswer     float64 `json:"told_ms"`          // ms from the start of the phase until all, or all restarted, were answered; -1 = unknown
	Restarted      int     `json:"restarted"`        // number of sidecars started
	ReadyP50       float64 `json:"ready_p50_ms"`     // ms from the start of a process until it is ready
	ReadyMax       float64 `json:"ready_max_ms"`     // likewise, of the slowest
}

// FleetResult holds the phases in order.
type FleetResult struct {
	Machine   Machine `json:"machine"`
	Sidecars  int     `json:"sidecars"`
	Endpoints int     `json:"endpoints"`
	PushLists bool    `json:"pushed"`
	Phases    []Phase `json:"phases"`
}

const maxAnswerWait = time.Minute // longest wait for the last sidecar to be answered

// Run runs the phases and measures each.
func (o Fleet) Run(ctx context.Context) (FleetResult, error) {
	o.Sidecars, o.Endpoints = cmp.Or(o.Sidecars, 20), cmp.Or(o.Endpoints, 30)
	o.RestTime, o.OutageTime, o.KilledShare =
		cmp.Or(o.RestTime, 10*time.Second), cmp.Or(o.OutageTime, 8*time.Second), cmp.Or(o.KilledShare, 0.7)
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	if o.Outages == nil {
		o.Outages = []Outage{ConnRefused, Unavailable, Silent}
	}
	r := FleetResult{Sidecars: o.Sidecars, Endpoints: o.Endpoints, PushLists: o.PushLists}
	if o.KilledShare > 1 {
		return r, fmt.Errorf("rig: cannot kill a share of %v of the sidecars; the maximum is 1", o.KilledShare)
	}
	observed := ObserveMachine()
	b, err := newTestbed(ctx, o.Binary, o.Sidecars, o.Endpoints, o.ServiceTime)
	if err != nil {
		return r, err
	}
	defer b.close()
	b.discovery.callTime, b.discovery.maxWait = o.DiscoveryCallTime, o.DiscoveryMaxWait // set before the first sidecar starts
	b.pollInterval = o.PollInterval
	f := &fleetRun{Fleet: o, testbed: b}
	allSidecars := make([]int, o.Sidecars)
	for i := range allSidecars {
		allSidecars[i] = i
	}
	for _, step := range f.steps(allSidecars) {
		phase, err := f.measureStep(ctx, step)
		if err != nil {
			return r, fmt.Errorf("%s: %w", step.name, err)
		}
		r.Phases = append(r.Phases, phase)
	}
	r.Machine = observed()
	return r, nil
}

// fleetRun is one run of a Fleet.
type fleetRun struct {
	Fleet
	*testbed
}

// step is what happens in one phase.
type step struct {
	name           string
	startsSidecars bool // it starts the sidecars, so none runs before it
	run            func(ctx context.Context, p *Phase, started time.Time) error
}

// steps returns the steps in their order.
func (f *fleetRun) steps(allSidecars []int) []step {
	restStep := func(ctx context.Context, _ *Phase, _ time.Time) error { return sleep(ctx, f.RestTime) }
	steps := []step{
		{"start", true, func(ctx context.Context, p *Phase, started time.Time) error {
			if err := f.restartSidecars(ctx, p, allSidecars); err != nil {
				return err
			}
			return f.waitAnswers(ctx, p, started)
		}},
		{"at rest", false, restStep},
	}
	for _, outage := range f.Outages {
		steps = append(steps,
			step{"away: " + string(outage), false, func(ctx context.Context, _ *Phase, _ time.Time) error {
				if err := f.discovery.StartOutage(outage); err != nil {
					return err
				}
				return sleep(ctx, f.OutageTime)
			}},
			step{"back: " + string(outage), false, func(ctx context.Context, p *Phase, started time.Time) error {
				if err := f.discovery.EndOutage(ctx); err != nil {
					return err
				}
				if err := f.waitAnswers(ctx, p, started); err != nil {
					return err
				}
				return sleep(ctx, f.RestTime)
			}})
	}
	if n := int(math.Ceil(f.KilledShare * float64(len(allSidecars)))); n > 0 {
		steps = append(steps, step{"restart wave", false, func(ctx context.Context, p *Phase, _ time.Time) error {
			if err := f.restartSidecars(ctx, p, allSidecars[:n]); err != nil {
				return err
			}
			return sleep(ctx, f.RestTime)
		}})
	}
	return steps
}

// measureStep runs a step and measures it.
func (f *fleetRun) measureStep(ctx context.Context, step step) (Phase, error) {
	phase := Phase{Name: step.name, LastAnswer: -1}
	before, err := f.usages()
	if err != nil && !step.startsSidecars {
		return phase, err
	}
	via := newRoute(randomAddr(1, f.Sidecars, f.addr))
	defer via.close()
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	if f.Rate > 0 && !step.startsSidecars {
		clients.Go(func() { sendCalls(callCtx, f.Rate, time.Hour, classByEffect["safe"], 1, via) }) // returns when callCtx ends
	}
	f.discovery.resetCounts()
	started, controlBefore := time.Now(), f.discovery.Traffic()
	err = step.run(ctx, &phase, started)
	phase.Seconds = time.Since(started).Seconds()
	stop()
	clients.Wait()
	if err != nil {
		return phase, err
	}
	phase.Calls = via.results()
	phase.Control, phase.CallsPerSecond = f.discovery.Traffic().sub(controlBefore), f.discovery.callsPerSecond()
	if phase.Answered == 0 {
		var last time.Time
		if phase.Answered, last = f.discovery.answeredSidecars(); phase.Restarted > 0 && phase.Answered == phase.Restarted {
			phase.LastAnswer = milliseconds(last.Sub(started))
		}
	}
	after, err := f.usages()
	for i, u := range after {
		cpu := milliseconds(u.CPU)
		if i < len(before) {
			cpu -= milliseconds(before[i].CPU)
		}
		phase.CPUMean += cpu / phase.Seconds / float64(len(after))
		phase.CPUMax = max(phase.CPUMax, cpu/phase.Seconds)
		phase.ResidentMean += megabytes(u.Resident) / float64(len(after))
		phase.ResidentMax = max(phase.ResidentMax, megabytes(u.Resident))
	}
	return phase, err
}

// usages returns the usage of each sidecar. It fails if one has not been started.
func (f *fleetRun) usages() ([]Usage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var usages []Usage
	for i, p := range f.processes {
		if p == nil {
			return nil, fmt.Errorf("rig: sidecar %d has not been started", i)
		}
		u, err := p.usage()
		if err != nil {
			return nil, err
		}
		usages = append(usages, u)
	}
	return usages, nil
}

// waitAnswers waits until discovery has answered every sidecar since the phase began, and records when the last one was
// answered. A timeout is no error; p.Answered then shows how many were.
func (f *fleetRun) waitAnswers(ctx context.Context, p *Phase, started time.Time) error {
	var last time.Time
	err := waitUntil(ctx, maxAnswerWait, func() bool {
		p.Answered, last = f.discovery.answeredSidecars()
		return p.Answered == f.Sidecars
	})
	if err == nil {
		p.LastAnswer = milliseconds(last.Sub(started))
	}
	if errors.Is(err, errTimeout) {
		return nil // p.Answered shows how many were answered
	}
	return err
}

// restartSidecars kills those of the given sidecars that run, starts all of them at once and waits until they are ready.
func (f *fleetRun) restartSidecars(ctx context.Context, p *Phase, sidecars []int) error {
	for _, i := range sidecars {
		if old := f.processes[i]; old != nil {
			u, err := old.usage()
			if err != nil {
				return err
			}
			old.earlier.CPU = u.CPU
		}
	}
	var running []*process
	for _, i := range sidecars {
		running = append(running, f.processes[i])
	}
	killAll(running)
	errs := make([]error, len(sidecars))
	var starts sync.WaitGroup
	for n, i := range sidecars {
		starts.Go(func() { errs[n] = f.startSidecar(ctx, i, !f.PushLists) })
	}
	starts.Wait()
	for _, err := range errs { // return the first one only
		if err != nil {
			return err
		}
	}
	var readyMs []float64
	for _, i := range sidecars {
		readyMs = append(readyMs, milliseconds(f.processes[i].readyAfter))
	}
	slices.Sort(readyMs)
	p.Restarted, p.ReadyP50, p.ReadyMax = len(readyMs), readyMs[len(readyMs)/2], readyMs[len(readyMs)-1]
	return nil
}
