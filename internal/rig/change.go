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

// Change measures how soon a change of the settings is in force in many real sidecars, and what it costs, while clients
// call through all of them: a class that was unknown is served, and a deadline that was long ends a call. Zero figures
// take the defaults.
type Change struct {
	Binary    string        // the program; "" = it is built from this source tree
	Sidecars  int           // default 20
	Endpoints int           // default 30
	Rate      float64       // calls a second over all sidecars, half of them safe and half unsafe; default 5 a sidecar
	Seed      uint64        // of the calls
	Restart   bool          // the change is made by a rolling restart, a tenth of the sidecars at a time, not by a signal
	Wait      time.Duration // longest wait for a change to be in force; default 10 s
}

// ChangeResult is one change. Times count from the first file that was replaced.
type ChangeResult struct {
	Machine   Machine `json:"machine"`
	Sidecars  int     `json:"sidecars"`
	Restart   bool    `json:"restart"`
	Seed      uint64  `json:"seed"`
	InForce   int     `json:"in_force"` // sidecars in which it was, within the wait
	P50       float64 `json:"p50_ms"`   // until it was in force in half of those, and in the last
	Last      float64 `json:"last_ms"`
	CPU       float64 `json:"cpu_ms"`    // processor time that it and the looks took, for each sidecar, beyond that of calls; 0 = not measured
	Before    Calls   `json:"before"`    // calls in the time before
	Meanwhile Calls   `json:"meanwhile"` // and from the first file until shortly after the last sidecar
}

const (
	changeWork = 20 * time.Millisecond // of an endpoint: longer than the deadline that is put in force
	changePoll = 50 * time.Millisecond // between two looks at one sidecar
	changeTail = 2 * time.Second       // of calls after the change, and before it
)

// changedSettings adds a class to settings and makes the deadline of another one short.
func changedSettings(set map[string]any) map[string]any {
	class := func(name string, aim, giveUp int) map[string]any {
		return map[string]any{"name": name, "aim": aim, "giveUp": giveUp, "effect": "read_like"}
	}
	set["classes"] = append(set["classes"].([]any), class("new", 1000, 2500), class("brief", 1000, 10))
	return set
}

// oldSettings adds the class whose deadline will be short.
func oldSettings(set map[string]any) map[string]any {
	set["classes"] = append(set["classes"].([]any),
		map[string]any{"name": "brief", "aim": 1000, "giveUp": 2500, "effect": "read_like"})
	return set
}

// Run makes one change.
func (o Change) Run(ctx context.Context) (ChangeResult, error) {
	o.Sidecars, o.Endpoints, o.Wait = cmp.Or(o.Sidecars, 20), cmp.Or(o.Endpoints, 30), cmp.Or(o.Wait, 10*time.Second)
	o.Rate = cmp.Or(o.Rate, 5*float64(o.Sidecars))
	r := ChangeResult{Sidecars: o.Sidecars, Restart: o.Restart, Seed: o.Seed}
	machine := Observe()
	b, err := newBench(ctx, o.Binary, o.Sidecars, o.Endpoints, changeWork)
	if err != nil {
		return r, err
	}
	defer b.close()
	if err := o.each(func(i int) error { return o.start(ctx, b, i, oldSettings) }); err != nil {
		return r, err
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	if status := ask(ctx, client, b.addr(0), "new"); status != http.StatusNotFound {
		return r, fmt.Errorf("rig: status %d of a class that is unknown", status)
	}
	if status := ask(ctx, client, b.addr(0), "brief"); status != http.StatusOK {
		return r, fmt.Errorf("rig: status %d within a long deadline", status)
	}
	if err := o.calling(ctx, b, nil, func() error { return pause(ctx, warmTime) }); err != nil {
		return r, err
	}
	at := make([]time.Duration, o.Sidecars)
	var begin time.Time
	change := func() error {
		begin = time.Now()
		if o.Restart {
			if err := o.roll(ctx, b, client, begin, at); err != nil {
				return err
			}
		} else if err := o.signal(ctx, b, client, begin, at); err != nil {
			return err
		}
		return pause(ctx, changeTail)
	}
	before, err := o.cpu(b)
	if err != nil {
		return r, err
	}
	if err := o.calling(ctx, b, &r.Before, func() error { return pause(ctx, 2*changeTail) }); err != nil {
		return r, err
	}
	between, err := o.cpu(b)
	if err != nil {
		return r, err
	}
	if err := o.calling(ctx, b, &r.Meanwhile, change); err != nil {
		return r, err
	}
	after, err := o.cpu(b)
	if err != nil {
		return r, err
	}
	spent := time.Since(begin).Seconds()
	if !o.Restart { // what a process uses between its last figure and its end is not known
		r.CPU = ((after - between) - (between-before)*spent/(2*changeTail).Seconds()) / float64(o.Sidecars)
	}
	var all []float64
	for _, d := range at {
		if d > 0 {
			all = append(all, float64(d)/float64(time.Millisecond))
		}
	}
	if slices.Sort(all); len(all) > 0 {
		r.InForce, r.P50, r.Last = len(all), all[len(all)/2], all[len(all)-1]
	}
	r.Machine = machine()
	return r, nil
}

// each does something for all sidecars, some at a time, and returns the first error.
func (o Change) each(f func(i int) error) error {
	errs, room := make([]error, o.Sidecars), make(chan struct{}, 16)
	var all sync.WaitGroup
	for i := range o.Sidecars {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			errs[i] = f(i)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// settings are those of a sidecar without the classes that the change is seen by.
func (o Change) settings(i int) map[string]any { return settings(o.Sidecars, i, false, askEvery) }

// start starts a sidecar, or starts it again, with an edit to its settings.
func (o Change) start(ctx context.Context, b *bench, i int, edit func(map[string]any) map[string]any) error {
	return b.launch(ctx, fmt.Sprint("n", i), i, edit(o.settings(i)))
}

// calling sends calls while something is done.
func (o Change) calling(ctx context.Context, b *bench, into *Calls, do func() error) error {
	calls, stop := context.WithCancel(ctx)
	defer stop()
	via := newWay(rotate(o.Seed, o.Sidecars, b.addr))
	defer via.close()
	unsafe := newWay(rotate(o.Seed+1, o.Sidecars, b.addr))
	defer unsafe.close()
	var clients sync.WaitGroup
	clients.Go(func() { load(calls, o.Rate/2, time.Hour, effects["safe"], 2*o.Seed, via) }) // ends with calls
	clients.Go(func() { load(calls, o.Rate/2, time.Hour, effects["unsafe"], 2*o.Seed+1, unsafe) })
	err := do()
	stop() // calls that are out then are not counted
	clients.Wait()
	if into != nil {
		s, u := via.result(), unsafe.result()
		*into = Calls{Served: s.Served + u.Served, Refused: s.Refused + u.Refused, Failed: s.Failed + u.Failed,
			Connections: s.Connections + u.Connections, Latency: s.Latency}
	}
	return err
}

// cpu is the processor time of all sidecars so far, in ms.
func (o Change) cpu(b *bench) (total float64, err error) {
	for i := range o.Sidecars {
		b.mu.Lock()
		p := b.programs[i]
		b.mu.Unlock()
		u, err := p.usage()
		if err != nil {
			return 0, err
		}
		total += float64(u.CPU) / float64(time.Millisecond)
	}
	return total, nil
}

// signal replaces the files one by one and signals each sidecar, as an operator's tool does, and notes when the change
// is in force in each.
func (o Change) signal(ctx context.Context, b *bench, client *http.Client, begin time.Time, at []time.Duration) error {
	var looks sync.WaitGroup
	defer looks.Wait()
	for i := range o.Sidecars {
		if err := rewrite(filepath.Join(b.dir, fmt.Sprint("n", i, ".json")), changedSettings(o.settings(i))); err != nil {
			return err
		}
		if err := b.programs[i].cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		looks.Go(func() { at[i] = o.inForce(ctx, client, b.addr(i), begin) })
	}
	return nil
}

// inForce waits until a sidecar serves the new class and keeps to the short deadline, and tells when that was; 0 if it
// was not in time.
func (o Change) inForce(ctx context.Context, client *http.Client, addr string, begin time.Time) time.Duration {
	for time.Since(begin) < o.Wait {
		if ask(ctx, client, addr, "new") == http.StatusOK && ask(ctx, client, addr, "brief") != http.StatusOK {
			return time.Since(begin)
		}
		if pause(ctx, changePoll) != nil {
			return 0
		}
	}
	return 0
}

// roll restarts the sidecars with the new settings, a tenth at a time: each is told to end, and when it has ended another
// one starts.
func (o Change) roll(ctx context.Context, b *bench, client *http.Client, begin time.Time, at []time.Duration) error {
	o.Wait = time.Hour // the roll takes as long as it does
	for batch := range slices.Chunk(sequence(o.Sidecars), max(1, o.Sidecars/10)) {
		errs := make([]error, len(batch))
		var all sync.WaitGroup
		for n, i := range batch {
			all.Go(func() {
				old := b.programs[i]
				u, err := old.usage()
				if err == nil {
					old.before.CPU = u.CPU
					err = old.cmd.Process.Signal(syscall.SIGTERM)
				}
				if err != nil {
					errs[n] = err
					return
				}
				<-old.exited
				if errs[n] = o.start(ctx, b, i, changedSettings); errs[n] == nil {
					at[i] = o.inForce(ctx, client, b.addr(i), begin)
				}
			})
		}
		all.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	return nil
}

func sequence(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// rewrite replaces the settings in a configuration file, in one step.
func rewrite(path string, set map[string]any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	var file map[string]any
	if err := json.Unmarshal(text, &file); err != nil {
		return fmt.Errorf("rig: %s: %w", path, err)
	}
	file["settings"] = set
	if text, err = json.Marshal(file); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return os.Rename(path+".new", path)
}

// ask makes one call of a safe class and returns the status of its answer; 0 if there is none.
func ask(ctx context.Context, client *http.Client, addr, class string) int {
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
