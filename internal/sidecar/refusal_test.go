package sidecar

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

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
				var runs atomic.Int32
				answering := func(_ int, c net.Conn, _ *http.Request) bool {
					runs.Add(1)
					io.WriteString(c, answer)
					return true
				}
				cfg := testConfig(t, startServer(t, answering).Addr().String(), startServer(t, answering).Addr().String())
				cfg.Site.Settings.Limits.ConnectTimeout = float64(testTimeout.Milliseconds())
				c := dial(t, startSidecar(t, cfg))
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
