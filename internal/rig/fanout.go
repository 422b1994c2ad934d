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

// DiscoveryCost measures what watches, changes and whole lists cost the stand-in discovery, which runs as a process of
// its own for that. It tells nothing of another discovery than how much there is to write. Zero figures take the defaults.
type DiscoveryCost struct {
	Command []string      // starts a process that runs ServeDiscovery on its standard streams; the length of the list follows
	For     time.Duration // each figure is measured; default 5 s
	Watches []int         // open at once, at a list of 300; default 10 to 1,000
	Changes int           // changes a minute for them; default 600
	Lists   []int         // lengths of the list, for whole lists; default 10 to 2,800
}

const mostWatches = 5000

// Run measures one thing after another.
func (o DiscoveryCost) Run(ctx context.Context) (Result, error) {
	o.For, o.Changes = cmp.Or(o.For, 5*time.Second), cmp.Or(o.Changes, 600)
	if len(o.Watches) == 0 {
		o.Watches = []int{10, 30, 100, 300, 1000}
	}
	if len(o.Lists) == 0 {
		o.Lists = []int{10, 100, 300, 1000, 2800}
	}
	if len(o.Command) == 0 {
		return Result{}, fmt.Errorf("rig: no command for the stand-in discovery")
	}
	machine := Observe()
	r := Result{Series: []slope.Series{
		{Name: "stand-in: watches with nothing to tell", X: "watches", Y: cpuRest},
		{Name: "stand-in: a change of one entry", X: "watches", Y: "ms of processor time a change"},
		{Name: "stand-in: a change of one entry", X: "watches", Y: "bytes a change"},
		{Name: "stand-in: a whole list", X: listLen, Y: "ms of processor time a call"},
		{Name: "stand-in: a whole list", X: listLen, Y: "bytes a call"},
	}}
	for _, n := range o.Watches {
		if err := o.watches(ctx, n, r.Series[0:3]); err != nil {
			return r, err
		}
	}
	for _, n := range o.Lists {
		if err := o.wholeLists(ctx, n, r.Series[3:5]); err != nil {
			return r, err
		}
	}
	r.Machine = machine()
	return r, nil
}

// watches measures so many watches, with nothing to tell and then with changes.
func (o DiscoveryCost) watches(ctx context.Context, n int, to []slope.Series) error {
	if n < 1 || n > mostWatches {
		return fmt.Errorf("rig: %d watches; 1 to %d are opened", n, mostWatches)
	}
	child, err := o.start(ctx, restList)
	if err != nil {
		return err
	}
	defer child.close()
	var bytes atomic.Int64
	following, stop := context.WithCancel(ctx)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer stop()
	opened := make(chan error, n)
	for range n {
		readers.Go(func() { follow(following, child.addr, &bytes, opened) })
	}
	for range n {
		if err := <-opened; err != nil {
			return fmt.Errorf("rig: %d watches: %w", n, err)
		}
	}
	spent := func(perMinute int) (cpu, wrote, seconds float64, err error) {
		if err := pause(ctx, settleTime); err != nil {
			return 0, 0, 0, err
		}
		before, err := usage(child.cmd.Process.Pid)
		if err != nil {
			return 0, 0, 0, err
		}
		begin, had := time.Now(), bytes.Load()
		if err := child.change(ctx, perMinute, o.For); err != nil {
			return 0, 0, 0, err
		}
		after, err := usage(child.cmd.Process.Pid)
		return milliseconds(after.CPU - before.CPU), float64(bytes.Load() - had),
			time.Since(begin).Seconds(), err
	}
	cpu, wrote, seconds, err := spent(0)
	if err != nil {
		return err
	}
	restCPU, restBytes := cpu/seconds, wrote/seconds
	to[0].Add(float64(n), restCPU)
	if cpu, wrote, seconds, err = spent(o.Changes); err != nil {
		return err
	}
	changes := float64(o.Changes) * o.For.Minutes()
	to[1].Add(float64(n), max(0, cpu-restCPU*seconds)/changes)
	to[2].Add(float64(n), max(0, wrote-restBytes*seconds)/changes)
	return nil
}

// wholeLists measures calls for the whole list, one after another.
func (o DiscoveryCost) wholeLists(ctx context.Context, n int, to []slope.Series) error {
	child, err := o.start(ctx, n)
	if err != nil {
		return err
	}
	defer child.close()
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	calls, bytes := 0, int64(0)
	before, err := usage(child.cmd.Process.Pid)
	if err != nil {
		return err
	}
	for end := time.Now().Add(o.For); calls < 10 || time.Now().Before(end); calls++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+child.addr+"/api/targets", nil)
		if err != nil {
			return err
		}
		res, err := client.Do(req)
		if err != nil {
			return fmt.Errorf("rig: whole list: %w", err)
		}
		got, err := io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK {
			return fmt.Errorf("rig: whole list: %s, %w", res.Status, err)
		}
		bytes += got
	}
	after, err := usage(child.cmd.Process.Pid)
	to[0].Add(float64(n), milliseconds(after.CPU-before.CPU)/float64(calls))
	to[1].Add(float64(n), float64(bytes)/float64(calls))
	return err
}

// follow opens one watch, tells whether it is open, and counts the bytes of its body until ctx ends.
func follow(ctx context.Context, addr string, bytes *atomic.Int64, opened chan<- error) {
	c, err := (&net.Dialer{Timeout: dialClient}).DialContext(ctx, "tcp", addr)
	if err != nil {
		opened <- err
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(startTime))
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
		bytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// discoveryChild is the stand-in as a process of its own.
type discoveryChild struct {
	cmd   *exec.Cmd
	addr  string
	in    io.WriteCloser
	lines chan string
}

func (o DiscoveryCost) start(ctx context.Context, entries int) (*discoveryChild, error) {
	args := append(append([]string{}, o.Command[1:]...), strconv.Itoa(entries))
	d := &discoveryChild{cmd: exec.CommandContext(ctx, o.Command[0], args...), lines: make(chan string, 1)}
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := d.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if d.in, err = d.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if err := d.cmd.Start(); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	go func() {
		defer close(d.lines)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			d.lines <- lines.Text()
		}
	}()
	if d.addr, err = d.line(ctx, startTime); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// line is the next line that the child tells.
func (d *discoveryChild) line(ctx context.Context, most time.Duration) (string, error) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case text, ok := <-d.lines:
		if !ok || strings.HasPrefix(text, "error") {
			return "", fmt.Errorf("discovery: the process ended or failed: %q", text)
		}
		return text, nil
	case <-timer.C:
		return "", fmt.Errorf("discovery: %w", errWaited)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// change has the child make changes for a while, and waits for their end.
func (d *discoveryChild) change(ctx context.Context, perMinute int, span time.Duration) error {
	if _, err := fmt.Fprintln(d.in, perMinute, span); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	_, err := d.line(ctx, span+startTime)
	return err
}

// close ends the child.
func (d *discoveryChild) close() {
	d.in.Close()
	d.cmd.Process.Kill()
	for range d.lines { // until its output has ended
	}
	d.cmd.Wait()
}

// ServeDiscovery runs a stand-in discovery with a list of so many entries, which nobody serves. It tells its address on a
// line of out. A line of in, "CHANGES SPAN", has it make so many changes a minute for a time and tell "done" then. It
// ends when in does, or ctx.
func ServeDiscovery(ctx context.Context, entries int, in io.Reader, out io.Writer) error {
	if entries < 1 {
		return fmt.Errorf("discovery: %d entries", entries)
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
		var text string
		if _, err := fmt.Sscan(lines.Text(), &perMinute, &text); err != nil {
			return fmt.Errorf("discovery: %q: %w", lines.Text(), err)
		}
		span, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("discovery: %w", err)
		}
		if err := makeChanges(ctx, d, targets, perMinute, span); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, "done"); err != nil {
			return err
		}
	}
	return ctx.Err()
}
