package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	spoiltEvery   = 10 // one answer in so many is spoilt
	spoiltService = 30 * time.Millisecond
	orders        = 100
	maxTries      = 4 // of a client, for one order
	callTimeout   = 6 * time.Second
)

// spoiltStatus: endpoints run requests of an unsafe class and spoil some answers with the status 429. A client tries
// again only after a refusal. Broken: an order ran more than once.
func spoiltStatus(log *record, o options) (verdict, error) {
	var runs atomic.Int64
	answer := func(r *run, x *exchange) bool {
		time.Sleep(spoiltService)
		status := http.StatusOK
		if runs.Add(1)%spoiltEvery == 0 && o.trouble {
			status = http.StatusTooManyRequests
		}
		log.add(r.endpoint, "answers id=%s with %d", r.id, status)
		return x.write(answerText(status, bodyFor(r.id))) == nil
	}
	p, err := newPlatform(log, deployment{
		root: o.root, run: o.run, sockets: 384, memoryMB: 64, answers: []answerFunc{answer, answer, answer, answer},
	})
	defer p.close()
	if err != nil {
		return held, err
	}
	c := &client{name: "client", addr: p.addr, log: log}
	defer c.close()
	refusedAfterRun := 0
	for order := range orders {
		for try := range maxTries {
			q := &request{
				id: fmt.Sprintf("%04x%04x", order, try), class: "handover", body: fmt.Sprintf("order %d", order),
				deadline: callTimeout, isRetry: try > 0,
			}
			r := c.send(q, callTimeout+time.Second)
			if !isRefusal(r.status) {
				break
			}
			if hasRun(p, q.id) {
				refusedAfterRun++
				log.say("id=%s was refused with %d, although it had run", q.id, r.status)
			}
		}
	}
	twice := 0
	for order, n := range runsByBody(p) {
		if n > 1 {
			twice++
			log.say("%s ran %d times", order, n)
		}
	}
	log.say("%d orders, %d refusals of requests that had run, %d orders ran more than once", orders, refusedAfterRun, twice)
	return twice > 0, nil
}

// hasRun reports whether an endpoint has begun a request.
func hasRun(p *platform, id string) bool {
	for _, e := range p.endpoints {
		for _, r := range e.allRuns() {
			if r.id == id {
				return true
			}
		}
	}
	return false
}

// runsByBody returns how often each request body has run.
func runsByBody(p *platform) map[string]int {
	count := map[string]int{}
	for _, e := range p.endpoints {
		for _, r := range e.allRuns() {
			count[r.body]++
		}
	}
	return count
}
