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

// Tests of signals that arrive during a start, a drain or a reload, or at the same time as other signals.

// runningProgram is a running program with its log, address and configuration.
type runningProgram struct {
	*exec.Cmd
	lines      *bufio.Scanner
	addr       string
	configPath string
	config     string // the original text of the configuration file
}

// startWithList runs the program with a discovery address and an initial list of the given endpoints.
func startWithList(t *testing.T, mode, discovery string, endpoints ...string) *runningProgram {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n", "listen": "127.0.0.1:0", "seed": "1", "discovery": discovery,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": descriptorLimit},
		"known":  json.RawMessage(listJSON(1, endpoints...)), "settings": settingsFor(mode),
	})
	if err != nil {
		t.Fatal(err)
	}
	getenv := writeConfig(t, string(text))
	s := &runningProgram{configPath: getenv("RELAY_CONFIG"), config: string(text)}
	s.Cmd, s.lines = startProgram(t, getenv)
	s.addr = waitForLog(t, s.lines, `serving.* listen=(\S+)`)
	return s
}

// changeDiscovery replaces the discovery address in the configuration file and sends SIGHUP.
func (s *runningProgram) changeDiscovery(t *testing.T, from, to string) {
	t.Helper()
	if err := os.WriteFile(s.configPath, []byte(strings.ReplaceAll(s.config, from, to)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// waitForExit reads the log to its end and checks that the program exits with status 0.
func (s *runningProgram) waitForExit(t *testing.T) {
	t.Helper()
	for s.lines.Scan() {
	}
	if err := s.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// refusingAddr returns an address that refuses connections.
func refusingAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

// newBlockingEndpoint returns the address of an endpoint that answers a request only after release is closed. It sends on
// received for each request that arrives.
func newBlockingEndpoint(t *testing.T) (addr string, received chan struct{}, release chan struct{}) {
	received, release = make(chan struct{}, 100), make(chan struct{})
	return newFakeServer(t, func(c net.Conn) {
		answerRequests(c, func(*http.Request) bool {
			received <- struct{}{}
			<-release
			return writeOK(c, "ok")
		})
	}).addr, received, release
}

// SIGHUP and SIGTERM arrive at the same time, in either order and several times. The accepted request must be answered
// and the program must exit with status 0.
func TestHangupAndTermAtOnce(t *testing.T) {
	for name, order := range map[string][]syscall.Signal{
		"HUP TERM": {syscall.SIGHUP, syscall.SIGTERM},
		"TERM HUP": {syscall.SIGTERM, syscall.SIGHUP},
		"many":     {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		for _, mode := range []string{"push", "on_request"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				addr, received, release := newBlockingEndpoint(t)
				from, to := refusingAddr(t), refusingAddr(t)
				s := startWithList(t, mode, from, addr)
				result := make(chan int)
				go func() { result <- sendRead(s.addr, "held") }()
				<-received
				if err := os.WriteFile(s.configPath, []byte(strings.ReplaceAll(s.config, from, to)), 0o600); err != nil {
					t.Fatal(err)
				}
				for _, signal := range order {
					if err := s.Process.Signal(signal); err != nil {
						t.Fatal(err)
					}
				}
				close(release)
				if status := <-result; status != 200 {
					t.Errorf("status %d of the accepted request, want 200", status)
				}
				s.waitForExit(t)
			})
		}
	}
}

// The discovery address changes while the program drains. The program must watch the new address and send the accepted
// request, for which it had no endpoint so far, to the endpoint that the new list names.
func TestHangupDuringDrain(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			added := newEndpoint(t, 0)
			first, watches := newFakeDiscovery(t, func() string { return "" })
			second, _ := newFakeDiscovery(t, func() string { return listJSON(2, added.addr) })
			s := startWithList(t, mode, first.addr)
			eventually(t, "a watch", func() bool { return watches.Load() > 0 })
			result := make(chan int)
			go func() { result <- sendRead(s.addr, "waits") }()
			s.Process.Signal(syscall.SIGTERM)
			s.changeDiscovery(t, first.addr, second.addr)
			if status := <-result; status != 200 {
				t.Errorf("status %d, want 200 from the endpoint that the list added during the drain", status)
			}
			s.waitForExit(t)
		})
	}
}

// SIGTERM arrives while a read of the configuration file blocks, as it may while the file is being replaced. The program
// must continue to serve meanwhile, then drain and exit.
func TestTermDuringReload(t *testing.T) {
	t.Parallel()
	s := startWithList(t, "on_request", refusingAddr(t), newEndpoint(t, 0).addr)
	if err := os.Remove(s.configPath); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(s.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	s.Process.Signal(syscall.SIGHUP)
	var f *os.File
	eventually(t, "the file being read", func() bool { // opening the FIFO for writing succeeds once it has a reader
		var err error
		f, err = os.OpenFile(s.configPath, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	defer f.Close()
	if status := sendRead(s.addr, 1); status != 200 {
		t.Errorf("status %d while the file is read, want 200", status)
	}
	s.Process.Signal(syscall.SIGTERM)
	s.waitForExit(t)
}

// The discovery address changes before the program has a list and is ready. It must call the new address and then become
// ready.
func TestHangupBeforeReady(t *testing.T) {
	for _, mode := range []string{"push", "on_request"} {
		for name, from := range map[string]func() string{
			"refused": func() string { return refusingAddr(t) },
			"silent":  func() string { return newFakeServer(t, func(c net.Conn) { io.Copy(io.Discard, c) }).addr },
		} {
			t.Run(mode+"/"+name, func(t *testing.T) {
				t.Parallel()
				from := from()
				disc, _ := newFakeDiscovery(t, func() string { return listJSON(2, newEndpoint(t, 0).addr) })
				s := startWithList(t, mode, from)
				if status := sendRequest(s.addr, "/-/ready"); status != http.StatusServiceUnavailable {
					t.Errorf("status %d without a list, want 503", status)
				}
				s.changeDiscovery(t, from, disc.addr)
				eventually(t, "readiness", func() bool { return sendRequest(s.addr, "/-/ready") == 200 })
				s.Process.Signal(syscall.SIGTERM)
				s.waitForExit(t)
			})
		}
	}
}

// Guards against a process that ends by itself without a word: the reader of its log goes away, and the next line that it writes to the
// broken pipe must not end it.
func TestLogReaderThatGoesAwayDoesNotEndTheProgram(t *testing.T) {
	disc, watches := newFakeDiscovery(t, func() string { return "" })
	text, err := json.Marshal(map[string]any{
		"name": "n", "listen": "127.0.0.1:0", "seed": "1", "discovery": disc.addr,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": descriptorLimit},
		"settings": settingsFor("push"),
	})
	if err != nil {
		t.Fatal(err)
	}
	getenv := writeConfig(t, string(text))
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(build(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"))
	cmd.Stdout, cmd.Stderr = writer, writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	writer.Close()
	waitForLog(t, bufio.NewScanner(reader), `(serving)`)
	eventually(t, "a watch", func() bool { return watches.Load() > 0 })
	reader.Close()
	for range 3 { // the program logs the end of each watch before it opens the next one
		before := watches.Load()
		disc.stop()
		disc.start()
		eventually(t, "the next watch", func() bool { return watches.Load() > before })
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
