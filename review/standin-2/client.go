package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client has got for one request.
type answer struct {
	id     string
	status int // 0 = the connection ended without a whole answer
	body   string
	err    error
	after  time.Duration // from the request's last byte
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("%s: no answer after %.3f s: %v", a.id, a.after.Seconds(), a.err)
	}
	return fmt.Sprintf("%s: %d after %.3f s, %d bytes", a.id, a.status, a.after.Seconds(), len(a.body))
}

// requestText returns a request in the form of PROTOCOL. A key is sent where it is not empty.
func requestText(class, id, key string, deadline time.Duration, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n",
		class, id, class, deadline.Seconds())
	if key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// client is one client connection. It sends one request at a time and keeps its connection.
type client struct {
	rec    *record
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err == nil {
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	return err
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// await reads the answer to a request whose last byte has just been written.
func (c *client) await(id string, wait time.Duration) answer {
	sentAt := time.Now()
	a := answer{id: id}
	c.conn.SetReadDeadline(sentAt.Add(wait))
	res, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(res.Body); err == nil {
			a.status, a.body = res.StatusCode, string(body)
		}
	}
	a.err, a.after = err, time.Since(sentAt)
	c.rec.add("client gets %v", a)
	if err != nil || res.Close {
		c.close()
	}
	return a
}

// call sends one request and waits for its answer. If a kept connection has been closed, it connects anew.
func (c *client) call(class, id, key string, deadline time.Duration, body string) answer {
	for try := 0; ; try++ {
		kept := c.conn != nil
		if !kept {
			if err := c.connect(); err != nil {
				return answer{id: id, err: err}
			}
		}
		c.rec.add("client sends %s %s, X-Deadline %.3f", class, id, deadline.Seconds())
		if _, err := io.WriteString(c.conn, requestText(class, id, key, deadline, body)); err != nil {
			c.close()
			if kept && try == 0 {
				continue
			}
			return answer{id: id, err: err}
		}
		a := c.await(id, deadline+3*time.Second)
		if a.status == 0 && kept && try == 0 && a.after < 50*time.Millisecond {
			continue // the close of a resting connection crossed the request, which is sent once more
		}
		return a
	}
}

// traffic sends requests of one unsafe class from a number of clients, each with a pause after an answer, until stop is called.
type traffic struct {
	clients sync.WaitGroup
	done    chan struct{}
	mu      sync.Mutex
	answers []answer
}

func startTraffic(rec *record, addr, class string, clients int, pause time.Duration) *traffic {
	t := &traffic{done: make(chan struct{})}
	for i := range clients {
		t.clients.Go(func() {
			c := &client{rec: rec, addr: addr}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-t.done:
					return
				case <-time.After(pause):
				}
				id := fmt.Sprintf("%s-%02d-%04d", class, i, n)
				a := c.call(class, id, "", 3300*time.Millisecond, "order "+id)
				t.mu.Lock()
				t.answers = append(t.answers, a)
				t.mu.Unlock()
			}
		})
	}
	return t
}

// stop ends the traffic and returns all answers.
func (t *traffic) stop() []answer {
	close(t.done)
	t.clients.Wait()
	return t.answers
}
