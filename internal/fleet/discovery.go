package fleet

import (
	"time"

	"forkline"
	"forkline/internal/listwatch"
)

// Sizes of messages to and from discovery in bytes, without the entries of lists.
const (
	callBytes         = 180 // a list call with its header
	refusalBytes      = 120
	answerHeaderBytes = 160 // header of an answer
	objectBytes       = 40  // one object of a watch, without its entries
	heartbeatBytes    = 6   // an empty line as an HTTP chunk
	heartbeatInterval = 2 * time.Second
)

// watch is a tier's watch on its list, with the state of both ends: the discovery policy of the sidecar, and what discovery
// writes to. List calls are numbered from 1; an answered call becomes a watch.
type watch struct {
	watcher       *listwatch.Watcher
	startedAt     int64
	tickAt        int64 // time of the pending evWatchTick; 0 if there is none
	instance      int32 // discovery instance that serves the tier
	version       int32 // version of the tier's list
	startVersion  int32 // version of the list at discovery when the process started
	needsFullList bool  // the next answer contains the full list
	faultEndsSeen int32 // number of fault ends after which discovery has reached the tier
	watchedCall   int   // call on whose watch discovery writes; 0 if there is none
	lastCallSeen  int   // last call that arrived at discovery
	deadUpTo      int   // calls up to this one, and their watches, are dead
	sentVersion   int32 // last version that discovery wrote
	lastArrival   int64 // arrival time of the last write; later writes do not arrive earlier
}

// change is one change of a list.
type change struct {
	entry     forkline.ServerEntry
	madeAt    int64
	remaining int32 // number of tiers that have not applied it yet
}

// pendingChange is a change that discovery has not learned of yet.
type pendingChange struct {
	service int32
	region  uint8
	config  bool // a configuration change, which sends the current entry again
	change
}

// discovery is the service that distributes the lists. All its instances know the same changes, except that an instance in a
// split region keeps the versions from before the split.
type discovery struct {
	randSource
	instances      []instance
	pendingChanges []pendingChange
	deferred       []int32 // pending changes that discovery learns once their region is reachable
	downFaults     int     // number of active faults of kind down; likewise below
	silentFaults   int
	refusingFaults int
	reachableSince int64 // when the last of these faults ended
	listBuf        []forkline.ServerEntry
}

// instance is one process of discovery. It handles one call or write of a change at a time.
type instance struct {
	location
	tiers           [][]int32 // tiers that this instance serves, by service
	allTiers        []int32
	busyUntil       int64
	queued          int
	stalledVersions []int32 // versions when its region was split off, by service; nil if it knows all changes
}

// buildDiscovery distributes the sidecars evenly over the instances, in the order of their regions, and places each instance
// beside the middle one of its sidecars.
func (f *fleet) buildDiscovery() {
	d := &f.discovery
	d.randSource = newRandSource(f.exp.Seed, actorDiscovery, 0)
	n := max(f.exp.Discovery.Instances, 1)
	d.instances = make([]instance, n)
	var order []int32
	for r := range f.exp.Regions {
		for i := range f.sidecars {
			if int(f.sidecars[i].region) == r {
				order = append(order, int32(i))
			}
		}
	}
	for i := range d.instances {
		in := &d.instances[i]
		in.tiers = make([][]int32, len(f.services))
		assigned := order[i*len(order)/n : (i+1)*len(order)/n]
		for _, sc := range assigned {
			for t := f.sidecars[sc].firstTier; t < f.sidecars[sc].endTier; t++ {
				s := f.tiers[t].service
				in.tiers[s] = append(in.tiers[s], t)
				in.allTiers = append(in.allTiers, t)
				f.tiers[t].instance = int32(i)
			}
		}
		if len(assigned) > 0 {
			in.location = f.sidecars[assigned[len(assigned)/2]].location
		}
		f.schedule(int64(heartbeatInterval)*int64(i)/int64(n), evHeartbeat, int32(i), 0, 0)
	}
}

func (f *fleet) pushed() bool { return f.exp.Discovery.Pushed }

func (f *fleet) watchPolicy() listwatch.Policy {
	if f.pushed() {
		return listwatch.PushPolicy
	}
	return listwatch.PollPolicy
}

// responds reports whether discovery answers calls and writes to watches.
func (d *discovery) responds() bool { return d.downFaults == 0 && d.silentFaults == 0 }

// startWatch starts the watch of a tier whose process has just started, with the list that the process had before.
func (f *fleet) startWatch(t int32) {
	tr := &f.tiers[t]
	s := &f.services[tr.service]
	sc := &f.sidecars[tr.sidecar]
	version := tr.version
	tr.watch = watch{
		watcher: listwatch.NewWatcher(f.watchPolicy(), sc.uniform), startedAt: f.now, instance: tr.instance, version: version,
		startVersion: int32(len(s.changeLog)), needsFullList: true, faultEndsSeen: int32(len(f.faultEnds)),
	}
	f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListCached, Servers: f.listAtVersion(s, version)}
	f.handleModuleEvent(t, &f.event)
	if f.pushed() {
		f.handleWatchEvent(t, listwatch.Event{Kind: listwatch.EvStart})
	}
}

// endWatch ends the watch of a tier whose process ends: changes and fault ends no longer wait for the tier.
func (f *fleet) endWatch(t int32) {
	tr := &f.tiers[t]
	version := tr.version
	f.acknowledgeChanges(tr, int32(len(f.services[tr.service].changeLog)))
	tr.version = version // the version with which its successor starts
	f.recordContact(t)
	tr.watchedCall, tr.tickAt = 0, 0
}

// listAtVersion returns the list in a version. The slice is reused.
func (f *fleet) listAtVersion(s *service, version int32) []forkline.ServerEntry {
	from, changes := s.currentList, []change(nil)
	if int(version) < len(s.changeLog) {
		from, changes = s.initialList, s.changeLog[:version]
	}
	f.discovery.listBuf = append(f.discovery.listBuf[:0], from...)
	for i := range changes {
		f.updateList(s, f.discovery.listBuf, &changes[i].entry)
	}
	return f.discovery.listBuf
}

// updateList applies an entry to a list. A removed endpoint stays in the list in state Removed, which the module treats as
// absent.
func (f *fleet) updateList(s *service, list []forkline.ServerEntry, e *forkline.ServerEntry) {
	endpoint, _ := f.findEndpoint(e.Server)
	if old := &list[endpoint-s.firstEndpoint]; e.State != forkline.Removed || old.Server == e.Server {
		*old = *e
	}
}

// requestWatch handles the module's request to watch its list.
func (f *fleet) requestWatch(t int32) {
	if !f.pushed() {
		f.handleWatchEvent(t, listwatch.Event{Kind: listwatch.EvPoll})
	}
}

// handleWatchEvent passes an event to the discovery policy and carries out its actions.
func (f *fleet) handleWatchEvent(t int32, ev listwatch.Event) {
	tr := &f.tiers[t]
	if tr.balancer == nil {
		return
	}
	actions := f.watchActions
	f.watchActions = nil // an action can lead to a nested call
	actions = tr.watcher.Handle(time.Duration(f.now), ev, actions[:0])
	for _, a := range actions {
		switch a.Kind {
		case listwatch.ActStartCall:
			f.callDiscovery(t, a.Call)
		case listwatch.ActCancelCall:
			if tr.watchedCall == a.Call {
				tr.watchedCall = 0
			}
		case listwatch.ActReportFailure:
			f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListFailed, Elapsed: toMillis(toNanos(a.Silence))}
			f.handleModuleEvent(t, &f.event)
		}
	}
	f.watchActions = actions
	if at, ok := tr.watcher.NextTick(); ok && (tr.tickAt == 0 || int64(at) < tr.tickAt) {
		tr.tickAt = int64(at)
		f.schedule(tr.tickAt, evWatchTick, t, tr.gen, uint64(at))
	}
}

func (f *fleet) watchTick(ev *event) {
	tr := &f.tiers[ev.id]
	if tr.gen == ev.gen && uint64(tr.tickAt) == ev.arg {
		tr.tickAt = 0
		f.handleWatchEvent(ev.id, listwatch.Event{Kind: listwatch.EvTick})
	}
}

// callDiscovery sends a list call to discovery.
func (f *fleet) callDiscovery(t int32, call int) {
	tr := &f.tiers[t]
	sc, in := &f.sidecars[tr.sidecar], &f.discovery.instances[tr.instance]
	if f.pushed() { // the agent is beside the sidecar
		if f.discovery.responds() && f.discovery.refusingFaults == 0 {
			f.schedule(f.now, evListCallServed, t, tr.gen, uint64(call))
		}
		return
	}
	if !f.net.reaches(sc.region, in.region) {
		f.schedule(f.now+toNanos(f.watchPolicy().DialTimeout), evListCallEnds, t, tr.gen, uint64(call))
		return
	}
	f.schedule(f.now+(1+handshakeDelays)*f.net.delay(sc.location, in.location, &f.discovery.randSource), evListCallArrives, t,
		tr.gen, uint64(call))
}

// listCallArrives handles the arrival of a list call at discovery. Calls are answered one after another, including those
// that their sidecars have abandoned.
func (f *fleet) listCallArrives(ev *event) {
	tr := &f.tiers[ev.id]
	if tr.gen != ev.gen {
		return
	}
	d, in, sc := &f.discovery, &f.discovery.instances[tr.instance], &f.sidecars[tr.sidecar]
	returnDelay := f.net.delay(in.location, sc.location, &d.randSource)
	f.control.addSidecarBytes(f, callBytes)
	if d.downFaults > 0 {
		f.control.countRefusal(f)
		f.schedule(f.now+returnDelay, evListCallEnds, ev.id, ev.gen, ev.arg)
		return
	}
	f.control.countListCall(f)
	f.control.addDiscoveryBytes(f, callBytes)
	tr.lastCallSeen = max(tr.lastCallSeen, int(ev.arg))
	if d.silentFaults > 0 {
		tr.deadUpTo = tr.lastCallSeen
		return
	}
	start := max(f.now, in.busyUntil)
	wait := int64(f.exp.Discovery.MaxQueueTime)
	if d.refusingFaults > 0 || wait > 0 && start-f.now > wait {
		if d.refusingFaults > 0 {
			wait = 0
		}
		f.control.countRefusal(f)
		f.control.addBytes(f, refusalBytes)
		f.schedule(f.now+wait+returnDelay, evListCallEnds, ev.id, ev.gen, ev.arg)
		return
	}
	in.queued++
	f.control.recordQueue(f, in.queued)
	in.busyUntil = start + int64(f.exp.Discovery.CallTime)
	f.control.addBusyTime(f, int64(f.exp.Discovery.CallTime))
	f.schedule(in.busyUntil, evListCallServed, ev.id, ev.gen, ev.arg)
}

// serveListCall sends discovery's answer to a list call, which becomes a watch.
func (f *fleet) serveListCall(ev *event) {
	tr := &f.tiers[ev.id]
	d, in, sc := &f.discovery, &f.discovery.instances[tr.instance], &f.sidecars[tr.sidecar]
	if !f.pushed() {
		in.queued--
	}
	call := int(ev.arg)
	if tr.gen != ev.gen || !d.responds() || call <= tr.deadUpTo {
		return
	}
	s := &f.services[tr.service]
	version := f.knownVersion(in, tr.service)
	size := answerHeaderBytes + objectBytes
	if tr.needsFullList && in.stalledVersions == nil {
		size += s.Endpoints * f.exp.Discovery.EntryBytes
	} else {
		size += max(int(version-tr.version), 0) * f.exp.Discovery.EntryBytes
	}
	delay := int64(0)
	if !f.pushed() {
		f.control.addBytes(f, size)
		if !f.net.reaches(in.region, sc.region) {
			return
		}
		delay = f.net.delay(in.location, sc.location, &d.randSource)
	}
	if call > tr.watchedCall {
		tr.watchedCall, tr.sentVersion = call, version
	}
	tr.lastArrival = f.now + delay
	f.schedule(tr.lastArrival, evListArrives, ev.id, ev.gen, uint64(call)<<32|uint64(version))
}

// knownVersion returns the version of a service's list that a discovery instance has.
func (f *fleet) knownVersion(in *instance, service int32) int32 {
	if in.stalledVersions != nil {
		return in.stalledVersions[service]
	}
	return int32(len(f.services[service].changeLog))
}

// listArrives handles the arrival of a watch's first object at the sidecar.
func (f *fleet) listArrives(ev *event) {
	tr := &f.tiers[ev.id]
	if tr.gen != ev.gen {
		return
	}
	call, version := int(ev.arg>>32), int32(uint32(ev.arg))
	f.handleWatchEvent(ev.id, listwatch.Event{Kind: listwatch.EvAnswered, Call: call})
	if watched := tr.watcher.ActiveCall(); watched != call {
		if tr.watchedCall == call { // the sidecar has abandoned the call, so its connection is closed
			tr.watchedCall = 0
			if watched > tr.deadUpTo {
				tr.watchedCall, tr.sentVersion = watched, tr.version
			}
		}
		return
	}
	f.recordContact(ev.id)
	s := &f.services[tr.service]
	if tr.needsFullList && f.discovery.instances[tr.instance].stalledVersions == nil {
		tr.needsFullList = false
		version = int32(len(s.changeLog))
		f.acknowledgeChanges(tr, version)
		f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListFull, Servers: f.listAtVersion(s, version)}
		for i := range f.event.Servers {
			f.recordState(tr, s, &f.event.Servers[i])
		}
		f.handleModuleEvent(ev.id, &f.event)
		return
	}
	f.applyChanges(ev.id, version, true)
}

// changeArrives handles the arrival of a change on a watch at the sidecar.
func (f *fleet) changeArrives(ev *event) {
	tr := &f.tiers[ev.id]
	call, version := int(ev.arg>>32), int32(uint32(ev.arg))
	if tr.gen != ev.gen || tr.watcher.ActiveCall() != call {
		return
	}
	f.recordContact(ev.id)
	f.handleWatchEvent(ev.id, listwatch.Event{Kind: listwatch.EvActivity, Call: call})
	f.applyChanges(ev.id, version, false)
}

// applyChanges passes the changes up to a version to the module. The first object of a watch (answer) is passed on even if
// it contains no change.
func (f *fleet) applyChanges(t, version int32, answer bool) {
	tr := &f.tiers[t]
	s := &f.services[tr.service]
	if version <= tr.version && !answer {
		return
	}
	list := f.discovery.listBuf[:0]
	for i := tr.version; i < version; i++ {
		list = append(list, s.changeLog[i].entry)
		f.recordState(tr, s, &s.changeLog[i].entry)
	}
	f.discovery.listBuf = list
	f.acknowledgeChanges(tr, version)
	f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListDelta, Servers: list}
	f.handleModuleEvent(t, &f.event)
}

// recordState records when a sidecar was notified that an endpoint is no longer ready.
func (f *fleet) recordState(tr *tier, s *service, e *forkline.ServerEntry) {
	endpoint, _ := f.findEndpoint(e.Server)
	pool := &tr.conns[endpoint-s.firstEndpoint]
	if e.State == forkline.Ready {
		pool.notifiedAt = 0
	} else if pool.notifiedAt == 0 {
		pool.notifiedAt = f.now
	}
}

// acknowledgeChanges records that a tier has applied the changes up to a version.
func (f *fleet) acknowledgeChanges(tr *tier, version int32) {
	s := &f.services[tr.service]
	for i := max(tr.version, tr.startVersion); i < version; i++ {
		c := &s.changeLog[i]
		if c.remaining--; c.remaining == 0 {
			f.control.recordPropagation(f, c)
		}
	}
	tr.version = max(tr.version, version)
}

// listCallEnds notifies the discovery policy that a list call failed or its watch broke.
func (f *fleet) listCallEnds(ev *event) {
	if f.tiers[ev.id].gen == ev.gen {
		f.handleWatchEvent(ev.id, listwatch.Event{Kind: listwatch.EvCallEnded, Call: int(ev.arg)})
	}
}

// reportState reports an endpoint's state to discovery, which learns of it after its lag.
func (f *fleet) reportState(e int32, state forkline.ServerState) {
	pending := pendingChange{service: f.endpoints[e].service, region: f.endpoints[e].region}
	pending.entry, pending.madeAt = f.serverEntry(e, state), f.now
	f.discovery.pendingChanges = append(f.discovery.pendingChanges, pending)
	f.schedule(f.now+int64(f.exp.Discovery.Lag), evDiscoveryLearns, 0, 0, uint64(len(f.discovery.pendingChanges)-1))
}

// learnChange appends a change to its list and writes it to all watches one after another.
func (f *fleet) learnChange(ev *event) {
	d := &f.discovery
	pending := &d.pendingChanges[ev.arg]
	if f.net.splits[pending.region] > 0 {
		d.deferred = append(d.deferred, int32(ev.arg))
		return
	}
	s := &f.services[pending.service]
	f.control.countChange(f)
	e, current := f.findEndpoint(pending.entry.Server)
	if ep := &f.endpoints[e]; current && !pending.config {
		switch {
		case pending.entry.State == forkline.Ready:
			ep.drainKnownAt = 0
		case ep.drainKnownAt == 0:
			ep.drainKnownAt = f.now
		}
	}
	c := pending.change
	if pending.config {
		c.entry = s.currentList[e-s.firstEndpoint]
	}
	for _, t := range s.tiers {
		if f.tiers[t].balancer != nil {
			c.remaining++
		}
	}
	s.changeLog = append(s.changeLog, c)
	f.updateList(s, s.currentList, &c.entry)
	if !d.responds() {
		return
	}
	for i := range d.instances {
		if in := &d.instances[i]; in.stalledVersions == nil {
			f.writeChanges(in, in.tiers[pending.service])
		}
	}
}

// writeChanges sends each of the tiers the changes that it has not been sent yet.
func (f *fleet) writeChanges(in *instance, tiers []int32) {
	d := &f.discovery
	at := max(f.now, in.busyUntil)
	start := at
	for _, t := range tiers {
		tr := &f.tiers[t]
		sc := &f.sidecars[tr.sidecar]
		version := f.knownVersion(in, tr.service)
		if tr.watchedCall == 0 || tr.sentVersion >= version || !f.net.reaches(in.region, sc.region) {
			continue
		}
		at += int64(f.exp.Discovery.WriteTime)
		if !f.pushed() {
			f.control.addBytes(f, objectBytes+int(version-tr.sentVersion)*f.exp.Discovery.EntryBytes)
		} else {
			f.control.addDiscoveryBytes(f, objectBytes+int(version-tr.sentVersion)*f.exp.Discovery.EntryBytes)
		}
		tr.sentVersion = version
		tr.lastArrival = max(tr.lastArrival, at+f.net.delay(in.location, sc.location, &d.randSource))
		f.schedule(tr.lastArrival, evChangeArrives, t, tr.gen, uint64(tr.watchedCall)<<32|uint64(version))
	}
	f.control.addBusyTime(f, at-start)
	in.busyUntil = max(in.busyUntil, at)
}

// sendHeartbeats sends a heartbeat on each watch of an instance, and the changes that could not be written before.
// Heartbeats take no time.
func (f *fleet) sendHeartbeats(id int32) {
	in := &f.discovery.instances[id]
	f.schedule(f.now+toNanos(heartbeatInterval), evHeartbeat, id, 0, 0)
	if !f.discovery.responds() {
		return
	}
	for _, t := range in.allTiers {
		tr := &f.tiers[t]
		if tr.watchedCall == 0 || tr.balancer == nil || !f.net.reaches(in.region, f.sidecars[tr.sidecar].region) {
			continue
		}
		if !f.pushed() {
			f.control.addBytes(f, heartbeatBytes)
		}
		if tr.watcher.ActiveCall() == tr.watchedCall {
			f.recordContact(t)
			f.handleWatchEvent(t, listwatch.Event{Kind: listwatch.EvActivity, Call: tr.watchedCall})
		}
	}
	f.writeChanges(in, in.allTiers)
}

// breakWatches ends all calls and watches when discovery goes down. If silently is true, they become silent instead.
func (f *fleet) breakWatches(silently bool) {
	if f.pushed() {
		return // the watches are on the agents
	}
	for t := range f.tiers {
		tr := &f.tiers[t]
		if tr.balancer == nil {
			continue
		}
		in, sc := &f.discovery.instances[tr.instance], &f.sidecars[tr.sidecar]
		for call := tr.deadUpTo + 1; call <= tr.lastCallSeen && !silently && f.net.reaches(in.region, sc.region); call++ {
			f.schedule(f.now+f.net.delay(in.location, sc.location, &f.discovery.randSource), evListCallEnds, int32(t), tr.gen,
				uint64(call))
		}
		tr.deadUpTo, tr.watchedCall = tr.lastCallSeen, 0
	}
	for i := range f.discovery.instances { // the calls in the queue are lost with the process
		if !silently {
			f.discovery.instances[i].busyUntil = f.now
		}
	}
}

// setSplit freezes the versions of the instances in a region that is split off, or lets them catch up when the split ends.
func (f *fleet) setSplit(region int, split bool) {
	for i := range f.discovery.instances {
		in := &f.discovery.instances[i]
		if int(in.region) != region {
			continue
		}
		in.stalledVersions = nil
		if split {
			in.stalledVersions = make([]int32, len(f.services))
			for s := range f.services {
				in.stalledVersions[s] = int32(len(f.services[s].changeLog))
			}
		} else if f.discovery.responds() {
			f.writeChanges(in, in.allTiers)
		}
	}
	if !split {
		for _, l := range f.discovery.deferred {
			f.schedule(f.now+int64(f.exp.Discovery.Lag), evDiscoveryLearns, 0, 0, uint64(l))
		}
		f.discovery.deferred = nil
	}
}

// recordContact records that discovery has reached a tier since the ends of all faults so far.
func (f *fleet) recordContact(t int32) {
	tr := &f.tiers[t]
	for ; int(tr.faultEndsSeen) < len(f.faultEnds); tr.faultEndsSeen++ {
		if e := &f.faultEnds[tr.faultEndsSeen]; e.remaining > 0 {
			if e.remaining--; e.remaining == 0 {
				e.resyncTime = f.now - e.endedAt
			}
		}
	}
}
