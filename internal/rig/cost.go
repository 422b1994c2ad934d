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

// Sidecar measures one real sidecar process: resident memory, processor time and bytes, at rest and with calls, against
// the length of its list, changes of the list and connections of its clients. Zero figures take the defaults.
type Sidecar struct {
	Binary      string        // the program; "" = it is built from this source tree
	For         time.Duration // each figure is measured; default 5 s
	Rate        float64       // calls a second where there are calls; default 168
	Work        time.Duration // of an endpoint on a call; default 0
	Lists       []int         // lengths of the list; default 10 to 2,800
	Changes     []int         // changes a minute, at a list of 300; default 0 to 6,000
	Connections []int         // of clients, at a list of 300; default 10 to 1,000
}

// Result holds a series for each measure, and what the machine did meanwhile.
type Result struct {
	Machine Machine        `json:"machine"`
	Series  []slope.Series `json:"series"`
}

const (
	cpuRest  = "ms of processor time a second"
	cpuCall  = "ms of processor time a call"
	resident = "MB resident"
	listLen  = "entries of the list"
	restList = 300 // entries, where something else is varied
)

// bench is a stand-in discovery, stand-in endpoints and the sidecars between.
type bench struct {
	dir, binary string
	discovery   *Discovery
	endpoints   *Endpoints
	askEvery    time.Duration

	mu       sync.Mutex
	programs []*program // by number; nil = not started yet
	random   *rand.Rand // seeds of the sidecars
}

// newBench starts all but the sidecars, with a list of so many entries.
func newBench(ctx context.Context, binary string, sidecars, entries int, work time.Duration) (b *bench, err error) {
	if err := enough(sidecars); err != nil {
		return nil, err
	}
	if entries < 1 {
		return nil, fmt.Errorf("rig: a list of %d entries", entries)
	}
	b = &bench{askEvery: askEvery, programs: make([]*program, sidecars), random: rand.New(rand.NewPCG(1, 2))}
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
	if b.endpoints, err = NewEndpoints(min(entries, MaxListeners), work); err != nil {
		return nil, err
	}
	if b.discovery, err = NewDiscovery(sidecars, 0, 0); err != nil {
		return nil, err
	}
	return b, b.discovery.Change(b.endpoints.Targets(entries)...)
}

// start starts the sidecar of that number and waits until it is ready. It is told the list as it is now, as a real one
// is told the list that it had.
func (b *bench) start(ctx context.Context, i int, asked bool) error {
	name := fmt.Sprint("n", i)
	set := settings(len(b.programs), i, asked, b.askEvery)
	return b.launch(ctx, name, i, set)
}

// launch starts a sidecar with these settings in the place of the one before, and waits until it is ready.
func (b *bench) launch(ctx context.Context, name string, i int, set map[string]any) error {
	p, err := start(ctx, b.binary, b.dir, name, b.discovery.Addr(i), b.discovery.List(), b.seed(), set)
	if err != nil {
		return err
	}
	b.mu.Lock()
	if old := b.programs[i]; old != nil {
		p.before = old.before
	}
	b.programs[i] = p
	b.mu.Unlock()
	return p.awaitReady(ctx)
}

// seed is a new one for each start, as the deploy page says: sidecars with one seed would all wait for the same times.
func (b *bench) seed() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Uint64()
}

// addr is where clients reach the sidecar of that number, or last did.
func (b *bench) addr(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.programs[i].addr
}

// close ends the sidecars and then the stand-ins.
func (b *bench) close() {
	killAll(b.programs)
	if b.discovery != nil {
		b.discovery.Close()
	}
	if b.endpoints != nil {
		b.endpoints.Close()
	}
	os.RemoveAll(b.dir)
}

// used is the difference that a time made.
type used struct {
	seconds float64
	cpu     float64 // ms
	Usage           // at its end
	control Traffic
}

// controlRate is the bytes a second for control, both ways.
func (u used) controlRate() float64 { return float64(u.control.Received+u.control.Wrote) / u.seconds }

// measure lets a time pass and tells what the first sidecar used in it.
func (b *bench) measure(ctx context.Context, run func() error) (used, error) {
	if err := pause(ctx, settleTime); err != nil {
		return used{}, err
	}
	before, err := b.programs[0].usage()
	if err != nil {
		return used{}, err
	}
	begin, control := time.Now(), b.discovery.Traffic()
	if err := run(); err != nil {
		return used{}, err
	}
	after, err := b.programs[0].usage()
	return used{
		seconds: time.Since(begin).Seconds(), cpu: milliseconds(after.CPU - before.CPU),
		Usage: after, control: b.discovery.Traffic().minus(control),
	}, err
}

// one starts a bench of one sidecar that asks for its list, and waits until it watches.
func one(ctx context.Context, binary string, entries int, work time.Duration) (*bench, error) {
	b, err := newBench(ctx, binary, 1, entries, work)
	if err != nil {
		return nil, err
	}
	if err = b.start(ctx, 0, true); err == nil {
		err = await(ctx, startTime, func() bool { return b.discovery.Traffic().Watches > 0 })
	}
	if err != nil {
		b.close()
		return nil, fmt.Errorf("rig: %w", err)
	}
	return b, nil
}

// Run measures one thing after another; each takes For and some seconds.
func (o Sidecar) Run(ctx context.Context) (Result, error) {
	o.For, o.Rate = cmp.Or(o.For, 5*time.Second), cmp.Or(o.Rate, 168)
	if len(o.Lists) == 0 {
		o.Lists = []int{10, 100, 300, 1000, 2800}
	}
	if len(o.Changes) == 0 {
		o.Changes = []int{0, 60, 600, 3000, 6000}
	}
	if len(o.Connections) == 0 {
		o.Connections = []int{10, 100, 300, 1000}
	}
	machine := Observe()
	calls, withCalls := fmt.Sprintf("at %v calls a second: ", o.Rate), fmt.Sprintf("with %v calls a second", o.Rate)
	var r Result
	const control, perSecond = "control", "bytes a second"
	lists := []slope.Series{
		{Name: "at rest: memory", X: listLen, Y: resident},
		{Name: "at rest: processor", X: listLen, Y: cpuRest},
		{Name: "at rest: " + control, X: listLen, Y: perSecond},
		{Name: calls + "memory", X: listLen, Y: resident},
		{Name: calls + "processor", X: listLen, Y: cpuCall},
		{Name: calls + control, X: listLen, Y: perSecond},
		{Name: calls + "connections opened to endpoints", X: listLen, Y: "connections a call"},
	}
	const changing, asking = "changes: ", "clients that ask for readiness once a second: "
	changes := []slope.Series{
		{Name: changing + "memory", X: "changes a minute", Y: resident},
		{Name: changing + "processor", X: "changes a minute", Y: cpuRest},
		{Name: changing + control, X: "changes a minute", Y: perSecond},
		{Name: changing + "processor, " + withCalls, X: "changes a minute", Y: cpuRest},
	}
	connections := []slope.Series{
		{Name: asking + "memory", X: "connections", Y: resident},
		{Name: asking + "processor", X: "connections", Y: cpuRest},
		{Name: asking + "processor, " + withCalls, X: "connections", Y: cpuRest},
	}
	for _, n := range o.Lists {
		if err := o.list(ctx, n, lists); err != nil {
			return r, err
		}
	}
	for _, n := range o.Changes {
		if err := o.changes(ctx, n, changes); err != nil {
			return r, err
		}
	}
	for _, n := range o.Connections {
		if err := o.connections(ctx, n, connections); err != nil {
			return r, err
		}
	}
	r.Machine, r.Series = machine(), slices.Concat(lists, changes, connections)
	return r, nil
}

// list measures at rest and then with calls.
func (o Sidecar) list(ctx context.Context, n int, to []slope.Series) error {
	b, err := one(ctx, o.Binary, n, o.Work)
	if err != nil {
		return err
	}
	defer b.close()
	u, err := b.measure(ctx, func() error { return pause(ctx, o.For) })
	if err != nil {
		return err
	}
	to[0].Add(float64(n), mb(u.Resident))
	to[1].Add(float64(n), u.cpu/u.seconds)
	to[2].Add(float64(n), u.controlRate())
	via := newWay(func() string { return b.addr(0) })
	defer via.close()
	if err := load(ctx, o.Rate, warmTime, effects["safe"], 1, via); err != nil {
		return err
	}
	before, opened := via.result(), b.endpoints.connections.Load()
	if u, err = b.measure(ctx, func() error { return load(ctx, o.Rate, o.For, effects["safe"], 2, via) }); err != nil {
		return err
	}
	c := via.result()
	if c.Served-before.Served <= 0 || c.Served < c.All()/2 {
		return fmt.Errorf("rig: a list of %d: %d served, %d refused, %d failed", n, c.Served, c.Refused, c.Failed)
	}
	to[3].Add(float64(n), mb(u.Resident))
	all := float64(c.All() - before.All())
	to[4].Add(float64(n), u.cpu/all)
	to[5].Add(float64(n), u.controlRate())
	to[6].Add(float64(n), float64(b.endpoints.connections.Load()-opened)/all)
	return nil
}

// changes measures at rest, but for changes of one entry after another.
func (o Sidecar) changes(ctx context.Context, perMinute int, to []slope.Series) error {
	b, err := one(ctx, o.Binary, restList, 0)
	if err != nil {
		return err
	}
	defer b.close()
	targets := b.endpoints.Targets(restList)
	u, err := b.measure(ctx, func() error { return makeChanges(ctx, b.discovery, targets, perMinute, o.For) })
	if err != nil {
		return err
	}
	to[0].Add(float64(perMinute), mb(u.Resident))
	to[1].Add(float64(perMinute), u.cpu/u.seconds)
	to[2].Add(float64(perMinute), u.controlRate())
	u, err = o.called(ctx, b, func() error { return makeChanges(ctx, b.discovery, targets, perMinute, o.For) })
	to[3].Add(float64(perMinute), u.cpu/max(u.seconds, 1e-9))
	return err
}

// called measures as measure does, while calls come at their rate, after some that are not measured.
func (o Sidecar) called(ctx context.Context, b *bench, run func() error) (used, error) {
	via := newWay(func() string { return b.addr(0) })
	defer via.close()
	if err := load(ctx, o.Rate, warmTime, effects["safe"], 1, via); err != nil {
		return used{}, err
	}
	var loaded error
	u, err := b.measure(ctx, func() error {
		var calls sync.WaitGroup
		defer calls.Wait()
		calls.Go(func() { loaded = load(ctx, o.Rate, o.For, effects["safe"], 2, via) })
		return run()
	})
	if c := via.result(); err == nil && loaded == nil && c.Served < c.All()/2 {
		err = fmt.Errorf("rig: %d served, %d refused, %d failed", c.Served, c.Refused, c.Failed)
	}
	return u, cmp.Or(err, loaded)
}

// makeChanges makes changes evenly: in turn an entry drains and is ready again.
func makeChanges(ctx context.Context, d *Discovery, targets []sidecar.Target, perMinute int, span time.Duration) error {
	if perMinute < 0 || perMinute > 60000 {
		return fmt.Errorf("rig: %d changes a minute", perMinute)
	}
	begin, all := time.Now(), int(float64(perMinute)*span.Minutes())
	for i := range all {
		if err := pause(ctx, time.Until(begin.Add(time.Duration(float64(i)/float64(all)*float64(span))))); err != nil {
			return err
		}
		if err := d.Change(changed(targets[i/2%len(targets)], i)); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(begin.Add(span)))
}

func changed(t sidecar.Target, i int) sidecar.Target {
	if i%2 == 0 {
		t.State = "Terminating"
	}
	return t
}

// connections measures with so many clients that send nothing but a look at the readiness, once a second each.
func (o Sidecar) connections(ctx context.Context, n int, to []slope.Series) error {
	if n < 1 || n > sockets/2 {
		return fmt.Errorf("rig: %d connections of clients; 1 to %d are opened", n, sockets/2)
	}
	b, err := one(ctx, o.Binary, restList, 0)
	if err != nil {
		return err
	}
	defer b.close()
	polls, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	failed := make(chan error, n)
	first := make(chan struct{}, n)
	for i := range n {
		clients.Go(func() {
			if err := pause(polls, time.Duration(i)*time.Second/time.Duration(n)); err != nil {
				return
			}
			if err := poll(polls, b.addr(0), first); err != nil && polls.Err() == nil {
				failed <- err
			}
		})
	}
	for range n {
		select {
		case <-first:
		case err := <-failed:
			return fmt.Errorf("rig: %d connections: %w", n, err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	u, err := b.measure(ctx, func() error { return pause(ctx, o.For) })
	if err != nil {
		return err
	}
	select {
	case err := <-failed:
		return fmt.Errorf("rig: %d connections: %w", n, err)
	default:
	}
	to[0].Add(float64(n), mb(u.Resident))
	to[1].Add(float64(n), u.cpu/u.seconds)
	u, err = o.called(ctx, b, func() error { return pause(ctx, o.For) })
	to[2].Add(float64(n), u.cpu/max(u.seconds, 1e-9))
	select {
	case lost := <-failed:
		return fmt.Errorf("rig: %d connections: %w", n, lost)
	default:
		return err
	}
}

// poll keeps one connection to a sidecar in use until ctx ends; first is told of the first answer.
func poll(ctx context.Context, addr string, first chan<- struct{}) error {
	c, err := (&net.Dialer{Timeout: dialClient}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for tell := first; ; tell = nil {
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
		if tell != nil {
			tell <- struct{}{}
		}
		if err := pause(ctx, time.Second); err != nil {
			return nil // it is over
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func mb(bytes int64) float64 { return float64(bytes) / (1 << 20) }
