package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
)

// startBetweenEqualServers starts a sidecar with two servers that run each request and answer it with the given text. It
// returns a client and the number of runs so far.
func startBetweenEqualServers(t *testing.T, answer string) (c *client, runs *atomic.Int32) {
	t.Helper()
	runs = new(atomic.Int32)
	run := func(_ int, conn net.Conn, _ *http.Request) bool {
		runs.Add(1)
		io.WriteString(conn, answer)
		return true
	}
	cfg := longTimeoutConfig(t, startServer(t, run).Addr().String(), startServer(t, run).Addr().String())
	return dial(t, startSidecar(t, cfg)), runs
}

// Guards against a request that runs twice because an endpoint's 429 was passed on and its client took it for a refusal.
func TestEndpointStatusIsNotPassedOnAsRefusal(t *testing.T) {
	const end = "Content-Length: 0\r\n\r\n"
	for name, answer := range map[string]string{
		"429":                  "HTTP/1.1 429 Too Many Requests\r\n" + end,
		"429 with Retry-After": "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\n" + end,
		"429 with X-Not-Run":   "HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: 1\r\n" + end, // a proof only with 503 and 504
		"429 of HTTP/1.0":      "HTTP/1.0 429 Too Many Requests\r\n" + end,
		"429 after 103":        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 429 Too Many Requests\r\n" + end,
		"503":                  "HTTP/1.1 503 Service Unavailable\r\n" + end,
		"503 with Retry-After": "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + end,
		"503 that has run":     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 0\r\n" + end,
	} {
		for _, class := range []string{"pay", "add"} {
			t.Run(name+", "+class, func(t *testing.T) {
				c, runs := startBetweenEqualServers(t, answer)
				c.send("POST", class, "body", "Idempotency-Key: k1")
				res, _ := c.readResponse(t)
				if res.StatusCode != statusFailed {
					t.Errorf("status %d, want %d, as the request has run", res.StatusCode, statusFailed)
				}
				if n := runs.Load(); n == 0 || class == "pay" && n != 1 {
					t.Errorf("the request ran %d times", n)
				}
			})
		}
	}
}

// Guards against a request that the sidecar runs at two endpoints because it trusts a response that contradicts itself.
func TestContradictoryNotRunIsNoProof(t *testing.T) {
	for name, headers := range map[string]string{
		"1 and 0": "X-Not-Run: 1\r\nX-Not-Run: 0\r\n",
		"0 and 1": "X-Not-Run: 0\r\nX-Not-Run: 1\r\n",
		"a list":  "X-Not-Run: 1, 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, runs := startBetweenEqualServers(t, "HTTP/1.1 503 Service Unavailable\r\n"+headers+"Content-Length: 0\r\n\r\n")
			c.send("POST", "pay", "body")
			if res, _ := c.readResponse(t); res.StatusCode != statusFailed || runs.Load() != 1 {
				t.Errorf("status %d after %d runs, want %d after one", res.StatusCode, runs.Load(), statusFailed)
			}
		})
	}
}

// Guards against requests that run twice because of any other response that is passed on as a refusal or taken for a proof.
func FuzzResponseProvesNoMoreThanDefined(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 429 T\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 504 G\r\nx-not-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 204 N\r\nX-Not-Run: 1\r\n\r\n",
		"HTTP/1.0 400 B\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 E\r\nX-Not-Run: 1\r\n\r\nHTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := &conn{reader: bufio.NewReader(bytes.NewReader(text))}
		outcome, final, _ := readResponse(newAttempt(time.Time{}), c, newGetRequest(), time.Now().Add(testTimeout))
		if final != nil && (final.status == http.StatusTooManyRequests || final.status == http.StatusServiceUnavailable) {
			t.Errorf("status %d is passed on", final.status)
		}
		if final != nil && outcome != forkline.OK && outcome != forkline.Cancelled {
			t.Errorf("outcome %v with a final response", outcome)
		}
		if outcome == forkline.Rejected && !isMarkedNotRun(text) {
			t.Errorf("%q counts as a proof", text)
		}
	})
}

// isMarkedNotRun reports whether a message is a response that marks its request as not run, as net/http reads it.
func isMarkedNotRun(text []byte) bool {
	reader := bufio.NewReader(bytes.NewReader(text))
	res, err := http.ReadResponse(reader, nil)
	for err == nil && res.StatusCode < 200 {
		res, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		return true // net/http is stricter
	}
	return (res.StatusCode == 503 || res.StatusCode == 504) && slices.Equal(res.Header["X-Not-Run"], []string{"1"})
}

// The behavior of an endpoint must be reported to the module as an outcome that states correctly whether the request may
// have run, because the module decides on retries and refusals by it.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name string
		sent string // what the endpoint writes before it closes the connection
		want forkline.Outcome
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", forkline.OK},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", forkline.Error},
		{"rejected", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", forkline.Rejected},
		{"deadline passed", "HTTP/1.1 504 G\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", forkline.Rejected},
		{"503 without X-Not-Run", "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n", forkline.Error},
		{"500 with X-Not-Run", "HTTP/1.1 500 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", forkline.Error},
		{"client error", "HTTP/1.1 400 B\r\nContent-Length: 0\r\n\r\n", forkline.Cancelled},
		{"429", "HTTP/1.1 429 T\r\nContent-Length: 0\r\n\r\n", forkline.Error},
		{"429 with X-Not-Run", "HTTP/1.1 429 T\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", forkline.Error},
		{"closed without a response", "", forkline.Reset},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-", forkline.Reset},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", forkline.Reset},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", forkline.Reset},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", maxBodyBytes+1), forkline.Reset},
		{"incomplete huge body", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxyz", forkline.Reset},
		{"chunks over the limit", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", maxBodyBytes+1), forkline.Reset},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-T: 1\r\n\r\n", forkline.OK},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhi", forkline.OK}, // ended in order; see TestResetIsNotEndOfResponse
		{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhi", forkline.OK},
		{"no length after an interim response", "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", forkline.OK},
		{"no length, over the limit", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxBodyBytes+1), forkline.Reset},
		{"no length, truncated header", "HTTP/1.1 200 OK\r\nConnection: close\r\n", forkline.Reset},
		{"no length, error", "HTTP/1.1 500 E\r\n\r\nhi", forkline.Error},
		{"no length, rejected", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\n\r\n", forkline.Rejected},
		{"no length, 503 without X-Not-Run", "HTTP/1.1 503 U\r\n\r\nhi", forkline.Error},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", forkline.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", forkline.Reset},
		{"noise", "\x16\x03\x01\x00\n\n\n\n", forkline.Reset},
		{"no status", "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"other protocol", "ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"invalid header line", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", maxHeadBytes), forkline.Reset},
		{"truncated body with X-Not-Run", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\nhi", forkline.Reset},
		{"interim responses", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", forkline.OK},
		{"interim response with a body", "HTTP/1.1 103 E\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", forkline.Reset},
		{"too many interim responses", strings.Repeat("HTTP/1.1 103 E\r\n\r\n", maxInterimResponses+1), forkline.Reset},
		{"duplicate response", strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 2), forkline.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln := startServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.sent)
				return false
			})
			got, a := doAttempt(newTestUpstream(ln.Addr().String(), 4), testTimeout)
			final := c.want == forkline.OK || c.want == forkline.Cancelled
			if got != c.want || (a != nil) != final {
				t.Fatalf("outcome %v with response %v, want %v", got, a, c.want)
			}
			if got == forkline.OK && string(a.body) != "hi" {
				t.Errorf("body %q, want \"hi\"", a.body)
			}
		})
	}
	t.Run("silent", func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		ln := startServer(t, func(int, net.Conn, *http.Request) bool { <-release; return false })
		if got, _ := doAttempt(newTestUpstream(ln.Addr().String(), 4), time.Second); got != forkline.Timeout {
			t.Errorf("outcome %v, want a timeout", got)
		}
	})
	t.Run("refused", func(t *testing.T) {
		ln := listenLoopback(t)
		ln.Close()
		if got, _ := doAttempt(newTestUpstream(ln.Addr().String(), 4), testTimeout); got != forkline.ConnectFailed {
			t.Errorf("outcome %v, want a failed connect", got)
		}
	})
}

// Guards against a 502 for a request that an endpoint has served (issue 36, review/10): a response without a length that ends in order
// must be forwarded whole, and its request must run once.
func TestResponseWithoutLengthIsForwarded(t *testing.T) {
	for name, body := range map[string]string{"short": "hi", "empty": "", "of the largest size": strings.Repeat("x", maxBodyBytes)} {
		for class, method := range map[string]string{"read": "GET", "pay": "POST", "add": "POST"} {
			t.Run(name+", "+class, func(t *testing.T) {
				var runs atomic.Int32
				endpoint := startServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
					runs.Add(1)
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
					return false // ends the response in order
				})
				cfg := longTimeoutConfig(t, endpoint.Addr().String())
				cfg.Site.Settings.Limits.CancelAttempts = false // a late attempt on a busy machine would run again
				c := dial(t, startSidecar(t, cfg))
				for range 2 { // the client's connection goes on
					c.send(method, class, "", "Idempotency-Key: k")
					res, got := c.readResponse(t)
					if res.StatusCode != http.StatusOK || got != body || res.ContentLength != int64(len(body)) {
						t.Errorf("status %d with %d bytes of a stated %d, want 200 with %d", res.StatusCode, len(got), res.ContentLength, len(body))
					}
					c.id += "-2"
				}
				if runs.Load() != 2 {
					t.Errorf("two requests ran %d times", runs.Load())
				}
			})
		}
	}
}

// A response without a length must not be taken as complete before its connection has ended, also not at the deadline, and the
// connection must not be used again.
func TestResponseWithoutLengthLastsUntilItsConnectionEnds(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(remote net.Conn)
		want forkline.Outcome
		body string
	}{
		"ended in order":     {func(remote net.Conn) { remote.Close() }, forkline.OK, "hi"},
		"more, then ended":   {func(remote net.Conn) { io.WriteString(remote, " again"); remote.Close() }, forkline.OK, "hi again"},
		"until the deadline": {func(net.Conn) {}, forkline.Timeout, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, remote := net.Pipe()
				defer remote.Close()
				deadline := time.Now().Add(time.Second)
				local.SetDeadline(deadline)
				ended := make(chan struct{})
				var got forkline.Outcome
				var r *response
				var reusable bool
				go func() {
					got, r, reusable = readResponse(newAttempt(time.Time{}), &conn{Conn: local, reader: bufio.NewReader(local)}, newGetRequest(), deadline)
					close(ended)
				}()
				io.WriteString(remote, "HTTP/1.1 200 OK\r\n\r\nhi")
				synctest.Wait()
				select {
				case <-ended:
					t.Fatalf("outcome %v before the end of the response", got)
				default:
				}
				c.end(remote)
				<-ended
				if got != c.want || reusable || r != nil && string(r.body) != c.body || (r == nil) != (c.want != forkline.OK) {
					t.Errorf("outcome %v with response %+v, reusable %v, want %v with body %q", got, r, reusable, c.want, c.body)
				}
			})
		})
	}
}

// A response that marks its request as not run may be a late duplicate of the previous one on the connection. It must not
// cause a retry of a request that may be running, and later responses must not be attributed to other requests.
func TestSecondNotRunResponseProvesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		atMostOnce, safe bool
		want             forkline.Outcome
		open             int
	}{
		"keyed":  {want: forkline.Reset},
		"safe":   {safe: true, want: forkline.Rejected},
		"unsafe": {atMostOnce: true, want: forkline.OK, open: 2}, // sent on another connection
	} {
		t.Run(name, func(t *testing.T) {
			ln := startServer(t, func(n int, c net.Conn, r *http.Request) bool {
				if n > 0 {
					return echo(n, c, r)
				}
				io.WriteString(c, notRunResponse) // for the second request this is the duplicate
				return true
			})
			u := newTestUpstream(ln.Addr().String(), 4)
			if got, _ := doAttempt(u, testTimeout); got != forkline.Rejected {
				t.Fatalf("outcome %v of the first request", got)
			}
			first := u.find(1).idle[0]
			outgoing := newGetRequest()
			outgoing.atMostOnce, outgoing.safe = c.atMostOnce, c.safe
			if got, _ := u.do(newAttempt(time.Time{}), u.find(1), outgoing, time.Now().Add(testTimeout)); got != c.want {
				t.Errorf("outcome %v, want %v", got, c.want)
			}
			pooled := slices.Contains(u.find(1).idle, first)
			if pooled != c.atMostOnce || u.openConns != c.open {
				t.Errorf("first connection in the pool: %v; %d connections open, want %d", pooled, u.openConns, c.open)
			}
		})
	}
}

// A faulty endpoint sends a response twice, the second time a little later. The duplicate must not become the response
// to the next client's request: a connection is reused only after a delay, and not if bytes arrived in the meantime.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	sendDuplicate, sent := make(chan struct{}), make(chan struct{})
	ln := startServer(t, func(n int, c net.Conn, _ *http.Request) bool {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		io.WriteString(c, text)
		if n == 0 {
			<-sendDuplicate
			io.WriteString(c, text)
			close(sent)
		}
		return true
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	u.reuseDelay = time.Hour
	expectResponse := func(want string) {
		t.Helper()
		if got, a := doAttempt(u, testTimeout); got != forkline.OK || string(a.body) != want {
			t.Fatalf("outcome %v, response %v, want that of connection %s", got, a, want)
		}
	}
	expectResponse("0")
	expectResponse("1") // connection 0 has looked sound so far
	close(sendDuplicate)
	<-sent
	idle := u.find(1).idle
	eventually(t, "the duplicate response", func() bool { return !stillOpen(idle[0].Conn) })
	u.reuseDelay = 0
	expectResponse("1")
	slices.Reverse(idle)
	expectResponse("1")
	if u.openConns != 1 {
		t.Errorf("%d connections are kept, want only the sound one", u.openConns)
	}
}

// The last byte of an unsafe request is held back briefly. A response that arrives on a reused connection before it is
// sent is a duplicate of an earlier one. The request cannot have run, so it must be sent on another connection.
func TestDuplicateResponseDuringUnsafeRequest(t *testing.T) {
	ln := listenLoopback(t)
	go acceptConns(ln, func(n int, c net.Conn) {
		t.Cleanup(func() { c.Close() })
		r := bufio.NewReader(c)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		if n > 0 {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // ends the check for a broken connection
		}
		if _, err := http.ReadRequest(r); err != nil {
			t.Error(err)
		}
		io.WriteString(c, text)
		if n == 0 {
			r.Peek(1)
			io.WriteString(c, text)
		}
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	if got, _ := doAttempt(u, testTimeout); got != forkline.OK {
		t.Fatalf("outcome %v", got)
	}
	u.breakCheckTime = testTimeout
	outgoing := newGetRequest()
	outgoing.atMostOnce = true
	got, a := u.do(newAttempt(time.Time{}), u.find(1), outgoing, time.Now().Add(testTimeout))
	if got != forkline.OK || string(a.body) != "1" {
		t.Errorf("outcome %v, response %v, want that of the second connection", got, a)
	}
}
