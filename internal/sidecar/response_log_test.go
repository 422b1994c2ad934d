package sidecar

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
)

// logLines receives the lines of a log.
type logLines chan string

func (lines logLines) Write(line []byte) (int, error) {
	lines <- string(line)
	return len(line), nil
}

// Guards against a fault of an endpoint that cannot be told from one of the sidecar, as no log names the endpoint's response.
func TestInvalidResponsesAreLogged(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     string // part of the line; empty = none
	}{
		"429":            {"HTTP/1.1 429 T\r\nContent-Length: 0\r\n\r\n", "status 429 is not defined"},
		"503":            {"HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n", "status 503 comes without one header X-Not-Run: 1"},
		"noise":          {"\x16\x03\x01\x00\n\n\n\n", "malformed"},
		"invalid length": {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", "malformed: the length cannot be read"},
		"200":            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		"400":            {"HTTP/1.1 400 B\r\nContent-Length: 0\r\n\r\n", ""}, // passed on to the client
		"500":            {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", ""},
		"rejected":       {"HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", ""},
		"truncated":      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", ""}, // the connection broke
		"no length":      {"HTTP/1.1 200 OK\r\n\r\nhi", ""},                      // HTTP allows it
		"nothing":        {"", ""},
	} {
		t.Run(name, func(t *testing.T) {
			ln := startServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.response)
				return false
			})
			cfg := testConfig(t)
			l, err := newLoop(&cfg, newTestUpstream(ln.Addr().String(), 4))
			if err != nil {
				t.Fatal(err)
			}
			l.limitsConcurrency = false // no connection reports in the queue
			lines := make(logLines, 10)
			l.responseLog = newResponseLog(slog.New(slog.NewTextHandler(lines, nil)))
			request := &call{id: "id-1", outgoing: *newGetRequest(), respond: func(response) {}}
			l.send(request, &forkline.Action{Kind: forkline.ActSend, Server: 1, Deadline: l.now() + 1e6})
			(<-l.queue)()
			if c.want == "" {
				if err := request.attempts[0].responseErr; err != nil {
					t.Errorf("the response is reported as invalid: %v", err)
				}
				return
			}
			line := <-lines
			for _, part := range []string{c.want, "id=id-1", "addr=" + ln.Addr().String()} {
				if !strings.Contains(line, part) {
					t.Errorf("line %q lacks %q", line, part)
				}
			}
		})
	}
}

// Guards against a log that grows with every response of an endpoint in trouble.
func TestInvalidResponseLogIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := make(logLines, 10)
		log := newResponseLog(slog.New(slog.NewTextHandler(lines, nil)))
		for range 100 {
			log.report("127.0.0.1:1", "id", &responseError{status: 429})
		}
		time.Sleep(responseLogInterval)
		log.report("127.0.0.1:1", "id", &responseError{status: 429})
		if n := len(lines); n != 2 {
			t.Fatalf("%d lines of 101 responses, want 2", n)
		}
		<-lines
		if line := <-lines; !strings.Contains(line, "omitted=99") {
			t.Errorf("line %q lacks the number of omitted responses", line)
		}
	})
}
