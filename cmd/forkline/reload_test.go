package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// replaceConfig replaces the text of the configuration file and sends SIGHUP.
func (s *runningProgram) replaceConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(s.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP must apply the settings in the file: an added class is served, a removed class gets 404, and a request in flight
// is answered. A file that is invalid or changes a fixed setting must be reported in one line and change nothing. Keys
// that need a restart must be named in the log. A file with the same settings must log no change.
func TestHangupAppliesSettings(t *testing.T) {
	t.Parallel()
	addr, received, release := newBlockingEndpoint(t)
	s := startWithList(t, "push", refusingAddr(t), addr)
	eventually(t, "readiness", func() bool { return sendRequest(s.addr, "/-/ready") == 200 })
	sendTo := func(class string) int {
		return sendRequest(s.addr, "/"+class+"/x", "X-Class: "+class+"\r\n", "X-Request-Id: n\r\n", "X-Deadline: 20\r\n")
	}
	if status := sendTo("browse"); status != 404 {
		t.Errorf("status %d of an unknown class, want 404", status)
	}
	result := make(chan int)
	go func() { result <- sendRead(s.addr, "held") }()
	<-received
	changed := strings.Replace(s.config, `"name":"read"`, `"name":"browse"`, 1)
	for _, c := range []struct{ text, line string }{
		{changed[:len(changed)-9], `(ERROR configuration kept .*config.json)`},
		{strings.Replace(changed, `"giveUp":20000`, `"giveUp":-1`, 1), `(ERROR configuration kept .*err="forkline: setting Classes\[0\] has GiveUp -1)`},
		{strings.Replace(changed, `"stages":["a"]`, `"stages":["a","b"]`, 1), `(ERROR configuration kept .*err="forkline: setting Stages cannot change from 1 to 2)`},
	} {
		s.replaceConfig(t, c.text)
		waitForLog(t, s.lines, c.line)
		if status := sendTo("browse"); status != 404 {
			t.Errorf("status %d of a class in an invalid file, want 404", status)
		}
	}
	s.replaceConfig(t, strings.Replace(changed, `"seed":"1"`, `"seed":"2"`, 1))
	hash := waitForLog(t, s.lines, `settings in force .*hash=([0-9a-f]{16}) after=\d`)
	waitForLog(t, s.lines, `kept until the next start .*(keys=seed)$`)
	close(release)
	if status := sendTo("browse"); status != 200 {
		t.Errorf("status %d of the added class, want 200", status)
	}
	if status := sendRead(s.addr, "gone"); status != 404 {
		t.Errorf("status %d of the removed class, want 404", status)
	}
	if status := <-result; status != 200 {
		t.Errorf("status %d of the request in flight, want 200", status)
	}
	s.replaceConfig(t, changed) // the same settings
	s.replaceConfig(t, s.config)
	if newHash := waitForLog(t, s.lines, `settings in force .*hash=([0-9a-f]{16}) after=\d`); newHash == hash {
		t.Errorf("hash %s again, want that of other settings", newHash)
	}
	s.Process.Signal(syscall.SIGTERM)
	s.waitForExit(t)
}

// The configuration changes several times faster than it is read. The last one must be applied.
func TestLastOfManyHangupsIsApplied(t *testing.T) {
	t.Parallel()
	s := startWithList(t, "push", refusingAddr(t), newEndpoint(t, 0).addr)
	eventually(t, "readiness", func() bool { return sendRequest(s.addr, "/-/ready") == 200 })
	for _, name := range []string{"a", "b", "c", "d", "e", "last"} {
		s.replaceConfig(t, strings.Replace(s.config, `"name":"read"`, `"name":"`+name+`"`, 1))
	}
	eventually(t, "the last configuration in force", func() bool {
		return sendRequest(s.addr, "/last/x", "X-Class: last\r\n", "X-Request-Id: 1\r\n", "X-Deadline: 20\r\n") == 200
	})
	s.Process.Signal(syscall.SIGTERM)
	s.waitForExit(t)
}
