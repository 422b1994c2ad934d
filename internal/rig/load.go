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
	maxOpenCalls      = 1000 // calls in flight at once; further calls wait, and the wait counts as latency
	clientDialTimeout = 2 * time.Second
	clientIdleTimeout = 1800 * time.Millisecond
	requestBodySize   = 212              // bytes, for calls with a body
	maxLatency        = 60 * time.Second // upper end of the histogram
)

// Latency is the latency distribution of served calls in milliseconds. Latency counts from the scheduled send time, so a
// call that is held up by slow answers to earlier calls includes its wait (no coordinated omission).
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Calls counts how the calls on one route ended.
type Calls struct {
	Served      int64   `json:"served"`
	Refused     int64   `json:"refused"`
	Failed      int64   `json:"failed"` // error status, broken connection, or no answer within 5 s
	Connections int64   `json:"connections"`
	Latency     Latency `json:"latency"`
}

// Total returns the number of calls.
func (c Calls) Total() int64 { return c.Served + c.Refused + c.Failed }

// route is one path for calls, through a sidecar or direct, with what was measured on it.
type route struct {
	nextAddr  func() string // returns the address for the next call; called only by sendCalls
	client    *http.Client
	dials     atomic.Int64
	mu        sync.Mutex
	calls     Calls                   // guarded by mu; Connections and Latency are unset
	histogram *hdrhistogram.Histogram // latency in microseconds, guarded by mu
}

// newRoute returns a route with its own HTTP client.
func newRoute(nextAddr func() string) *route {
	r := &route{nextAddr: nextAddr, histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	dialer := net.Dialer{Timeout: clientDialTimeout}
	r.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: maxOpenCalls, IdleConnTimeout: clientIdleTimeout, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			r.dials.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
	}}
	return r
}

// results returns what was measured so far.
func (r *route) results() Calls {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls, quantileMs := r.calls, func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	calls.Connections = r.dials.Load()
	calls.Latency = Latency{quantileMs(50), quantileMs(99), quantileMs(99.9), float64(r.histogram.Max()) / 1000}
	return calls
}

// close closes the idle connections.
func (r *route) close() { r.client.CloseIdleConnections() }

// classByEffect maps the effect of a call to the class that the sidecars' settings give it.
var classByEffect = map[string]string{"safe": "read", "keyed": "add", "unsafe": "pay"}

// callCount numbers the calls of this process. Their IDs are fresh, as the protocol wants, also where a run sends several loads with
// one seed.
var callCount atomic.Uint64

// sendCalls sends calls for the given duration and waits for the last answer. The load is open-loop: calls form a Poisson
// process of rate calls a second, independent of earlier answers, and each goes to a random route.
func sendCalls(ctx context.Context, rate float64, duration time.Duration, class string, seed uint64, routes ...*route) error {
	if rate <= 0 || rate > 100000 || duration <= 0 {
		return fmt.Errorf("load: cannot send %v calls a second for %v", rate, duration)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	slots := make(chan struct{}, maxOpenCalls)
	var calls sync.WaitGroup
	defer calls.Wait()
	started := time.Now()
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return sleep(ctx, time.Until(started.Add(duration)))
		}
		if err := sleep(ctx, time.Until(started.Add(at))); err != nil {
			return err
		}
		route := routes[random.IntN(len(routes))]
		addr, id := route.nextAddr(), strconv.FormatUint(seed, 36)+"-"+strconv.FormatUint(callCount.Add(1), 10)
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		calls.Go(func() {
			defer func() { <-slots }()
			route.call(ctx, addr, class, id, started.Add(at))
		})
	}
}

// call makes one call and records how it ended, with its latency counted from due.
func (r *route) call(ctx context.Context, addr, class, id string, due time.Time) {
	status, err := r.roundTrip(ctx, addr, class, id)
	latency := time.Since(due)
	if ctx.Err() != nil {
		return // the run has ended and the call is not counted
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil && status == http.StatusOK:
		r.calls.Served++
		r.histogram.RecordValue(max(1, min(latency, maxLatency).Microseconds()))
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		r.calls.Refused++
	default:
		r.calls.Failed++
	}
}

var errWrongBody = errors.New("the body is not the endpoint's answer")

// roundTrip makes one call and returns the status of its answer. It fails if a status 200 comes with a body of the wrong
// length.
func (r *route) roundTrip(ctx context.Context, addr, class, id string) (int, error) {
	method, body := http.MethodPost, strings.Repeat("x", requestBodySize)
	if class == classByEffect["safe"] {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+class+"/x", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header = http.Header{"X-Request-Id": {id}, "X-Class": {class}, "X-Deadline": {"2.500"}}
	if class == classByEffect["keyed"] {
		req.Header.Set("Idempotency-Key", id)
	}
	res, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err == nil && res.StatusCode == http.StatusOK && n != answerSize {
		err = errWrongBody
	}
	return res.StatusCode, err
}

// randomAddr returns a function that returns addr of a uniformly random number below n.
func randomAddr(seed uint64, n int, addr func(i int) string) func() string {
	random := rand.New(rand.NewPCG(seed, 1))
	return func() string { return addr(random.IntN(n)) }
}
