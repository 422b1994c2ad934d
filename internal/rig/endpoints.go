package rig

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"forkline/internal/sidecar"
)

const (
	maxRequestBody      = 64 << 10         // limit of the protocol, in bytes
	endpointIdleTimeout = 10 * time.Second // after which an endpoint closes a connection
	answerSize          = 256              // body of an answer, in bytes
)

// Endpoints is a set of stand-in endpoints. Each accepts any number of connections and answers a call after a fixed
// service time. A new connection adds no simulated cost.
type Endpoints struct {
	serviceTime time.Duration
	server      *http.Server
	listeners   []net.Listener
	answer      []byte
	ctx         context.Context
	cancel      context.CancelFunc

	calls, connections atomic.Int64
}

// NewEndpoints starts n endpoints on loopback. Close stops them.
func NewEndpoints(n int, serviceTime time.Duration) (*Endpoints, error) {
	if n < 1 || n > MaxEndpointAddrs {
		return nil, fmt.Errorf("endpoints: %d; the number must be from 1 to %d", n, MaxEndpointAddrs)
	}
	e := &Endpoints{serviceTime: serviceTime, answer: make([]byte, answerSize)}
	for i := range e.answer {
		e.answer[i] = 'x'
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.server = &http.Server{
		Handler: http.HandlerFunc(e.handle), IdleTimeout: endpointIdleTimeout, ReadHeaderTimeout: callTimeout,
		ErrorLog: log.New(io.Discard, "", 0),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				e.connections.Add(1)
			}
		},
	}
	for range n {
		ln, err := net.Listen("tcp", listenAddr)
		if err != nil {
			e.Close()
			return nil, fmt.Errorf("endpoints: %w", err)
		}
		e.listeners = append(e.listeners, ln)
		go e.server.Serve(ln) // returns after Close
	}
	return e, nil
}

// Close stops all endpoints.
func (e *Endpoints) Close() {
	e.cancel()
	e.server.Close()
	for _, ln := range e.listeners {
		ln.Close()
	}
}

// Addr returns the address of endpoint i. Numbers past the last endpoint start again at the first.
func (e *Endpoints) Addr(i int) string { return e.listeners[i%len(e.listeners)].Addr().String() }

// Target returns list entry i. Entries past the last address are hollow: they share the addresses of earlier entries.
func (e *Endpoints) Target(i int) sidecar.Target {
	return sidecar.Target{
		UID: "s-" + strconv.Itoa(i), Endpoint: e.Addr(i), Zone: "z", Kind: "k", Cell: uint16(i % 16), State: "Ready", Weight: 1,
	}
}

// Targets returns the first n list entries.
func (e *Endpoints) Targets(n int) []sidecar.Target {
	var targets []sidecar.Target
	for i := range n {
		targets = append(targets, e.Target(i))
	}
	return targets
}

// handle answers a call, or with status 404 a request without an id.
func (e *Endpoints) handle(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Request-Id") == "" {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBody)); err != nil {
		return
	}
	e.calls.Add(1)
	if e.serviceTime > 0 {
		timer := time.NewTimer(e.serviceTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(e.answer)))
	w.Write(e.answer)
}
