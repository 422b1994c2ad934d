package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"forkline/internal/listwatch"
)

// When all connections have open requests, none can be evicted. A new connection must be closed at once, which its
// client can tell from a lost request, and must not delay the connections behind it.
func TestNewConnectionIsClosedWhenAllHaveOpenRequests(t *testing.T) {
	const maxConns = 4
	release := make(chan struct{})
	cfg := testConfig(t, startServer(t, func(n int, c net.Conn, r *http.Request) bool { <-release; return echo(n, c, r) }).Addr().String())
	cfg.Site.Settings.Classes[0].Timeout = 2 * float64(testTimeout.Milliseconds())
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
	eventually(t, "an open request on each connection", func() (allOpen bool) {
		s.loop.postAndWait(func() { allOpen = len(s.loop.calls) == maxConns })
		return allOpen
	})
	for range 2 {
		dial(t, s).readUntilClose(t)
	}
	close(release)
	for _, c := range clients {
		if res, _ := c.readResponse(t); res.StatusCode != 200 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
}

// Clients that send only the first bytes of a request, and reconnect as soon as they are disconnected, must not keep
// other clients out: a new connection is admitted after those that arrived before it.
func TestIncompleteRequestsDoNotBlockNewClients(t *testing.T) {
	s, _ := startWithRecordingServer(t, func(s *Sidecar) { s.front.downstream.maxConns = 2 * evictionHeadroom })
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
	eventually(t, "incomplete requests on all connections", func() bool {
		s.front.downstream.mu.Lock()
		defer s.front.downstream.mu.Unlock()
		return s.front.downstream.receiving.Len() >= s.front.downstream.maxConns
	})
	c := dial(t, s)
	c.send("GET", "read", "")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}

// Calls to a silent discovery service overlap, and each holds a descriptor. The reserved descriptors must cover all of
// them and those that the process itself holds, even with the smallest descriptor limit. A new call starts before the
// one that times out is canceled, so both count.
func TestReservedSocketsCoverDiscoveryCalls(t *testing.T) {
	const ownDescriptors = 14 // of the runtime, standard streams, listener and configuration, as observed at the descriptor limit
	for name, p := range map[string]listwatch.Policy{"polled": listwatch.PollPolicy, "pushed": listwatch.PushPolicy} {
		random := func() float64 { return 0 } // the shortest delays
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
			if now == 0 || p.RetryDelay == 0 && now%time.Second == 0 { // the shortest interval at which the module polls
				handle(now, listwatch.Event{Kind: kind})
			}
			handle(now, listwatch.Event{Kind: listwatch.EvTick})
		}
		if maxOpen < 2 || ownDescriptors+maxOpen > reservedSockets(MinSockets) {
			t.Errorf("%s: %d calls overlap, %d descriptors are reserved", name, maxOpen, reservedSockets(MinSockets))
		}
		t.Logf("%s: %d calls", name, maxOpen)
	}
}

// Guards against new clients that get no answer because others pipeline requests without a pause, so that no connection is ever seen
// idle: where slots are short, a connection must be closed after a response, though more of its input is unread.
func TestPipeliningClientsMakeRoomForOthers(t *testing.T) {
	s, _ := startWithRecordingServer(t, func(s *Sidecar) { s.front.downstream.maxConns = 2 * evictionHeadroom })
	addr := s.listener.Addr().String()
	for range 4 * evictionHeadroom {
		go func() {
			for t.Context().Err() == nil {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				go io.Copy(io.Discard, c)
				for err == nil && t.Context().Err() == nil {
					_, err = fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\n\r\n")
				}
				c.Close()
			}
		}()
	}
	eventually(t, "pipelining clients on all connections", func() bool {
		s.front.downstream.mu.Lock()
		defer s.front.downstream.mu.Unlock()
		return s.front.downstream.openConns >= s.front.downstream.maxConns
	})
	eventually(t, "a request served", func() bool { // a connection may be closed unread, then the client sends the request again
		c := dial(t, s)
		defer c.Close()
		c.send("GET", "read", "", "Connection: close")
		c.SetReadDeadline(time.Now().Add(testTimeout))
		res, err := http.ReadResponse(c.reader, nil)
		return err == nil && res.StatusCode == 200
	})
}
