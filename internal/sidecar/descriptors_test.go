package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Where all connections have open requests nobody can be evicted: a new one is closed at once, which its client can
// tell from a lost request, and those behind it are not held up.
func TestNoRoomWhereAllHaveOpenRequests(t *testing.T) {
	const most = 4
	release := make(chan struct{})
	cfg := config(t, script(t, func(n int, c net.Conn, r *http.Request) bool { <-release; return echo(n, c, r) }).Addr().String())
	cfg.Site.Settings.Classes[0].GiveUp = 2 * float64(long.Milliseconds())
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.patience, s.front.accept, s.front.downstream.most = 0, 0, most
	go s.Run(t.Context())
	clients := make([]*client, most)
	for i := range clients {
		clients[i] = dial(t, s)
		clients[i].id = fmt.Sprint(i)
		clients[i].send("GET", "read", "")
	}
	eventually(t, "all requests", func() (all bool) {
		s.loop.ask(func() { all = len(s.loop.calls) == most })
		return all
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
func TestRequestsThatNeverBecomeWholeKeepNobodyOut(t *testing.T) {
	s, _ := serving(t, func(s *Sidecar) { s.front.downstream.most = 2 * spareDownstream })
	addr := s.listener.Addr().String()
	for range 4 * spareDownstream {
		go func() {
			for t.Context().Err() == nil {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				fmt.Fprint(c, firstHalf)
				c.Read(make([]byte, 1))
				c.Close()
			}
		}()
	}
	eventually(t, "a crowd that fills all", func() bool {
		s.front.downstream.mu.Lock()
		defer s.front.downstream.mu.Unlock()
		return s.front.downstream.coming.Len() >= s.front.downstream.most
	})
	c := dial(t, s)
	c.send("GET", "read", "")
	if res, _ := c.answer(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}
