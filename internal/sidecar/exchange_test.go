package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
)

// listenWithSmallBuffer returns a listener whose connections buffer only a few KiB until they are read.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// A long retry that cannot be complete at its endpoint in time must never become complete there. Its last byte must not be
// written, even if the kernel could buffer it behind the unacknowledged bytes.
func TestLongRetryIsNotCompletedLate(t *testing.T) {
	for name, setBuffer := range map[string]func(c net.Conn){
		"behind a full socket buffer": func(c net.Conn) { c.(*net.TCPConn).SetWriteBuffer(4 << 10) },
		"behind unacknowledged bytes": func(c net.Conn) { c.(*net.TCPConn).SetWriteBuffer(4 * maxBodyBytes) },
	} {
		t.Run(name, func(t *testing.T) {
			ln := listenWithSmallBuffer(t)
			complete, resume := make(chan bool, 1), make(chan struct{})
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				<-resume
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = req.Body.Read(make([]byte, 1))
					for err == nil {
						_, err = req.Body.Read(make([]byte, maxBodyBytes))
					}
				}
				complete <- err != nil && err.Error() == "EOF"
			}()
			raw, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer raw.Close()
			setBuffer(raw)
			outgoing := newGetRequest()
			outgoing.preamble, outgoing.body = "POST /add/x HTTP/1.1\r\nHost: backend.local\r\n", make([]byte, maxBodyBytes)
			a := newAttempt(time.Time{})
			a.lastByteBy = time.Now().Add(100 * time.Millisecond)
			resumeReading := sync.OnceFunc(func() { close(resume) })
			defer time.AfterFunc(200*time.Millisecond, resumeReading).Stop()
			got, _, reusable := exchange(a, &conn{Conn: raw, reader: bufio.NewReader(raw)}, outgoing, time.Now().Add(5*time.Second), 0)
			raw.Close()
			resumeReading()
			if got != forkline.ConnectFailed || reusable {
				t.Errorf("outcome %v, connection reusable: %v; want a failed connect and false", got, reusable)
			}
			if <-complete {
				t.Error("the endpoint received the complete request")
			}
		})
	}
}

// If there is time, a long retry must wait until the endpoint has acknowledged the bytes before the last one, and succeed.
func TestLongRetryIsServedInTime(t *testing.T) {
	ln := startServer(t, echo)
	u := newTestUpstream(ln.Addr().String(), 4)
	outgoing := newGetRequest()
	outgoing.preamble, outgoing.body = "POST /add/x HTTP/1.1\r\nHost: backend.local\r\n", make([]byte, maxBodyBytes)
	a := newAttempt(time.Time{})
	a.lastByteBy = time.Now().Add(testTimeout)
	if got, _ := u.do(a, u.find(1), outgoing, time.Now().Add(testTimeout)); got != forkline.OK {
		t.Errorf("outcome %v, want OK", got)
	}
}

// The service time must be the time from the last byte of the request to the first byte of the response. It is measured in
// virtual time.
func TestServiceTime(t *testing.T) {
	const serviceTime, transferTime = 30 * time.Millisecond, 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer local.Close()
		go func() {
			defer remote.Close()
			if _, err := http.ReadRequest(bufio.NewReader(remote)); err != nil {
				t.Error(err)
			}
			time.Sleep(serviceTime)
			io.WriteString(remote, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh")
			time.Sleep(transferTime)
			io.WriteString(remote, "i")
		}()
		a := newAttempt(time.Time{})
		c := &conn{Conn: local, reader: bufio.NewReader(local)}
		if got, _, _ := exchange(a, c, newGetRequest(), time.Now().Add(testTimeout), 0); got != forkline.OK || a.serviceTime != serviceTime {
			t.Errorf("outcome %v, service time %v, want %v", got, a.serviceTime, serviceTime)
		}
	})
}

// An attempt must report when it starts and stops waiting for a new connection, and whether its connection is new.
func TestAttemptsReportNewConnections(t *testing.T) {
	ln := startServer(t, echo)
	u := newTestUpstream(ln.Addr().String(), 4)
	for i, want := range []struct {
		outcome       forkline.Outcome
		reported      []bool
		newConnection bool
	}{
		{forkline.OK, []bool{true, false}, true},
		{forkline.OK, nil, false},
		{forkline.ConnectFailed, []bool{true}, false},
	} {
		if want.outcome != forkline.OK {
			ln.Close()
			u.closeServerIdle(1)
		}
		var reported []bool
		a := newAttempt(time.Time{})
		a.onConnecting = func(connecting bool) { reported = append(reported, connecting) }
		got, _ := u.do(a, u.find(1), newGetRequest(), time.Now().Add(testTimeout))
		if got != want.outcome || !slices.Equal(reported, want.reported) || a.newConnection != want.newConnection {
			t.Errorf("attempt %d: outcome %v, reports %v, new connection %v; want %+v", i, got, reported, a.newConnection, want)
		}
	}
}

// The loop must pass on to the module that an attempt waits for a new connection.
func TestLoopReceivesConnectionReports(t *testing.T) {
	ln := startServer(t, echo)
	cfg := testConfig(t)
	u := newTestUpstream(ln.Addr().String(), 4)
	l, err := newLoop(&cfg, u)
	if err != nil {
		t.Fatal(err)
	}
	// An attempt on a new connection posts connecting, connected and its outcome, one on a reused connection only its outcome.
	for i, events := range []int{3, 1} {
		l.send(&call{outgoing: *newGetRequest(), respond: func(response) {}}, &forkline.Action{Kind: forkline.ActSend, Server: 1, Deadline: l.now() + 1e6})
		for range events {
			(<-l.queue)()
		}
		if len(l.queue) > 0 || len(u.find(1).idle) != 1 {
			t.Errorf("attempt %d: %d more events, %d idle connections; want 0 and 1", i, len(l.queue), len(u.find(1).idle))
		}
	}
}
