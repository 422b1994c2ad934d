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
	maxBody   = 64 << 10         // of a request, as the protocol says
	endIdle   = 10 * time.Second // an endpoint closes a connection that was idle for so long
	answerLen = 256              // bytes of an answer
)

// Endpoints is a set of stand-in endpoints. Each takes any number of connections, works for a fixed time on a call and
// serves it; a new connection costs it nothing.
type Endpoints struct {
	work      time.Duration
	server    *http.Server
	listeners []net.Listener
	answer    []byte
	ctx       context.Context
	stop      context.CancelFunc

	calls, connections atomic.Int64
}

// NewEndpoints starts n of them on loopback. Close ends them.
func NewEndpoints(n int, work time.Duration) (*Endpoints, error) {
	if n < 1 || n > MaxListeners {
		return nil, fmt.Errorf("endpoints: %d; 1 to %d are started", n, MaxListeners)
	}
	e := &Endpoints{work: work, answer: make([]byte, answerLen)}
	for i := range e.answer {
		e.answer[i] = 'x'
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.server = &http.Server{
		Handler: http.HandlerFunc(e.handle), IdleTimeout: endIdle, ReadHeaderTimeout: callTimeout,
		ErrorLog: log.New(io.Discard, "", 0),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				e.connections.Add(1)
			}
		},
	}
	for range n {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			e.Close()
			return nil, fmt.Errorf("endpoints: %w", err)
		}
		e.listeners = append(e.listeners, ln)
		go e.server.Serve(ln) // ends with Close
	}
	return e, nil
}

// Close ends them all.
func (e *Endpoints) Close() {
	e.stop()
	e.server.Close()
	for _, ln := range e.listeners {
		ln.Close()
	}
}

// Addr is the address of the endpoint of that number; past the last one they are used again.
func (e *Endpoints) Addr(i int) string { return e.listeners[i%len(e.listeners)].Addr().String() }

// Target is the entry of that number in a list. Entries past the last address are hollow: they share the others'.
func (e *Endpoints) Target(i int) sidecar.Target {
	return sidecar.Target{
		UID: "s-" + strconv.Itoa(i), Endpoint: e.Addr(i), Zone: "z", Kind: "k", Cell: uint16(i % 16), State: "Ready", Weight: 1,
	}
}

// Targets are the first n entries.
func (e *Endpoints) Targets(n int) []sidecar.Target {
	var all []sidecar.Target
	for i := range n {
		all = append(all, e.Target(i))
	}
	return all
}

func (e *Endpoints) handle(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Request-Id") == "" {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		return
	}
	e.calls.Add(1)
	if e.work > 0 {
		timer := time.NewTimer(e.work)
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
