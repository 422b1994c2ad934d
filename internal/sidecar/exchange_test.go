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

// stuck is an endpoint that takes a few KiB in and then nothing, until it is told to read on.
func stuck(t *testing.T) net.Listener {
	t.Helper()
	few := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := few.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// A long repeat that cannot be whole at its endpoint in time must never be whole there: its last byte stays here, also
// where the machine has room for it behind the bytes that are stuck.
func TestALongRepeatIsNotWholeTooLate(t *testing.T) {
	for name, late := range map[string]func(c net.Conn){
		"behind a full socket buffer": func(c net.Conn) { c.(*net.TCPConn).SetWriteBuffer(4 << 10) },
		"behind unacknowledged bytes": func(c net.Conn) { c.(*net.TCPConn).SetWriteBuffer(4 * maxBodyBytes) },
	} {
		t.Run(name, func(t *testing.T) {
			ln := stuck(t)
			whole, goOn := make(chan bool, 1), make(chan struct{})
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				<-goOn
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = req.Body.Read(make([]byte, 1))
					for err == nil {
						_, err = req.Body.Read(make([]byte, maxBodyBytes))
					}
				}
				whole <- err != nil && err.Error() == "EOF"
			}()
			raw, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer raw.Close()
			late(raw)
			out := get()
			out.preamble, out.body = "POST /add/x HTTP/1.1\r\nHost: backend.local\r\n", make([]byte, maxBodyBytes)
			a := newAttempt(time.Time{})
			a.lastByteBy = time.Now().Add(100 * time.Millisecond)
			readOn := sync.OnceFunc(func() { close(goOn) })
			defer time.AfterFunc(200*time.Millisecond, readOn).Stop()
			got, _, keep := exchange(a, &conn{Conn: raw, reader: bufio.NewReader(raw)}, out, time.Now().Add(5*time.Second), 0)
			raw.Close()
			readOn()
			if got != forkline.ConnectFailed || keep {
				t.Errorf("outcome %v, connection kept: %v", got, keep)
			}
			if <-whole {
				t.Error("the request was whole at its endpoint")
			}
		})
	}
}

// Where there is time, a long repeat waits until its endpoint has taken in what is ahead of its last byte.
func TestALongRepeatIsServedInTime(t *testing.T) {
	ln := script(t, echo)
	u := pool(ln.Addr().String(), 4)
	out := get()
	out.preamble, out.body = "POST /add/x HTTP/1.1\r\nHost: backend.local\r\n", make([]byte, maxBodyBytes)
	a := newAttempt(time.Time{})
	a.lastByteBy = time.Now().Add(long)
	if got, _ := u.do(a, u.find(1), out, time.Now().Add(long)); got != forkline.OK {
		t.Errorf("outcome %v", got)
	}
}

// An answer by which a request was not run may be a late second copy of the one before on the connection. It must not
// have a request sent once more that may be running, and no answer behind it may be taken for another request's.
func TestASecondTurningAwayProvesNothing(t *testing.T) {
	const notRun = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		once, safe bool
		want       forkline.Outcome
		open       int
	}{
		"keyed":  {want: forkline.Reset},
		"safe":   {safe: true, want: forkline.Rejected},
		"unsafe": {once: true, want: forkline.OK, open: 2}, // it goes on another connection
	} {
		t.Run(name, func(t *testing.T) {
			ln := script(t, func(n int, c net.Conn, r *http.Request) bool {
				if n > 0 {
					return echo(n, c, r)
				}
				io.WriteString(c, notRun) // under the second request it is the copy
				return true
			})
			u := pool(ln.Addr().String(), 4)
			if got, _ := attemptOn(u, long); got != forkline.Rejected {
				t.Fatalf("outcome %v of the first request", got)
			}
			first := u.find(1).idle[0]
			out := get()
			out.atMostOnce, out.safe = c.once, c.safe
			if got, _ := u.do(newAttempt(time.Time{}), u.find(1), out, time.Now().Add(long)); got != c.want {
				t.Errorf("outcome %v, want %v", got, c.want)
			}
			kept := slices.Contains(u.find(1).idle, first)
			if kept != c.once || u.openConns != c.open {
				t.Errorf("the first connection is kept: %v, and %d are open, want %d", kept, u.openConns, c.open)
			}
		})
	}
}

// The time of an endpoint is that from the last byte of the request to the first one of the answer. On virtual time.
func TestTheServiceTimeIsThatOfTheEndpoint(t *testing.T) {
	const service, transfer = 30 * time.Millisecond, 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				t.Error(err)
			}
			time.Sleep(service)
			io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh")
			time.Sleep(transfer)
			io.WriteString(far, "i")
		}()
		a := newAttempt(time.Time{})
		c := &conn{Conn: near, reader: bufio.NewReader(near)}
		if got, _, _ := exchange(a, c, get(), time.Now().Add(long), 0); got != forkline.OK || a.serviceTime != service {
			t.Errorf("outcome %v, service %v, want %v", got, a.serviceTime, service)
		}
	})
}

// An attempt tells when it waits for a new connection and when that is up, and whether its connection was opened for it.
func TestAttemptsTellOfNewConnections(t *testing.T) {
	ln := script(t, echo)
	u := pool(ln.Addr().String(), 4)
	for i, want := range []struct {
		outcome forkline.Outcome
		told    []bool
		fresh   bool
	}{
		{forkline.OK, []bool{true, false}, true},
		{forkline.OK, nil, false},
		{forkline.ConnectFailed, []bool{true}, false},
	} {
		if want.outcome != forkline.OK {
			ln.Close()
			u.closeServerIdle(1)
		}
		var told []bool
		a := newAttempt(time.Time{})
		a.onConnecting = func(waits bool) { told = append(told, waits) }
		got, _ := u.do(a, u.find(1), get(), time.Now().Add(long))
		if got != want.outcome || !slices.Equal(told, want.told) || a.newConnection != want.fresh {
			t.Errorf("attempt %d: outcome %v, told as %v, fresh %v, want %+v", i, got, told, a.newConnection, want)
		}
	}
}

// The loop passes on to the module that an attempt waits for a new connection.
func TestTheLoopHearsOfNewConnections(t *testing.T) {
	ln := script(t, echo)
	cfg := config(t)
	u := pool(ln.Addr().String(), 4)
	l, err := newLoop(&cfg, u)
	if err != nil {
		t.Fatal(err)
	}
	for i, mails := range []int{3, 1} { // it waits, it is up, it is over; on a connection that is open, the last
		l.send(&call{outgoing: *get(), respond: func(response) {}}, &forkline.Action{Kind: forkline.ActSend, Server: 1, Deadline: l.now() + 1e6})
		for range mails {
			(<-l.queue)()
		}
		if len(l.queue) > 0 || len(u.find(1).idle) != 1 {
			t.Errorf("attempt %d: %d more mails, %d connections kept", i, len(l.queue), len(u.find(1).idle))
		}
	}
}
