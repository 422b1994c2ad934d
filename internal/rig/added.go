package rig

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"forkline/internal/slope"
)

// Added measures what a sidecar adds to a call, for each effect: the same clients send calls by the sidecar and straight
// to the endpoints, mixed by chance in one run. Zero figures take the defaults.
type Added struct {
	Binary    string        // the program; "" = it is built from this source tree
	For       time.Duration // each effect at each size is measured; default 20 s
	Warm      time.Duration // calls before that; default 2 s
	Rate      float64       // calls a second by the sidecar, and as many direct; default 168
	Work      time.Duration // of an endpoint on a call; default 0
	Endpoints []int         // sizes of the tier; default 29, 100 and 300
}

// AddedRow is one effect at one size.
type AddedRow struct {
	Effect     string  `json:"effect"`
	Endpoints  int     `json:"endpoints"`
	Direct     Calls   `json:"direct"`
	Via        Calls   `json:"via"`
	Added      Latency `json:"added"`       // each quantile of the one way less the same of the other
	CPU        float64 `json:"cpu_ms_call"` // processor time of the sidecar for each call
	ToTier     int64   `json:"to_tier"`     // connections that the sidecar opened to endpoints
	ResidentMB float64 `json:"resident_mb"`
}

// AddedResult holds the rows, and their medians and processor times against the size of the tier.
type AddedResult struct {
	Machine Machine        `json:"machine"`
	Rows    []AddedRow     `json:"rows"`
	Series  []slope.Series `json:"series"`
}

// Run measures one row after another.
func (o Added) Run(ctx context.Context) (AddedResult, error) {
	o.For, o.Rate, o.Warm = cmp.Or(o.For, 20*time.Second), cmp.Or(o.Rate, 168), cmp.Or(o.Warm, 2*time.Second)
	if len(o.Endpoints) == 0 {
		o.Endpoints = []int{29, 100, 300}
	}
	machine := Observe()
	var r AddedResult
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		median := slope.Series{Name: effect + ": added, median", X: "endpoints", Y: "ms"}
		cpu := slope.Series{Name: effect + ": processor", X: "endpoints", Y: cpuCall}
		for _, n := range o.Endpoints {
			row, err := o.row(ctx, effect, n)
			if err != nil {
				return r, fmt.Errorf("%s calls at %d endpoints: %w", effect, n, err)
			}
			r.Rows = append(r.Rows, row)
			median.Add(float64(n), row.Added.P50)
			cpu.Add(float64(n), row.CPU)
		}
		r.Series = append(r.Series, median, cpu)
	}
	r.Machine = machine()
	return r, nil
}

func (o Added) row(ctx context.Context, effect string, n int) (AddedRow, error) {
	row := AddedRow{Effect: effect, Endpoints: n}
	if n > MaxListeners {
		return row, fmt.Errorf("at most %d have an address of their own", MaxListeners)
	}
	b, err := one(ctx, o.Binary, n, o.Work)
	if err != nil {
		return row, err
	}
	defer b.close()
	ways := func(seed uint64) (direct, via *way) {
		return newWay(rotate(seed, n, b.endpoints.Addr)), newWay(func() string { return b.addr(0) })
	}
	direct, via := ways(1)
	err = load(ctx, 2*o.Rate, o.Warm, effects[effect], 1, direct, via)
	direct.close()
	via.close()
	if err != nil {
		return row, err
	}
	direct, via = ways(2)
	defer direct.close()
	defer via.close()
	opened := b.endpoints.connections.Load()
	u, err := b.measure(ctx, func() error { return load(ctx, 2*o.Rate, o.For, effects[effect], 2, direct, via) })
	if err != nil {
		return row, err
	}
	row.Direct, row.Via = direct.result(), via.result()
	if row.Direct.Served == 0 || row.Via.Served == 0 {
		return row, fmt.Errorf("%d of %d calls were served direct, %d of %d by the sidecar",
			row.Direct.Served, row.Direct.All(), row.Via.Served, row.Via.All())
	}
	d, v := row.Direct.Latency, row.Via.Latency
	row.Added = Latency{v.P50 - d.P50, v.P99 - d.P99, v.P999 - d.P999, v.Max - d.Max}
	row.CPU = u.cpu / float64(row.Via.All())
	row.ToTier = b.endpoints.connections.Load() - opened - row.Direct.Connections
	row.ResidentMB = mb(u.Resident)
	return row, nil
}
