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

// read reads all files and holds the memory that they need against what there is.
func (l *lab) read(files []string) ([]*experiment.Experiment, error) {
	var all []*experiment.Experiment
	for _, file := range files {
		e, err := experiment.Read(file)
		if err != nil {
			return nil, err
		}
		need, half := megabytes(l.estimate(e)), l.memory()/2>>20
		what := fmt.Sprintf("%d endpoints and %d sidecars need about %d MB", e.Endpoints(), e.Processes(), need)
		switch {
		case need > int64(e.Memory):
			return nil, e.Errorf("memory_mb", "%s, it allows %d", what, e.Memory)
		case half > 0 && need > half:
			return nil, e.Errorf("memory_mb", "%s, half of this machine's memory is %d MB", what, half)
		}
		all = append(all, e)
	}
	return all, nil
}

// megabytes rounds up.
func megabytes(n int64) int64 { return (n + 1<<20 - 1) >> 20 }

// check tells the size of each experiment.
func (l *lab) check(opt *options) error {
	all, err := l.read(opt.Check.Files)
	if err != nil {
		return err
	}
	for i, e := range all {
		var total, played float64
		asked, part := e.Rates()
		for k := range asked {
			total, played = total+asked[k], played+part[k]
		}
		if _, err := fmt.Fprintf(l.stdout, "%s: %d services, %d endpoints, %d sidecars, calls up to %d deep, %.0f calls a second "+
			"(%.0f played), faults: %d, about %d MB\n", opt.Check.Files[i], len(e.Services), e.Endpoints(), e.Processes(), e.Depth(),
			total, played, len(e.Faults), megabytes(l.estimate(e))); err != nil {
			return err
		}
	}
	return nil
}

// run plays all experiments with all seeds and writes the results once all are there.
func (l *lab) run(ctx context.Context, opt *options, con *console, log *slog.Logger) error {
	if opt.Run.Seeds != nil && len(opt.Run.Seeds) == 0 {
		return badInput("--seeds: names none")
	}
	all, err := l.read(opt.Run.Files)
	if err != nil {
		return err
	}
	lines, tables, err := l.outputs(opt)
	if err != nil {
		return err
	}
	defer lines.discard()
	defer tables.discard()
	if l.terminal && !opt.Quiet {
		con.progress = l.stderr
	}
	var results []*experiment.Result
	for i, e := range all {
		for _, seed := range seeds(opt.Run.Seeds, e.Seed) {
			res, err := l.one(ctx, e, seed, con, log.With("file", opt.Run.Files[i], "seed", seed))
			if err != nil {
				return fmt.Errorf("%s: seed %d: %w", opt.Run.Files[i], seed, err)
			}
			line, err := json.Marshal(res)
			if err != nil {
				return fmt.Errorf("%s: seed %d: result: %w", opt.Run.Files[i], seed, err)
			}
			if err := lines.write(append(line, '\n')); err != nil {
				return err
			}
			res.Series = nil // not in the tables
			results = append(results, res)
		}
	}
	if err := tables.write(markdown(results)); err != nil {
		return err
	}
	// Both are whole on the disk before either takes its name.
	if err := errors.Join(lines.sync(), tables.sync()); err != nil {
		return err
	}
	return errors.Join(lines.keep(), tables.keep())
}

// seeds are those that were asked for, else the file's own.
func seeds(asked []uint64, own uint64) []uint64 {
	if len(asked) > 0 {
		return asked
	}
	return []uint64{own}
}

// one plays one experiment with one seed.
func (l *lab) one(ctx context.Context, e *experiment.Experiment, seed uint64, con *console, log *slog.Logger) (
	*experiment.Result, error) {
	if err := ctx.Err(); err != nil {
		return nil, interrupted(err)
	}
	run := *e
	run.Seed = seed
	log.Info("run begins", "name", e.Name, "sidecars", e.Processes(), "virtual", e.Warmup+e.Duration)
	begun := time.Now()
	res, err := l.play(ctx, &run, func(done, of time.Duration) {
		con.show(progressLine(e.Name, seed, done, of, time.Since(begun)))
	})
	con.clear()
	if err != nil {
		if ctx.Err() != nil {
			return nil, interrupted(ctx.Err())
		}
		return nil, err
	}
	res.Version = l.version
	log.Info("run done", "name", e.Name, "real_s", figure(res.Real), "heap_mb", figure(res.HeapMB), "asked", res.Calls.Asked,
		"in_time", res.Calls.InTime)
	return res, nil
}

// interrupted is the end by a signal.
func interrupted(cause error) error {
	return fmt.Errorf("interrupted, no result is written: %w", cause)
}

// progressLine tells how far a run is.
func progressLine(name string, seed uint64, done, of, took time.Duration) string {
	if of <= 0 || done <= 0 {
		return fmt.Sprintf("%s, seed %d: begins", name, seed)
	}
	done = min(done, of)
	left := time.Duration(float64(took) * float64(of-done) / float64(done))
	return fmt.Sprintf("%s, seed %d: %3.0f %% of %s, %s left", name, seed, 100*done.Seconds()/of.Seconds(), of,
		left.Round(time.Second))
}

// console is standard error, shared by the log and a line of progress.
type console struct {
	out      io.Writer
	progress io.Writer // nil = none is shown

	mu    sync.Mutex
	shown bool
}

const clearLine = "\r\x1b[K"

// Write writes whole lines, where the line of progress was.
func (c *console) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wipe()
	return c.out.Write(p)
}

// show puts a line of progress in the place of the last one.
func (c *console) show(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress != nil {
		fmt.Fprint(c.progress, clearLine, line)
		c.shown = true
	}
}

// clear takes the line of progress away.
func (c *console) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wipe()
}

func (c *console) wipe() {
	if c.shown {
		fmt.Fprint(c.progress, clearLine)
		c.shown = false
	}
}

// outputs opens what the results are written to.
func (l *lab) outputs(opt *options) (lines, tables *output, err error) {
	out, table := opt.Run.Out, opt.Run.Table
	if out == "" && table == "" {
		table = "-"
	}
	if out == "-" && table == "-" {
		return nil, nil, badInput("--out and --table cannot both go to standard output")
	}
	if lines, err = l.create("--out", out, opt.Run.Files); err != nil {
		return nil, nil, err
	}
	if tables, err = l.create("--table", table, opt.Run.Files); err != nil {
		lines.discard()
		return nil, nil, err
	}
	if lines.final != "" && lines.final == tables.final {
		lines.discard()
		tables.discard()
		return nil, nil, badInput("--out and --table name the same file, %s", out)
	}
	return lines, tables, nil
}

// create opens one of them ahead of the run, so that a place that cannot be written to is told at once.
func (l *lab) create(flag, path string, inputs []string) (*output, error) {
	switch path {
	case "":
		return &output{}, nil
	case "-":
		return &output{w: l.stdout}, nil
	}
	if info, err := os.Stat(path); err == nil {
		for _, in := range inputs {
			if other, err := os.Stat(in); err == nil && os.SameFile(info, other) {
				return nil, badInput("%s: %s is an experiment that is to be read", flag, path)
			}
		}
	}
	o, err := createFile(path, strings.Trim(flag, "-"))
	if err != nil {
		return nil, badInput("%s: %s: %s", flag, path, strings.TrimPrefix(err.Error(), path+": "))
	}
	return o, nil
}
