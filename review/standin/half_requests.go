package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	halfRequestClients = 420 // clients that stop in the middle of a request and stay
	halfRequestService = 50 * time.Millisecond
	goodClients        = 5
	goodDeadline       = 480 * time.Millisecond // as in the example of the protocol page
	answerGrace        = 500 * time.Millisecond // up to half a second after its time an answer only earns nothing
	socketSlack        = 50 * time.Millisecond
	badClientLimit     = 3 * time.Second
)

// halfRequests: clients stop in the middle of a request and stay. Broken: a request of another client gets no final
// answer by half a second after its time, although its connection was not closed unread.
func halfRequests(log *record, o options) (verdict, error) {
	answer := func(r *run, x *exchange) bool {
		time.Sleep(halfRequestService)
		return x.write(answerText(200, bodyFor(r.id))) == nil
	}
	p, err := newPlatform(log, deployment{
		root: o.root, run: o.run, sockets: 256, memoryMB: 48, answers: []answerFunc{answer, answer, answer, answer},
	})
	defer p.close()
	if err != nil {
		return held, err
	}
	var bad sync.WaitGroup
	if o.trouble {
		for n := range halfRequestClients {
			stopHalfway(log, p.addr, n, &bad)
		}
	}
	var good sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for n := range goodClients {
		good.Add(1)
		go func() {
			defer good.Done()
			c := &client{name: fmt.Sprintf("client-%d", n), addr: p.addr, log: log}
			defer c.close()
			q := &request{id: fmt.Sprintf("good%04x", n), class: "handover", body: "order", deadline: goodDeadline}
			r := c.send(q, 5*time.Second)
			if errors.Is(r.err, errUnread) || errors.Is(r.err, io.EOF) || errors.Is(r.err, syscall.ECONNRESET) {
				return // shut unread
			}
			if limit := goodDeadline + answerGrace + socketSlack; r.err != nil || r.after > limit {
				mu.Lock()
				lost++
				mu.Unlock()
				log.say("id=%s: status %d after %.3f s, more than half a second after its time of %.3f s", q.id, r.status, r.after.Seconds(), goodDeadline.Seconds())
			}
		}()
	}
	good.Wait()
	bad.Wait()
	log.say("%d requests of good clients, %d without a final answer in time", goodClients, lost)
	return lost > 0, nil
}

// stopHalfway sends the first half of a request. A goroutine then waits until the sidecar closes the connection.
func stopHalfway(log *record, addr string, n int, group *sync.WaitGroup) {
	begin := time.Now()
	conn, err := net.Dial("tcp", addr)
	if err == nil {
		_, err = io.WriteString(conn, "POST /handover HTTP/1.1\r\nHost: backend.local\r\n")
	}
	if err != nil {
		log.add("bad client", "%d cannot send: %v", n, err)
		return
	}
	group.Add(1)
	go func() {
		defer group.Done()
		defer conn.Close()
		conn.SetReadDeadline(begin.Add(2 * badClientLimit))
		_, err := io.Copy(io.Discard, conn)
		log.add("bad client", "%d ended %.3f s after it connected: %v", n, time.Since(begin).Seconds(), err)
	}()
}
