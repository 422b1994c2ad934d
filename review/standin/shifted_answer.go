package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shiftedClients        = 6
	shiftedCallsPerClient = 300
	shiftedService        = 40 * time.Millisecond
	turnedAwayEvery       = 6  // one request in so many is turned away, after it has waited as long as others take
	shiftedAnswerEvery    = 10 // one answer in so many comes twice
	lastRunWait           = 100 * time.Millisecond
)

// shiftedAnswer: some answers come twice, the second time some milliseconds late, at endpoints that turn some requests
// away. Broken: a request of an unsafe class runs more than once.
func shiftedAnswer(log *record, o options) (verdict, error) {
	var received, served atomic.Int64
	var mu sync.Mutex
	runs := map[string][]string{}
	answer := func(r *run, x *exchange) bool {
		if received.Add(1)%turnedAwayEvery == 0 {
			time.Sleep(shiftedService)
			log.add(r.endpoint, "turns id=%s away", r.id)
			return x.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n") == nil
		}
		mu.Lock()
		runs[r.id] = append(runs[r.id], r.endpoint)
		mu.Unlock()
		time.Sleep(shiftedService)
		text := answerText(http.StatusOK, bodyFor(r.id))
		log.add(r.endpoint, "has run id=%s and answers", r.id)
		if served.Add(1)%shiftedAnswerEvery == 0 && o.trouble {
			time.AfterFunc(secondAnswerDelay, func() {
				log.add(r.endpoint, "answers id=%s once more", r.id)
				x.write(text)
			})
		}
		return x.write(text) == nil
	}
	p, err := newPlatform(log, deployment{
		root: o.root, run: o.run, sockets: 384, memoryMB: 64, answers: []answerFunc{answer, answer, answer, answer},
	})
	defer p.close()
	if err != nil {
		return held, err
	}
	var group sync.WaitGroup
	for n := range shiftedClients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{name: fmt.Sprintf("client-%d", n), addr: p.addr, log: log}
			defer c.close()
			for i := range shiftedCallsPerClient {
				c.send(&request{
					id: fmt.Sprintf("%04x%04x", n, i), class: "handover", body: fmt.Sprintf("order %d-%d", n, i),
					deadline: callTimeout,
				}, callTimeout+time.Second)
			}
		}()
	}
	group.Wait()
	time.Sleep(lastRunWait)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, endpoints := range runs {
		if len(endpoints) > 1 {
			twice++
			log.say("id=%s ran at %v", id, endpoints)
		}
	}
	log.say("%d requests, %d ran more than once", shiftedClients*shiftedCallsPerClient, twice)
	return twice > 0, nil
}
