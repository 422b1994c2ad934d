package forkline

import "testing"

const fleetSize = 1024 // servers and copies; no list may be capped below this number

// newLargeFleet returns a balancer among 1,024 copies, with 1,024 servers that have just started.
func newLargeFleet(t testing.TB) (b *Balancer, servers []ServerEntry) {
	t.Helper()
	settings := testSettings()
	settings.Copies, settings.Rank = fleetSize, fleetSize-1
	b, err := New(settings, 1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	servers = readyServers(fleetSize)
	for i := range servers {
		servers[i].Zone, servers[i].Started = uint8(i%3), 900
	}
	b.Handle(1000, &Event{Kind: EvList, List: ListFull, Servers: servers}, nil)
	return b, servers
}

// All of 1,024 servers are kept and can be sent to, by 1,024 copies. Changes apply one by one and in full
// lists.
func TestManyServersAndCopies(t *testing.T) {
	b, servers := newLargeFleet(t)
	now, used := 1000.0, map[uint32]bool{}
	for id := uint32(1); id <= 4*fleetSize; id++ {
		now += 40
		for _, a := range b.Handle(now, &Event{Kind: EvRequest, Request: id, Deadline: now + 1000}, nil) {
			if a.Kind == ActSend {
				used[a.Server] = true
				b.Handle(now, &Event{Kind: EvOutcome, Request: a.Request, Server: a.Server, Elapsed: 20, RequestDone: true}, nil)
			}
		}
	}
	if len(b.live) != fleetSize || len(b.servers) != fleetSize || len(b.requests) != 0 {
		t.Fatalf("%d servers live of %d known, %d requests open", len(b.live), len(b.servers), len(b.requests))
	}
	if len(used) == 0 {
		t.Error("nothing was sent")
	}
	for i := range servers { // one change after another
		servers[i].State = Draining
		b.Handle(now, &Event{Kind: EvList, List: ListDelta, Servers: servers[i : i+1]}, nil)
		if len(b.live) != fleetSize-1-i {
			t.Fatalf("%d servers live with %d of %d draining", len(b.live), i+1, fleetSize)
		}
	}
	for i := range servers {
		servers[i].State, servers[i].Started = Ready, now
	}
	b.Handle(now, &Event{Kind: EvList, List: ListDelta, Servers: servers}, nil)
	if len(b.live) != fleetSize {
		t.Errorf("%d servers live after all came back", len(b.live))
	}
	b.Handle(now, &Event{Kind: EvList, List: ListFull, Servers: servers[:1]}, nil)
	if len(b.live) != 1 || len(b.servers) != 1 {
		t.Errorf("%d servers live of %d known after a full list of one", len(b.live), len(b.servers))
	}
}

// BenchmarkFullList handles a full list of 1,024 servers without changes, BenchmarkOneChange a change of one
// server.
func BenchmarkFullList(b *testing.B)  { benchmarkList(b, ListFull, fleetSize) }
func BenchmarkOneChange(b *testing.B) { benchmarkList(b, ListDelta, 1) }

func benchmarkList(b *testing.B, kind ListKind, entries int) {
	balancer, servers := newLargeFleet(b)
	actions := []Action(nil)
	for b.Loop() {
		actions = balancer.Handle(1000, &Event{Kind: EvList, List: kind, Servers: servers[:entries]}, actions[:0])
	}
}

// BenchmarkRestart handles a full list of 1,024 servers that have all restarted.
func BenchmarkRestart(b *testing.B) {
	balancer, servers := newLargeFleet(b)
	now, actions := 1000.0, []Action(nil)
	for b.Loop() {
		now++
		for i := range servers {
			servers[i].Started = now
		}
		actions = balancer.Handle(now, &Event{Kind: EvList, List: ListFull, Servers: servers}, actions[:0])
	}
}
