package sidecar

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"forkline/internal/listwatch"
)

// defaultCachedListDelay is how long a new process waits for discovery before it uses the initial list.
const defaultCachedListDelay = time.Second

// discovery makes the calls that a listwatch.Watcher requests and runs its timer. If the list is polled, the module
// decides when to call; if it is pushed, the Watcher does.
type discovery struct {
	policy     listwatch.Policy
	maxObject  int                                             // bytes; see maxListBytes
	onList     func(List)                                      // receives each list or list change
	onFailed   func(silence time.Duration)                     // called when the latest call failed or is overdue, or its watch broke; see listwatch.Action
	onAnswered func()                                          // called when a call is answered, even without a list; may be nil
	dial       func(context.Context, string) (net.Conn, error) // nil = dial TCP
	random     func() float64                                  // returns numbers in [0, 1); nil = rand.Float64
	logger     *slog.Logger                                    // nil = slog.Default

	mu       sync.Mutex
	addr     string
	rev      int64 // version of the last received list
	baseCtx  context.Context
	start    time.Time
	watcher  *listwatch.Watcher
	actions  []listwatch.Action
	calls    map[int]*watchCall // calls in flight, including the open watch
	lastCall *watchCall         // the call that was started last
	timer    *time.Timer        // fires the Watcher's next tick
}

// SilentWatchError reports that discovery kept a watch open and sent nothing on it, not even a heartbeat. Discovery is called again.
type SilentWatchError struct {
	Silence time.Duration
}

func (e *SilentWatchError) Error() string {
	return fmt.Sprintf("watch: nothing was received for %v; if this recurs, check discovery and the network to it", e.Silence.Round(time.Millisecond))
}

// watchCall is one call to discovery, which becomes a watch once it is answered.
type watchCall struct {
	number int
	cancel context.CancelCauseFunc
	done   chan struct{} // closed when the call has ended
}

// move changes the address for subsequent calls and reports whether it differs from the old one.
func (d *discovery) move(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := d.addr != addr
	if d.addr = addr; moved {
		d.handle(listwatch.Event{Kind: listwatch.EvAddressChanged})
	}
	return moved
}

// follow keeps a pushed list watched until ctx ends.
func (d *discovery) follow(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.baseCtx = ctx
	d.handle(listwatch.Event{Kind: listwatch.EvStart})
}

// poll starts a call unless the list is being watched, and waits until the call and its watch have ended.
func (d *discovery) poll(ctx context.Context) {
	d.mu.Lock()
	d.baseCtx = ctx
	previous := d.lastCall
	d.handle(listwatch.Event{Kind: listwatch.EvPoll})
	c := d.lastCall
	d.mu.Unlock()
	if c != previous {
		<-c.done
	}
}

// handle passes an event to the Watcher and carries out the resulting actions. The caller holds d.mu.
func (d *discovery) handle(ev listwatch.Event) {
	if d.watcher == nil {
		if d.random == nil {
			d.random = rand.Float64
		}
		d.watcher, d.start, d.calls = listwatch.NewWatcher(d.policy, d.random), time.Now(), map[int]*watchCall{}
		d.timer = time.AfterFunc(time.Hour, d.tick)
		d.timer.Stop()
	}
	if d.baseCtx != nil && d.baseCtx.Err() != nil {
		return // discovery has been stopped
	}
	d.actions = d.watcher.Handle(time.Since(d.start), ev, d.actions[:0])
	for _, a := range d.actions {
		switch a.Kind {
		case listwatch.ActStartCall:
			ctx, cancel := context.WithCancelCause(d.baseCtx)
			d.lastCall = &watchCall{number: a.Call, cancel: cancel, done: make(chan struct{})}
			d.calls[a.Call] = d.lastCall
			go d.runCall(ctx, d.lastCall, d.addr, d.rev)
		case listwatch.ActCancelCall:
			var cause error
			if a.Silence > 0 {
				cause = &SilentWatchError{a.Silence}
			}
			if c := d.calls[a.Call]; c != nil {
				c.cancel(cause)
			}
		case listwatch.ActReportFailure:
			d.onFailed(a.Silence)
		}
	}
	if at, ok := d.watcher.NextTick(); ok {
		d.timer.Reset(at - time.Since(d.start))
	} else {
		d.timer.Stop()
	}
}

func (d *discovery) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle(listwatch.Event{Kind: listwatch.EvTick})
}

// runCall makes one call and reports its end to the Watcher.
func (d *discovery) runCall(ctx context.Context, c *watchCall, addr string, rev int64) {
	err := d.watch(ctx, c.number, addr, rev)
	if silent := (*SilentWatchError)(nil); errors.As(context.Cause(ctx), &silent) {
		err = silent
	}
	c.cancel(nil)
	cmp.Or(d.logger, slog.Default()).Info("watch ended", "addr", addr, "err", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.number)
	d.handle(listwatch.Event{Kind: listwatch.EvCallEnded, Call: c.number})
	close(c.done)
}

var errSuperseded = errors.New("another call has been answered")

// deliver reports activity on a call to the Watcher. It runs f if that call is the active watch and otherwise returns
// errSuperseded.
func (d *discovery) deliver(number int, kind listwatch.EventKind, f func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle(listwatch.Event{Kind: kind, Call: number})
	if d.watcher.ActiveCall() != number {
		return errSuperseded
	}
	f()
	return nil
}

// watch makes one call and delivers the lists that arrive. It returns when the watch has ended. Its timeouts are
// enforced by the Watcher.
func (d *discovery) watch(ctx context.Context, number int, addr string, rev int64) error {
	dial := d.dial
	if dial == nil {
		dialer := net.Dialer{Timeout: d.policy.DialTimeout}
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	c, err := dial(ctx, addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	uri := "http://" + addr + "/api/targets?follow=1&since=" + strconv.FormatInt(rev, 10)
	req, err := http.NewRequest(http.MethodGet, uri, nil)
	if err != nil {
		return err
	}
	if err := req.Write(c); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	err = d.deliver(number, listwatch.EvAnswered, func() {
		if d.onAnswered != nil {
			d.onAnswered()
		}
	})
	if err != nil {
		return err
	}
	// The error is ignored, as a superseded call is cancelled.
	onActivity := func() { d.deliver(number, listwatch.EvActivity, func() {}) }
	for reader := (&objectReader{r: bufio.NewReader(res.Body), limit: cmp.Or(d.maxObject, maxObjectBytes), onActivity: onActivity}); ; {
		text, err := reader.next()
		if err != nil {
			return err
		}
		l, err := ParseList(text)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if err := d.deliver(number, listwatch.EvActivity, func() { d.rev = l.Rev; d.onList(l) }); err != nil {
			return err
		}
	}
}
