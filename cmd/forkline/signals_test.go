package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// Signals that cross each other, a start, a drain or a reload.

// signalled is a running program and what it takes to signal it.
type signalled struct {
	*exec.Cmd
	lines *bufio.Scanner
	addr  string
	path  string // of its configuration
	text  string // of that
}

// begin runs the program with a discovery and one known endpoint, or none.
func begin(t *testing.T, mode, discovery string, known ...string) *signalled {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n", "listen": "127.0.0.1:0", "seed": "1", "discovery": discovery,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": limit},
		"known":  json.RawMessage(listOf(1, known...)), "settings": settingsOf(mode),
	})
	if err != nil {
		t.Fatal(err)
	}
	getenv := env(t, string(text))
	s := &signalled{path: getenv("RELAY_CONFIG"), text: string(text)}
	s.Cmd, s.lines = program(t, getenv)
	s.addr = logged(t, s.lines, `serving.* listen=(\S+)`)
	return s
}

// hangup moves discovery in the configuration and signals that.
func (s *signalled) hangup(t *testing.T, from, to string) {
	t.Helper()
	if err := os.WriteFile(s.path, []byte(strings.ReplaceAll(s.text, from, to)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// ends reads the log to its end and sees that the program ended by itself and soundly.
func (s *signalled) ends(t *testing.T) {
	t.Helper()
	for s.lines.Scan() {
	}
	if err := s.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// refusing is an address where nobody listens.
func refusing(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

// holding is an endpoint that holds each request until it is told to answer; came tells that one is there.
func holding(t *testing.T) (addr string, came chan struct{}, release chan struct{}) {
	came, release = make(chan struct{}, 100), make(chan struct{})
	return newStandIn(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			came <- struct{}{}
			<-release
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}).addr, came, release
}

// Both signals come at once, in either order and several times: what was taken is answered, and the program ends
// soundly.
func TestHangupAndTermAtOnce(t *testing.T) {
	for name, order := range map[string][]syscall.Signal{
		"HUP TERM": {syscall.SIGHUP, syscall.SIGTERM},
		"TERM HUP": {syscall.SIGTERM, syscall.SIGHUP},
		"many":     {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		for _, mode := range []string{"push", "on_request"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				addr, came, release := holding(t)
				from, to := refusing(t), refusing(t)
				s := begin(t, mode, from, addr)
				got := make(chan int)
				go func() { got <- read(s.addr, "held") }()
				<-came
				if err := os.WriteFile(s.path, []byte(strings.ReplaceAll(s.text, from, to)), 0o600); err != nil {
					t.Fatal(err)
				}
				for _, signal := range order {
					if err := s.Process.Signal(signal); err != nil {
						t.Fatal(err)
					}
				}
				close(release)
				if status := <-got; status != 200 {
					t.Errorf("status %d for what was taken", status)
				}
				s.ends(t)
			})
		}
	}
}

// Discovery moves while the program drains: it is watched at the new address, and a request that was taken and has
// nowhere to go yet goes where the list says that is told there.
func TestHangupDuringADrain(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			added := endpoint(t, 0)
			first, watches := follower(t, func() string { return "" })
			second, _ := follower(t, func() string { return listOf(2, added.addr) })
			s := begin(t, mode, first.addr)
			eventually(t, "a watch", func() bool { return watches.Load() > 0 })
			got := make(chan int)
			go func() { got <- read(s.addr, "waits") }()
			s.Process.Signal(syscall.SIGTERM)
			s.hangup(t, first.addr, second.addr)
			if status := <-got; status != 200 {
				t.Errorf("status %d, want that of the endpoint that was told in the drain", status)
			}
			s.ends(t)
		})
	}
}

// The reading of the configuration hangs when SIGTERM comes, as it may where the file is being replaced: the program
// serves on meanwhile, drains and ends.
func TestTermDuringAReload(t *testing.T) {
	t.Parallel()
	s := begin(t, "on_request", refusing(t), endpoint(t, 0).addr)
	if err := os.Remove(s.path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(s.path, 0o600); err != nil {
		t.Fatal(err)
	}
	s.Process.Signal(syscall.SIGHUP)
	var f *os.File
	eventually(t, "the file being read", func() bool { // opening it for writing succeeds once it is
		var err error
		f, err = os.OpenFile(s.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	defer f.Close()
	if status := read(s.addr, 1); status != 200 {
		t.Errorf("status %d while the file is read", status)
	}
	s.Process.Signal(syscall.SIGTERM)
	s.ends(t)
}

// Discovery moves before the program is ready, as it has no list yet: it asks at the new address, and is ready then.
func TestHangupBeforeReady(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		for name, from := range map[string]func() string{
			"refused": func() string { return refusing(t) },
			"silent":  func() string { return newStandIn(t, func(c net.Conn) { io.Copy(io.Discard, c) }).addr },
		} {
			t.Run(mode+"/"+name, func(t *testing.T) {
				t.Parallel()
				from := from()
				told, _ := follower(t, func() string { return listOf(2, endpoint(t, 0).addr) })
				s := begin(t, mode, from)
				if status := request(s.addr, "/-/ready"); status != http.StatusServiceUnavailable {
					t.Errorf("status %d with no list", status)
				}
				s.hangup(t, from, told.addr)
				eventually(t, "readiness", func() bool { return request(s.addr, "/-/ready") == 200 })
				s.Process.Signal(syscall.SIGTERM)
				s.ends(t)
			})
		}
	}
}
