package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const readyTimeout = 30 * time.Second // the time that the platform gives a sidecar to become ready

// platform runs one real sidecar between stand-ins.
type platform struct {
	log       *record
	discovery *discovery
	endpoints []*endpoint
	addr      string // of the sidecar, for clients
	dir       string // temporary folder
	command   *exec.Cmd
	exited    chan struct{}
}

// deployment is what a case says about its platform.
type deployment struct {
	root, run string // folder and command of the deploy file
	sockets   int    // limit on descriptors
	memoryMB  int
	answers   []answerFunc // one for each endpoint
}

// newPlatform starts the endpoints, discovery and the sidecar, and waits until it is ready.
func newPlatform(log *record, d deployment) (p *platform, err error) {
	p = &platform{log: log, exited: make(chan struct{})}
	defer func() {
		if err != nil {
			p.close()
		}
	}()
	if p.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return p, err
	}
	var targets []target
	for i, answer := range d.answers {
		e, err := startEndpoint(log, fmt.Sprintf("s-%d", i+1), answer)
		if err != nil {
			return p, err
		}
		p.endpoints = append(p.endpoints, e)
		targets = append(targets, e.target(i/2))
	}
	if p.discovery, err = startDiscovery(log, targets); err != nil {
		return p, err
	}
	if p.addr, err = freeAddr(); err != nil {
		return p, err
	}
	if err = p.startSidecar(d); err != nil {
		return p, err
	}
	return p, p.awaitReady()
}

// freeAddr returns a loopback address whose port is free.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startSidecar writes the configuration and starts the sidecar as the platform does.
func (p *platform) startSidecar(d deployment) error {
	config, err := json.MarshalIndent(map[string]any{
		"name": "n0", "listen": p.addr, "discovery": p.discovery.addr(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets},
		"known":  p.discovery.list, "settings": siteSettings(),
	}, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(p.dir, "sidecar.log"))
	if err != nil {
		return err
	}
	defer output.Close()
	p.command = exec.Command("/bin/sh", "-c", d.run)
	p.command.Dir, p.command.Stdout, p.command.Stderr = d.root, output, output
	p.command.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+p.addr,
		"RELAY_DISCOVERY="+p.discovery.addr(), "RELAY_CONFIG="+path, "TMPDIR="+p.dir)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.log.add("platform", "started the sidecar: %s", d.run)
	go func() {
		p.log.add("platform", "the sidecar ended: %v", p.command.Wait())
		close(p.exited)
	}()
	return nil
}

// siteSettings are the settings of the site abholung-bayern, as the wire page shows them, for one front sidecar.
func siteSettings() map[string]any {
	class := func(name, effect string, worth, window float64) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "group": "cell", "dedupWindow": window, "aim": 2500, "giveUp": 6000,
			"lateWorth": 0.2, "stream": false, "worth": worth,
		}
	}
	return map[string]any{
		"balancers": 1, "rank": 0, "stage": 0, "stages": []string{"orders", "stock"},
		"zones": []string{"dc-muenchen"}, "locality": 0, "kinds": []string{"orders-fast", "orders-slow"},
		"classes": []any{class("reserve", "idempotency_key", 8, 10000), class("handover", "non_idempotent", 24, 5000)},
		"clients": map[string]any{"marksRetry": true}, "familyInfo": map[string]any{"passesDeadline": false},
		"feedback": map[string]any{"fields": []string{}, "source": "off"},
		"goal":     map[string]any{"whole": 0.5, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.2},
		"limits": map[string]any{
			"cancel": true, "connIdle": 30000, "connectTimeout": 250, "cpuUsPerRequest": 0, "maxAttempts": 3,
			"maxRetryAfter": 2000, "mayTell": true, "openCap": 31964, "probing": true, "retryAfter": true,
			"secondCopies": true, "streamsPerConn": 1,
		},
		"membershipMode": "on_request", "overShareWorth": 0.1, "parties": []any{},
		"prices": map[string]any{"connection": 0.08, "handshake": 0.08, "probe": 0.0068, "waste": 0.044},
		"safety": map[string]any{
			"answerSlack": 20, "askEvery": 10000, "coldFrom": 0.35, "drainGrace": 750, "fallMultiple": 3,
			"rampTime": 8700, "tipAfter": 2000,
		},
		"serviceType": "chain", "tick": 5, "weights": "rough", "worthBy": "work",
	}
}

// awaitReady polls the sidecar until it says that it is ready.
func (p *platform) awaitReady() error {
	httpClient := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.exited:
			return fmt.Errorf("the sidecar ended before it was ready:\n%s", p.sidecarLog())
		default:
		}
		res, err := httpClient.Get("http://" + p.addr + "/-/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			p.log.add("platform", "the sidecar is ready")
			return nil
		}
	}
	return fmt.Errorf("the sidecar was not ready after %v:\n%s", readyTimeout, p.sidecarLog())
}

func (p *platform) sidecarLog() []byte {
	text, _ := os.ReadFile(filepath.Join(p.dir, "sidecar.log"))
	return text
}

// close ends everything that was started.
func (p *platform) close() {
	if p.command != nil && p.command.Process != nil {
		p.command.Process.Kill()
		<-p.exited
	}
	for _, e := range p.endpoints {
		e.close()
	}
	if p.discovery != nil {
		p.discovery.close()
	}
	os.RemoveAll(p.dir)
}
