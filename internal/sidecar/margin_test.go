package sidecar

import (
	"bufio"
	"container/heap"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
)

// socketless plays f on a front with its loop, in virtual time, which stands still while anything runs: what takes time
// on a core is a sleep here. The sidecar has no list.
func socketless(t *testing.T, f func(t *testing.T, front *front)) {
	cfg := config(t)
	synctest.Test(t, func(t *testing.T) {
		l, err := newLoop(&cfg, newUpstream(forkline.Limits{}, 0, 4))
		if err != nil {
			t.Fatal(err)
		}
		go l.run()
		f(t, newFront(l, &cfg.Site.Settings, 64))
		close(l.done)
	})
}

// request is the head of one whose client waits for so many seconds.
func request(deadline string) message {
	return message{startLine: "GET /read/x HTTP/1.1", header: http.Header{
		"X-Class": {"read"}, "X-Request-Id": {"1"}, "X-Deadline": {deadline},
	}}
}

// calls has a client make calls one after another for so long, each with a deadline of 0.1 s that the sidecar lets pass.
func calls(t *testing.T, f *front, long time.Duration) { callsFrom(t, f, long, 0) }

// callsFrom makes them on a connection whose goroutine has the core so long after it is woken.
func callsFrom(t *testing.T, f *front, long, woken time.Duration) {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	go f.serveConn(f.downstream.admit(slowToWake{there, woken}))
	reader := bufio.NewReader(here)
	for begun := time.Now(); time.Since(begun) < long; {
		sent := time.Now()
		go io.WriteString(here, "GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 0.1\r\n\r\n")
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != statusRefused {
			t.Fatalf("%v, %v", res, err)
		}
		io.Copy(io.Discard, res.Body)
		if time.Since(sent) == 0 {
			t.Fatal("a call was refused at once")
		}
	}
}

// slowToWake is a connection on which a wait is ended late.
type slowToWake struct {
	net.Conn
	late time.Duration
}

func (c slowToWake) SetReadDeadline(at time.Time) error {
	if at.Equal(time.Unix(1, 0)) {
		time.Sleep(c.late)
	}
	return c.Conn.SetReadDeadline(at)
}

// Each wait for the core counts.
func TestEachWaitIsMeasured(t *testing.T) {
	const late = 12 * time.Millisecond
	for name, wait := range map[string]func(t *testing.T, f *front){
		"a request": func(t *testing.T, f *front) {
			f.loop.post(func() { time.Sleep(late) })
			synctest.Wait()
			calls(t, f, time.Millisecond)
		},
		"a timer": func(t *testing.T, f *front) {
			l := f.loop
			l.postAndWait(func() {
				heap.Push(&l.timerQueue, &timerEntry{at: l.now() + 1, token: 1 << 60})
				time.Sleep(late + time.Millisecond)
			})
		},
		"an answer": func(t *testing.T, f *front) { callsFrom(t, f, time.Millisecond, late) },
		"an outcome": func(t *testing.T, f *front) {
			l := f.loop
			l.postAndWait(func() {
				c := &call{respond: func(response) {}}
				l.calls[1<<30] = c
				l.send(c, &forkline.Action{Kind: forkline.ActSend, Request: 1 << 30, Server: 1 << 30})
				time.Sleep(late)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			socketless(t, func(t *testing.T, f *front) {
				calls(t, f, 2*time.Second)
				wait(t, f)
				synctest.Wait()
				if got := f.loop.margin.reserve(2000); got < 5+11 || got > 5+25 {
					t.Errorf("%v ms are held back after a wait of %v", got, late)
				}
			})
		})
	}
}

// An idle sidecar keeps little of the time that it is given, one on a core where each event waits for 30 ms as much as
// one that has measured nothing, and that only for as long as the core is busy.
func TestTheMarginFollowsTheCore(t *testing.T) {
	socketless(t, func(t *testing.T, f *front) {
		held := func() float64 { return f.loop.margin.reserve(2000) }
		if got := held(); got != 50 {
			t.Errorf("%v ms are held back before anything was measured, want 50", got)
		}
		calls(t, f, 2*time.Second)
		if got := held(); got > 6 {
			t.Errorf("%v ms are held back on an idle core, want a few", got)
		}
		over := make(chan struct{})
		go func() {
			defer close(over)
			for range 40 {
				f.loop.post(func() { time.Sleep(30 * time.Millisecond) })
			}
		}()
		calls(t, f, time.Second)
		if got := held(); got != 50 {
			t.Errorf("%v ms are held back after a second on a busy core, want 50", got)
		}
		<-over
		calls(t, f, 15*time.Second)
		if got := held(); got > 6 {
			t.Errorf("%v ms are held back 15 s after, want a few", got)
		}
	})
}

// What an endpoint is told is at most what is left to the client, however that is written.
func TestTheToldDeadlineIsAtMostWhatIsLeft(t *testing.T) {
	socketless(t, func(t *testing.T, f *front) {
		for _, idle := range []bool{false, true} {
			if idle {
				calls(t, f, 2*time.Second)
			}
			for _, deadline := range []string{"0.0001", "0.0009", "0.0029", "0.0127", "0.0506", "0.1", "0.6", "0.9999", "2.0004", "60"} {
				for _, after := range []time.Duration{0, 300 * time.Microsecond, 17 * time.Millisecond, 700 * time.Millisecond} {
					sent := time.Now()
					k, _, complaint := f.parse(request(deadline))
					if k == nil {
						t.Fatal(complaint)
					}
					k.setDeadline(f.loop.clockMS(sent))
					time.Sleep(after)
					told := make(chan float64, 1)
					here, there := net.Pipe()
					go func() {
						r, err := http.ReadRequest(bufio.NewReader(there))
						if err == nil {
							seconds, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
							told <- seconds
						}
						close(told)
						there.Close()
					}()
					exchange(newAttempt(time.Time{}), &conn{Conn: here, reader: bufio.NewReader(here)}, &k.outgoing, f.loop.timeAt(k.event.Deadline), 0)
					here.Close()
					asked, _ := strconv.ParseFloat(deadline, 64)
					left := min(asked, 2.5) - time.Since(sent).Seconds()
					if seconds, came := <-told; came && seconds > left || came != (f.loop.now() < k.event.Deadline) {
						t.Errorf("idle %v, deadline %s s: %v s told %v after, sent %v", idle, deadline, seconds, after, came)
					}
				}
			}
		}
	})
}

// What the module leaves unanswered is answered before the client's time is over, also where little is held back.
func TestTheBackstopComesBeforeTheClientsTime(t *testing.T) {
	socketless(t, func(t *testing.T, f *front) {
		for _, idle := range []bool{false, true} {
			if idle {
				calls(t, f, 2*time.Second)
			}
			for _, deadline := range []string{"0.01", "0.1", "0.6", "2"} {
				k, _, complaint := f.parse(request(deadline))
				if k == nil {
					t.Fatal(complaint)
				}
				k.event.Class = 99 // which the module does not know
				took := make(chan float64, 1)
				sent := time.Now()
				k.respond = func(response) { took <- time.Since(sent).Seconds() }
				k.setDeadline(f.loop.clockMS(sent))
				f.loop.post(func() { f.loop.accept(k) })
				asked, _ := strconv.ParseFloat(deadline, 64)
				if got := <-took; got >= asked || got < k.answerWithin/1000 {
					t.Errorf("idle %v: answered after %v s; its client waits for %v, the module had %v", idle, got, asked, k.answerWithin/1000)
				}
			}
		}
	})
}
