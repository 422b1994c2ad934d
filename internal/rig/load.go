package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	openMost   = 1000            // client calls at once; more wait, and their wait counts
	dialClient = 2 * time.Second // of a client
	idleClient = 1800 * time.Millisecond
	bodyLen    = 212 // bytes of a call that has a body
	latencyMax = 60 * time.Second
)

// Latency is the distribution of served calls in milliseconds, from the time at which a call was to be sent by the
// schedule: calls that a slow answer holds up are counted with their wait (corrected for coordinated omission).
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Calls is how calls on one way ended.
type Calls struct {
	Served      int64   `json:"served"`
	Refused     int64   `json:"refused"`
	Failed      int64   `json:"failed"` // by an answer, a broken connection, or none within 5 s
	Connections int64   `json:"connections"`
	Latency     Latency `json:"latency"`
}

// All is the number of calls.
func (c Calls) All() int64 { return c.Served + c.Refused + c.Failed }

// way is one way for calls to go, with what was measured on it.
type way struct {
	addr      func() string // where the next call goes; called by the schedule alone
	client    *http.Client
	dials     atomic.Int64
	mu        sync.Mutex
	calls     Calls
	histogram *hdrhistogram.Histogram
}

func newWay(addr func() string) *way {
	w := &way{addr: addr, histogram: hdrhistogram.New(1, latencyMax.Microseconds(), 3)}
	dialer := net.Dialer{Timeout: dialClient}
	w.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: openMost, IdleConnTimeout: idleClient, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			w.dials.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
	}}
	return w
}

// result is what was measured so far.
func (w *way) result() Calls {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ms := w.calls, func(q float64) float64 { return float64(w.histogram.ValueAtQuantile(q)) / 1000 }
	c.Connections = w.dials.Load()
	c.Latency = Latency{ms(50), ms(99), ms(99.9), float64(w.histogram.Max()) / 1000}
	return c
}

func (w *way) close() { w.client.CloseIdleConnections() }

// effects are the classes of the rig by the effect that a call has.
var effects = map[string]string{"safe": "read", "keyed": "add", "unsafe": "pay"}

// load sends calls open-loop: a Poisson process of so many calls a second, dealt out over the ways by chance, whatever
// became of earlier ones. It waits for the last answer.
func load(ctx context.Context, rate float64, d time.Duration, class string, seed uint64, ways ...*way) error {
	if rate <= 0 || rate > 100000 || d <= 0 {
		return fmt.Errorf("load: %v calls a second for %v", rate, d)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	room := make(chan struct{}, openMost)
	var calls sync.WaitGroup
	defer calls.Wait()
	begin := time.Now()
	for at, n := time.Duration(0), 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= d {
			return pause(ctx, time.Until(begin.Add(d)))
		}
		if err := pause(ctx, time.Until(begin.Add(at))); err != nil {
			return err
		}
		w := ways[random.IntN(len(ways))]
		addr, id := w.addr(), strconv.FormatUint(seed, 36)+"-"+strconv.Itoa(n)
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		calls.Go(func() {
			defer func() { <-room }()
			w.call(ctx, addr, class, id, begin.Add(at))
		})
	}
}

// call makes one call and notes how it ended, counted from the time at which it was due.
func (w *way) call(ctx context.Context, addr, class, id string, due time.Time) {
	status, err := w.exchange(ctx, addr, class, id)
	took := time.Since(due)
	if ctx.Err() != nil {
		return // nobody waits for it any more
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && status == http.StatusOK:
		w.calls.Served++
		w.histogram.RecordValue(max(1, min(took, latencyMax).Microseconds()))
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		w.calls.Refused++
	default:
		w.calls.Failed++
	}
}

var errBody = errors.New("the answer is not the endpoint's")

func (w *way) exchange(ctx context.Context, addr, class, id string) (int, error) {
	method, body := http.MethodPost, strings.Repeat("x", bodyLen)
	if class == effects["safe"] {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+class+"/x", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header = http.Header{"X-Request-Id": {id}, "X-Class": {class}, "X-Deadline": {"2.500"}}
	if class == effects["keyed"] {
		req.Header.Set("Idempotency-Key", id)
	}
	res, err := w.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err == nil && res.StatusCode == http.StatusOK && n != answerLen {
		err = errBody
	}
	return res.StatusCode, err
}

// rotate deals addresses out by chance, evenly.
func rotate(seed uint64, n int, addr func(i int) string) func() string {
	random := rand.New(rand.NewPCG(seed, 1))
	return func() string { return addr(random.IntN(n)) }
}
