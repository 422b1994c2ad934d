package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"forkline"
)

// Tests of settings that are reloaded in a running sidecar.

// withSettings returns a copy of a configuration with edited settings.
func withSettings(cfg Config, edit func(*forkline.Settings)) Config {
	set := &cfg.Site.Settings
	set.Classes, set.Tenants = slices.Clone(set.Classes), slices.Clone(set.Tenants)
	edit(set)
	return cfg
}

// reloadSettings applies edited settings to the sidecar and returns the new configuration.
func reloadSettings(t *testing.T, s *Sidecar, cfg Config, edit func(*forkline.Settings)) Config {
	t.Helper()
	cfg = withSettings(cfg, edit)
	if err := s.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// gatedServer is an endpoint that holds each request whose ID begins with "held" until the test releases it.
type gatedServer struct {
	addr     string
	received chan string // the IDs of all requests, as they arrive
	release  chan bool   // releases one held request: true answers it, false closes its connection
}

func newGatedServer(t *testing.T) *gatedServer {
	g := &gatedServer{received: make(chan string, 100), release: make(chan bool, 100)}
	g.addr = startServer(t, func(n int, c net.Conn, r *http.Request) bool {
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
			t.Fatalf("received request %q, want %q", got, id)
		}
	case <-time.After(testTimeout):
		t.Fatalf("request %q was not received", id)
	}
}

// sendRequest sends one request on a new connection.
func sendRequest(t *testing.T, s *Sidecar, id, method, class string, headers ...string) *client {
	t.Helper()
	c := dial(t, s)
	c.id = id
	c.send(method, class, "", headers...)
	return c
}

// After a reload a new class must be served and a removed one must not be found. A request that was open during the
// reload must still be answered.
func TestReloadClasses(t *testing.T) {
	server := newGatedServer(t)
	cfg := longTimeoutConfig(t, server.addr)
	s := startSidecar(t, cfg)
	held := sendRequest(t, s, "held", "GET", "read")
	server.awaitRequest(t, "held")
	if status := sendRequest(t, s, "new", "GET", "new").readStatus(t); status != 404 {
		t.Errorf("status %d before the class is known", status)
	}
	reused := dial(t, s) // a connection from before the reload stays usable
	reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Classes[0].Name = "new" // this removes class read
		slices.Reverse(set.Classes)
	})
	reused.id = "kept"
	reused.send("GET", "new", "")
	if status := reused.readStatus(t); status != 200 {
		t.Errorf("status %d of the new class", status)
	}
	if status := sendRequest(t, s, "gone", "GET", "read").readStatus(t); status != 404 {
		t.Errorf("status %d of the removed class", status)
	}
	server.release <- true
	if status := held.readStatus(t); status != 200 {
		t.Errorf("status %d of the request that was open", status)
	}
	s.loop.postAndWait(func() {
		if len(s.loop.calls) != 0 || len(s.loop.callsByID) != 0 {
			t.Errorf("%d calls are kept", len(s.loop.calls))
		}
	})
}

// After a reload that shortens a class's timeout, a request must end by the new one. By the old one it would wait for
// longer than this test.
func TestReloadTimeout(t *testing.T) {
	server := newGatedServer(t)
	cfg := longTimeoutConfig(t, server.addr)
	s := startSidecar(t, cfg)
	reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Classes[0].TargetLatency, set.Classes[0].Timeout = 100, 200
		set.Limits.ConnectTimeout, set.Safety.DrainGrace, set.Limits.SendRetryAfter = 77, 1000, false
	})
	s.loop.postAndWait(func() { // limits of connections and of the loop's own refusals apply as well
		if u := s.loop.upstream; u.dialTimeout != 77*time.Millisecond || u.firstByteTimeout != 600*time.Millisecond || s.loop.retryAfter != 0 {
			t.Errorf("dial timeout %v, first byte timeout %v, Retry-After %v", u.dialTimeout, u.firstByteTimeout, s.loop.retryAfter)
		}
	})
	if status := sendRequest(t, s, "held", "GET", "read").readStatus(t); status != statusRefused && status != statusFailed {
		t.Errorf("status %d", status)
	}
	server.release <- false
}

// After a reload that adds a quota, a request beyond the quota must be refused at once instead of waiting.
func TestReloadQuota(t *testing.T) {
	server := newGatedServer(t)
	cfg := longTimeoutConfig(t, server.addr)
	s := startSidecar(t, cfg)
	for _, id := range []string{"held1", "held2", "held3", "held4", "held5"} { // as many as a copy may have open at its start
		sendRequest(t, s, id, "GET", "read")
		server.awaitRequest(t, id)
	}
	reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Tenants, set.OverQuotaValue = []forkline.Tenant{{Name: "small", Quota: 1e-6}}, 0
	})
	sendRequest(t, s, "waits", "GET", "read", "X-Tenant: small") // the one request that the token bucket allows
	awaitCall(t, s, func(c *call) bool { return c.id == "waits" })
	if status := sendRequest(t, s, "over", "GET", "read", "X-Tenant: small").readStatus(t); status != statusRefused {
		t.Errorf("status %d beyond the quota", status)
	}
	for range 5 {
		server.release <- true
	}
}

// A request that may have run must not be sent again if its class is unsafe in the old or in the new settings.
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
			cfg := longTimeoutConfig(t, server.addr)
			s := startSidecar(t, cfg)
			open := sendRequest(t, s, "held", c.method, c.class)
			server.awaitRequest(t, "held")
			reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[c.index].Effect = c.effect })
			s.loop.postAndWait(func() {
				if openCall := s.loop.callsByID["held"]; openCall.safe || !openCall.outgoing.atMostOnce {
					t.Errorf("safe %v, at most once %v", openCall.safe, openCall.outgoing.atMostOnce)
				}
			})
			added := List{Targets: []Target{{UID: "more", Endpoint: other.addr, Zone: "z", State: "Ready"}}}
			s.loop.postAndWait(func() { s.loop.updateList(added, forkline.ListDelta) })
			server.release <- false
			if status := open.readStatus(t); status != statusFailed || len(server.received)+len(other.received) > 0 {
				t.Errorf("status %d, %d more sends", status, len(server.received)+len(other.received))
			}
		})
	}
}

// A client retries a request while the original is being canceled, and in between a reload makes the class safe. The
// retry must not run, because the original was of an unsafe class and may have run.
func TestReloadBeforeClientRetry(t *testing.T) {
	server := newGatedServer(t)
	cfg := longTimeoutConfig(t, server.addr)
	s := startSidecar(t, cfg)
	var original *call
	first := sendRequest(t, s, "held", "POST", "pay")
	server.awaitRequest(t, "held")
	s.loop.postAndWait(func() { original = s.loop.callsByID["held"]; original.openAttempts++ }) // it stays open
	first.Close()
	eventually(t, "the disconnect", func() (ended bool) { s.loop.postAndWait(func() { ended = original.ended }); return ended })
	reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[1].Effect = forkline.Safe })
	retry := sendRequest(t, s, "held", "GET", "pay")
	eventually(t, "the waiting retry", func() (waiting bool) {
		s.loop.postAndWait(func() { waiting = original.retry != nil })
		return waiting
	})
	s.loop.post(func() { original.openAttempts--; s.loop.release(original) })
	if status := retry.readStatus(t); status != statusFailed || len(server.received) > 0 {
		t.Errorf("status %d, %d more sends", status, len(server.received))
	}
	server.release <- false
}

// A request that was parsed under the old settings and reaches the loop after a reload must be handled by the new ones.
func TestReloadBeforeParsedRequestIsAccepted(t *testing.T) {
	cfg := testConfig(t, listenLoopback(t).Addr().String())
	s := startSidecar(t, cfg)
	parse := func(method, class string) *call {
		c, reason := s.front.parse(message{
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
		set.Classes = []forkline.Class{set.Classes[2], set.Classes[0]} // this removes class pay
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
		t.Errorf("class %d, tenant %d, deadline after %v ms", e.Class, e.Tenant, e.Deadline-arrived)
	}
	if got := accept(removed); got.status != 404 {
		t.Errorf("status %d for a removed class", got.status)
	}
	cfg = reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		set.Classes = append(set.Classes, forkline.Class{Name: "pay", TargetLatency: 1, Timeout: 9, Effect: forkline.Safe})
	})
	if got := accept(wrongMethod); got.status != 405 {
		t.Errorf("status %d for a method that the class no longer allows", got.status)
	}
	reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[2].Effect = forkline.Keyed })
	if got := accept(keyless); got.status != 400 {
		t.Errorf("status %d for a request without the key that the class now requires", got.status)
	}
}

// A reload with invalid settings, or with a setting that a running module cannot change, must fail and leave everything
// as it was, including the discovery address.
func TestReloadIsAtomic(t *testing.T) {
	server := newGatedServer(t)
	cfg := longTimeoutConfig(t, server.addr)
	s := startSidecar(t, cfg)
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
		t.Errorf("status %d of a class from rejected settings", status)
	}
	if status := sendRequest(t, s, "b", "GET", "read").readStatus(t); status != 200 {
		t.Errorf("status %d of a class from the settings in force", status)
	}
	if s.discovery.addr != cfg.Discovery || s.loop.reloadedIndex != nil {
		t.Errorf("discovery address %s, or the settings were reloaded", s.discovery.addr)
	}
}

// A reload with unchanged settings must not wait for the loop. A change of the discovery address in the same
// configuration must still apply.
func TestReloadUnchangedSettings(t *testing.T) {
	cfg := testConfig(t, listenLoopback(t).Addr().String())
	s := startSidecar(t, cfg)
	occupied := occupyLoop(s) // a reload that needs the loop would block
	same := withSettings(cfg, func(*forkline.Settings) {})
	same.Discovery, same.Sockets, same.Name = listenLoopback(t).Addr().String(), 999, "m"
	done := make(chan error)
	go func() { done <- s.Reload(same) }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the reload waits for the loop")
	}
	if s.discovery.addr != same.Discovery {
		t.Errorf("discovery address %s, want the new one", s.discovery.addr)
	}
	if restartOnly := s.restartOnlyChanges(&same); !slices.Equal(restartOnly, []string{"name", "limits.sockets"}) {
		t.Errorf("keys kept until a restart: %q", restartOnly)
	}
	occupied.release()
}

// Concurrent reloads change settings and the discovery address while the loop's queue is full and a watch delivers
// lists. None may block forever, and the last reload must be in force.
func TestReloadWithFullQueue(t *testing.T) {
	cfg := testConfig(t, listenLoopback(t).Addr().String())
	listingAddr := startFakeDiscovery(t, func(_ string, notify func(List), beat func()) {
		for rev := int64(1); rev < 50; rev++ {
			notify(List{Rev: rev, Full: true, Targets: cfg.InitialList.Targets})
		}
		beat()
	})
	s := startSidecar(t, cfg)
	occupied := occupyLoop(s)
	for len(s.loop.queue) < cap(s.loop.queue) {
		select {
		case s.loop.queue <- func() {}:
		default: // discovery has filled the queue
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
			t.Errorf("timeout %v ms in force", got)
		}
	})
	if got := s.front.index.Load().settings.Classes[0].Timeout; got != 7777 || s.discovery.addr != last.Discovery {
		t.Errorf("timeout %v ms at the front, discovery address %s", got, s.discovery.addr)
	}
}

// A reload during a drain must apply to requests that are still accepted. A reload before a drain must change the
// drain's time limit, which follows the longest timeout of any class. A reload after the end must return an error.
func TestReloadDuringDrain(t *testing.T) {
	server := newGatedServer(t)
	cfg := longTimeoutConfig(t, server.addr)
	s := newSidecar(t, cfg, nil)
	s.front.drainAcceptTime = 2 * time.Second // long enough on a busy machine
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	longest := s.drainLimit()
	reloadSettings(t, s, cfg, func(set *forkline.Settings) {
		for i := range set.Classes {
			set.Classes[i].TargetLatency, set.Classes[i].Timeout = 2000, 2000
		}
	})
	if got := s.drainLimit(); got != longest-time.Second { // before, the longest timeout counted as 3 s, the maximum
		t.Errorf("drain limit %v, was %v before the reload", got, longest)
	}
	reloadSettings(t, s, cfg, func(*forkline.Settings) {}) // restores the longest drain
	held := sendRequest(t, s, "held", "GET", "read")
	server.awaitRequest(t, "held")
	cancel()
	eventually(t, "the drain", s.front.draining.Load)
	cfg = reloadSettings(t, s, cfg, func(set *forkline.Settings) { set.Classes[1].Name = "new" })
	if status := sendRequest(t, s, "late", "POST", "new").readStatus(t); status != 200 {
		t.Errorf("status %d of a class added during the drain", status)
	}
	server.release <- true
	if status := held.readStatus(t); status != 200 {
		t.Errorf("status %d of a request accepted before the drain", status)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	late := withSettings(cfg, func(set *forkline.Settings) { set.Copies = 5 })
	if err := s.Reload(late); !errors.Is(err, errSidecarEnded) {
		t.Errorf("error %v after the end", err)
	}
}

// When a reload renumbers the zones, the module must receive the list again with the new numbers. The zones of the two
// servers have no number at first and count as one zone. After the reload they are two, so the request must be retried
// in only one of them.
func TestReloadZonesResendsList(t *testing.T) {
	a, b := newGatedServer(t), newGatedServer(t)
	cfg := longTimeoutConfig(t, a.addr, b.addr)
	cfg.InitialList.Targets[0].Zone, cfg.InitialList.Targets[1].Zone = "a", "b"
	cfg = withSettings(cfg, func(set *forkline.Settings) {
		c := &set.Classes[2]
		c.TargetLatency, c.Timeout, c.Scope, c.DedupWindow = set.Classes[0].TargetLatency, set.Classes[0].Timeout, forkline.ScopeZone, 1e9
	})
	s := startSidecar(t, cfg)
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

// When a reload renumbers the zones, a request must not be retried in the zone that now has the old number of its zone:
// the servers there do not know its idempotency key.
func TestReloadZonesDoesNotRetryByOldNumber(t *testing.T) {
	server, other := newGatedServer(t), newGatedServer(t)
	cfg := longTimeoutConfig(t, server.addr, other.addr)
	cfg.InitialList.Targets[1].Zone = "y"
	cfg.InitialList.Targets = cfg.InitialList.Targets[:1]
	cfg = withSettings(cfg, func(set *forkline.Settings) {
		c := &set.Classes[2]
		c.TargetLatency, c.Timeout, c.Scope, c.DedupWindow = set.Classes[0].TargetLatency, set.Classes[0].Timeout, forkline.ScopeZone, 1e9
	})
	s := startSidecar(t, cfg)
	open := sendRequest(t, s, "held", "POST", "add", "Idempotency-Key: k")
	server.awaitRequest(t, "held")
	// Its server is removed and will not be listed again.
	s.loop.postAndWait(func() { s.loop.updateList(List{Full: true}, forkline.ListFull) })
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
	// Another server is in the zone that now has the old number.
	list := List{Full: true, Targets: []Target{{UID: "s-1", Endpoint: other.addr, Zone: "y", State: "Ready"}}}
	s.loop.postAndWait(func() { s.loop.updateList(list, forkline.ListFull) })
	server.release <- false
	if status := open.readStatus(t); status != statusFailed || len(other.received) > 0 {
		t.Errorf("status %d, %d sends to a server that does not know the idempotency key", status, len(other.received))
	}
	s.loop.postAndWait(func() {
		if d := s.loop.directory; len(d.targets) != 1 || len(d.ids) != 1 {
			t.Errorf("%d targets and %d ids are kept, want 1 of each", len(d.targets), len(d.ids))
		}
	})
}

// Connections must follow the new limits after a reload: idle connections over the new idle timeout are closed, and the
// trusted idle time that was learned is kept if it is lower than the new idle timeout.
func TestReloadConnectionLimits(t *testing.T) {
	ln := startServer(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	u := newTestUpstream(ln.Addr().String(), 4)
	u.configure(forkline.Limits{IdleTimeout: 3.6e6}, 0)
	if u.trustedIdle != u.idleTimeout || u.idleTimeout != 48*time.Minute {
		t.Errorf("idle timeout %v, trusted idle time %v", u.idleTimeout, u.trustedIdle)
	}
	doAttempt(u, testTimeout)
	u.configure(forkline.Limits{IdleTimeout: 10, ConnectTimeout: 77}, 1000)
	if u.trustedIdle != 8*time.Millisecond || u.dialTimeout != 77*time.Millisecond || u.firstByteTimeout != 600*time.Millisecond {
		t.Errorf("trusted idle time %v, dial timeout %v, first byte timeout %v", u.trustedIdle, u.dialTimeout, u.firstByteTimeout)
	}
	eventually(t, "the end of the idle connection", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.openConns == 0 && u.sweeper == nil
	})
	u.trustedIdle = time.Millisecond
	u.configure(forkline.Limits{}, 0)
	if u.trustedIdle != time.Millisecond || u.idleTimeout != defaultIdleTimeout || u.dialTimeout != defaultDialTimeout || u.firstByteTimeout != 0 {
		t.Errorf("trusted idle time %v, idle timeout %v, dial timeout %v", u.trustedIdle, u.idleTimeout, u.dialTimeout)
	}
}
