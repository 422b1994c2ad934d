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

// chain is a row of real sidecars, each with one endpoint, which makes its call by the next sidecar. An endpoint hands
// on the time that it was told.
type chain struct {
	hops []*bench
	mu   sync.Mutex
	told map[string][]float64 // by call: seconds, by hop
}

// chained starts a chain of so many.
func chained(ctx context.Context, t *testing.T, hops int) *chain {
	t.Helper()
	program, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	c := &chain{told: map[string][]float64{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: openMost}}
	t.Cleanup(client.CloseIdleConnections)
	for hop := range hops {
		b, err := newBench(ctx, program, 1, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.close)
		c.hops = append(c.hops, b)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			status := c.pass(client, hop, r)
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		target := b.endpoints.Target(0)
		target.Endpoint = server.Listener.Addr().String()
		if err := b.discovery.Change([]sidecar.Target{target}...); err != nil {
			t.Fatal(err)
		}
		if err := b.start(ctx, 0, false); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// pass notes what an endpoint was told and makes its call.
func (c *chain) pass(client *http.Client, hop int, r *http.Request) int {
	id, deadline := r.Header.Get("X-Call"), r.Header.Get("X-Deadline")
	seconds, err := strconv.ParseFloat(deadline, 64)
	if err != nil {
		return http.StatusBadRequest
	}
	c.mu.Lock()
	if len(c.told[id]) == hop { // not a further attempt
		c.told[id] = append(c.told[id], seconds)
	}
	next := hop + 1
	c.mu.Unlock()
	if next == len(c.hops) || seconds <= 0 {
		return http.StatusOK
	}
	status, _ := c.call(r.Context(), client, next, id, deadline)
	return status
}

// call makes a call by the sidecar of a hop.
func (c *chain) call(ctx context.Context, client *http.Client, hop int, id, deadline string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.hops[hop].addr(0)+"/read/x", nil)
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

// TestDeadlinesGoThroughRealSidecars has calls go through a row of sidecars: no endpoint is told more time than the one
// before it. How much each hop keeps is noted only, as it depends on the machine.
func TestDeadlinesGoThroughRealSidecars(t *testing.T) {
	const hops, calls, first = 8, 300, 0.6
	ctx, cancel := context.WithTimeout(context.Background(), 2*long)
	defer cancel()
	c := chained(ctx, t, hops)
	before, _ := Load()
	served := 0
	for i := range calls {
		if status, err := c.call(ctx, http.DefaultClient, 0, strconv.Itoa(i), fmt.Sprint(first)); err == nil && status == http.StatusOK {
			served++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := 0
	var kept [2][hops][]float64 // ms, in the first calls and in the last ones
	for i := range calls {
		last, told := first, c.told[strconv.Itoa(i)]
		for hop, s := range told {
			if s > last {
				t.Errorf("call %d: endpoint %d was told %v s, the one before %v", i, hop, s, last)
			}
			switch {
			case i < 5:
				kept[0][hop] = append(kept[0][hop], 1000*(last-s))
			case i >= calls/2:
				kept[1][hop] = append(kept[1][hop], 1000*(last-s))
			}
			last = s
		}
		if len(told) == hops {
			whole++
		}
	}
	if whole == 0 {
		t.Error("no call came to the last endpoint")
	}
	for i, when := range []string{"first calls", "last calls"} {
		text := ""
		for hop := range kept[i] {
			if k := kept[i][hop]; len(k) > 0 {
				slices.Sort(k)
				text += fmt.Sprintf(" %.0f (%.0f)", k[len(k)/2], k[len(k)-1])
			}
		}
		t.Logf("%s: ms less told at each hop, median (most):%s", when, text)
	}
	t.Logf("%d of %d served, %d came to the end; load %.1f", served, calls, whole, before)
}
