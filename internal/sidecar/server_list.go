package sidecar

import (
	"time"

	"forkline"
)

// This file passes the server list from discovery to the module and the connection pool.

// updateList applies a list or a list change received from discovery.
func (l *loop) updateList(list List, kind forkline.ListKind) {
	if l.cachedList != nil && kind == forkline.ListDelta {
		list, kind = l.cachedList.merge(list), forkline.ListFull
	}
	l.cachedList = nil
	ev := forkline.Event{Kind: forkline.EvList, List: kind}
	isFull := kind != forkline.ListDelta
	previous := l.serverReady
	if isFull {
		l.serverReady = make(map[uint32]bool, len(list.Targets))
	}
	for i := range list.Targets {
		target := &list.Targets[i]
		server := l.directory.entry(target)
		ev.Servers = append(ev.Servers, server)
		l.upstream.updateServer(server.Server, target.Endpoint, server.Started, server.State)
		if server.State == forkline.Removed {
			delete(l.serverReady, server.Server)
		} else {
			l.serverReady[server.Server] = server.State == forkline.Ready
		}
	}
	if isFull {
		for id := range previous {
			if _, ok := l.serverReady[id]; !ok {
				l.upstream.updateServer(id, "", 0, forkline.Removed)
			}
		}
	}
	l.directory.prune(func(id uint32) bool { _, ok := l.serverReady[id]; return ok })
	l.readyServers = 0
	for _, ready := range l.serverReady {
		if ready {
			l.readyServers++
		}
	}
	l.handle(&ev)
}

// useCachedList falls back to the initial list if no update has arrived.
func (l *loop) useCachedList() {
	if l.cachedList != nil {
		l.updateList(*l.cachedList, forkline.ListCached)
	}
}

// handleListFailure tells the module that a call for the list has failed, or that the watch has broken after the given silence.
func (l *loop) handleListFailure(silence time.Duration) {
	l.handle(&forkline.Event{Kind: forkline.EvList, List: forkline.ListFailed, Elapsed: durationToMS(silence)})
}

// handleListEvent passes a discovery event without list entries to the module.
func (l *loop) handleListEvent(kind forkline.ListKind) {
	l.handle(&forkline.Event{Kind: forkline.EvList, List: kind})
}
