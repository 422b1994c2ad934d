package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"forkline"
)

// Tests of settings that change in a running sidecar.

// edited is a configuration with an edit to its settings; the one given stays as it is.
func withSettings(cfg Config, edit func(*forkline.Settings)) Config {
	set := &cfg.Site.Settings
	set.Classes, set.Tenants = slices.Clone(set.Classes), slices.Clone(set.Tenants)
	edit(set)
	return cfg
}

// reload puts an edit in force.
func reloadSettings(t *testing.T, s *Sidecar, cfg Config, edit func(*forkline.Settings)) Config {
	t.Helper()
	cfg = withSettings(cfg, edit)
	if err := s.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// gated is an endpoint that answers a request named held only when it is let, and breaks it off where that says so.
type gatedServer struct {
	addr     string
	received chan string
	release  chan bool // whether the held one is answered
}

func newGatedServer(t *testing.T) *gatedServer {
	g := &gatedServer{received: make(chan string, 100), release: make(chan bool, 100)}
	g.addr = script(t, func(n int, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		if g.received <- id; strings.HasPrefix(id, "held") && !<-g.release {
			return false
		}
		return echo(n, c, r)
	}).Addr().String()
	return g
}

func (g *gatedServer) awaitRequest(t *testing.T, id string) {
	t.Helper()
	select {
	case got := <-g.received:
		if got != id {
			t.Fatalf("request %q came, want %q", got, id)
		}
	case <-time.After(long):
		t.Fatalf("request %q did not come", id)
	}
}

// ask sends one request on a connection of its own.
func sendRequest(t *testing.T, s *Sidecar, id, method, class string, headers ...string) *client {
	t.Helper()
	c := dial(t, s)
	c.id = id
	c.send(method, class, "", headers...)
	return c
}

func (c *client) readStatus(t *testing.T) int {
	t.Helper()
	res, _ := c.answer(t)
	return res.StatusCode
}

// A class that was unknown is served, one that is gone is not found, and what is out meanwhile is answered.
func TestReloadClasses(t *testing.T) {
	server := newGatedServer(t)
	cfg := patient(t, server.addr)
	s := start(t, cfg)
	held := sendRequest(t, s, "held", "GET", "read")
	server.awaitRequest(t, "held")
	if status := sendRequest(t, s, "new", "GET", "new").readStatus(t); status != 404 {
		t.Errorf("status %d before the class is known", status)
	}
	reused := dial(t, s) // a connection from before goes on
	reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Classes[0].Name = "new" // and read is gone
		slices.Reverse(set.Classes)
	})
	reused.id = "kept"
	reused.send("GET", "new", "")
	if status := reused.readStatus(t); status != 200 {
		t.Errorf("status %d of the new class", status)
	}
	if status := sendRequest(t, s, "gone", "GET", "read").readStatus(t); status != 404 {
		t.Errorf("status %d of the class that is gone", status)
	}
	server.release <- true
	if status := held.readStatus(t); status != 200 {
		t.Errorf("status %d of the request that was out", status)
	}
	s.loop.postAndWait(func() {
		if len(s.loop.calls) != 0 || len(s.loop.callsByID) != 0 {
			t.Errorf("%d calls are kept", len(s.loop.calls))
		}
	})
}

// A long deadline that is short now ends a request in time: it would wait for longer than this test by the old one.
func TestReloadTimeout(t *testing.T) {
	server := newGatedServer(t)
	cfg := patient(t, server.addr)
	s := start(t, cfg)
	reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Classes[0].TargetLatency, set.Classes[0].Timeout = 100, 200
		set.Limits.ConnectTimeout, set.Safety.DrainGrace, set.Limits.SendRetryAfter = 77, 1000, false
	})
	s.loop.postAndWait(func() { // the figures of connections and of the loop's own refusals are put in force with it
		if u := s.loop.upstream; u.dialTimeout != 77*time.Millisecond || u.firstByteTimeout != 600*time.Millisecond || s.loop.retryAfter != 0 {
			t.Errorf("dials for %v, begins within %v, clients come back after %v", u.dialTimeout, u.firstByteTimeout, s.loop.retryAfter)
		}
	})
	if status := sendRequest(t, s, "held", "GET", "read").readStatus(t); status != statusRefused && status != statusFailed {
		t.Errorf("status %d", status)
	}
	server.release <- false
}

// A quota that is used up turns away at once what would otherwise wait.
func TestReloadQuota(t *testing.T) {
	server := newGatedServer(t)
	cfg := patient(t, server.addr)
	s := start(t, cfg)
	for _, id := range []string{"held1", "held2", "held3", "held4", "held5"} { // all that a copy has out at its start
		sendRequest(t, s, id, "GET", "read")
		server.awaitRequest(t, id)
	}
	reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Tenants, set.OverQuotaValue = []forkline.Tenant{{Name: "small", Quota: 1e-6}}, 0
	})
	sendRequest(t, s, "waits", "GET", "read", "X-Tenant: small") // the one that the bucket holds
	awaitCall(t, s, func(c *call) bool { return c.id == "waits" })
	if status := sendRequest(t, s, "over", "GET", "read", "X-Tenant: small").readStatus(t); status != statusRefused {
		t.Errorf("status %d beyond the quota", status)
	}
	for range 5 {
		server.release <- true
	}
}

// A request that may have run is not sent again if its class is unsafe in either file.
func TestReloadEffectOfOpenRequest(t *testing.T) {
	for name, c := range map[string]struct {
		method, class string
		index         int
		effect        forkline.Effect
	}{
		"safe, then unsafe": {"GET", "read", 0, forkline.Unsafe},
		"unsafe, then safe": {"POST", "pay", 1, forkline.Safe},
	} {
		t.Run(name, func(t *testing.T) {
			server, other := newGatedServer(t), newGatedServer(t)
			cfg := patient(t, server.addr)
			s := start(t, cfg)
			open := sendRequest(t, s, "held", c.method, c.class)
			server.awaitRequest(t, "held")
			reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[c.index].Effect = c.effect })
			s.loop.postAndWait(func() {
				if openCall := s.loop.callsByID["held"]; openCall.safe || !openCall.outgoing.atMostOnce {
					t.Errorf("safe %v, must run once %v", openCall.safe, openCall.outgoing.atMostOnce)
				}
			})
			added := List{Targets: []Target{{UID: "more", Endpoint: other.addr, Zone: "z", State: "Ready"}}}
			s.loop.postAndWait(func() { s.loop.updateList(added, forkline.ListDelta) })
			server.release <- false
			if status := open.readStatus(t); status != statusFailed || len(server.received)+len(other.received) > 0 {
				t.Errorf("status %d, %d further sends", status, len(server.received)+len(other.received))
			}
		})
	}
}

// A request that comes again while its first copy is called off may not run if that copy was of an unsafe class.
func TestReloadBeforeClientRetry(t *testing.T) {
	server := newGatedServer(t)
	cfg := patient(t, server.addr)
	s := start(t, cfg)
	var original *call
	first := sendRequest(t, s, "held", "POST", "pay")
	server.awaitRequest(t, "held")
	s.loop.postAndWait(func() { original = s.loop.callsByID["held"]; original.openAttempts++ }) // what ends its attempt is held back
	first.Close()
	eventually(t, "the leaving", func() (ended bool) { s.loop.postAndWait(func() { ended = original.ended }); return ended })
	reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[1].Effect = forkline.Safe })
	retry := sendRequest(t, s, "held", "GET", "pay")
	eventually(t, "the second copy", func() (waiting bool) { s.loop.postAndWait(func() { waiting = original.retry != nil }); return waiting })
	s.loop.post(func() { original.openAttempts--; s.loop.release(original) })
	if status := retry.readStatus(t); status != statusFailed || len(server.received) > 0 {
		t.Errorf("status %d, %d further sends", status, len(server.received))
	}
	server.release <- false
}

// A request that was read by the old settings and comes to the loop after the change is taken by the new ones.
func TestReloadBeforeParsedRequestIsAccepted(t *testing.T) {
	cfg := config(t, listen(t).Addr().String())
	s := start(t, cfg)
	parse := func(method, class string) *call {
		c, _, reason := s.front.parse(message{
			startLine: method + " /" + class + "/x HTTP/1.1",
			header:    http.Header{"X-Class": {class}, "X-Request-Id": {"r"}, "X-Tenant": {"b"}},
		})
		if c == nil {
			t.Fatal(reason)
		}
		c.setDeadline(s.loop.now())
		return c
	}
	renumbered, removed, wrongMethod, keyless := parse("GET", "read"), parse("POST", "pay"), parse("POST", "pay"), parse("POST", "pay")
	arrived := renumbered.event.Deadline - renumbered.answerWithin
	cfg = reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Classes = []forkline.Class{set.Classes[2], set.Classes[0]} // pay is gone
		set.Classes[1].Timeout = 1500
		set.Tenants = []forkline.Tenant{{Name: "a"}, {Name: "b"}}
	})
	accept := func(c *call) (got response) {
		s.loop.postAndWait(func() {
			c.respond = func(a response) { got = a }
			s.loop.accept(c)
			s.loop.handleDisconnect(c)
		})
		return got
	}
	accept(renumbered)
	if e := renumbered.event; e.Class != 1 || e.Tenant != 1 || e.Deadline != arrived+1450 {
		t.Errorf("class %d, tenant %d, due after %v ms", e.Class, e.Tenant, e.Deadline-arrived)
	}
	if got := accept(removed); got.status != 404 {
		t.Errorf("status %d for a class that is gone", got.status)
	}
	cfg = reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Classes = append(set.Classes, forkline.Class{Name: "pay", TargetLatency: 1, Timeout: 9, Effect: forkline.Safe})
	})
	if got := accept(wrongMethod); got.status != 405 {
		t.Errorf("status %d for a method that the class does not have any more", got.status)
	}
	reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[2].Effect = forkline.Keyed })
	if got := accept(keyless); got.status != 400 {
		t.Errorf("status %d for a request without the key that it needs now", got.status)
	}
}

// What cannot be used, or cannot change, leaves everything as it was, the address of discovery too.
func TestReloadIsAtomic(t *testing.T) {
	server := newGatedServer(t)
	cfg := patient(t, server.addr)
	s := start(t, cfg)
	for want, invalidate := range map[string]func(*forkline.Settings){
		"Stages":        func(set *forkline.Settings) { set.Stages = 3 },
		"ListOnRequest": func(set *forkline.Settings) { set.PollList = true },
		"GiveUp":        func(set *forkline.Settings) { set.Classes[1].Timeout = -1 },
		"Classes":       func(set *forkline.Settings) { set.Classes = nil },
	} {
		invalid := withSettings(cfg, func(set *forkline.Settings) { set.Classes[0].Name = "new"; set.Copies = 9; invalidate(set) })
		invalid.Discovery = "127.0.0.1:1"
		if err := s.Reload(invalid); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %s", err, want)
		}
	}
	if status := sendRequest(t, s, "a", "GET", "new").readStatus(t); status != 404 {
		t.Errorf("status %d of a class that was refused", status)
	}
	if status := sendRequest(t, s, "b", "GET", "read").readStatus(t); status != 200 {
		t.Errorf("status %d of a class of before", status)
	}
	if s.discovery.addr != cfg.Discovery || s.loop.reloadedIndex != nil {
		t.Errorf("discovery is at %s", s.discovery.addr)
	}
}

// The same settings cost the loop nothing, and a move of discovery in that file counts.
func TestReloadUnchangedSettings(t *testing.T) {
	cfg := config(t, listen(t).Addr().String())
	s := start(t, cfg)
	occupied := occupyLoop(s) // it would have to wait for the loop
	same := withSettings(cfg, func(*forkline.Settings) {})
	same.Discovery, same.Sockets, same.Name = listen(t).Addr().String(), 999, "m"
	done := make(chan error)
	go func() { done <- s.Reload(same) }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(long):
		t.Fatal("it waits for the loop")
	}
	if s.discovery.addr != same.Discovery {
		t.Errorf("discovery is at %s", s.discovery.addr)
	}
	if restartOnly := s.restartOnlyChanges(&same); !slices.Equal(restartOnly, []string{"name", "limits.sockets"}) {
		t.Errorf("kept: %q", restartOnly)
	}
	occupied.release()
}

// Changes and moves come at once from several sides, while the loop's mail is full and a watch tells lists: nobody
// waits for good, and what came last is in force.
func TestReloadWithFullQueue(t *testing.T) {
	cfg := config(t, listen(t).Addr().String())
	listingAddr := discover(t, func(_ string, notify func(List), beat func()) {
		for rev := int64(1); rev < 50; rev++ {
			notify(List{Rev: rev, Full: true, Targets: cfg.InitialList.Targets})
		}
		beat()
	})
	s := start(t, cfg)
	occupied := occupyLoop(s)
	for len(s.loop.queue) < cap(s.loop.queue) {
		select {
		case s.loop.queue <- func() {}:
		default: // discovery was ahead
		}
	}
	var reloads sync.WaitGroup
	for i := range 20 {
		reloads.Go(func() {
			c := withSettings(cfg, func(set *forkline.Settings) { set.Classes[0].Timeout = float64(5000 + i) })
			c.Discovery = []string{listingAddr, cfg.Discovery}[i%2]
			if err := s.Reload(c); err != nil {
				t.Error(err)
			}
		})
	}
	occupied.release()
	reloads.Wait()
	last := reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[0].Timeout = 7777 })
	s.loop.postAndWait(func() {
		if got := s.loop.reloadedIndex.settings.Classes[0].Timeout; got != 7777 {
			t.Errorf("deadline %v in force", got)
		}
	})
	if got := s.front.index.Load().settings.Classes[0].Timeout; got != 7777 || s.discovery.addr != last.Discovery {
		t.Errorf("deadline %v at the front, discovery at %s", got, s.discovery.addr)
	}
}

// A change during a drain is in force for what is still taken; before one, the drain follows the new longest deadline.
// After the end it is told to be too late.
func TestReloadDuringDrain(t *testing.T) {
	server := newGatedServer(t)
	cfg := patient(t, server.addr)
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
	s.front.drainAcceptTime = 2 * time.Second // for a test on a busy machine
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	longest := s.drainLimit()
	reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		for i := range set.Classes {
			set.Classes[i].TargetLatency, set.Classes[i].Timeout = 2000, 2000
		}
	})
	if got := s.drainLimit(); got != longest-time.Second { // 3 s, the most that is waited for, before
		t.Errorf("what is left is given up %v after SIGTERM, before %v", got, longest)
	}
	reloadSettings(t, s, cfg, func(*forkline.Settings) {}) // the drain lasts for as long as it may
	held := sendRequest(t, s, "held", "GET", "read")
	server.awaitRequest(t, "held")
	cancel()
	eventually(t, "the drain", s.front.draining.Load)
	cfg = reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[1].Name = "new" })
	if status := sendRequest(t, s, "late", "POST", "new").readStatus(t); status != 200 {
		t.Errorf("status %d of a class that came during the drain", status)
	}
	server.release <- true
	if status := held.readStatus(t); status != 200 {
		t.Errorf("status %d of what was taken before", status)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	late := withSettings(cfg, func(set *forkline.Settings) { set.Copies = 5 })
	if err := s.Reload(late); !errors.Is(err, errSidecarEnded) {
		t.Errorf("error %v after the end", err)
	}
}

// The module is told the list by the new numbers of zones: two that had none, and were one for it, are two.
func TestReloadZonesResendsList(t *testing.T) {
	a, b := newGatedServer(t), newGatedServer(t)
	cfg := patient(t, a.addr, b.addr)
	cfg.InitialList.Targets[0].Zone, cfg.InitialList.Targets[1].Zone = "a", "b"
	cfg = withSettings(cfg, func(set *forkline.Settings) {
		c := &set.Classes[2]
		c.TargetLatency, c.Timeout, c.Scope, c.DedupWindow = set.Classes[0].TargetLatency, set.Classes[0].Timeout, forkline.ScopeZone, 1e9
	})
	s := start(t, cfg)
	eventually(t, "the list", func() bool { return isReady(s) })
	cfg.Site.Zones = []string{"z", "a", "b"}
	if err := s.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	open := sendRequest(t, s, "held", "POST", "add", "Idempotency-Key: k")
	for range 9 {
		a.release <- false
		b.release <- false
	}
	if status := open.readStatus(t); status != statusFailed || len(a.received) > 0 == (len(b.received) > 0) {
		t.Errorf("status %d after %d sends to one and %d to the other, want all in one zone", status, len(a.received), len(b.received))
	}
}

// Zones have other numbers: nothing is repeated in a zone by its old one.
func TestReloadZonesDoesNotRetryByOldNumber(t *testing.T) {
	server, other := newGatedServer(t), newGatedServer(t)
	cfg := patient(t, server.addr, other.addr)
	cfg.InitialList.Targets[1].Zone = "y"
	cfg.InitialList.Targets = cfg.InitialList.Targets[:1]
	cfg = withSettings(cfg, func(set *forkline.Settings) {
		c := &set.Classes[2]
		c.TargetLatency, c.Timeout, c.Scope, c.DedupWindow = set.Classes[0].TargetLatency, set.Classes[0].Timeout, forkline.ScopeZone, 1e9
	})
	s := start(t, cfg)
	open := sendRequest(t, s, "held", "POST", "add", "Idempotency-Key: k")
	server.awaitRequest(t, "held")
	s.loop.postAndWait(func() { s.loop.updateList(List{Full: true}, forkline.ListFull) }) // its server is gone and not told anew
	cfg.Site.Zones = []string{"y", "z"}
	if err := s.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	var entry forkline.ServerEntry
	s.loop.postAndWait(func() {
		entry = s.loop.directory.entry(&Target{UID: "s-2", Zone: "z"})
	})
	if entry.Zone != 1 {
		t.Errorf("zone %d, want the new number", entry.Zone)
	}
	// Another one is in the zone of its old number.
	list := List{Full: true, Targets: []Target{{UID: "s-1", Endpoint: other.addr, Zone: "y", State: "Ready"}}}
	s.loop.postAndWait(func() { s.loop.updateList(list, forkline.ListFull) })
	server.release <- false
	if status := open.readStatus(t); status != statusFailed || len(other.received) > 0 {
		t.Errorf("status %d, %d sends to a server that does not know the key", status, len(other.received))
	}
	s.loop.postAndWait(func() {
		if d := s.loop.directory; len(d.targets) != 1 || len(d.ids) != 1 {
			t.Errorf("%d targets and %d ids are kept of one that is listed", len(d.targets), len(d.ids))
		}
	})
}

// Connections go by the new limits: idle ones that are too old end, and what was learned of them stays if it is less.
func TestReloadConnectionLimits(t *testing.T) {
	ln := script(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	u := pool(ln.Addr().String(), 4)
	u.configure(forkline.Limits{IdleTimeout: 3.6e6}, 0)
	if u.trustedIdle != u.idleTimeout || u.idleTimeout != 48*time.Minute {
		t.Errorf("idle for %v, trusted for %v", u.idleTimeout, u.trustedIdle)
	}
	attemptOn(u, long)
	u.configure(forkline.Limits{IdleTimeout: 10, ConnectTimeout: 77}, 1000)
	if u.trustedIdle != 8*time.Millisecond || u.dialTimeout != 77*time.Millisecond || u.firstByteTimeout != 600*time.Millisecond {
		t.Errorf("trusted for %v, dials %v, begins within %v", u.trustedIdle, u.dialTimeout, u.firstByteTimeout)
	}
	eventually(t, "the end of the idle connection", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.openConns == 0 && u.sweeper == nil
	})
	u.trustedIdle = time.Millisecond
	u.configure(forkline.Limits{}, 0)
	if u.trustedIdle != time.Millisecond || u.idleTimeout != defaultIdleTimeout || u.dialTimeout != defaultDialTimeout || u.firstByteTimeout != 0 {
		t.Errorf("trusted for %v, idle for %v, dials %v", u.trustedIdle, u.idleTimeout, u.dialTimeout)
	}
}
