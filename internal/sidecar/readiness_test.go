package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// isReady reports whether the sidecar answers a readiness check on a new connection with 200.
func isReady(s *Sidecar) bool {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	res, err := c.Get("http://" + s.listener.Addr().String() + "/-/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// brokenDiscoveries start discovery services that deliver no list, and return their addresses.
var brokenDiscoveries = map[string]func(*testing.T) string{
	"refused": func(t *testing.T) string {
		ln := listenLoopback(t)
		ln.Close()
		return ln.Addr().String()
	},
	"not accepted": func(*testing.T) string { return silentAddr() },
	"silent": func(t *testing.T) string {
		return startServer(t, func(_ int, c net.Conn, _ *http.Request) bool { io.Copy(io.Discard, c); return false }).Addr().String()
	},
	"overloaded": func(t *testing.T) string {
		return startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			return false
		}).Addr().String()
	},
	"reset": func(t *testing.T) string {
		return startServer(t, func(int, net.Conn, *http.Request) bool { return false }).Addr().String()
	},
	"answers with no list": func(t *testing.T) string {
		return startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			io.Copy(io.Discard, c)
			return false
		}).Addr().String()
	},
}

// A process that starts while discovery delivers no list must become ready with its cached list: at once if lists are
// polled, and after the delay for discovery's first message if they are pushed. Virtual time does not work with real
// sockets, so the test waits for the full delay of 1 s.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, startDiscovery := range brokenDiscoveries {
		for _, polled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/polled %v", name, polled), func(t *testing.T) {
				t.Parallel()
				cfg := testConfig(t, startServer(t, echo).Addr().String())
				cfg.Discovery, cfg.Site.Settings.PollList = startDiscovery(t), polled
				s, err := New(cfg)
				if err != nil {
					t.Fatal(err)
				}
				s.front.drainAcceptTime = 0
				t.Cleanup(func() { s.discovery.move(silentAddr()) })
				go s.Run(t.Context())
				if polled && !isReady(s) {
					t.Error("not ready at once")
				}
				eventually(t, "readiness", func() bool { return isReady(s) })
				c := dial(t, s)
				c.send("GET", "read", "")
				if res, _ := c.readResponse(t); res.StatusCode != 200 {
					t.Errorf("status %d from a process that is ready", res.StatusCode)
				}
			})
		}
	}
}

// A process without a cached list must not be ready until discovery delivers a list.
func TestReadyOnceListArrivesWithoutCachedList(t *testing.T) {
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("polled ", polled), func(t *testing.T) {
			t.Parallel()
			addr, sendList := startServer(t, echo).Addr().String(), make(chan struct{})
			cfg := testConfig(t)
			cfg.Site.Settings.PollList = polled
			cfg.Discovery = startServer(t, func(n int, c net.Conn, _ *http.Request) bool {
				if n == 0 {
					io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
					return false
				}
				<-sendList
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n"+`{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":%q,"az":"z","state":"Ready"}]}`+"\n", addr)
				io.Copy(io.Discard, c)
				return false
			}).Addr().String()
			s, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			s.front.drainAcceptTime = 0
			t.Cleanup(func() { s.discovery.move(silentAddr()) })
			go s.Run(t.Context())
			if isReady(s) {
				t.Error("ready with no list")
			}
			close(sendList)
			eventually(t, "readiness", func() bool { return isReady(s) })
		})
	}
}

// Clients fill the listener's backlog before the process accepts the first connection, with and without the first bytes
// of a request. Readiness checks sent before and after the start must still be answered.
func TestReadyWithFullBacklog(t *testing.T) {
	for name, sent := range map[string]string{"silent": "", "half a request": requestFirstHalf} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(t, startServer(t, echo).Addr().String())
			cfg.Sockets, cfg.Site.Settings.PollList = MinSockets, true
			s, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			s.front.drainAcceptTime = 0
			for range 4 * s.maxDownstream {
				io.WriteString(dial(t, s), sent)
			}
			c := dial(t, s)
			fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n")
			go s.Run(t.Context())
			if res, _ := c.readResponse(t); res.StatusCode != 200 {
				t.Errorf("status %d for the check at the end of the backlog", res.StatusCode)
			}
			eventually(t, "readiness", func() bool { return isReady(s) })
		})
	}
}

// Nine in ten restarted processes must be ready within 10 s. The only deliberate delay is the wait for discovery's
// first message.
func TestCachedListDelayLeavesTimeToBeReady(t *testing.T) {
	if defaultCachedListDelay > time.Second {
		t.Errorf("a process with a cached list waits for %v", defaultCachedListDelay)
	}
}

// Guards against requests that no client sent (issue 36, review/8): the body of a readiness check must not be read as the next request
// of its connection.
func TestReadinessCheckBodyIsNotARequest(t *testing.T) {
	smuggled := "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
	for name, message := range map[string]string{
		"length":            fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(smuggled), smuggled),
		"chunks":            fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled),
		"chunks and a tail": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nTail: x\r\n\r\n", len(smuggled), smuggled),
		"no body":           "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, received := startWithRecordingServer(t, nil)
			eventually(t, "readiness", func() bool { return isReady(s) })
			c := dial(t, s)
			io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: b\r\n"+message)
			if status := c.readStatus(t); status != http.StatusOK {
				t.Errorf("status %d of the readiness check", status)
			}
			c.id = "own"
			c.send("POST", "pay", "")
			if status := c.readStatus(t); status != http.StatusOK {
				t.Errorf("status %d of the request behind the readiness check", status)
			}
			for len(received) > 0 { // what came before the request that has been answered
				if id := <-received; id != "own" {
					t.Errorf("the endpoint received request %q, which no client sent", id)
				}
			}
		})
	}
}

// A readiness check whose body cannot be read must be answered with an error, and its connection must be closed.
func TestReadinessCheckWithUnreadableBodyIsRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		message string
		status  int
	}{
		"too long":          {fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes+1), http.StatusRequestEntityTooLarge},
		"malformed chunk":   {"Transfer-Encoding: chunked\r\n\r\nx\r\n", http.StatusBadRequest},
		"ambiguous lengths": {"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startWithRecordingServer(t, nil)
			c := dial(t, s)
			io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: b\r\n"+tc.message)
			if status := c.readStatus(t); status != tc.status {
				t.Errorf("status %d, want %d", status, tc.status)
			}
			if rest := c.readUntilClose(t); rest != "" {
				t.Errorf("%q follows the rejection", rest)
			}
		})
	}
}
