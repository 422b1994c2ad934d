package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A request that is ambiguous or cannot be parsed must get an error and must not be forwarded, and its connection must be
// closed: the bytes after it may contain a smuggled request.
func TestUnparsableRequestEndsTheConnection(t *testing.T) {
	s, received := startWithRecordingServer(t, nil)
	hidden := "GET /read/x HTTP/1.1\r\nHost: b\r\nX-Class: read\r\nX-Request-Id: hidden\r\n\r\n"
	pay := "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\n"
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"length and chunks":  {pay + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"chunks and length":  {pay + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden, 400},
		"space before colon": {pay + "Content-Length : 5\r\n\r\n" + hidden, 400},
		"two codings":        {pay + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"huge length":        {pay + "Content-Length: 99999999999999999999\r\n\r\n" + hidden, 400},
		"long length":        {pay + "Content-Length: 60000000\r\n\r\n" + hidden, 413},
		"invalid chunks":     {pay + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden, 400},
		"noise":              {"\x16\x03\x01\x00\xa5\r\n\r\n" + hidden, 400},
		"head without end":   {pay + strings.Repeat("X-Pad: p\r\n", maxHeadBytes/10+1), 413},
		"other protocol":     {"GET /read/x HTTP/2.0\r\nHost: b\r\nX-Class: read\r\nX-Request-Id: 1\r\n\r\n" + hidden, 400},
		"no class":           {"GET /nothing HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n" + hidden, 404},
	} {
		conn := dial(t, s)
		io.WriteString(conn, c.text)
		if got := conn.readUntilClose(t); !strings.HasPrefix(got, fmt.Sprint("HTTP/1.1 ", c.want)) || strings.Count(got, "HTTP/1.1") != 1 {
			t.Errorf("%s: response %q, want one with status %d", name, got, c.want)
		}
	}
	if len(received) > 0 {
		t.Errorf("request %q reached the endpoint", <-received)
	}
}

// An error response must reach a client that is still sending, and must stop it.
func TestErrorReachesSendingClient(t *testing.T) {
	s, _ := startWithRecordingServer(t, nil)
	c := dial(t, s)
	go func() {
		fmt.Fprint(c, "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nContent-Length: 60000000\r\n\r\n")
		for block := make([]byte, 1<<20); ; {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if res, err := http.ReadResponse(c.reader, nil); err != nil || res.StatusCode != 413 {
		t.Errorf("response %v, error %v; want status 413", res, err)
	}
}

// Connections of clients that send nothing, send only part of a request or stay idle must be closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s, received := startWithRecordingServer(t, func(s *Sidecar) { s.front.requestTimeout = 20 * time.Millisecond })
	for name, text := range map[string]string{
		"silent":       "",
		"partial head": "POST /pay/x HTTP/1.1\r\nHost:",
		"partial body": "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		c := dial(t, s)
		io.WriteString(c, text)
		if got := c.readUntilClose(t); got != "" {
			t.Errorf("%s: response %q, want none", name, got)
		}
	}
	if len(received) > 0 {
		t.Error("a partial request was forwarded")
	}
	c := dial(t, s)
	c.send("GET", "read", "")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
	c.readUntilClose(t)
	s.front.downstream.mu.Lock()
	defer s.front.downstream.mu.Unlock()
	if n := s.front.downstream.idle.Len(); n > s.front.downstream.openConns {
		t.Errorf("%d connections are in the idle list, but only %d are open", n, s.front.downstream.openConns)
	}
}

// While a request is open, a second request with the same ID must be rejected and must not affect the first.
func TestDuplicateIDOfOpenRequest(t *testing.T) {
	release, received := make(chan struct{}), make(chan struct{}, 10)
	s := startSidecar(t, testConfig(t, startServer(t, func(n int, c net.Conn, r *http.Request) bool {
		received <- struct{}{}
		<-release
		return echo(n, c, r)
	}).Addr().String()))
	first, second := dial(t, s), dial(t, s)
	first.send("GET", "read", "")
	<-received
	second.send("GET", "read", "")
	if res, _ := second.readResponse(t); res.StatusCode != http.StatusConflict || !res.Close {
		t.Errorf("status %d, close %v; want 409 and a closed connection", res.StatusCode, res.Close)
	}
	close(release)
	if res, _ := first.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d of the first request, want 200", res.StatusCode)
	}
	first.send("GET", "read", "") // the ID can be used again
	if res, _ := first.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d of a later request with the same ID, want 200", res.StatusCode)
	}
}

// A 4xx response means that the request itself is at fault. Retries would cost every endpoint work and make each appear to
// fail.
func TestRequestWithClientErrorIsTriedOnce(t *testing.T) {
	received := make(chan struct{}, 10)
	rejecting := startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		received <- struct{}{}
		io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	s := startSidecar(t, testConfig(t, rejecting.Addr().String()))
	for range 5 {
		c := dial(t, s)
		c.send("GET", "read", "")
		if res, _ := c.readResponse(t); res.StatusCode != 400 || !res.Close {
			t.Errorf("status %d, close %v; want 400 and a closed connection", res.StatusCode, res.Close)
		}
	}
	if len(received) != 5 {
		t.Errorf("%d attempts for 5 requests", len(received))
	}
}

// A call that has ended must be forgotten at once, not at its deadline. Otherwise every request body would stay in memory
// for seconds.
func TestEndedCallsAreForgotten(t *testing.T) {
	s, _ := startWithRecordingServer(t, nil)
	c := dial(t, s)
	for i := range 20 {
		c.id = fmt.Sprint(i)
		c.send("POST", "pay", "body")
		if res, _ := c.readResponse(t); res.StatusCode != 200 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
	for remaining, end := 1, time.Now().Add(testTimeout); remaining > 0; {
		s.loop.postAndWait(func() {
			remaining = len(s.loop.calls) + len(s.loop.callsByID)
			for _, entry := range s.loop.timerQueue {
				if entry.call != nil {
					remaining++
				}
			}
		})
		if time.Now().After(end) {
			t.Fatalf("%d entries of ended calls remain", remaining)
		}
	}
}

// A client that sends Expect: 100-continue must get the interim response before it sends the body.
func TestExpectContinue(t *testing.T) {
	s, _ := startWithRecordingServer(t, nil)
	c := dial(t, s)
	fmt.Fprint(c, "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if line, _ := c.reader.ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("status line %q, want status 100", line)
	}
	c.reader.ReadString('\n')
	io.WriteString(c, "hi")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}

// Any message that is accepted must be parsed in the same way by net/http, so that no request can be smuggled.
func FuzzReadMessage(f *testing.F) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\nHost: b\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "A / HTTP/1.1\nB: c\n d\n\n",
		"A / HTTP/1.1\r\nB : c\r\n\r\n", "\r\n\r\n", "A\r\n:\r\n\r\n", "A / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReader(strings.NewReader(string(text)))
		m, err := readMessage(r, nil)
		if err != nil || !strings.HasSuffix(m.startLine, " HTTP/1.1") || !strings.HasPrefix(m.startLine, "POST / ") {
			return
		}
		if m.length == lengthUnspecified {
			m.length = 0
		}
		body, err := readBody(r, m.length)
		if len(body) > maxBodyBytes+1 {
			t.Errorf("body has %d bytes, over the limit", len(body))
		}
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(text))))
		if err != nil {
			return // net/http is stricter
		}
		want, err := io.ReadAll(req.Body)
		if err != nil || string(want) != string(body) {
			t.Errorf("body %q, net/http reads %q, %v", body, want, err)
		}
	})
}

// Whatever an endpoint sends, an accepted response must be within the size limit, and one without a length must take all that comes up
// to the end of its connection.
func FuzzReadFinalResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 204 N\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "HTTP/1.1 2x0\r\n\r\n", "ICY 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nhi", "HTTP/1.0 503 U\r\nX-Not-Run: 1\r\n\r\n", "HTTP/1.1 304 N\r\n\r\nhi",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReader(strings.NewReader(string(text)))
		status, m, body, err := readFinalResponse(r, nil)
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(r)
		hasBody := status != http.StatusNoContent && status != http.StatusNotModified
		endsWithConnection := m.length == lengthUnspecified && hasBody
		if len(body) > maxBodyBytes || status < 200 || status > 999 || !hasBody && len(body) > 0 || m.endsConnection != (endsWithConnection || !hasBody && m.announcesBody()) {
			t.Errorf("accepted a response with status %d, %d bytes and head %v", status, len(body), m)
		}
		if endsWithConnection && (len(rest) > 0 || !strings.HasSuffix(string(text), string(body))) {
			t.Errorf("body %q of a response without a length, %q is left of %q", body, rest, text)
		}
	})
}
