package fleet

import (
	"time"

	"forkline"
	"forkline/internal/listwatch"
)

// Sizes of what goes to and from discovery, in bytes; lists have their entries besides.
const (
	callBytes         = 180 // a call with its header
	refusalBytes      = 120
	answerHeaderBytes = 160 // header of an answer
	objectBytes       = 40  // of one object of a watch, without its entries
	heartbeatBytes    = 6   // an empty line as a chunk
	heartbeatInterval = 2 * time.Second
)

// watch is a tier's watch on its list: the sidecar's discovery policy, and what discovery writes on.
type watch struct {
	watcher       *listwatch.Watcher
	startedAt     int64
	tickAt        int64 // of the pending evTick; 0 = none
	instance      int32 // of discovery, or of its agents
	version       int32 // of the list held
	startVersion  int32 // changes up to here came before the process did
	needsFullList bool  // the next answer is the whole list
	faultEndsSeen int32 // ends of faults since which it has heard of discovery
	watchedCall   int   // discovery writes on this call's watch; 0 = on none
	lastCallSeen  int   // last call that discovery saw
	deadUpTo      int   // calls up to this one are dead, and their watches
	sentVersion   int32 // version written last
	lastArrival   int64 // when what was written last arrives: later writes come no sooner
}

// change is one change of a list that discovery knows.
type change struct {
	entry     forkline.ServerEntry
	madeAt    int64
	remaining int32 // modules that have not heard of it
}

// learning is one that it is to learn of.
type pendingChange struct {
	service int32
	region  uint8
	config  bool // a change of configuration: an entry is told again as it is
	change
}

// discovery is the service that tells the lists. Its instances know the same; one that is cut off knows what it did.
type discovery struct {
	randSource
	instances      []instance
	pendingChanges []pendingChange
	deferred       []int32 // learned once their region is back
	downFaults     int     // faults now, by their kinds
	silentFaults   int
	refusingFaults int
	reachableSince int64 // when the last of them ended
	listBuf        []forkline.ServerEntry
}

// instance is one of its processes. It handles calls, and writes of changes, in turn.
type instance struct {
	location
	tiers           [][]int32 // by service: the modules that ask here
	allTiers        []int32
	busyUntil       int64
	queued          int
	stalledVersions []int32 // by service: versions as it was cut off; nil = it knows all
}

// buildDiscovery deals the askers out evenly, in the order of their regions, and puts each instance where most of its
// askers are.
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
		for _, p := range assigned {
			for t := f.sidecars[p].firstTier; t < f.sidecars[p].endTier; t++ {
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

// speaks tells whether discovery answers and writes at all.
func (d *discovery) responds() bool { return d.downFaults == 0 && d.silentFaults == 0 }

// startWatch begins to follow a list, for a process that has just started.
func (f *fleet) startWatch(t int32) {
	tr := &f.tiers[t]
	s := &f.services[tr.service]
	p := &f.sidecars[tr.sidecar]
	version := tr.version
	tr.watch = watch{
		watcher: listwatch.NewWatcher(f.watchPolicy(), p.uniform), startedAt: f.now, instance: tr.instance, version: version,
		startVersion: int32(len(s.changeLog)), needsFullList: true, faultEndsSeen: int32(len(f.faultEnds)),
	}
	f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListCached, Servers: f.listAtVersion(s, version)}
	f.handleModuleEvent(t, &f.event)
	if f.pushed() {
		f.handleWatchEvent(t, listwatch.Event{Kind: listwatch.EvStart})
	}
}

// endWatch forgets what a process that ends would have heard.
func (f *fleet) endWatch(t int32) {
	tr := &f.tiers[t]
	version := tr.version
	f.acknowledgeChanges(tr, int32(len(f.services[tr.service].changeLog)))
	tr.version = version // what its successor starts with
	f.recordContact(t)
	tr.watchedCall, tr.tickAt = 0, 0
}

// listAt is the list as it was in a version; the slice is used again.
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

// set puts an entry into a list. One that is gone stays in it as such, which the module takes as absent.
func (f *fleet) updateList(s *service, list []forkline.ServerEntry, e *forkline.ServerEntry) {
	endpoint, _ := f.findEndpoint(e.Server)
	if old := &list[endpoint-s.firstEndpoint]; e.State != forkline.Removed || old.Server == e.Server {
		*old = *e
	}
}

// ask is the module's wish to have its list watched.
func (f *fleet) requestWatch(t int32) {
	if !f.pushed() {
		f.handleWatchEvent(t, listwatch.Event{Kind: listwatch.EvPoll})
	}
}

// follow gives the discovery policy an event and carries its actions out.
func (f *fleet) handleWatchEvent(t int32, ev listwatch.Event) {
	tr := &f.tiers[t]
	if tr.balancer == nil {
		return
	}
	actions := f.watchActions
	f.watchActions = nil // an action may lead back here
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
			f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListFailed}
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

// callDiscovery sends a call for the list.
func (f *fleet) callDiscovery(t int32, call int) {
	tr := &f.tiers[t]
	p, in := &f.sidecars[tr.sidecar], &f.discovery.instances[tr.instance]
	if f.pushed() { // the agent is beside the sidecar
		if f.discovery.responds() && f.discovery.refusingFaults == 0 {
			f.schedule(f.now, evListCallServed, t, tr.gen, uint64(call))
		}
		return
	}
	if !f.net.reaches(p.region, in.region) {
		f.schedule(f.now+toNanos(f.watchPolicy().DialTimeout), evListCallEnds, t, tr.gen, uint64(call))
		return
	}
	f.schedule(f.now+(1+handshakeDelays)*f.net.delay(p.location, in.location, &f.discovery.randSource), evListCallArrives, t, tr.gen, uint64(call))
}

// askedFor is a call's coming to discovery. Calls are handled in turn, also those that nobody waits for any more.
func (f *fleet) listCallArrives(ev *event) {
	tr := &f.tiers[ev.id]
	if tr.gen != ev.gen {
		return
	}
	d, in, p := &f.discovery, &f.discovery.instances[tr.instance], &f.sidecars[tr.sidecar]
	returnDelay := f.net.delay(in.location, p.location, &d.randSource)
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

// turn is discovery's answer to a call, which is a watch from now on.
func (f *fleet) serveListCall(ev *event) {
	tr := &f.tiers[ev.id]
	d, in, p := &f.discovery, &f.discovery.instances[tr.instance], &f.sidecars[tr.sidecar]
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
		if !f.net.reaches(in.region, p.region) {
			return
		}
		delay = f.net.delay(in.location, p.location, &d.randSource)
	}
	if call > tr.watchedCall {
		tr.watchedCall, tr.sentVersion = call, version
	}
	tr.lastArrival = f.now + delay
	f.schedule(tr.lastArrival, evListArrives, ev.id, ev.gen, uint64(call)<<32|uint64(version))
}

func (f *fleet) knownVersion(in *instance, service int32) int32 {
	if in.stalledVersions != nil {
		return in.stalledVersions[service]
	}
	return int32(len(f.services[service].changeLog))
}

// told is the arrival of a watch's first object.
func (f *fleet) listArrives(ev *event) {
	tr := &f.tiers[ev.id]
	if tr.gen != ev.gen {
		return
	}
	call, version := int(ev.arg>>32), int32(uint32(ev.arg))
	f.handleWatchEvent(ev.id, listwatch.Event{Kind: listwatch.EvAnswered, Call: call})
	if watched := tr.watcher.ActiveCall(); watched != call {
		if tr.watchedCall == call { // it was given up meanwhile: its connection is closed
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

// delta is the arrival of a change on a watch.
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

// apply tells the module what changed up to a version.
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

// noteState keeps when a sidecar was told that an endpoint is not to be used.
func (f *fleet) recordState(tr *tier, s *service, e *forkline.ServerEntry) {
	endpoint, _ := f.findEndpoint(e.Server)
	pool := &tr.conns[endpoint-s.firstEndpoint]
	if e.State == forkline.Ready {
		pool.notifiedAt = 0
	} else if pool.notifiedAt == 0 {
		pool.notifiedAt = f.now
	}
}

// counted takes the module off those that have not heard of the changes up to a version.
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

// listEnded is a sidecar's hearing that a call failed or that its watch broke.
func (f *fleet) listCallEnds(ev *event) {
	if f.tiers[ev.id].gen == ev.gen {
		f.handleWatchEvent(ev.id, listwatch.Event{Kind: listwatch.EvCallEnded, Call: int(ev.arg)})
	}
}

// note has discovery learn of an endpoint's state.
func (f *fleet) reportState(e int32, state forkline.ServerState) {
	pending := pendingChange{service: f.endpoints[e].service, region: f.endpoints[e].region}
	pending.entry, pending.madeAt = f.serverEntry(e, state), f.now
	f.discovery.pendingChanges = append(f.discovery.pendingChanges, pending)
	f.schedule(f.now+int64(f.exp.Discovery.Lag), evDiscoveryLearns, 0, 0, uint64(len(f.discovery.pendingChanges)-1))
}

// learn puts a change into its list and writes it on all watches, one after another.
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

// write sends each of the modules what it has not been sent yet.
func (f *fleet) writeChanges(in *instance, tiers []int32) {
	d := &f.discovery
	at := max(f.now, in.busyUntil)
	start := at
	for _, t := range tiers {
		tr := &f.tiers[t]
		p := &f.sidecars[tr.sidecar]
		version := f.knownVersion(in, tr.service)
		if tr.watchedCall == 0 || tr.sentVersion >= version || !f.net.reaches(in.region, p.region) {
			continue
		}
		at += int64(f.exp.Discovery.WriteTime)
		if !f.pushed() {
			f.control.addBytes(f, objectBytes+int(version-tr.sentVersion)*f.exp.Discovery.EntryBytes)
		} else {
			f.control.addDiscoveryBytes(f, objectBytes+int(version-tr.sentVersion)*f.exp.Discovery.EntryBytes)
		}
		tr.sentVersion = version
		tr.lastArrival = max(tr.lastArrival, at+f.net.delay(in.location, p.location, &d.randSource))
		f.schedule(tr.lastArrival, evChangeArrives, t, tr.gen, uint64(tr.watchedCall)<<32|uint64(version))
	}
	f.control.addBusyTime(f, at-start)
	in.busyUntil = max(in.busyUntil, at)
}

// beats puts a sign of life on each watch of an instance, and what could not be written before. Beats take no time.
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

// endWatches breaks all calls and watches as discovery goes down, or lets them fall silent.
func (f *fleet) breakWatches(silently bool) {
	if f.pushed() {
		return // watches are on agents
	}
	for t := range f.tiers {
		tr := &f.tiers[t]
		if tr.balancer == nil {
			continue
		}
		in, p := &f.discovery.instances[tr.instance], &f.sidecars[tr.sidecar]
		for call := tr.deadUpTo + 1; call <= tr.lastCallSeen && !silently && f.net.reaches(in.region, p.region); call++ {
			f.schedule(f.now+f.net.delay(in.location, p.location, &f.discovery.randSource), evListCallEnds, int32(t), tr.gen, uint64(call))
		}
		tr.deadUpTo, tr.watchedCall = tr.lastCallSeen, 0
	}
	for i := range f.discovery.instances { // calls that wait for their turn go with the process
		if !silently {
			f.discovery.instances[i].busyUntil = f.now
		}
	}
}

// cut has instances in a region that is split off know what they know, and catch up once it is back.
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

// heard notes that a sidecar has heard of discovery since the ends of faults.
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
