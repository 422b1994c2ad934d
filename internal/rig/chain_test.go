package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"

	"forkline/internal/sidecar"
)

// chain is a row of real sidecars, each with one endpoint. Each endpoint passes a call on through the next sidecar, with
// the deadline that it received.
type chain struct {
	testbeds  []*testbed // one for each hop
	mu        sync.Mutex
	deadlines map[string][]float64 // by call id: X-Deadline in seconds that the endpoint of each hop received; guarded by mu
}

// newChain starts a chain of the given number of hops.
func newChain(ctx context.Context, t *testing.T, hops int) *chain {
	t.Helper()
	program, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	c := &chain{deadlines: map[string][]float64{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenCalls}}
	t.Cleanup(client.CloseIdleConnections)
	for hop := range hops {
		b, err := newTestbed(ctx, program, 1, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.close)
		c.testbeds = append(c.testbeds, b)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			status := c.handle(client, hop, r)
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		target := b.endpoints.Target(0)
		target.Endpoint = server.Listener.Addr().String()
		if err := b.discovery.Change([]sidecar.Target{target}...); err != nil {
			t.Fatal(err)
		}
		if err := b.startSidecar(ctx, 0, false); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// handle records the deadline that an endpoint received and makes the call to the next hop. It returns the status of the
// answer.
func (c *chain) handle(client *http.Client, hop int, r *http.Request) int {
	id, deadline := r.Header.Get("X-Call"), r.Header.Get("X-Deadline")
	seconds, err := strconv.ParseFloat(deadline, 64)
	if err != nil {
		return http.StatusBadRequest
	}
	c.mu.Lock()
	if len(c.deadlines[id]) == hop { // the first attempt of this call at this hop
		c.deadlines[id] = append(c.deadlines[id], seconds)
	}
	nextHop := hop + 1
	c.mu.Unlock()
	if nextHop == len(c.testbeds) || seconds <= 0 {
		return http.StatusOK
	}
	status, _ := c.call(r.Context(), client, nextHop, id, deadline)
	return status
}

// call makes a call through the sidecar of a hop.
func (c *chain) call(ctx context.Context, client *http.Client, hop int, id, deadline string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.testbeds[hop].addr(0)+"/read/x", nil)
	if err != nil {
		return http.StatusInternalServerError, err
	}
	req.Header = http.Header{"X-Request-Id": {fmt.Sprint(id, "-", hop)}, "X-Call": {id}, "X-Class": {"read"}, "X-Deadline": {deadline}}
	res, err := client.Do(req)
	if err != nil {
		return http.StatusInternalServerError, err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode, nil
}

// A deadline that a sidecar lengthens would let calls run after their clients have stopped waiting. Along a chain of
// sidecars no endpoint may receive a longer deadline than the one before it. By how much each hop shortens it is only
// logged, as that depends on the machine.
func TestDeadlinesNeverGrowThroughRealSidecars(t *testing.T) {
	const hops, calls, firstDeadline = 8, 300, 0.6
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	c := newChain(ctx, t, hops)
	loadBefore, _ := LoadAverage()
	served := 0
	for i := range calls {
		if status, err := c.call(ctx, http.DefaultClient, 0, strconv.Itoa(i), fmt.Sprint(firstDeadline)); err == nil && status == http.StatusOK {
			served++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := 0
	var reductions [2][hops][]float64 // ms by hop, in the first 5 calls and in the second half
	for i := range calls {
		previous, deadlines := firstDeadline, c.deadlines[strconv.Itoa(i)]
		for hop, s := range deadlines {
			if s > previous {
				t.Errorf("call %d: endpoint %d received a deadline of %v s, the one before it %v s", i, hop, s, previous)
			}
			switch {
			case i < 5:
				reductions[0][hop] = append(reductions[0][hop], 1000*(previous-s))
			case i >= calls/2:
				reductions[1][hop] = append(reductions[1][hop], 1000*(previous-s))
			}
			previous = s
		}
		if len(deadlines) == hops {
			complete++
		}
	}
	if complete == 0 {
		t.Error("no call reached the last endpoint")
	}
	for i, when := range []string{"first calls", "last calls"} {
		text := ""
		for hop := range reductions[i] {
			if k := reductions[i][hop]; len(k) > 0 {
				slices.Sort(k)
				text += fmt.Sprintf(" %.0f (%.0f)", k[len(k)/2], k[len(k)-1])
			}
		}
		t.Logf("%s: ms taken from the deadline at each hop, median (max):%s", when, text)
	}
	t.Logf("%d of %d calls served, %d reached the last endpoint; load %.1f", served, calls, complete, loadBefore)
}
