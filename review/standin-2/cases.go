package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	drainGrace   = 750 * time.Millisecond // safety.drainGrace in the settings
	slack        = 50 * time.Millisecond  // PROTOCOL: each time limit is 50 ms longer on sockets
	endpointEnd  = 8 * time.Second        // from the silence to the end of the draining endpoint
	silenceLimit = 6 * time.Second        // STANDING: what a silent watch misses counts as told
)

var (
	reserve  = class("reserve", "idempotency_key", 6000)
	handover = class("handover", "non_idempotent", 6000)
)

// silentWatch lets the one watch fall silent and answers the next call with 503. Half a second after the silence began an
// endpoint begins to drain. It finishes what it has, serves what still comes, and ends 8 s after the silence, 1.2 s after the
// last moment at which a request may have been sent to it.
func silentWatch(b *bed) (bool, error) {
	b.endpoints.handle = answerAfter(300 * time.Millisecond)
	if err := b.start(3, 64, 384, settings(reserve, handover)); err != nil {
		return false, err
	}
	t := startTraffic(b.rec, b.sidecar.addr, "handover", 8, 150*time.Millisecond)
	stop := sync.OnceValue(t.stop)
	defer stop()
	time.Sleep(2 * time.Second)
	// The sidecar asks in slots of whole seconds, so the silence begins after an empty line in the same phase in each run.
	const round = 5 * time.Second
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		beat := b.discovery.lastBeat()
		if phase := beat.Sub(beat.Truncate(round)); time.Since(beat) < 100*time.Millisecond && phase > time.Second && phase < 2*time.Second {
			break
		}
		if time.Now().After(deadline) {
			return false, fmt.Errorf("%w: no empty line in the phase", errCannotRun)
		}
	}
	silentAt := time.Now()
	if b.trouble {
		b.discovery.silenceWatches()
		b.discovery.refuse(1)
	}
	time.Sleep(500 * time.Millisecond)
	b.discovery.setState("s-0", "Terminating")
	time.Sleep(time.Until(silentAt.Add(endpointEnd)))
	b.endpoints.end(0)
	time.Sleep(time.Until(silentAt.Add(endpointEnd + 3*time.Second)))
	answers := stop()

	return b.checkDrain(silentAt, silentAt.Add(silenceLimit), answers)
}

// checkDrain checks that the draining endpoint got no request after the grace. The change counts as told at the given time,
// or when it was written to the sidecar if that was earlier.
func (b *bed) checkDrain(troubleAt, told time.Time, answers []answer) (bool, error) {
	if at, ok := b.discovery.told(); ok && at.Before(told) {
		told = at
	}
	latest := told.Add(drainGrace + slack)
	late, before, cut := 0, 0, 0
	for _, r := range b.endpoints.requests() {
		switch {
		case r.endpoint != "s-0":
		case r.at.After(latest):
			late++
			b.rec.add("sent to the draining endpoint %.3f s after it counts as told: %s", r.at.Sub(told).Seconds(), r.id)
			if n := slices.IndexFunc(answers, func(a answer) bool { return a.id == r.id }); n >= 0 && answers[n].status != http.StatusOK {
				cut++
			}
		default:
			before++
		}
	}
	b.rec.say("the change counts as told %.3f s after the disruption; %d requests to the draining endpoint up to %.3f s after that, %d later, of which %d had begun and were cut off",
		told.Sub(troubleAt).Seconds(), before, (drainGrace + slack).Seconds(), late, cut)
	if before == 0 {
		return false, fmt.Errorf("%w: the endpoint got nothing before it drained", errCannotRun)
	}
	return late > 0, nil
}

// readyBody has one peer ask whether the sidecar is ready with a request that has a body, as no page describes. The body
// reads like a request of the unsafe class, which no client sends.
func readyBody(b *bed) (bool, error) {
	if err := b.start(3, 64, 384, settings(reserve, handover)); err != nil {
		return false, err
	}
	t := startTraffic(b.rec, b.sidecar.addr, "handover", 4, 200*time.Millisecond)
	time.Sleep(time.Second)
	body := ""
	if b.trouble {
		body = requestText("handover", "body-of-a-peer", "", 3*time.Second, "order of nobody")
	}
	conn, err := net.Dial("tcp", b.sidecar.addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	text := "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n"
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	b.rec.add("peer sends %q", text+"\r\n"+body)
	io.WriteString(conn, text+"\r\n"+body)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	got, _ := io.ReadAll(conn)
	b.rec.add("peer gets %q", got)
	answers := t.stop()
	sent := map[string]bool{}
	for _, a := range answers {
		sent[a.id] = true
	}
	foreign := 0
	for _, r := range b.endpoints.requests() {
		if !sent[r.id] {
			foreign++
			b.rec.add("endpoint %s ran %s %s, which no client sent as a request of its own: %q", r.endpoint, r.path, r.id, r.body)
		}
	}
	b.rec.say("clients sent %d requests; endpoints ran %d, of which %d were sent by no client", len(answers), len(b.endpoints.requests()), foreign)
	return foreign > 0, nil
}

// noLength has endpoints answer with no length and end each answer in order, by closing the connection.
func noLength(b *bed) (bool, error) {
	b.endpoints.handle = func(w http.ResponseWriter, _ *http.Request, id string) {
		time.Sleep(20 * time.Millisecond)
		body := "served " + id
		if !b.trouble {
			io.WriteString(w, body)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close() // ends the answer in order
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
	}
	if err := b.start(3, 64, 384, settings(reserve, handover)); err != nil {
		return false, err
	}
	t := startTraffic(b.rec, b.sidecar.addr, "handover", 4, 100*time.Millisecond)
	time.Sleep(10 * time.Second)
	answers := t.stop()
	ran := map[string]bool{}
	for _, r := range b.endpoints.requests() {
		ran[r.id] = true
	}
	served, failed := 0, 0
	for _, a := range answers {
		switch {
		case !ran[a.id]:
		case a.status == http.StatusOK && a.body == "served "+a.id:
			served++
		default:
			failed++
		}
	}
	b.rec.say("endpoints ran %d requests and answered all of them whole; clients got %d of these answers, and %d other answers", len(ran), served, failed)
	if len(ran) == 0 {
		return false, fmt.Errorf("%w: endpoints got nothing", errCannotRun)
	}
	return 2*served < served+failed, nil
}

// slowRequest has clients write one request each slowly, in equal pieces over 2.1 s, on a kept connection. The sidecar is
// held up for 0.14 s, and the last piece arrives meanwhile.
func slowRequest(b *bed) (bool, error) {
	if err := b.start(3, 64, 384, settings(reserve, handover)); err != nil {
		return false, err
	}
	const (
		clients   = 8
		writeTime = 2095 * time.Millisecond
		holdFrom  = 2075 * time.Millisecond
		holdFor   = 140 * time.Millisecond
	)
	const pieces = 21
	begin := time.Now().Add(500 * time.Millisecond)
	answers := make([]answer, clients)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			c := &client{rec: b.rec, addr: b.sidecar.addr}
			defer c.close()
			first := fmt.Sprintf("first-%d", i)
			if a := c.call("handover", first, "", 3300*time.Millisecond, "order"); a.status != http.StatusOK {
				return
			}
			id := fmt.Sprintf("slow-%d", i)
			text := requestText("handover", id, "", 3300*time.Millisecond, "order "+strings.Repeat("x", 400))
			size := len(text) / pieces
			time.Sleep(time.Until(begin))
			for n := range pieces + 1 {
				time.Sleep(time.Until(begin.Add(time.Duration(n) * writeTime / time.Duration(pieces))))
				from, to := n*size, (n+1)*size
				if n == pieces {
					to = len(text)
				}
				if _, err := io.WriteString(c.conn, text[from:to]); err != nil {
					b.rec.add("client cannot write %s at %.3f s: %v", id, time.Since(begin).Seconds(), err)
					answers[i] = answer{id: id, err: err}
					return
				}
			}
			b.rec.add("client has written the last byte of %s %.3f s after its first", id, time.Since(begin).Seconds())
			answers[i] = c.await(id, 4*time.Second)
		})
	}
	if b.trouble {
		time.Sleep(time.Until(begin.Add(holdFrom)))
		b.rec.add("the sidecar is held up")
		b.sidecar.holdUp(holdFor)
		b.rec.add("the sidecar goes on")
	}
	all.Wait()
	lost := 0
	for _, a := range answers {
		if a.id == "" {
			return false, fmt.Errorf("%w: a client's first request was not served", errCannotRun)
		}
		if a.status == 0 {
			lost++
		}
	}
	ran := b.endpoints.requests()
	b.rec.say("%d requests were written whole; %d got no answer; endpoints ran %d of them", clients, lost,
		len(slices.DeleteFunc(ran, func(r seenRequest) bool { return !strings.HasPrefix(r.id, "slow-") })))
	return lost > 0, nil
}

// slowPeers has peers connect that send no proper request, one byte each 40 ms. Each stays until the sidecar closes its
// connection, and connects again 0.1 s later. Beside them clients send proper requests and keep their connections.
func slowPeers(b *bed) (bool, error) {
	if err := b.start(9, 64, 256, settings(reserve, handover)); err != nil {
		return false, err
	}
	const (
		peerCount   = 480
		clientCount = 10
		length      = 6 * time.Second
		deadline    = 480 * time.Millisecond // the X-Deadline of the example in PROTOCOL
		late        = 500 * time.Millisecond // STANDING: later than this after its time, a request is lost
	)
	stopped := make(chan struct{})
	var peers, clients sync.WaitGroup
	if b.trouble {
		b.rec.add("%d peers connect", peerCount)
		for range peerCount {
			peers.Go(func() { slowPeer(b.sidecar.addr, stopped) })
		}
	}
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var answers []answer
	end := time.Now().Add(length)
	for i := range clientCount {
		clients.Go(func() {
			c := &client{rec: b.rec, addr: b.sidecar.addr}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				a := c.call("handover", fmt.Sprintf("proper-%d-%d", i, n), "", deadline, "order")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	close(stopped)
	peers.Wait()
	lost, longest := 0, time.Duration(0)
	for _, a := range answers {
		if a.status == 0 || a.after > deadline+late {
			lost++
		}
		longest = max(longest, a.after)
	}
	ran := map[string]bool{}
	for _, r := range b.endpoints.requests() {
		ran[r.id] = true
	}
	b.rec.say("%d of %d proper requests had no answer %.3f s after their last byte, the longest wait was %.3f s; endpoints ran %d",
		lost, len(answers), (deadline + late).Seconds(), longest.Seconds(), len(ran))
	return lost > 0, nil
}

// slowPeer sends one byte each 40 ms until its connection is closed, and then connects again.
func slowPeer(addr string, stopped <-chan struct{}) {
	for {
		conn, err := net.Dial("tcp", addr)
		for err == nil {
			if _, err = io.WriteString(conn, "P"); err != nil {
				break
			}
			select {
			case <-stopped:
				err = net.ErrClosed
			case <-time.After(40 * time.Millisecond):
			}
		}
		if conn != nil {
			conn.Close()
		}
		select {
		case <-stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
