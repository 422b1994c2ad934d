package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against one client that keeps the core from all others by sending requests that no endpoint has to answer, at full speed on
// one connection. Each must be answered, but after a burst only so many in a time.
func TestUnforwardedRequestsOfOneConnectionArePaced(t *testing.T) {
	for name, text := range map[string]string{
		"readiness":       "GET /-/ready HTTP/1.1\r\n\r\n",
		"deadline passed": "GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 0.000001\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withoutSockets(t, func(t *testing.T, f *front) {
				const count = 20 * unforwardedBurst
				local, remote := net.Pipe()
				defer local.Close()
				go f.serveConn(f.downstream.admit(remote))
				go func() {
					for range count {
						fmt.Fprint(local, text)
					}
				}()
				startedAt, reader := time.Now(), bufio.NewReader(local)
				for range count {
					res, err := http.ReadResponse(reader, nil)
					if err != nil || res.StatusCode != http.StatusServiceUnavailable {
						t.Fatalf("response %v, error %v; want status 503", res, err)
					}
					io.Copy(io.Discard, res.Body)
				}
				if took, least := time.Since(startedAt), count*unforwardedInterval*9/10; took < least || took > 2*least {
					t.Errorf("%d requests took %v, want some more than %v", count, took, least)
				}
			})
		})
	}
}

// A client whose requests are refused now and then must not be delayed.
func TestFewUnforwardedRequestsAreNotPaced(t *testing.T) {
	withoutSockets(t, func(t *testing.T, f *front) {
		local, remote := net.Pipe()
		defer local.Close()
		c := f.downstream.admit(remote)
		startedAt := time.Now()
		for range 10 * unforwardedBurst {
			f.downstream.pace(c)
			time.Sleep(time.Second / unforwardedRate)
		}
		if took := time.Since(startedAt); took > 10*unforwardedBurst*time.Second/unforwardedRate {
			t.Errorf("took %v, more than the client's own pauses", took)
		}
	})
}
