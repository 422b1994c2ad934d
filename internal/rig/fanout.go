package rig

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"forkline/internal/sidecar"
	"forkline/internal/slope"
)

// DiscoveryCost measures what watches, changes and full lists cost the stand-in discovery, which runs as a separate
// process for this. Of other discovery services it shows only how many bytes they must send. Zero fields take the
// defaults.
type DiscoveryCost struct {
	Command          []string      // runs ServeDiscovery on its standard streams; the list length is appended
	Duration         time.Duration // time of each measurement; default 5 s
	Watches          []int         // watches open at once, with a list of 300 entries; default 10 to 1,000
	ChangesPerMinute int           // changes sent to the watches; default 600
	ListLengths      []int         // list lengths for calls that get the full list; default 10 to 2,800
}

const maxWatches = 5000

// Run takes the measurements one after another.
func (o DiscoveryCost) Run(ctx context.Context) (Result, error) {
	o.Duration, o.ChangesPerMinute = cmp.Or(o.Duration, 5*time.Second), cmp.Or(o.ChangesPerMinute, 600)
	if len(o.Watches) == 0 {
		o.Watches = []int{10, 30, 100, 300, 1000}
	}
	if len(o.ListLengths) == 0 {
		o.ListLengths = []int{10, 100, 300, 1000, 2800}
	}
	if len(o.Command) == 0 {
		return Result{}, fmt.Errorf("rig: no command for the stand-in discovery")
	}
	observed := ObserveMachine()
	r := Result{Series: []slope.Series{
		{Name: "stand-in: watches with nothing to tell", X: "watches", Y: unitCPUPerSecond},
		{Name: "stand-in: a change of one entry", X: "watches", Y: "ms of processor time a change"},
		{Name: "stand-in: a change of one entry", X: "watches", Y: "bytes a change"},
		{Name: "stand-in: a whole list", X: axisListLength, Y: "ms of processor time a call"},
		{Name: "stand-in: a whole list", X: axisListLength, Y: "bytes a call"},
	}}
	for _, n := range o.Watches {
		if err := o.measureWatches(ctx, n, r.Series[0:3]); err != nil {
			return r, err
		}
	}
	for _, n := range o.ListLengths {
		if err := o.measureFullLists(ctx, n, r.Series[3:5]); err != nil {
			return r, err
		}
	}
	r.Machine = observed()
	return r, nil
}

// measureWatches measures n watches, idle and then with changes.
func (o DiscoveryCost) measureWatches(ctx context.Context, n int, series []slope.Series) error {
	if n < 1 || n > maxWatches {
		return fmt.Errorf("rig: %d watches; the number must be from 1 to %d", n, maxWatches)
	}
	child, err := o.startDiscovery(ctx, defaultListLength)
	if err != nil {
		return err
	}
	defer child.close()
	var bytes atomic.Int64
	watchCtx, stop := context.WithCancel(ctx)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer stop()
	opened := make(chan error, n)
	for range n {
		readers.Go(func() { readWatch(watchCtx, child.addr, &bytes, opened) })
	}
	for range n {
		if err := <-opened; err != nil {
			return fmt.Errorf("rig: %d watches: %w", n, err)
		}
	}
	measure := func(perMinute int) (cpuMs, received, seconds float64, err error) {
		if err := sleep(ctx, settleDelay); err != nil {
			return 0, 0, 0, err
		}
		before, err := readUsage(child.cmd.Process.Pid)
		if err != nil {
			return 0, 0, 0, err
		}
		started, bytesBefore := time.Now(), bytes.Load()
		if err := child.makeChanges(ctx, perMinute, o.Duration); err != nil {
			return 0, 0, 0, err
		}
		after, err := readUsage(child.cmd.Process.Pid)
		return milliseconds(after.CPU - before.CPU), float64(bytes.Load() - bytesBefore),
			time.Since(started).Seconds(), err
	}
	cpuMs, received, seconds, err := measure(0)
	if err != nil {
		return err
	}
	idleCPUMsPerSecond, idleBytesPerSecond := cpuMs/seconds, received/seconds
	series[0].Add(float64(n), idleCPUMsPerSecond)
	if cpuMs, received, seconds, err = measure(o.ChangesPerMinute); err != nil {
		return err
	}
	changes := float64(o.ChangesPerMinute) * o.Duration.Minutes()
	series[1].Add(float64(n), max(0, cpuMs-idleCPUMsPerSecond*seconds)/changes)
	series[2].Add(float64(n), max(0, received-idleBytesPerSecond*seconds)/changes)
	return nil
}

// measureFullLists measures calls for the full list of n entries, one after another.
func (o DiscoveryCost) measureFullLists(ctx context.Context, n int, series []slope.Series) error {
	child, err := o.startDiscovery(ctx, n)
	if err != nil {
		return err
	}
	defer child.close()
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	calls, bytes := 0, int64(0)
	before, err := readUsage(child.cmd.Process.Pid)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(o.Duration); calls < 10 || time.Now().Before(deadline); calls++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+child.addr+"/api/targets", nil)
		if err != nil {
			return err
		}
		res, err := client.Do(req)
		if err != nil {
			return fmt.Errorf("rig: full list: %w", err)
		}
		size, err := io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK {
			return fmt.Errorf("rig: full list: %s, %w", res.Status, err)
		}
		bytes += size
	}
	after, err := readUsage(child.cmd.Process.Pid)
	series[0].Add(float64(n), milliseconds(after.CPU-before.CPU)/float64(calls))
	series[1].Add(float64(n), float64(bytes)/float64(calls))
	return err
}

// readWatch opens one watch, sends to opened nil or the reason why it could not be opened, and counts the bytes of its
// body in received until ctx ends.
func readWatch(ctx context.Context, addr string, received *atomic.Int64, opened chan<- error) {
	c, err := (&net.Dialer{Timeout: clientDialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		opened <- err
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(startTimeout))
	_, err = io.WriteString(c, "GET /api/targets?follow=1&since=0 HTTP/1.1\r\nHost: discovery\r\n\r\n")
	r := bufio.NewReader(c)
	if err == nil {
		_, err = r.Peek(1)
	}
	opened <- err
	if err != nil {
		return
	}
	c.SetDeadline(time.Time{})
	buffer := make([]byte, 4096)
	for {
		n, err := r.Read(buffer)
		received.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// discoveryProcess is a stand-in discovery in a separate process.
type discoveryProcess struct {
	cmd   *exec.Cmd
	addr  string
	stdin io.WriteCloser
	lines chan string // lines of its standard output
}

// startDiscovery starts the process and waits for its address.
func (o DiscoveryCost) startDiscovery(ctx context.Context, entries int) (*discoveryProcess, error) {
	args := append(append([]string{}, o.Command[1:]...), strconv.Itoa(entries))
	d := &discoveryProcess{cmd: exec.CommandContext(ctx, o.Command[0], args...), lines: make(chan string, 1)}
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := d.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if d.stdin, err = d.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if err := d.cmd.Start(); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	go func() {
		defer close(d.lines)
		for lines := bufio.NewScanner(stdout); lines.Scan(); {
			d.lines <- lines.Text()
		}
	}()
	if d.addr, err = d.nextLine(ctx, startTimeout); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// nextLine returns the next line of the process's output.
func (d *discoveryProcess) nextLine(ctx context.Context, timeout time.Duration) (string, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case text, ok := <-d.lines:
		if !ok || strings.HasPrefix(text, "error") {
			return "", fmt.Errorf("discovery: the process ended or failed: %q", text)
		}
		return text, nil
	case <-timer.C:
		return "", fmt.Errorf("discovery: %w", errTimeout)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// makeChanges has the process make changes for the duration, and waits for their end.
func (d *discoveryProcess) makeChanges(ctx context.Context, perMinute int, duration time.Duration) error {
	if _, err := fmt.Fprintln(d.stdin, perMinute, duration); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	_, err := d.nextLine(ctx, duration+startTimeout)
	return err
}

// close kills the process and waits until it has ended.
func (d *discoveryProcess) close() {
	d.stdin.Close()
	d.cmd.Process.Kill()
	for range d.lines { // drain the output to its end
	}
	d.cmd.Wait()
}

// ServeDiscovery runs a stand-in discovery with a list of the given number of entries, whose addresses nobody serves. It
// writes its address to out as the first line. For each line "CHANGES DURATION" of in it makes that many changes a minute
// for the duration and then writes the line "done". It returns when in ends, or when ctx ends during
// changes.
func ServeDiscovery(ctx context.Context, entries int, in io.Reader, out io.Writer) error {
	if entries < 1 {
		return fmt.Errorf("discovery: invalid list length %d; must be at least 1", entries)
	}
	d, err := NewDiscovery(1, 0, 0)
	if err != nil {
		return err
	}
	defer d.Close()
	var targets []sidecar.Target
	for i := range entries {
		targets = append(targets, sidecar.Target{
			UID: "s-" + strconv.Itoa(i), Endpoint: "127.0.0.1:" + strconv.Itoa(10000+i%50000), Zone: "z", Kind: "k",
			Cell: uint16(i % 16), State: "Ready", Weight: 1,
		})
	}
	if err := d.Change(targets...); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, d.Addr(0)); err != nil {
		return err
	}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		var perMinute int
		var durationText string
		if _, err := fmt.Sscan(lines.Text(), &perMinute, &durationText); err != nil {
			return fmt.Errorf("discovery: %q: %w", lines.Text(), err)
		}
		duration, err := time.ParseDuration(durationText)
		if err != nil {
			return fmt.Errorf("discovery: %w", err)
		}
		if err := makeChanges(ctx, d, targets, perMinute, duration); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, "done"); err != nil {
			return err
		}
	}
	return ctx.Err()
}
