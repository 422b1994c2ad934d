package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one request of a client.
type request struct {
	id, class, key, body string
	deadline             time.Duration // X-Deadline
	isRetry              bool
}

// text returns the request as the protocol page words it.
func (q *request) text() string {
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n",
		q.class, q.id, q.class, q.deadline.Seconds())
	if q.key != "" {
		head += "Idempotency-Key: " + q.key + "\r\n"
	}
	if q.isRetry {
		head += "X-Retry: 1\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
}

// reply is what a client got for a request.
type reply struct {
	status int // 0 = no whole answer
	body   string
	after  time.Duration // from the request's last byte to the answer's last
	err    error
}

// client is a client that keeps its connection and sends one request at a time.
type client struct {
	name   string
	addr   string
	log    *record
	conn   net.Conn
	reader *bufio.Reader
}

var errUnread = errors.New("the connection was closed before the request was read")

// send sends a request and waits for its final answer, for the given time at most.
func (c *client) send(q *request, wait time.Duration) reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, 2*time.Second)
		if err != nil {
			c.log.add(c.name, "cannot connect: %v", err)
			return reply{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if _, err := io.WriteString(c.conn, q.text()); err != nil {
		c.close()
		c.log.add(c.name, "cannot send id=%s: %v", q.id, err)
		return reply{err: errUnread}
	}
	sentAt := time.Now()
	c.log.add(c.name, "sent id=%s class=%s body=%q X-Deadline=%.3f", q.id, q.class, q.body, q.deadline.Seconds())
	c.conn.SetReadDeadline(sentAt.Add(wait))
	r := c.read(sentAt)
	if r.err != nil {
		c.log.add(c.name, "no answer to id=%s after %.3f s: %v", q.id, r.after.Seconds(), r.err)
	} else {
		c.log.add(c.name, "answer to id=%s after %.3f s: %d %q", q.id, r.after.Seconds(), r.status, r.body)
	}
	return r
}

// read reads one answer. The connection is closed unless it can be used again.
func (c *client) read(sentAt time.Time) reply {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return reply{after: time.Since(sentAt), err: err}
	}
	body, err := io.ReadAll(res.Body)
	r := reply{status: res.StatusCode, body: string(body), after: time.Since(sentAt), err: err}
	if err != nil {
		r.status = 0
	}
	if err != nil || res.Close {
		c.close()
	}
	return r
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// isRefusal reports whether a status promises that trying again is harmless.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
