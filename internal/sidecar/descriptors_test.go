package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"forkline/internal/listwatch"
)

// Where all connections have open requests nobody can be evicted: a new one is closed at once, which its client can
// tell from a lost request, and those behind it are not held up.
func TestNewConnectionIsClosedWhenAllHaveOpenRequests(t *testing.T) {
	const maxConns = 4
	release := make(chan struct{})
	cfg := config(t, script(t, func(n int, c net.Conn, r *http.Request) bool { <-release; return echo(n, c, r) }).Addr().String())
	cfg.Site.Settings.Classes[0].Timeout = 2 * float64(long.Milliseconds())
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.cachedListDelay, s.front.drainAcceptTime, s.front.downstream.maxConns = 0, 0, maxConns
	go s.Run(t.Context())
	clients := make([]*client, maxConns)
	for i := range clients {
		clients[i] = dial(t, s)
		clients[i].id = fmt.Sprint(i)
		clients[i].send("GET", "read", "")
	}
	eventually(t, "all requests", func() (allOpen bool) {
		s.loop.postAndWait(func() { allOpen = len(s.loop.calls) == maxConns })
		return allOpen
	})
	for range 2 {
		dial(t, s).ends(t)
	}
	close(release)
	for _, c := range clients {
		if res, _ := c.answer(t); res.StatusCode != 200 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
}

// Clients that send the first bytes of a request, and come again as soon as they are ended, keep nobody out: a new
// connection gets its turn behind those that came before it.
func TestIncompleteRequestsDoNotBlockNewClients(t *testing.T) {
	s, _ := serving(t, func(s *Sidecar) { s.front.downstream.maxConns = 2 * evictionHeadroom })
	addr := s.listener.Addr().String()
	for range 4 * evictionHeadroom {
		go func() {
			for t.Context().Err() == nil {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				fmt.Fprint(c, requestFirstHalf)
				c.Read(make([]byte, 1))
				c.Close()
			}
		}()
	}
	eventually(t, "a crowd that fills all", func() bool {
		s.front.downstream.mu.Lock()
		defer s.front.downstream.mu.Unlock()
		return s.front.downstream.receiving.Len() >= s.front.downstream.maxConns
	})
	c := dial(t, s)
	c.send("GET", "read", "")
	if res, _ := c.answer(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}

// Calls to a silent discovery wait beside each other, each with a descriptor; what is reserved has room for them all
// beside what the process holds by itself, also at the least limit. At the end of a call's time the next is begun first.
func TestReservedSocketsCoverDiscoveryCalls(t *testing.T) {
	const ownDescriptors = 14 // seen in the program at its limit: runtime, standard streams, listener, configuration
	for name, p := range map[string]listwatch.Policy{"asked": listwatch.PollPolicy, "pushed": listwatch.PushPolicy} {
		random := func() float64 { return 0 } // the shortest pauses
		w := listwatch.NewWatcher(p, random)
		kind := listwatch.EvPoll
		if p.RetryDelay > 0 {
			kind = listwatch.EvStart
		}
		open, maxOpen := 0, 0
		handle := func(now time.Duration, ev listwatch.Event) {
			for _, a := range w.Handle(now, ev, nil) {
				switch a.Kind {
				case listwatch.ActStartCall:
					open++
				case listwatch.ActCancelCall:
					open--
				}
				maxOpen = max(maxOpen, open)
			}
		}
		for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
			if now == 0 || p.RetryDelay == 0 && now%time.Second == 0 { // the module's shortest round
				handle(now, listwatch.Event{Kind: kind})
			}
			handle(now, listwatch.Event{Kind: listwatch.EvTick})
		}
		if maxOpen < 2 || ownDescriptors+maxOpen > reservedSockets(MinSockets) {
			t.Errorf("%s: %d calls wait, %d descriptors are reserved", name, maxOpen, reservedSockets(MinSockets))
		}
		t.Logf("%s: %d calls", name, maxOpen)
	}
}
