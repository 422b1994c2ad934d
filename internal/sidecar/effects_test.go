package sidecar

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// endpointBehavior is what an endpoint does with a request once it has read it.
type endpointBehavior struct {
	name     string
	response string // "%s" stands for the ID of the request
	notRun   bool   // the request does not run, and the response proves it
	closes   bool   // the connection is closed after the response
	resets   bool   // closing it resets it
}

// endpointBehaviors lists ways to answer, among them those that could be mistaken for a refusal or for a proof.
var endpointBehaviors = []endpointBehavior{
	{name: "served", response: "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n%s"},
	{name: "served in chunks", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n%s\r\n0\r\n\r\n"},
	{name: "served, then closed", response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 17\r\n\r\n%s", closes: true},
	{name: "served twice", response: strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n%s", 2)},
	{name: "rejected", response: "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", notRun: true},
	{name: "rejected as late", response: "HTTP/1.1 504 G\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", notRun: true},
	{name: "503", response: "HTTP/1.1 503 U\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"},
	{name: "503, contradictory", response: "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nX-Not-Run: 0\r\nContent-Length: 0\r\n\r\n"},
	{name: "503, cut off", response: "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\n", closes: true},
	{name: "504", response: "HTTP/1.1 504 G\r\nContent-Length: 0\r\n\r\n"},
	{name: "500", response: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"},
	{name: "500 with X-Not-Run", response: "HTTP/1.1 500 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "429", response: "HTTP/1.1 429 T\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"},
	{name: "429 with X-Not-Run", response: "HTTP/1.1 429 T\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "400", response: "HTTP/1.1 400 B\r\nContent-Length: 0\r\n\r\n"},
	{name: "204 with X-Not-Run", response: "HTTP/1.1 204 N\r\nX-Not-Run: 1\r\n\r\n"},
	{name: "103 with X-Not-Run, then 503", response: "HTTP/1.1 103 E\r\nX-Not-Run: 1\r\n\r\nHTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n"},
	{name: "noise", response: "\x16\x03\x01 503 X-Not-Run: 1\r\n\r\n", closes: true},
	{name: "no length", response: "HTTP/1.1 200 OK\r\n\r\n%s", closes: true},
	{name: "no length, reset", response: "HTTP/1.1 200 OK\r\n\r\n%s and half", closes: true, resets: true},
	{name: "no length, rejected", response: "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\n\r\n", closes: true, notRun: true},
	{name: "no length, 503", response: "HTTP/1.1 503 U\r\n\r\n", closes: true},
	{name: "no length, a refusal that is reset", response: "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\n\r\n", closes: true, resets: true},
	{name: "cut off in the head", response: "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\n", closes: true},
	{name: "closed", closes: true},
	{name: "reset", closes: true, resets: true},
}

// effectsRecorder records what endpoints have run, by order. All tries of a client for one order share its name.
type effectsRecorder struct {
	mu    sync.Mutex
	runs  map[string]int
	cells map[string]map[uint16]bool
	// behaviors holds the names of what endpoints did with each order, in sequence.
	behaviors map[string][]string
}

func newEffectsRecorder() *effectsRecorder {
	return &effectsRecorder{runs: map[string]int{}, cells: map[string]map[uint16]bool{}, behaviors: map[string][]string{}}
}

// handle decides what an endpoint of a cell does with a request, and records it. The decision follows from the seed, the
// request's ID and the number of attempts of its order so far, so it does not depend on timing.
func (r *effectsRecorder) handle(id string, cell uint16, seed uint64) *endpointBehavior {
	const faultyShare = 0.6
	order := orderOf(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := fnv.New64a()
	fmt.Fprint(sum, id, len(r.behaviors[order]))
	random := rand.New(rand.NewPCG(seed, sum.Sum64()))
	behavior := &endpointBehaviors[0]
	if random.Float64() < faultyShare {
		behavior = &endpointBehaviors[random.IntN(len(endpointBehaviors))]
	}
	r.behaviors[order] = append(r.behaviors[order], behavior.name)
	if behavior.notRun {
		return behavior
	}
	r.runs[order]++
	if r.cells[order] == nil {
		r.cells[order] = map[uint16]bool{}
	}
	r.cells[order][cell] = true
	return behavior
}

func (r *effectsRecorder) hasRun(order string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[order] > 0
}

// check reports orders whose effects were repeated.
func (r *effectsRecorder) check(t *testing.T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for order, runs := range r.runs {
		if strings.HasPrefix(order, "pay") && runs > 1 {
			t.Errorf("%s ran %d times; endpoints: %q", order, runs, r.behaviors[order])
		}
		if strings.HasPrefix(order, "add") && len(r.cells[order]) > 1 {
			t.Errorf("%s ran in cells %v; endpoints: %q", order, r.cells[order], r.behaviors[order])
		}
	}
}

// orderOf returns the name of the order from the ID of one of its tries.
func orderOf(id string) string { return id[:strings.LastIndex(id, "-")] }

// startEndpoint starts an endpoint of a cell.
func (r *effectsRecorder) startEndpoint(t *testing.T, seed uint64, cell uint16) net.Listener {
	return startServer(t, func(_ int, c net.Conn, req *http.Request) bool {
		id := req.Header.Get("X-Request-Id")
		behavior := r.handle(id, cell, seed)
		if behavior.resets {
			c.(*net.TCPConn).SetLinger(0)
		}
		io.WriteString(c, strings.ReplaceAll(behavior.response, "%s", id))
		return !behavior.closes
	})
}

// orderingClient sends orders one by one and tries again as the protocol allows: after a refusal only, under a new ID.
type orderingClient struct {
	addr     string
	recorder *effectsRecorder
	conn     net.Conn
	input    *bufio.Reader
	statuses map[int]int // responses by status
}

// place sends an order of a class until it is not refused, and checks each final response.
func (c *orderingClient) place(t *testing.T, order, class string) {
	const maxTries = 4
	for try := range maxTries {
		id := fmt.Sprintf("%s-%d", order, try)
		status, body, err := c.send(id, class)
		if err != nil {
			t.Errorf("%s: no whole response: %v", id, err)
			return
		}
		c.statuses[status]++
		if status == http.StatusOK && body != id {
			t.Errorf("%s: got the response to %q", id, body)
		}
		if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			return
		}
		if class != "read" && c.recorder.hasRun(order) {
			t.Errorf("%s: refused with %d although the order has run", id, status)
		}
	}
}

// send makes one try and returns the status and body of the final response.
func (c *orderingClient) send(id, class string) (status int, body string, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.addr); err != nil {
			return 0, "", err
		}
		c.input = bufio.NewReader(c.conn)
	}
	method, key := "POST", ""
	switch class {
	case "read":
		method = "GET"
	case "add":
		key = "Idempotency-Key: " + orderOf(id) + "\r\n"
	}
	fmt.Fprintf(c.conn, "%s /%s/x HTTP/1.1\r\nHost: b\r\nX-Class: %s\r\nX-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", method, class, class, id, key)
	c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.input, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(res.Body)
	if res.Close || err != nil {
		c.conn.Close()
		c.conn = nil
	}
	return res.StatusCode, string(text), err
}

// Guards against work that runs twice by any response of an endpoint: clients that try again after a refusal, and the
// sidecar's own repeats, must not run an unsafe order twice or a keyed one in two cells.
func TestEffectsAreNotRepeatedWhateverEndpointsAnswer(t *testing.T) {
	const endpoints, cells, clients, ordersPerClient = 6, 3, 8, 60
	classes := []string{"read", "pay", "add"}
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			recorder := newEffectsRecorder()
			cfg := longTimeoutConfig(t)
			for i := range endpoints {
				cell := uint16(i % cells)
				cfg.InitialList.Targets = append(cfg.InitialList.Targets, Target{
					UID: fmt.Sprint("s-", i), Endpoint: recorder.startEndpoint(t, seed, cell).Addr().String(),
					Zone: "z", Kind: "k", Cell: cell, State: "Ready",
				})
			}
			s := startSidecar(t, cfg)
			var group sync.WaitGroup
			for i := range clients {
				c := &orderingClient{addr: s.listener.Addr().String(), recorder: recorder, statuses: map[int]int{}}
				group.Go(func() {
					for n := range ordersPerClient {
						class := classes[n%len(classes)]
						c.place(t, fmt.Sprintf("%s-%06d-%04d", class[:3], i, n), class)
					}
					t.Logf("client %d: responses by status: %v", i, c.statuses)
				})
			}
			group.Wait()
			recorder.check(t)
		})
	}
}
