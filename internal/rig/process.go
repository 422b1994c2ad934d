package rig

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"forkline/internal/sidecar"
)

const (
	memoryLimitMB       = 192  // memory limit in a sidecar's configuration
	socketLimit         = 4096 // descriptor limit in a sidecar's configuration
	defaultPollInterval = 10 * time.Second
)

// process is one sidecar process. It is killed through its own handle, or by the kernel when this process ends.
type process struct {
	name       string
	cmd        *exec.Cmd
	addr       string // address for clients
	started    time.Time
	readyAfter time.Duration // time from its start to the first status 200 of /-/ready
	exited     chan struct{} // closed when the process has ended
	exitErr    error         // valid once exited is closed
	earlier    Usage         // usage of earlier processes of this sidecar
	killOnce   sync.Once
}

// sidecarSettings returns the settings of a sidecar, which polls for its list with pollList and otherwise has it pushed.
func sidecarSettings(copies, rank int, pollList bool, pollInterval time.Duration) map[string]any {
	membershipMode := "pushed"
	if pollList {
		membershipMode = "on_request"
	}
	class := func(name, effect string) map[string]any {
		return map[string]any{
			"name": name, "aim": 1000, "giveUp": 2500, "effect": effect, "group": "cell", "dedupWindow": 10000,
		}
	}
	return map[string]any{
		"balancers": copies, "rank": rank, "stages": []string{"a"}, "zones": []string{"z"}, "kinds": []string{"k"},
		"membershipMode": membershipMode,
		"limits":         map[string]any{"maxAttempts": 3, "cancel": true, "connectTimeout": 250, "connIdle": 10000, "retryAfter": true},
		"safety": map[string]any{
			"answerSlack": 20, "drainGrace": 500, "coldFrom": 0.3, "rampTime": 8000, "askEvery": milliseconds(pollInterval),
		},
		"classes": []any{class("read", "read_like"), class("add", "idempotency_key"), class("pay", "non_idempotent")},
	}
}

// startProcess writes a configuration file into dir and starts a sidecar with it, which begins with initialList. The
// process is killed when ctx ends.
func startProcess(ctx context.Context, binary, dir, name, discoveryAddr string, initialList sidecar.List,
	seed uint64, settings map[string]any) (*process, error) {
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": listenAddr, "discovery": discoveryAddr, "seed": strconv.FormatUint(seed, 16),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryLimitMB, "sockets": socketLimit},
		"settings": settings, "known": initialList,
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &process{name: name, exited: make(chan struct{}), started: time.Now()}
	p.cmd = exec.CommandContext(ctx, binary)
	p.cmd.Env = []string{"RELAY_CONFIG=" + path, "TMPDIR=" + dir}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.WaitDelay = time.Second
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p.cmd.Stderr, p.cmd.Stdout = w, w
	err = p.cmd.Start()
	w.Close()
	if err != nil {
		r.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	serving := make(chan string, 1)
	go p.readLog(r, serving)
	select {
	case p.addr = <-serving:
		return p, nil
	case <-p.exited:
		return nil, fmt.Errorf("%s ended while starting: %w", name, p.exitErr)
	case <-time.After(startTimeout):
		p.kill()
		return nil, fmt.Errorf("%s did not log its address: %w", name, errTimeout)
	case <-ctx.Done():
		p.kill()
		return nil, ctx.Err()
	}
}

// servingLine matches the log line with a sidecar's address.
var servingLine = regexp.MustCompile(`serving.* listen=(\S+)`)

// readLog reads the log to its end, sends the address in it to serving, and then waits for the process to end.
func (p *process) readLog(r io.ReadCloser, serving chan<- string) {
	defer close(p.exited)
	defer r.Close()
	lines, lastLine := bufio.NewScanner(r), ""
	lines.Buffer(make([]byte, 4096), 1<<20)
	for lines.Scan() {
		lastLine = lines.Text()
		if m := servingLine.FindStringSubmatch(lastLine); m != nil {
			select {
			case serving <- m[1]:
			default:
			}
		}
	}
	io.Copy(io.Discard, r) // drains the log after a line that is too long to scan
	if err := p.cmd.Wait(); err != nil {
		p.exitErr = fmt.Errorf("%w: %s", err, lastLine)
	} else {
		p.exitErr = errors.New("it exited with status 0: " + lastLine)
	}
}

// waitReady polls until the sidecar reports that it is ready, and records the time since its start.
func (p *process) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	err := waitUntil(ctx, startTimeout, func() bool {
		select {
		case <-p.exited:
			return true
		default:
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+"/-/ready", nil)
		if err != nil {
			return false
		}
		res, err := client.Do(req)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	p.readyAfter = time.Since(p.started)
	select {
	case <-p.exited:
		return fmt.Errorf("%s ended: %w", p.name, p.exitErr)
	default:
	}
	if err != nil {
		return fmt.Errorf("%s is not ready: %w", p.name, err)
	}
	return nil
}

// usage returns the usage of the process. Its processor time includes that of earlier processes of this sidecar.
func (p *process) usage() (Usage, error) {
	select {
	case <-p.exited:
		return Usage{}, fmt.Errorf("%s ended: %w", p.name, p.exitErr)
	default:
	}
	u, err := readUsage(p.cmd.Process.Pid)
	u.CPU += p.earlier.CPU
	return u, err
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	p.killOnce.Do(func() { p.cmd.Process.Kill() })
	<-p.exited
}

// killAll kills all processes that are not nil and waits until they have ended.
func killAll(processes []*process) {
	for _, p := range processes {
		if p != nil {
			p.killOnce.Do(func() { p.cmd.Process.Kill() })
		}
	}
	for _, p := range processes {
		if p != nil {
			<-p.exited
		}
	}
}

// Build compiles the sidecar of this source tree into dir and returns its path. It builds as the deployment does, except
// for the link mode.
func Build(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "forkline")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "forkline/cmd/forkline")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out.Bytes())
	}
	return binary, nil
}
