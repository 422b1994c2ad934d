package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"forkline/internal/rig"
)

type changeCommand struct {
	Sidecars  int           `help:"Real sidecars, at most 300." default:"20"`
	Endpoints int           `help:"Endpoints, at most 300 with an address of their own." default:"30"`
	Rate      float64       `help:"Calls a second of clients, over all sidecars; 0 = 5 for each." default:"0"`
	Seeds     []uint64      `help:"One change for each, with calls of this seed." default:"1,2,3"`
	Restart   bool          `help:"Change by a rolling restart, a tenth at a time, not by a signal."`
	Wait      time.Duration `help:"Longest wait for a change to be in force." default:"10s"`
}

func (c *changeCommand) Run(ctx context.Context, o *output) error {
	binary, err := o.sidecarBinary(ctx)
	if err != nil {
		return err
	}
	var results []rig.SettingsChangeResult
	for _, seed := range c.Seeds {
		r, err := rig.SettingsChange{
			Binary: binary, Sidecars: c.Sidecars, Endpoints: c.Endpoints, Rate: c.Rate, Seed: seed,
			RollingRestart: c.Restart, Timeout: c.Wait,
		}.Run(ctx)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		results = append(results, r)
	}
	return o.print(results, func(w io.Writer) error { return writeChangeTable(w, results) })
}

// writeChangeTable writes the table of the change command.
func writeChangeTable(w io.Writer, results []rig.SettingsChangeResult) error {
	text := "| sidecars | seed | in force | ms: half, last | processor ms a sidecar | calls before: served, refused, failed | " +
		"meanwhile | p99 ms before, meanwhile |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n"
	var errs []error
	for _, r := range results {
		errs = append(errs, writeMachine(w, r.Machine))
		text += fmt.Sprintf("| %d | %d | %d | %.0f, %.0f | %.2f | %s | %s | %.1f, %.1f |\n", r.Sidecars, r.Seed, r.Applied, r.P50, r.Last,
			r.CPUPerSidecar, formatCounts(r.Before), formatCounts(r.During), r.Before.Latency.P99, r.During.Latency.P99)
	}
	_, err := io.WriteString(w, text+"\n")
	return errors.Join(append(errs, err)...)
}

// formatCounts formats the numbers of served, refused and failed calls.
func formatCounts(c rig.Calls) string {
	return fmt.Sprintf("%d, %d, %d", c.Served, c.Refused, c.Failed)
}
