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
	memoryMB = 192  // limit that a sidecar is told
	sockets  = 4096 // descriptors that it is told
	askEvery = 10 * time.Second
)

// program is one sidecar process. It is ended by its own handle, or dies with this process.
type program struct {
	name   string
	cmd    *exec.Cmd
	addr   string // where clients connect
	begun  time.Time
	ready  time.Duration // from its start to the first 200 of /-/ready
	exited chan struct{}
	err    error // once exited is closed
	before Usage // what earlier processes of this sidecar used
	stop   sync.Once
}

// settings are what a sidecar of the rig is told; asked says whether it asks for lists or has them pushed.
func settings(copies, rank int, asked bool, askEvery time.Duration) map[string]any {
	membership := "pushed"
	if asked {
		membership = "on_request"
	}
	class := func(name, effect string) map[string]any {
		return map[string]any{
			"name": name, "aim": 1000, "giveUp": 2500, "effect": effect, "group": "cell", "dedupWindow": 10000,
		}
	}
	return map[string]any{
		"balancers": copies, "rank": rank, "stages": []string{"a"}, "zones": []string{"z"}, "kinds": []string{"k"},
		"membershipMode": membership,
		"limits":         map[string]any{"maxAttempts": 3, "cancel": true, "connectTimeout": 250, "connIdle": 10000, "retryAfter": true},
		"safety":         map[string]any{"answerSlack": 20, "drainGrace": 500, "coldFrom": 0.3, "rampTime": 8000, "askEvery": milliseconds(askEvery)},
		"classes":        []any{class("read", "read_like"), class("add", "idempotency_key"), class("pay", "non_idempotent")},
	}
}

// start writes a configuration into dir and starts a sidecar on it, which holds the list known. The process ends with ctx.
func start(ctx context.Context, binary, dir, name, discovery string, known sidecar.List,
	seed uint64, set map[string]any) (*program, error) {
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": host, "discovery": discovery, "seed": strconv.FormatUint(seed, 16),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"settings": set, "known": known,
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &program{name: name, exited: make(chan struct{}), begun: time.Now()}
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
	told := make(chan string, 1)
	go p.follow(r, told)
	select {
	case p.addr = <-told:
		return p, nil
	case <-p.exited:
		return nil, fmt.Errorf("%s ended at its start: %w", name, p.err)
	case <-time.After(startTime):
		p.kill()
		return nil, fmt.Errorf("%s says no address: %w", name, errWaited)
	case <-ctx.Done():
		p.kill()
		return nil, ctx.Err()
	}
}

var serving = regexp.MustCompile(`serving.* listen=(\S+)`)

// follow reads the log to its end, and then waits for the process.
func (p *program) follow(r io.ReadCloser, told chan<- string) {
	defer close(p.exited)
	defer r.Close()
	lines, last := bufio.NewScanner(r), ""
	lines.Buffer(make([]byte, 4096), 1<<20)
	for lines.Scan() {
		last = lines.Text()
		if m := serving.FindStringSubmatch(last); m != nil {
			select {
			case told <- m[1]:
			default:
			}
		}
	}
	io.Copy(io.Discard, r) // behind a line that is too long
	if err := p.cmd.Wait(); err != nil {
		p.err = fmt.Errorf("%w: %s", err, last)
	} else {
		p.err = errors.New("it ended by itself: " + last)
	}
}

// awaitReady polls until the sidecar says that it is ready, and notes how long that took from its start.
func (p *program) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	err := await(ctx, startTime, func() bool {
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
	p.ready = time.Since(p.begun)
	select {
	case <-p.exited:
		return fmt.Errorf("%s ended: %w", p.name, p.err)
	default:
	}
	if err != nil {
		return fmt.Errorf("%s is not ready: %w", p.name, err)
	}
	return nil
}

// usage is what the process has used, with all that earlier ones of this sidecar had.
func (p *program) usage() (Usage, error) {
	select {
	case <-p.exited:
		return Usage{}, fmt.Errorf("%s ended: %w", p.name, p.err)
	default:
	}
	u, err := usage(p.cmd.Process.Pid)
	u.CPU += p.before.CPU
	return u, err
}

// kill ends the process and waits until it has ended.
func (p *program) kill() {
	p.stop.Do(func() { p.cmd.Process.Kill() })
	<-p.exited
}

// killAll ends them all.
func killAll(all []*program) {
	for _, p := range all {
		if p != nil {
			p.stop.Do(func() { p.cmd.Process.Kill() })
		}
	}
	for _, p := range all {
		if p != nil {
			<-p.exited
		}
	}
}

// Build compiles the sidecar of this source tree into dir, as the deploy file does but for the linker's mode.
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
