package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// run is one request that an endpoint has begun, because its last byte has arrived.
type run struct {
	endpoint string
	id       string // X-Request-Id
	key      string // Idempotency-Key
	class    string
	deadline float64 // X-Deadline in seconds
	body     string
}

// exchange is the connection on which a run arrived.
type exchange struct {
	net.Conn
	mu sync.Mutex
}

// write sends text as a whole; several goroutines may do so.
func (x *exchange) write(text string) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, err := io.WriteString(x.Conn, text)
	return err
}

// answerFunc answers one run. It returns false to close the connection.
type answerFunc func(r *run, x *exchange) (keep bool)

// endpoint is a stand-in server of a tier. What it answers is decided by the case.
type endpoint struct {
	name     string
	listener net.Listener
	log      *record
	answer   answerFunc

	mu    sync.Mutex
	runs  []*run
	conns map[net.Conn]bool
}

// startEndpoint starts an endpoint on a free loopback port.
func startEndpoint(log *record, name string, answer answerFunc) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{name: name, listener: listener, log: log, answer: answer, conns: map[net.Conn]bool{}}
	go e.serve()
	return e, nil
}

func (e *endpoint) target(podGroup int) target {
	return target{
		UID: e.name, Endpoint: e.listener.Addr().String(), Zone: "dc-muenchen", Model: "orders-fast",
		PodGroup: podGroup, State: "Ready", Capacity: 1,
	}
}

func (e *endpoint) serve() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serveConn(c)
	}
}

// serveConn serves the requests of one connection in turn.
func (e *endpoint) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader, x := bufio.NewReader(c), &exchange{Conn: c}
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r := &run{
			endpoint: e.name, id: req.Header.Get("X-Request-Id"), key: req.Header.Get("Idempotency-Key"),
			class: req.Header.Get("X-Class"), body: string(body),
		}
		r.deadline, _ = strconv.ParseFloat(req.Header.Get("X-Deadline"), 64)
		e.mu.Lock()
		e.runs = append(e.runs, r)
		e.mu.Unlock()
		e.log.add(e.name, "runs id=%s body=%q X-Deadline=%.3f", r.id, r.body, r.deadline)
		if !e.answer(r, x) {
			return
		}
	}
}

// allRuns returns what the endpoint has begun.
func (e *endpoint) allRuns() []*run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*run(nil), e.runs...)
}

func (e *endpoint) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// answerText returns a complete answer with a length.
func answerText(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// bodyFor is the body of the answer that an endpoint makes for a request.
func bodyFor(id string) string { return "answer to " + id }
