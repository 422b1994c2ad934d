package rig

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"forkline/internal/sidecar"
)

// target is an entry in some state.
func target(uid, state string) sidecar.Target {
	return sidecar.Target{UID: uid, Endpoint: "127.0.0.1:9", Zone: "z", Kind: "k", State: state, Weight: 1}
}

// discovery has a list of two entries.
func discovery(t *testing.T) *Discovery {
	t.Helper()
	d, err := NewDiscovery(2, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.Change(target("s-0", "Ready"), target("s-1", "Ready")); err != nil {
		t.Fatal(err)
	}
	return d
}

// watch opens one through the first listener.
func watch(t *testing.T, d *Discovery, since int) *bufio.Reader {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), long)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/api/targets?follow=1&since=%d", d.Addr(0), since), nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	if res.StatusCode != http.StatusOK {
		t.Fatal(res.Status)
	}
	return bufio.NewReader(res.Body)
}

// next is the next object of a watch as a sidecar reads it; empty lines are passed over.
func next(t *testing.T, r *bufio.Reader) sidecar.List {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line != "\n" {
			l, err := sidecar.ParseList([]byte(line))
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			return l
		}
	}
}

// get is the status and body of a call through the second listener.
func get(t *testing.T, d *Discovery, query string) (int, []byte) {
	t.Helper()
	client := &http.Client{Timeout: long, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + d.Addr(1) + "/api/targets" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, text
}

func TestListsAreReadAsTheProtocolSays(t *testing.T) {
	d := discovery(t)
	if err := d.Change(target("s-0", "Gone"), target("s-2", "Terminating")); err != nil {
		t.Fatal(err)
	}
	_, text := get(t, d, "")
	l, err := sidecar.ParseList(text)
	if err != nil || !l.Full || l.Rev != 2 || len(l.Targets) != 2 || l.Targets[0].UID != "s-1" || l.Targets[1].State != "Terminating" {
		t.Errorf("%+v, %v", l, err)
	}
	if status, _ := get(t, d, "?since=often"); status != http.StatusBadRequest {
		t.Errorf("status %d for a version that is none", status)
	}
}

// A watch begins with what changed after its version, or with the whole list, and goes on with each change.
func TestWatchesTellChanges(t *testing.T) {
	d := discovery(t)
	whole, known, ahead := watch(t, d, 0), watch(t, d, 1), watch(t, d, 99)
	for _, r := range []*bufio.Reader{whole, ahead} {
		if l := next(t, r); !l.Full || l.Rev != 1 || len(l.Targets) != 2 {
			t.Errorf("first object %+v", l)
		}
	}
	if l := next(t, known); l.Full || l.Rev != 1 || len(l.Targets) != 0 {
		t.Errorf("first object for one that knows all: %+v", l)
	}
	for rev := int64(2); rev < 5; rev++ {
		if err := d.Change(target("s-1", "Terminating")); err != nil {
			t.Fatal(err)
		}
		for _, r := range []*bufio.Reader{whole, known, ahead} {
			if l := next(t, r); l.Full || l.Rev != rev || len(l.Targets) != 1 || l.Targets[0].State != "Terminating" {
				t.Errorf("change %+v", l)
			}
		}
	}
	late := watch(t, d, 2)
	if l, m := next(t, late), next(t, late); l.Rev != 3 || m.Rev != 4 {
		t.Errorf("one that has version 2 is told %d and %d", l.Rev, m.Rev)
	}
}

func TestWatchesBeat(t *testing.T) {
	d := discovery(t)
	d.beat = time.Millisecond
	r := watch(t, d, 1)
	next(t, r)
	for range 3 {
		if line, err := r.ReadString('\n'); line != "\n" || err != nil {
			t.Errorf("%q, %v", line, err)
		}
	}
}

// Who is too far behind for the changes that are kept gets the whole list.
func TestOldVersionsGetTheWholeList(t *testing.T) {
	d := discovery(t)
	for range logMost {
		if err := d.Change(target("s-1", "Ready")); err != nil {
			t.Fatal(err)
		}
	}
	if l := next(t, watch(t, d, 5)); !l.Full || l.Rev != logMost+1 {
		t.Errorf("all %v, version %d", l.Full, l.Rev)
	}
}

func TestOutageThatRefuses(t *testing.T) {
	d := discovery(t)
	if err := d.Down(Refused); err != nil {
		t.Fatal(err)
	}
	if _, err := net.DialTimeout("tcp", d.Addr(1), long); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v", err)
	}
	if err := d.Up(context.Background()); err != nil {
		t.Fatal(err)
	}
	if status, _ := get(t, d, ""); status != http.StatusOK {
		t.Errorf("status %d after its return", status)
	}
}

func TestOutageThatAnswers503EndsWatches(t *testing.T) {
	d := discovery(t)
	r := watch(t, d, 0)
	next(t, r)
	if err := d.Down(Refusing); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(r); err == nil {
		t.Error("the watch ended as if it were whole")
	}
	if status, _ := get(t, d, ""); status != http.StatusServiceUnavailable || d.Traffic().Refused != 1 {
		t.Errorf("status %d, %+v", status, d.Traffic())
	}
}

// What falls silent stays so, also once the discovery is back; only a new call is answered, and that is what counts.
func TestOutageThatIsSilent(t *testing.T) {
	d := discovery(t)
	r := watch(t, d, 0)
	next(t, r)
	if err := d.Down(Silent); err != nil {
		t.Fatal(err)
	}
	d.mark()
	heard := make(chan string, 1)
	go func() { line, _ := r.ReadString('\n'); heard <- line }()
	if err := d.Change(target("s-1", "Gone")); err != nil {
		t.Fatal(err)
	}
	if err := d.Up(context.Background()); err != nil {
		t.Fatal(err)
	}
	if n, _ := d.answered(); n != 0 {
		t.Errorf("%d were answered", n)
	}
	if _, text := get(t, d, ""); len(text) == 0 {
		t.Error("nothing is told after its return")
	}
	if n, last := d.answered(); n != 1 || last.IsZero() {
		t.Errorf("%d were answered, the last at %v", n, last)
	}
	select {
	case line := <-heard:
		t.Errorf("the silent watch told %q", line)
	default:
	}
}

// Calls are handled in turn: one that waits for longer than it may is refused.
func TestCallsWaitForTheirTurn(t *testing.T) {
	d := discovery(t)
	d.maxWait = time.Millisecond
	d.turn <- struct{}{}
	if status, _ := get(t, d, ""); status != http.StatusServiceUnavailable {
		t.Errorf("status %d without a turn", status)
	}
	<-d.turn
	d.maxWait = 0
	if status, _ := get(t, d, ""); status != http.StatusOK {
		t.Errorf("status %d with one", status)
	}
}
