package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"forkline"
	"forkline/internal/listwatch"
)

// startFakeDiscovery starts a discovery server and returns its address. It calls f for each watch, which ends when f
// returns.
func startFakeDiscovery(t *testing.T, f func(since string, send func(List), keepAlive func())) string {
	t.Helper()
	return startServer(t, func(_ int, c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk := func(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
		f(r.URL.Query().Get("since"), func(l List) {
			text, err := json.Marshal(l)
			if err != nil {
				t.Error(err)
			}
			chunk(string(text) + "\n")
		}, func() { chunk("\n") })
		return false
	}).Addr().String()
}

// An endpoint that a watch adds must be used. Once the watch reports that the endpoint drains, it must get no more
// requests, and once it is gone, it must be forgotten.
func TestWatch(t *testing.T) {
	next, done := make(chan string), make(chan struct{})
	defer close(done)
	addr := startServer(t, echo).Addr().String()
	cfg := testConfig(t)
	cfg.InitialList.Rev = 7
	cfg.Discovery = startFakeDiscovery(t, func(since string, send func(List), keepAlive func()) {
		keepAlive()
		for rev := int64(8); ; rev++ {
			select {
			case state := <-next:
				send(List{Rev: rev, Targets: []Target{{UID: "s-" + since, Endpoint: addr, Zone: "z", State: state}}})
			case <-done:
				return
			}
		}
	})
	s := startSidecar(t, cfg)
	awaitReadyServers := func(want int) {
		t.Helper()
		for got, end := -1, time.Now().Add(testTimeout); got != want; {
			if s.loop.postAndWait(func() { got = s.loop.readyServers }); time.Now().After(end) {
				t.Fatalf("%d ready servers, want %d", got, want)
			}
		}
	}
	next <- "Ready"
	awaitReadyServers(1)
	if id := newDirectory(nil, nil).id("s-7"); s.loop.upstream.find(id) == nil {
		t.Error("the watch did not start at the version of the initial list")
	}
	c := dial(t, s)
	c.send("GET", "read", "")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
	next <- "Terminating"
	awaitReadyServers(0)
	c.send("GET", "read", "", "X-Deadline: 0.200")
	if res, _ := c.readResponse(t); res.StatusCode != statusRefused {
		t.Errorf("status %d with every endpoint draining, want a refusal", res.StatusCode)
	}
	next <- "Gone"
	for removed := false; !removed; {
		s.loop.postAndWait(func() { removed = len(s.loop.serverReady) == 0 && len(s.loop.directory.ids) == 0 })
	}
}

// A watch must accept lists that are indented, that share a line or that contain braces in strings.
func TestWatchAcceptsAnyJSONLayout(t *testing.T) {
	lists := make(chan List, 10)
	d := &discovery{policy: longTimeoutPolicy(testTimeout), onList: func(l List) { lists <- l }, onFailed: func(time.Duration) {}}
	d.addr = startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n\n{\n  \"rev\": 1,\n\n  \"all\": true,\n  \"targets\": [\n    {\n      "+
			"\"uid\": \"}\\\"{\",\r\n\t\"endpoint\": \"127.0.0.1:1\", \"state\": \"Ready\"}\n  ]\n}\n\n {\"rev\":2} {\"rev\":3}\n")
		return false
	}).Addr().String()
	d.poll(t.Context())
	close(lists)
	rev := int64(0)
	for l := range lists {
		if rev++; l.Rev != rev || rev == 1 && (len(l.Targets) != 1 || l.Targets[0].UID != "}\"{") {
			t.Errorf("list %+v", l)
		}
	}
	if rev != 3 {
		t.Errorf("%d lists, want 3", rev)
	}
}

// A watch that is answered but never delivers a complete object must end at the same silence timeout as one that has
// delivered some: before the first object, within it, and also while its bytes trickle in.
func TestWatchSilentFromTheStart(t *testing.T) {
	for name, respond := range map[string]func(net.Conn){
		"before the first object": func(net.Conn) {},
		"within an object":        func(c net.Conn) { io.WriteString(c, "{\n\"rev\":") },
		"trickling": func(c net.Conn) {
			for c.SetWriteDeadline(time.Now().Add(2 * testTimeout)); ; time.Sleep(time.Millisecond) {
				if _, err := io.WriteString(c, "{\n"); err != nil {
					return
				}
			}
		},
	} {
		done := make(chan struct{})
		d := &discovery{policy: longTimeoutPolicy(30 * time.Millisecond), onList: func(List) {}, onFailed: func(time.Duration) {}}
		d.addr = startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			respond(c)
			<-done
			return false
		}).Addr().String()
		ended := make(chan struct{})
		go func() { d.poll(t.Context()); close(ended) }()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Errorf("%s: the watch did not time out", name)
		}
		close(done)
	}
}

// A watch without activity for several keep-alive intervals must end even if its connection stays open. A pushed list must
// then be watched again from the latest version.
func TestSilentWatchIsRestarted(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	calls := make(chan string, 10)
	d := &discovery{policy: longTimeoutPolicy(30 * time.Millisecond), rev: 3, onList: func(List) {}, onFailed: func(time.Duration) {}}
	d.addr = startFakeDiscovery(t, func(since string, send func(List), keepAlive func()) {
		calls <- since
		send(List{Rev: 4})
		<-done
	})
	go d.follow(t.Context())
	if first, second := <-calls, <-calls; first != "3" || second != "4" {
		t.Errorf("watches start at versions %s and %s, want 3 and 4", first, second)
	}
}

// The log must tell a watch that has fallen silent from one that has ended: the first leaves less time for the next call.
func TestSilentWatchIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		ends bool // discovery ends the watch
		want string
	}{
		"silent": {false, `err="watch: nothing was received for 3`},
		"ended":  {true, "err=EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lines := make(logLines, 10)
				d := &discovery{
					policy: listwatch.PollPolicy, onList: func(List) {}, onFailed: func(time.Duration) {},
					logger: slog.New(slog.NewTextHandler(lines, nil)),
				}
				d.dial = func(context.Context, string) (net.Conn, error) {
					local, remote := net.Pipe()
					go func() {
						defer remote.Close()
						http.ReadRequest(bufio.NewReader(remote))
						io.WriteString(remote, "HTTP/1.1 200 OK\r\n\r\n{\"rev\":1}\n")
						if !c.ends {
							remote.Read(make([]byte, 1)) // until the caller gives up
						}
					}()
					return local, nil
				}
				d.poll(t.Context())
				if line := <-lines; !strings.Contains(line, c.want) {
					t.Errorf("log line %q, want %s", line, c.want)
				}
			})
		})
	}
}

// Changes that a silent watch misses must be received within 6 s: by then the silence must have been detected, the
// module's first back-off must be over and a new call must have been answered.
func TestSilenceTimeoutLeavesTimeToRetry(t *testing.T) {
	const limit, backOff, callTime = 6 * time.Second, 1500 * time.Millisecond, 500 * time.Millisecond
	p := listwatch.PollPolicy
	if p.SilenceTimeout+backOff+callTime > limit || p.SoftTimeout+backOff+callTime > limit {
		t.Errorf("silence timeout %v and soft timeout %v leave too little time", p.SilenceTimeout, p.SoftTimeout)
	}
}

// The loop and discovery must not deadlock: a watch posts a list while the loop's queue is full, and an address change,
// as after SIGHUP, is in that queue.
func TestSetDiscoveryAddrWithFullQueue(t *testing.T) {
	cfg := testConfig(t)
	cfg.Discovery = startServer(t, respondWith("HTTP/1.1 200 OK\r\n\r\n{\"rev\":8}\n")).Addr().String()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay = 0
	defer close(s.loop.done)
	s.SetDiscoveryAddr(listenLoopback(t).Addr().String())
	s.SetDiscoveryAddr(cfg.Discovery)
	for len(s.loop.queue) < cap(s.loop.queue) {
		s.loop.queue <- func() {}
	}
	go s.loop.post(func() {}) // waits ahead of the list for the first free slot
	eventually(t, "a blocked post", func() bool {
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		return regexp.MustCompile(`\[select.*\]:\n.*\(\*loop\)\.post\(`).Match(stacks)
	})
	delivering, onList := make(chan struct{}), s.discovery.onList
	s.discovery.onList = func(l List) { close(delivering); onList(l) }
	go s.discovery.poll(t.Context())
	<-delivering
	go s.loop.run()
	ran := make(chan struct{})
	go func() { s.loop.postAndWait(func() {}); close(ran) }()
	select {
	case <-ran:
	case <-time.After(testTimeout):
		t.Fatal("the loop is deadlocked")
	}
}

// The discovery address changes and is restored at once, as by two SIGHUPs in a row. Only one watch must remain: two
// would replace each other for as long as the program runs.
func TestDiscoveryAddrChangedAndRestored(t *testing.T) {
	calls, ended, done := make(chan int, 100), make(chan int, 100), make(chan struct{})
	defer close(done)
	addr := startServer(t, func(n int, c net.Conn, _ *http.Request) bool {
		calls <- n
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n\n")
		c.Read(make([]byte, 1))
		ended <- n
		return false
	}).Addr().String()
	d := &discovery{policy: longTimeoutPolicy(testTimeout), addr: addr, onList: func(List) {}, onFailed: func(time.Duration) {}}
	firstReturned := make(chan struct{})
	go func() { d.follow(t.Context()); close(firstReturned) }()
	<-calls
	if !d.move(listenLoopback(t).Addr().String()) || !d.move(addr) {
		t.Fatal("move reports that the address did not change")
	}
	go d.follow(t.Context())
	if n := <-calls; n != 1 {
		t.Fatalf("watch %d, want the second", n)
	}
	if n := <-ended; n != 0 {
		t.Fatalf("watch %d ended, want the first", n)
	}
	select {
	case <-firstReturned:
	case n := <-calls:
		t.Fatalf("watch %d was started while the second one is active", n)
	case <-time.After(testTimeout):
		t.Fatal("the first follow has not returned")
	}
}

// The discovery address changes to one that refuses connections. The watch on the old address must stay in use, and the
// failure must be reported so that the module retries.
func TestFailedAddrChangeKeepsOldWatch(t *testing.T) {
	send, revs, failed := make(chan int64), make(chan int64, 10), make(chan struct{}, 10)
	d := &discovery{policy: longTimeoutPolicy(testTimeout), rev: 1, onList: func(l List) { revs <- l.Rev }, onFailed: func(time.Duration) { failed <- struct{}{} }}
	d.addr = startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for rev := range send {
			fmt.Fprintf(c, "{\"rev\":%d}\n", rev)
		}
		return false
	}).Addr().String()
	go d.poll(t.Context())
	send <- 2
	if rev := <-revs; rev != 2 {
		t.Fatalf("version %d", rev)
	}
	refusing := listenLoopback(t)
	refusing.Close()
	d.move(refusing.Addr().String())
	d.poll(t.Context())
	<-failed
	send <- 3
	if rev := <-revs; rev != 3 {
		t.Errorf("version %d after the failed address change", rev)
	}
	close(send)
}

// When the discovery address changes, the old watch must stay active until the new one is answered, so that no list change
// is missed. Its end must not be reported as a failure. A second change before that must supersede the first.
func TestDiscoveryAddressChangeLeavesNoGap(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	revs, oldEnded := make(chan int64, 10), make(chan struct{})
	var failures atomic.Int32
	next := make(chan int64)
	d := &discovery{policy: longTimeoutPolicy(testTimeout), rev: 1, onList: func(l List) { revs <- l.Rev }, onFailed: func(time.Duration) { failures.Add(1) }}
	old := startServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		go func() {
			for rev := range next {
				fmt.Fprintf(c, "{\"rev\":%d}\n", rev)
			}
		}()
		c.Read(make([]byte, 1))
		close(oldEnded)
		return false
	}).Addr().String()
	silent := listenLoopback(t).Addr().String() // accepts and never answers
	d.addr = old
	expectRev := func(rev int64) {
		t.Helper()
		if got := <-revs; got != rev {
			t.Fatalf("received version %d, want %d", got, rev)
		}
	}
	go d.poll(t.Context())
	next <- 2
	expectRev(2)
	if d.move(old) || !d.move(silent) {
		t.Error("move must report a change for another address only")
	}
	go d.poll(t.Context())
	for started := 0; started < 2; { // so that the watches start in the order of the changes
		d.mu.Lock()
		started = d.lastCall.number
		d.mu.Unlock()
	}
	next <- 3
	expectRev(3)
	d.move(startFakeDiscovery(t, func(since string, send func(List), keepAlive func()) {
		if since != "3" {
			t.Errorf("the watch starts at version %s, want 3", since)
		}
		send(List{Rev: 4})
		<-done
	}))
	go d.poll(t.Context())
	expectRev(4)
	<-oldEnded
	close(next)
	if failures.Load() > 0 {
		t.Error("the end of the old watch was reported as a failure")
	}
}

// Where the list is polled, the module decides when to call again. Each failed call must therefore be reported to it.
func TestFailedCallIsReported(t *testing.T) {
	failed := make(chan struct{}, 1)
	d := &discovery{policy: longTimeoutPolicy(testTimeout), onList: func(List) { t.Error("a list was received") }, onFailed: func(time.Duration) { failed <- struct{}{} }}
	for name, text := range map[string]string{
		"rejected":    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"reset":       "",
		"no list":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nno!\n",
		"bad state":   "HTTP/1.1 200 OK\r\n\r\n" + `{"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"Odd"}]}` + "\n",
		"bad address": "HTTP/1.1 200 OK\r\n\r\n" + `{"targets":[{"uid":"a","endpoint":"nowhere","state":"Ready"}]}` + "\n",
	} {
		d.addr = startServer(t, func(_ int, c net.Conn, _ *http.Request) bool { io.WriteString(c, text); return false }).Addr().String()
		d.poll(t.Context())
		select {
		case <-failed:
		default:
			t.Errorf("%s: the failure was not reported", name)
		}
	}
}

// A new process starts with a cached list, and discovery knows that a server has drained since. Requests that arrive
// before its first message must not go to that server. If discovery stays silent, the cached list is used.
func TestCachedListWaitsForDiscovery(t *testing.T) {
	for silent, want := range map[bool]string{false: "other", true: "either"} {
		received, sendList, done := make(chan string, 10), make(chan struct{}), make(chan struct{})
		newServer := func(name string) string {
			return startServer(t, func(n int, c net.Conn, r *http.Request) bool {
				received <- name
				return echo(n, c, r)
			}).Addr().String()
		}
		cfg := testConfig(t, newServer("draining"), newServer("other"))
		cfg.Site.Settings.Limits.ConnectTimeout = float64(testTimeout.Milliseconds()) // long enough on a busy machine
		cfg.Site.Settings.Classes[0].Timeout, cfg.Site.Settings.Classes[0].TargetLatency = 20000, 20000
		draining := cfg.InitialList.Targets[0]
		draining.State = "Terminating"
		cfg.Discovery = startFakeDiscovery(t, func(_ string, notify func(List), _ func()) {
			<-sendList
			notify(List{Rev: 2, Targets: []Target{draining}})
			<-done
		})
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if s.discovery.policy = longTimeoutPolicy(testTimeout); !silent {
			s.cachedListDelay = time.Hour
		}
		ctx, cancel := context.WithCancel(context.Background())
		go s.Run(ctx)
		clients := make([]*client, 4)
		for i := range clients {
			clients[i] = dial(t, s)
			clients[i].id = fmt.Sprint(i)
			clients[i].send("GET", "read", "")
		}
		if !silent {
			eventually(t, "the waiting requests", func() (allWait bool) {
				s.loop.postAndWait(func() { allWait = len(s.loop.calls) == len(clients) })
				return allWait
			})
			close(sendList)
		}
		for _, c := range clients {
			if res, _ := c.readResponse(t); res.StatusCode != 200 {
				t.Errorf("status %d", res.StatusCode)
			}
		}
		for range clients {
			if name := <-received; want == "other" && name != want {
				t.Errorf("a request was sent to the draining server")
			}
		}
		s.discovery.move(silentAddr())
		cancel()
		close(done)
	}
}

// A full list must remove the servers that it does not contain.
func TestFullListReplacesServers(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2")
	l, err := newLoop(&cfg, newUpstream(forkline.Limits{}, 0, 4))
	if err != nil {
		t.Fatal(err)
	}
	l.updateList(cfg.InitialList, forkline.ListCached)
	first, second := l.directory.id("s-0"), l.directory.id("s-1")
	l.updateList(List{Targets: cfg.InitialList.Targets[1:]}, forkline.ListFull)
	if l.readyServers != 1 || l.upstream.find(first) != nil || l.upstream.find(second) == nil {
		t.Errorf("%d ready servers, want the one that is listed", l.readyServers)
	}
}
