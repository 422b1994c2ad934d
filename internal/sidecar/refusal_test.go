package sidecar

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
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
	cfg := testConfig(t, startServer(t, run).Addr().String(), startServer(t, run).Addr().String())
	cfg.Site.Settings.Limits.ConnectTimeout = float64(testTimeout.Milliseconds())
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
		outcome, final, _ := readResponse(newAttempt(time.Time{}), c, newGetRequest())
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
