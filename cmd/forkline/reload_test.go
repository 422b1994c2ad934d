package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// rewrite replaces the configuration and signals that.
func (s *signalled) rewrite(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP puts the settings of the file in force: a class that it names anew is served, one that it names no more is not
// found, and a request that is out meanwhile is answered. What cannot be used, or cannot change, is told in one line and
// changes nothing; what counts only from the next start on is named. A file with the same settings is told nothing of.
func TestHangupPutsSettingsInForce(t *testing.T) {
	t.Parallel()
	addr, came, release := holding(t)
	s := begin(t, "push", refusing(t), addr)
	eventually(t, "readiness", func() bool { return request(s.addr, "/-/ready") == 200 })
	asked := func(class string) int {
		return request(s.addr, "/"+class+"/x", "X-Class: "+class+"\r\n", "X-Request-Id: n\r\n", "X-Deadline: 20\r\n")
	}
	if status := asked("browse"); status != 404 {
		t.Errorf("status %d of an unknown class", status)
	}
	got := make(chan int)
	go func() { got <- read(s.addr, "held") }()
	<-came
	changed := strings.Replace(s.text, `"name":"read"`, `"name":"browse"`, 1)
	for _, c := range []struct{ text, line string }{
		{changed[:len(changed)-9], `(ERROR configuration kept .*config.json)`},
		{strings.Replace(changed, `"giveUp":20000`, `"giveUp":-1`, 1), `(ERROR configuration kept .*err="forkline: setting Classes\[0\] has GiveUp -1)`},
		{strings.Replace(changed, `"stages":["a"]`, `"stages":["a","b"]`, 1), `(ERROR configuration kept .*err="forkline: setting Stages cannot change from 1 to 2)`},
	} {
		s.rewrite(t, c.text)
		logged(t, s.lines, c.line)
		if status := asked("browse"); status != 404 {
			t.Errorf("status %d of a class in a file that cannot be used", status)
		}
	}
	s.rewrite(t, strings.Replace(changed, `"seed":"1"`, `"seed":"2"`, 1))
	hash := logged(t, s.lines, `settings in force .*hash=([0-9a-f]{16}) after=\d`)
	logged(t, s.lines, `kept until the next start .*(keys=seed)$`)
	close(release)
	if status := asked("browse"); status != 200 {
		t.Errorf("status %d of the new class", status)
	}
	if status := read(s.addr, "gone"); status != 404 {
		t.Errorf("status %d of the class that is gone", status)
	}
	if status := <-got; status != 200 {
		t.Errorf("status %d of what was out", status)
	}
	s.rewrite(t, changed) // the same settings
	s.rewrite(t, s.text)
	if again := logged(t, s.lines, `settings in force .*hash=([0-9a-f]{16}) after=\d`); again == hash {
		t.Errorf("hash %s once more, want that of other settings", again)
	}
	s.Process.Signal(syscall.SIGTERM)
	s.ends(t)
}

// Files follow each other faster than they are read: the last one is in force.
func TestTheLastOfManyHangupsIsInForce(t *testing.T) {
	t.Parallel()
	s := begin(t, "push", refusing(t), endpoint(t, 0).addr)
	eventually(t, "readiness", func() bool { return request(s.addr, "/-/ready") == 200 })
	for _, name := range []string{"a", "b", "c", "d", "e", "last"} {
		s.rewrite(t, strings.Replace(s.text, `"name":"read"`, `"name":"`+name+`"`, 1))
	}
	eventually(t, "the last one in force", func() bool {
		return request(s.addr, "/last/x", "X-Class: last\r\n", "X-Request-Id: 1\r\n", "X-Deadline: 20\r\n") == 200
	})
	s.Process.Signal(syscall.SIGTERM)
	s.ends(t)
}
