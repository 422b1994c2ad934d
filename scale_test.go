package forkline

import "testing"

const many = 1024 // servers and copies, the least that no list may be capped under

// large is a module among 1,024 copies, told of 1,024 servers that have started just now.
func large(t testing.TB) (b *Balancer, servers []ServerEntry) {
	t.Helper()
	set := plain()
	set.Copies, set.Rank = many, many-1
	b, err := New(set, 1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	servers = ids(many)
	for i := range servers {
		servers[i].Zone, servers[i].Started = uint8(i%3), 900
	}
	b.Handle(1000, &Event{Kind: EvList, List: ListFull, Servers: servers}, nil)
	return b, servers
}

// All of 1,024 servers are kept and can be sent to, by 1,024 copies; changes take hold one by one and in whole lists.
func TestManyServersAndCopies(t *testing.T) {
	b, servers := large(t)
	now, used := 1000.0, map[uint32]bool{}
	for id := uint32(1); id <= 4*many; id++ {
		now += 40
		for _, a := range b.Handle(now, &Event{Kind: EvRequest, Request: id, Deadline: now + 1000}, nil) {
			if a.Kind == ActSend {
				used[a.Server] = true
				b.Handle(now, &Event{Kind: EvOutcome, Request: a.Request, Server: a.Server, Elapsed: 20, RequestDone: true}, nil)
			}
		}
	}
	if len(b.live) != many || len(b.servers) != many || len(b.requests) != 0 {
		t.Fatalf("%d servers live of %d known, %d requests open", len(b.live), len(b.servers), len(b.requests))
	}
	if len(used) == 0 {
		t.Error("nothing was sent")
	}
	for i := range servers { // one change after another
		servers[i].State = Draining
		b.Handle(now, &Event{Kind: EvList, List: ListDelta, Servers: servers[i : i+1]}, nil)
		if len(b.live) != many-1-i {
			t.Fatalf("%d servers live with %d of %d draining", len(b.live), i+1, many)
		}
	}
	for i := range servers {
		servers[i].State, servers[i].Started = Ready, now
	}
	b.Handle(now, &Event{Kind: EvList, List: ListDelta, Servers: servers}, nil)
	if len(b.live) != many {
		t.Errorf("%d servers live once all have come back", len(b.live))
	}
	b.Handle(now, &Event{Kind: EvList, List: ListFull, Servers: servers[:1]}, nil)
	if len(b.live) != 1 || len(b.servers) != 1 {
		t.Errorf("%d servers live of %d known after a whole list of one", len(b.live), len(b.servers))
	}
}

// BenchmarkWholeList is a whole list of 1,024 servers that changes nothing; BenchmarkOneChange is a change of one.
func BenchmarkWholeList(b *testing.B) { benchmarkList(b, ListFull, many) }
func BenchmarkOneChange(b *testing.B) { benchmarkList(b, ListDelta, 1) }

func benchmarkList(b *testing.B, kind ListKind, entries int) {
	module, servers := large(b)
	actions := []Action(nil)
	for b.Loop() {
		actions = module.Handle(1000, &Event{Kind: EvList, List: kind, Servers: servers[:entries]}, actions[:0])
	}
}

// BenchmarkRestart is a whole list of 1,024 servers that have all started anew.
func BenchmarkRestart(b *testing.B) {
	module, servers := large(b)
	now, actions := 1000.0, []Action(nil)
	for b.Loop() {
		now++
		for i := range servers {
			servers[i].Started = now
		}
		actions = module.Handle(now, &Event{Kind: EvList, List: ListFull, Servers: servers}, actions[:0])
	}
}
