package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"forkline/internal/experiment"
)

// readExperiments reads all files and checks the estimated memory of each experiment against its own limit and half of the
// machine's memory.
func (a *app) readExperiments(files []string) ([]*experiment.Experiment, error) {
	var all []*experiment.Experiment
	for _, file := range files {
		e, err := experiment.Read(file)
		if err != nil {
			return nil, err
		}
		need, halfMemory := megabytes(a.estimateMemory(e)), a.totalMemory()/2>>20
		size := fmt.Sprintf("%d endpoints and %d sidecars need about %d MB", e.NumEndpoints(), e.NumSidecars(), need)
		switch {
		case need > int64(e.MemoryMB):
			return nil, e.Errorf("memory_mb", "%s, it allows %d", size, e.MemoryMB)
		case halfMemory > 0 && need > halfMemory:
			return nil, e.Errorf("memory_mb", "%s, half of this machine's memory is %d MB", size, halfMemory)
		}
		all = append(all, e)
	}
	return all, nil
}

// megabytes converts bytes to megabytes, rounded up.
func megabytes(n int64) int64 { return (n + 1<<20 - 1) >> 20 }

// check prints the size of each experiment.
func (a *app) check(opt *options) error {
	all, err := a.readExperiments(opt.Check.Files)
	if err != nil {
		return err
	}
	for i, e := range all {
		var total, simulated float64
		rates, simulatedRates := e.Rates()
		for k := range rates {
			total, simulated = total+rates[k], simulated+simulatedRates[k]
		}
		if _, err := fmt.Fprintf(a.stdout, "%s: %d services, %d endpoints, %d sidecars, calls up to %d deep, %.0f calls a second "+
			"(%.0f played), faults: %d, about %d MB\n", opt.Check.Files[i], len(e.Services), e.NumEndpoints(), e.NumSidecars(), e.Depth(),
			total, simulated, len(e.Faults), megabytes(a.estimateMemory(e))); err != nil {
			return err
		}
	}
	return nil
}

// run runs all experiments with all seeds and commits the result files after the last run.
func (a *app) run(ctx context.Context, opt *options, con *console, log *slog.Logger) error {
	if opt.Run.Seeds != nil && len(opt.Run.Seeds) == 0 {
		return badInputf("--seeds: the list is empty")
	}
	all, err := a.readExperiments(opt.Run.Files)
	if err != nil {
		return err
	}
	jsonLines, tables, err := a.outputs(opt)
	if err != nil {
		return err
	}
	defer jsonLines.discard()
	defer tables.discard()
	if a.terminal && !opt.Quiet {
		con.progress = a.stderr
	}
	var results []*experiment.Result
	for i, e := range all {
		for _, seed := range seeds(opt.Run.Seeds, e.Seed) {
			res, err := a.runOne(ctx, e, seed, con, log.With("file", opt.Run.Files[i], "seed", seed))
			if err != nil {
				return fmt.Errorf("%s: seed %d: %w", opt.Run.Files[i], seed, err)
			}
			encoded, err := json.Marshal(res)
			if err != nil {
				return fmt.Errorf("%s: seed %d: result: %w", opt.Run.Files[i], seed, err)
			}
			if err := jsonLines.write(append(encoded, '\n')); err != nil {
				return err
			}
			res.Series = nil // not in the tables
			results = append(results, res)
		}
	}
	if err := tables.write(markdown(results)); err != nil {
		return err
	}
	// Both files are complete on disk before either is renamed.
	if err := errors.Join(jsonLines.sync(), tables.sync()); err != nil {
		return err
	}
	return errors.Join(jsonLines.commit(), tables.commit())
}

// seeds returns the requested seeds, or the experiment's own if there are none.
func seeds(requested []uint64, own uint64) []uint64 {
	if len(requested) > 0 {
		return requested
	}
	return []uint64{own}
}

// runOne runs one experiment with one seed.
func (a *app) runOne(ctx context.Context, e *experiment.Experiment, seed uint64, con *console, log *slog.Logger) (
	*experiment.Result, error) {
	if err := ctx.Err(); err != nil {
		return nil, interruptedError(err)
	}
	run := *e
	run.Seed = seed
	log.Info("run begins", "name", e.Name, "sidecars", e.NumSidecars(), "virtual", e.Warmup+e.Duration)
	started := time.Now()
	res, err := a.runExperiment(ctx, &run, func(done, total time.Duration) {
		con.show(progressLine(e.Name, seed, done, total, time.Since(started)))
	})
	con.clear()
	if err != nil {
		if ctx.Err() != nil {
			return nil, interruptedError(ctx.Err())
		}
		return nil, err
	}
	res.Version = a.version
	log.Info("run done", "name", e.Name, "real_s", formatFigure(res.RealSeconds), "heap_mb", formatFigure(res.PeakHeapMB),
		"asked", res.Calls.Offered, "in_time", res.Calls.InTime)
	return res, nil
}

// interruptedError returns the error of a run that was ended by a signal.
func interruptedError(cause error) error {
	return fmt.Errorf("interrupted, no result is written: %w", cause)
}

// progressLine formats the progress of a run.
func progressLine(name string, seed uint64, done, total, elapsed time.Duration) string {
	if total <= 0 || done <= 0 {
		return fmt.Sprintf("%s, seed %d: begins", name, seed)
	}
	done = min(done, total)
	remaining := time.Duration(float64(elapsed) * float64(total-done) / float64(done))
	return fmt.Sprintf("%s, seed %d: %3.0f %% of %s, %s left", name, seed, 100*done.Seconds()/total.Seconds(), total,
		remaining.Round(time.Second))
}

// console is standard error, shared by the log and the progress line.
type console struct {
	out      io.Writer
	progress io.Writer // nil if progress is not shown

	mu    sync.Mutex
	shown bool
}

const clearLine = "\r\x1b[K"

// Write writes complete lines in place of the progress line.
func (c *console) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearLocked()
	return c.out.Write(p)
}

// show replaces the progress line.
func (c *console) show(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress != nil {
		fmt.Fprint(c.progress, clearLine, line)
		c.shown = true
	}
}

// clear removes the progress line.
func (c *console) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearLocked()
}

func (c *console) clearLocked() {
	if c.shown {
		fmt.Fprint(c.progress, clearLine)
		c.shown = false
	}
}

// outputs opens the destinations of the results.
func (a *app) outputs(opt *options) (jsonLines, tables *output, err error) {
	out, table := opt.Run.Out, opt.Run.Table
	if out == "" && table == "" {
		table = "-"
	}
	if out == "-" && table == "-" {
		return nil, nil, badInputf("--out and --table cannot both go to standard output")
	}
	if jsonLines, err = a.openOutput("--out", out, opt.Run.Files); err != nil {
		return nil, nil, err
	}
	if tables, err = a.openOutput("--table", table, opt.Run.Files); err != nil {
		jsonLines.discard()
		return nil, nil, err
	}
	if jsonLines.finalPath != "" && jsonLines.finalPath == tables.finalPath {
		jsonLines.discard()
		tables.discard()
		return nil, nil, badInputf("--out and --table name the same file, %s", out)
	}
	return jsonLines, tables, nil
}

// openOutput opens one destination. It is called before the run, so that a path that cannot be written is reported at once.
func (a *app) openOutput(flag, path string, inputs []string) (*output, error) {
	switch path {
	case "":
		return &output{}, nil
	case "-":
		return &output{w: a.stdout}, nil
	}
	if info, err := os.Stat(path); err == nil {
		for _, input := range inputs {
			if inputInfo, err := os.Stat(input); err == nil && os.SameFile(info, inputInfo) {
				return nil, badInputf("%s: %s is an experiment file of this run", flag, path)
			}
		}
	}
	o, err := createFile(path, strings.Trim(flag, "-"))
	if err != nil {
		return nil, badInputf("%s: %s: %s", flag, path, strings.TrimPrefix(err.Error(), path+": "))
	}
	return o, nil
}
