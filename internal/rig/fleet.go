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

// Fleet plays outages of discovery and a wave of restarts with real sidecars, to compare hollow ones with. Zero figures
// take the defaults.
type Fleet struct {
	Binary    string        // the program; "" = it is built from this source tree
	Sidecars  int           // default 20
	Endpoints int           // default 30
	Pushed    bool          // lists are pushed, not asked for
	Rate      float64       // calls a second of clients, over all sidecars; default 0, so that all processor time is control's
	Work      time.Duration // of an endpoint on a call; default 0
	CallTime  time.Duration // discovery's, for each call in turn; default 0
	MaxWait   time.Duration // of a call for its turn; default none
	AskEvery  time.Duration // the settings' time between calls of one that has no watch; default 10 s
	Outages   []Outage      // one after another; default all three ways
	Rest      time.Duration // measured before them, and after the last answer of each; default 10 s
	Away      time.Duration // length of an outage; default 8 s
	Killed    float64       // share of the sidecars that are killed at once and started again; default 0.7, negative = none
}

// Phase is what was measured in a part of a run. Processor time and memory are of one sidecar.
type Phase struct {
	Name           string  `json:"name"`
	Seconds        float64 `json:"seconds"`
	Control        Traffic `json:"control"`
	CallsPerSecond []int   `json:"calls_per_second"` // that discovery saw
	CPU            float64 `json:"cpu_ms_s"`         // mean processor time a second
	CPUMost        float64 `json:"cpu_ms_s_most"`
	ResidentMB     float64 `json:"resident_mb"` // mean, at the end
	ResidentMost   float64 `json:"resident_mb_most"`
	Calls          Calls   `json:"calls"`    // of clients; those open at the end are left out
	Answered       int     `json:"answered"` // sidecars of which discovery has answered a call since the phase began
	Told           float64 `json:"told_ms"`  // from the phase's beginning until the last of all, or of the restarted, was; -1 = not told
	Restarted      int     `json:"restarted"`
	ReadyP50       float64 `json:"ready_p50_ms"` // from a process's start until it is ready
	ReadyMax       float64 `json:"ready_max_ms"`
}

// FleetResult holds the phases in order.
type FleetResult struct {
	Machine   Machine `json:"machine"`
	Sidecars  int     `json:"sidecars"`
	Endpoints int     `json:"endpoints"`
	Pushed    bool    `json:"pushed"`
	Phases    []Phase `json:"phases"`
}

const toldMost = time.Minute // longest wait for the last sidecar to be answered

// Run plays the phases.
func (o Fleet) Run(ctx context.Context) (FleetResult, error) {
	o.Sidecars, o.Endpoints = cmp.Or(o.Sidecars, 20), cmp.Or(o.Endpoints, 30)
	o.Rest, o.Away, o.Killed = cmp.Or(o.Rest, 10*time.Second), cmp.Or(o.Away, 8*time.Second), cmp.Or(o.Killed, 0.7)
	o.AskEvery = cmp.Or(o.AskEvery, askEvery)
	if o.Outages == nil {
		o.Outages = []Outage{Refused, Refusing, Silent}
	}
	r := FleetResult{Sidecars: o.Sidecars, Endpoints: o.Endpoints, Pushed: o.Pushed}
	if o.Killed > 1 {
		return r, fmt.Errorf("rig: %v of the sidecars cannot be killed", o.Killed)
	}
	machine := Observe()
	b, err := newBench(ctx, o.Binary, o.Sidecars, o.Endpoints, o.Work)
	if err != nil {
		return r, err
	}
	defer b.close()
	b.discovery.callTime, b.discovery.maxWait = o.CallTime, o.MaxWait // nobody asks yet
	b.askEvery = o.AskEvery
	f := &fleet{Fleet: o, bench: b}
	all := make([]int, o.Sidecars)
	for i := range all {
		all[i] = i
	}
	for _, play := range f.plays(all) {
		p, err := f.phase(ctx, play)
		if err != nil {
			return r, fmt.Errorf("%s: %w", play.name, err)
		}
		r.Phases = append(r.Phases, p)
	}
	r.Machine = machine()
	return r, nil
}

// fleet is a run.
type fleet struct {
	Fleet
	*bench
}

// play is what happens in a phase.
type play struct {
	name  string
	first bool // nothing runs before it
	do    func(ctx context.Context, p *Phase, begin time.Time) error
}

func (f *fleet) plays(all []int) []play {
	rest := func(ctx context.Context, _ *Phase, _ time.Time) error { return pause(ctx, f.Rest) }
	plays := []play{
		{"start", true, func(ctx context.Context, p *Phase, begin time.Time) error {
			if err := f.restart(ctx, p, all); err != nil {
				return err
			}
			return f.awaitAnswers(ctx, p, begin)
		}},
		{"at rest", false, rest},
	}
	for _, how := range f.Outages {
		plays = append(plays,
			play{"away: " + string(how), false, func(ctx context.Context, _ *Phase, _ time.Time) error {
				if err := f.discovery.Down(how); err != nil {
					return err
				}
				return pause(ctx, f.Away)
			}},
			play{"back: " + string(how), false, func(ctx context.Context, p *Phase, begin time.Time) error {
				if err := f.discovery.Up(ctx); err != nil {
					return err
				}
				if err := f.awaitAnswers(ctx, p, begin); err != nil {
					return err
				}
				return pause(ctx, f.Rest)
			}})
	}
	if n := int(math.Ceil(f.Killed * float64(len(all)))); n > 0 {
		plays = append(plays, play{"restart wave", false, func(ctx context.Context, p *Phase, _ time.Time) error {
			if err := f.restart(ctx, p, all[:n]); err != nil {
				return err
			}
			return pause(ctx, f.Rest)
		}})
	}
	return plays
}

// phase carries out a play and measures it.
func (f *fleet) phase(ctx context.Context, play play) (Phase, error) {
	p := Phase{Name: play.name, Told: -1}
	before, err := f.usages()
	if err != nil && !play.first {
		return p, err
	}
	via := newWay(rotate(1, f.Sidecars, f.addr))
	defer via.close()
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	if f.Rate > 0 && !play.first {
		clients.Go(func() { load(calling, f.Rate, time.Hour, effects["safe"], 1, via) }) // ends with calling
	}
	f.discovery.mark()
	begin, control := time.Now(), f.discovery.Traffic()
	err = play.do(ctx, &p, begin)
	p.Seconds = time.Since(begin).Seconds()
	stop()
	clients.Wait()
	if err != nil {
		return p, err
	}
	p.Calls = via.result()
	p.Control, p.CallsPerSecond = f.discovery.Traffic().minus(control), f.discovery.perSecond()
	if p.Answered == 0 {
		var last time.Time
		if p.Answered, last = f.discovery.answered(); p.Restarted > 0 && p.Answered == p.Restarted {
			p.Told = milliseconds(last.Sub(begin))
		}
	}
	after, err := f.usages()
	for i, u := range after {
		cpu := milliseconds(u.CPU)
		if i < len(before) {
			cpu -= milliseconds(before[i].CPU)
		}
		p.CPU += cpu / p.Seconds / float64(len(after))
		p.CPUMost = max(p.CPUMost, cpu/p.Seconds)
		p.ResidentMB += mb(u.Resident) / float64(len(after))
		p.ResidentMost = max(p.ResidentMost, mb(u.Resident))
	}
	return p, err
}

// usages is what each sidecar has used; none before the first start.
func (f *fleet) usages() ([]Usage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Usage
	for i, p := range f.programs {
		if p == nil {
			return nil, fmt.Errorf("rig: sidecar %d has not been started", i)
		}
		u, err := p.usage()
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// awaitAnswers waits until discovery has answered a call of every sidecar, and notes when that was.
func (f *fleet) awaitAnswers(ctx context.Context, p *Phase, begin time.Time) error {
	var last time.Time
	err := await(ctx, toldMost, func() bool {
		p.Answered, last = f.discovery.answered()
		return p.Answered == f.Sidecars
	})
	if err == nil {
		p.Told = milliseconds(last.Sub(begin))
	}
	if errors.Is(err, errWaited) {
		return nil // the phase says how many were
	}
	return err
}

// restart kills sidecars that run at once, starts them all again and waits until they are ready.
func (f *fleet) restart(ctx context.Context, p *Phase, which []int) error {
	for _, i := range which {
		if old := f.programs[i]; old != nil {
			u, err := old.usage()
			if err != nil {
				return err
			}
			old.before.CPU = u.CPU
		}
	}
	var olds []*program
	for _, i := range which {
		olds = append(olds, f.programs[i])
	}
	killAll(olds)
	errs := make([]error, len(which))
	var starts sync.WaitGroup
	for n, i := range which {
		starts.Go(func() { errs[n] = f.start(ctx, i, !f.Pushed) })
	}
	starts.Wait()
	for _, err := range errs { // the first tells the cause
		if err != nil {
			return err
		}
	}
	var ready []float64
	for _, i := range which {
		ready = append(ready, milliseconds(f.programs[i].ready))
	}
	slices.Sort(ready)
	p.Restarted, p.ReadyP50, p.ReadyMax = len(ready), ready[len(ready)/2], ready[len(ready)-1]
	return nil
}
