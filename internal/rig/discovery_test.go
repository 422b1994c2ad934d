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

// target returns a list entry in the given state.
func target(uid, state string) sidecar.Target {
	return sidecar.Target{UID: uid, Endpoint: "127.0.0.1:9", Zone: "z", Kind: "k", State: state, Weight: 1}
}

// newTestDiscovery starts a discovery with a list of two entries.
func newTestDiscovery(t *testing.T) *Discovery {
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

// openWatch opens a watch through the first listener and returns its body.
func openWatch(t *testing.T, d *Discovery, since int) *bufio.Reader {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// nextList returns the next list of a watch, as a sidecar parses it. It skips empty lines.
func nextList(t *testing.T, r *bufio.Reader) sidecar.List {
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

// get returns the status and body of a call through the second listener.
func get(t *testing.T, d *Discovery, query string) (int, []byte) {
	t.Helper()
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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

func TestFullListsFollowTheProtocol(t *testing.T) {
	d := newTestDiscovery(t)
	if err := d.Change(target("s-0", "Gone"), target("s-2", "Terminating")); err != nil {
		t.Fatal(err)
	}
	_, text := get(t, d, "")
	l, err := sidecar.ParseList(text)
	if err != nil || !l.Full || l.Rev != 2 || len(l.Targets) != 2 || l.Targets[0].UID != "s-1" || l.Targets[1].State != "Terminating" {
		t.Errorf("list %+v, error %v", l, err)
	}
	if status, _ := get(t, d, "?since=often"); status != http.StatusBadRequest {
		t.Errorf("status %d for an invalid version, want 400", status)
	}
}

// A watch begins with the changes after its version, or with the full list if that version is 0 or unknown, and continues
// with each change.
func TestWatchesSendChanges(t *testing.T) {
	d := newTestDiscovery(t)
	fromZero, fromCurrent, fromFuture := openWatch(t, d, 0), openWatch(t, d, 1), openWatch(t, d, 99)
	for _, r := range []*bufio.Reader{fromZero, fromFuture} {
		if l := nextList(t, r); !l.Full || l.Rev != 1 || len(l.Targets) != 2 {
			t.Errorf("first list %+v, want the full list", l)
		}
	}
	if l := nextList(t, fromCurrent); l.Full || l.Rev != 1 || len(l.Targets) != 0 {
		t.Errorf("first list from the current version: %+v, want no entries", l)
	}
	for rev := int64(2); rev < 5; rev++ {
		if err := d.Change(target("s-1", "Terminating")); err != nil {
			t.Fatal(err)
		}
		for _, r := range []*bufio.Reader{fromZero, fromCurrent, fromFuture} {
			if l := nextList(t, r); l.Full || l.Rev != rev || len(l.Targets) != 1 || l.Targets[0].State != "Terminating" {
				t.Errorf("change %+v, want one draining entry of the new version", l)
			}
		}
	}
	late := openWatch(t, d, 2)
	if l, m := nextList(t, late), nextList(t, late); l.Rev != 3 || m.Rev != 4 {
		t.Errorf("a watch from version 2 got versions %d and %d, want 3 and 4", l.Rev, m.Rev)
	}
}

func TestIdleWatchesSendHeartbeats(t *testing.T) {
	d := newTestDiscovery(t)
	d.heartbeat = time.Millisecond
	r := openWatch(t, d, 1)
	nextList(t, r)
	for range 3 {
		if line, err := r.ReadString('\n'); line != "\n" || err != nil {
			t.Errorf("line %q, error %v, want an empty line", line, err)
		}
	}
}

// A watch from a version older than the changes that are kept gets the full list.
func TestOldVersionsGetTheFullList(t *testing.T) {
	d := newTestDiscovery(t)
	for range maxChanges {
		if err := d.Change(target("s-1", "Ready")); err != nil {
			t.Fatal(err)
		}
	}
	if l := nextList(t, openWatch(t, d, 5)); !l.Full || l.Rev != maxChanges+1 {
		t.Errorf("full list %v, version %d", l.Full, l.Rev)
	}
}

func TestOutageRefusesConnections(t *testing.T) {
	d := newTestDiscovery(t)
	if err := d.StartOutage(ConnRefused); err != nil {
		t.Fatal(err)
	}
	if _, err := net.DialTimeout("tcp", d.Addr(1), testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want a refused connection", err)
	}
	if err := d.EndOutage(context.Background()); err != nil {
		t.Fatal(err)
	}
	if status, _ := get(t, d, ""); status != http.StatusOK {
		t.Errorf("status %d after the outage, want 200", status)
	}
}

func TestOutageWith503EndsWatches(t *testing.T) {
	d := newTestDiscovery(t)
	r := openWatch(t, d, 0)
	nextList(t, r)
	if err := d.StartOutage(Unavailable); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(r); err == nil {
		t.Error("the watch ended without an error, as if its body were complete")
	}
	if status, _ := get(t, d, ""); status != http.StatusServiceUnavailable || d.Traffic().Refused != 1 {
		t.Errorf("status %d, want 503; traffic %+v", status, d.Traffic())
	}
}

// A watch that a silent outage has reached stays silent after it. Only a new call is answered after the outage, and only
// that counts as answered.
func TestSilentOutageSilencesWatchesForGood(t *testing.T) {
	d := newTestDiscovery(t)
	r := openWatch(t, d, 0)
	nextList(t, r)
	if err := d.StartOutage(Silent); err != nil {
		t.Fatal(err)
	}
	d.resetCounts()
	received := make(chan string, 1)
	go func() { line, _ := r.ReadString('\n'); received <- line }()
	if err := d.Change(target("s-1", "Gone")); err != nil {
		t.Fatal(err)
	}
	if err := d.EndOutage(context.Background()); err != nil {
		t.Fatal(err)
	}
	if n, _ := d.answeredSidecars(); n != 0 {
		t.Errorf("%d sidecars were answered before a new call, want 0", n)
	}
	if _, text := get(t, d, ""); len(text) == 0 {
		t.Error("empty answer after the outage")
	}
	if n, last := d.answeredSidecars(); n != 1 || last.IsZero() {
		t.Errorf("%d sidecars were answered, the last at %v, want 1", n, last)
	}
	select {
	case line := <-received:
		t.Errorf("the silent watch sent %q", line)
	default:
	}
}

// Calls are handled one at a time. A call that waits longer than maxWait for its turn is refused.
func TestCallsWaitForTheirTurn(t *testing.T) {
	d := newTestDiscovery(t)
	d.maxWait = time.Millisecond
	d.turn <- struct{}{}
	if status, _ := get(t, d, ""); status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a call whose turn did not come, want 503", status)
	}
	<-d.turn
	d.maxWait = 0
	if status, _ := get(t, d, ""); status != http.StatusOK {
		t.Errorf("status %d for a call whose turn came, want 200", status)
	}
}
