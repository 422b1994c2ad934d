package rig

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"forkline/internal/slope"
)

// Overhead measures what a sidecar adds to a call, for each effect: clients send each call at random either through the
// sidecar or directly to an endpoint, in one run. Zero fields take the defaults.
type Overhead struct {
	Binary      string        // path of the sidecar; if empty, it is built from this source tree
	Duration    time.Duration // measured time for each effect and size; default 20 s
	Warmup      time.Duration // time of calls before the measured ones; default 2 s
	Rate        float64       // calls a second through the sidecar, and as many direct; default 168
	ServiceTime time.Duration // of an endpoint for a call; default 0
	TierSizes   []int         // numbers of endpoints; default 29, 100 and 300
}

// OverheadRow is the result for one effect and one size of the tier.
type OverheadRow struct {
	Effect          string  `json:"effect"`
	Endpoints       int     `json:"endpoints"`
	Direct          Calls   `json:"direct"`
	ViaSidecar      Calls   `json:"via"`
	Added           Latency `json:"added"`       // difference of each quantile between the two routes
	CPUPerCall      float64 `json:"cpu_ms_call"` // processor time of the sidecar for each call, ms
	TierConnections int64   `json:"to_tier"`     // connections that the sidecar opened to endpoints
	ResidentMB      float64 `json:"resident_mb"`
}

// OverheadResult holds the rows, and series of the added median and of the processor time against the size of the tier.
type OverheadResult struct {
	Machine Machine        `json:"machine"`
	Rows    []OverheadRow  `json:"rows"`
	Series  []slope.Series `json:"series"`
}

// Run measures the rows one after another.
func (o Overhead) Run(ctx context.Context) (OverheadResult, error) {
	o.Duration, o.Rate, o.Warmup = cmp.Or(o.Duration, 20*time.Second), cmp.Or(o.Rate, 168), cmp.Or(o.Warmup, 2*time.Second)
	if len(o.TierSizes) == 0 {
		o.TierSizes = []int{29, 100, 300}
	}
	observed := ObserveMachine()
	var r OverheadResult
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		median := slope.Series{Name: effect + ": added, median", X: "endpoints", Y: "ms"}
		cpu := slope.Series{Name: effect + ": processor", X: "endpoints", Y: unitCPUPerCall}
		for _, n := range o.TierSizes {
			row, err := o.measureRow(ctx, effect, n)
			if err != nil {
				return r, fmt.Errorf("%s calls at %d endpoints: %w", effect, n, err)
			}
			r.Rows = append(r.Rows, row)
			median.Add(float64(n), row.Added.P50)
			cpu.Add(float64(n), row.CPUPerCall)
		}
		r.Series = append(r.Series, median, cpu)
	}
	r.Machine = observed()
	return r, nil
}

// measureRow measures one effect with n endpoints.
func (o Overhead) measureRow(ctx context.Context, effect string, n int) (OverheadRow, error) {
	row := OverheadRow{Effect: effect, Endpoints: n}
	if n > MaxEndpointAddrs {
		return row, fmt.Errorf("at most %d endpoints can have their own address", MaxEndpointAddrs)
	}
	b, err := newPollingTestbed(ctx, o.Binary, n, o.ServiceTime)
	if err != nil {
		return row, err
	}
	defer b.close()
	newRoutes := func(seed uint64) (direct, via *route) {
		return newRoute(randomAddr(seed, n, b.endpoints.Addr)), newRoute(func() string { return b.addr(0) })
	}
	direct, via := newRoutes(1)
	err = sendCalls(ctx, 2*o.Rate, o.Warmup, classByEffect[effect], 1, direct, via)
	direct.close()
	via.close()
	if err != nil {
		return row, err
	}
	direct, via = newRoutes(2)
	defer direct.close()
	defer via.close()
	openedBefore := b.endpoints.connections.Load()
	usage, err := b.measure(ctx, func() error { return sendCalls(ctx, 2*o.Rate, o.Duration, classByEffect[effect], 2, direct, via) })
	if err != nil {
		return row, err
	}
	row.Direct, row.ViaSidecar = direct.results(), via.results()
	if row.Direct.Served == 0 || row.ViaSidecar.Served == 0 {
		return row, fmt.Errorf("%d of %d calls were served directly, %d of %d through the sidecar",
			row.Direct.Served, row.Direct.Total(), row.ViaSidecar.Served, row.ViaSidecar.Total())
	}
	d, v := row.Direct.Latency, row.ViaSidecar.Latency
	row.Added = Latency{v.P50 - d.P50, v.P99 - d.P99, v.P999 - d.P999, v.Max - d.Max}
	row.CPUPerCall = usage.cpuMs / float64(row.ViaSidecar.Total())
	row.TierConnections = b.endpoints.connections.Load() - openedBefore - row.Direct.Connections
	row.ResidentMB = megabytes(usage.Resident)
	return row, nil
}
