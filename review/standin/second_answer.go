package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	secondAnswerEvery = 20                    // one answer in so many comes twice
	secondAnswerDelay = 12 * time.Millisecond // the second one comes so much later
	secondService     = 40 * time.Millisecond
	secondClients     = 4
	callsPerClient    = 200
)

// secondAnswer: some answers come twice, the second time some milliseconds late. Broken: a client gets a 200 whose body
// no endpoint made for its request.
func secondAnswer(log *record, o options) (verdict, error) {
	var runs atomic.Int64
	answer := func(r *run, x *exchange) bool {
		time.Sleep(secondService)
		text := answerText(http.StatusOK, bodyFor(r.id))
		log.add(r.endpoint, "answers id=%s", r.id)
		if runs.Add(1)%secondAnswerEvery == 0 && o.trouble {
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
	var mu sync.Mutex
	foreign, served := 0, 0
	for n := range secondClients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{name: fmt.Sprintf("client-%d", n), addr: p.addr, log: log}
			defer c.close()
			for i := range callsPerClient {
				q := &request{
					id: fmt.Sprintf("%04x%04x", n, i), class: "handover", body: fmt.Sprintf("order %d-%d", n, i),
					deadline: callTimeout,
				}
				r := c.send(q, callTimeout+time.Second)
				mu.Lock()
				if r.status == http.StatusOK {
					served++
				}
				if r.status == http.StatusOK && r.body != bodyFor(q.id) {
					foreign++
					log.say("%s got %q for id=%s", c.name, r.body, q.id)
				}
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	log.say("%d requests, %d served, %d of them with the answer to another request", secondClients*callsPerClient, served, foreign)
	return foreign > 0, nil
}
