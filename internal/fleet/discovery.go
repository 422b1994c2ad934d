package fleet

import (
	"time"

	"forkline"
	"forkline/internal/listwatch"
)

// Sizes of what goes to and from discovery, in bytes; lists have their entries besides.
const (
	askBytes     = 180 // a call with its header
	refusalBytes = 120
	answerBytes  = 160 // header of an answer
	objectBytes  = 40  // of one object of a watch, without its entries
	beatBytes    = 6   // an empty line as a chunk
	beat         = 2 * time.Second
)

// watch is a tier's watch on its list: the sidecar's discovery policy, and what discovery writes on.
type watch struct {
	watcher  *listwatch.Watcher
	started  int64
	tickAt   int64 // of the pending evTick; 0 = none
	instance int32 // of discovery, or of its agents
	version  int32 // of the list held
	born     int32 // changes up to here came before the process did
	whole    bool  // the next answer is the whole list
	heardOf  int32 // ends of faults since which it has heard of discovery
	writes   int   // discovery writes on this call's watch; 0 = on none
	asked    int   // last call that discovery saw
	deadTo   int   // calls up to this one are dead, and their watches
	sent     int32 // version written last
	inOrder  int64 // when what was written last arrives: later writes come no sooner
}

// change is one change of a list that discovery knows.
type change struct {
	entry   forkline.ServerEntry
	made    int64
	pending int32 // modules that have not heard of it
}

// learning is one that it is to learn of.
type learning struct {
	service int32
	region  uint8
	config  bool // a change of configuration: an entry is told again as it is
	change
}

// discovery is the service that tells the lists. Its instances know the same; one that is cut off knows what it did.
type discovery struct {
	source
	instances   []instance
	learning    []learning
	deferred    []int32 // learned once their region is back
	down        int     // faults now, by their kinds
	silent      int
	refusing    int
	reachedFrom int64 // when the last of them ended
	lists       []forkline.ServerEntry
}

// instance is one of its processes. It handles calls, and writes of changes, in turn.
type instance struct {
	place
	tiers     [][]int32 // by service: the modules that ask here
	all       []int32
	busyUntil int64
	queue     int
	stalled   []int32 // by service: versions as it was cut off; nil = it knows all
}

// buildDiscovery deals the askers out evenly, in the order of their regions, and puts each instance where most of its
// askers are.
func (f *fleet) buildDiscovery() {
	d := &f.disco
	d.source = newSource(f.exp.Seed, actorDiscovery, 0)
	n := max(f.exp.Discovery.Instances, 1)
	d.instances = make([]instance, n)
	var order []int32
	for r := range f.exp.Regions {
		for i := range f.processes {
			if int(f.processes[i].region) == r {
				order = append(order, int32(i))
			}
		}
	}
	for i := range d.instances {
		in := &d.instances[i]
		in.tiers = make([][]int32, len(f.services))
		mine := order[i*len(order)/n : (i+1)*len(order)/n]
		for _, p := range mine {
			for t := f.processes[p].tierFrom; t < f.processes[p].tierTo; t++ {
				s := f.tiers[t].service
				in.tiers[s] = append(in.tiers[s], t)
				in.all = append(in.all, t)
				f.tiers[t].instance = int32(i)
			}
		}
		if len(mine) > 0 {
			in.place = f.processes[mine[len(mine)/2]].place
		}
		f.at(int64(beat)*int64(i)/int64(n), evBeat, int32(i), 0, 0)
	}
}

func (f *fleet) pushed() bool { return f.exp.Discovery.Pushed }

func (f *fleet) policy() listwatch.Policy {
	if f.pushed() {
		return listwatch.PushPolicy
	}
	return listwatch.PollPolicy
}

// speaks tells whether discovery answers and writes at all.
func (d *discovery) speaks() bool { return d.down == 0 && d.silent == 0 }

// startWatch begins to follow a list, for a process that has just started.
func (f *fleet) startWatch(t int32) {
	tr := &f.tiers[t]
	s := &f.services[tr.service]
	p := &f.processes[tr.process]
	known := tr.version
	tr.watch = watch{
		watcher: listwatch.NewWatcher(f.policy(), p.float), started: f.now, instance: tr.instance, version: known,
		born: int32(len(s.log)), whole: true, heardOf: int32(len(f.ends)),
	}
	f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListCached, Servers: f.listAt(s, known)}
	f.handle(t, &f.event)
	if f.pushed() {
		f.follow(t, listwatch.Event{Kind: listwatch.EvStart})
	}
}

// endWatch forgets what a process that ends would have heard.
func (f *fleet) endWatch(t int32) {
	tr := &f.tiers[t]
	held := tr.version
	f.counted(tr, int32(len(f.services[tr.service].log)))
	tr.version = held // what its successor starts with
	f.heard(t)
	tr.writes, tr.tickAt = 0, 0
}

// listAt is the list as it was in a version; the slice is used again.
func (f *fleet) listAt(s *service, version int32) []forkline.ServerEntry {
	from, changes := s.cur, []change(nil)
	if int(version) < len(s.log) {
		from, changes = s.base, s.log[:version]
	}
	f.disco.lists = append(f.disco.lists[:0], from...)
	for i := range changes {
		f.set(s, f.disco.lists, &changes[i].entry)
	}
	return f.disco.lists
}

// set puts an entry into a list. One that is gone stays in it as such, which the module takes as absent.
func (f *fleet) set(s *service, list []forkline.ServerEntry, e *forkline.ServerEntry) {
	at, _ := f.find(e.Server)
	if old := &list[at-s.first]; e.State != forkline.Removed || old.Server == e.Server {
		*old = *e
	}
}

// ask is the module's wish to have its list watched.
func (f *fleet) ask(t int32) {
	if !f.pushed() {
		f.follow(t, listwatch.Event{Kind: listwatch.EvPoll})
	}
}

// follow gives the discovery policy an event and carries its actions out.
func (f *fleet) follow(t int32, ev listwatch.Event) {
	tr := &f.tiers[t]
	if tr.balancer == nil {
		return
	}
	acts := f.watchActs
	f.watchActs = nil // an action may lead back here
	acts = tr.watcher.Handle(time.Duration(f.now), ev, acts[:0])
	for _, a := range acts {
		switch a.Kind {
		case listwatch.ActStartCall:
			f.callDiscovery(t, a.Call)
		case listwatch.ActCancelCall:
			if tr.writes == a.Call {
				tr.writes = 0
			}
		case listwatch.ActReportFailure:
			f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListFailed}
			f.handle(t, &f.event)
		}
	}
	f.watchActs = acts
	if at, ok := tr.watcher.NextTick(); ok && (tr.tickAt == 0 || int64(at) < tr.tickAt) {
		tr.tickAt = int64(at)
		f.at(tr.tickAt, evTick, t, tr.gen, uint64(at))
	}
}

func (f *fleet) tick(ev *event) {
	tr := &f.tiers[ev.id]
	if tr.gen == ev.gen && uint64(tr.tickAt) == ev.arg {
		tr.tickAt = 0
		f.follow(ev.id, listwatch.Event{Kind: listwatch.EvTick})
	}
}

// callDiscovery sends a call for the list.
func (f *fleet) callDiscovery(t int32, call int) {
	tr := &f.tiers[t]
	p, in := &f.processes[tr.process], &f.disco.instances[tr.instance]
	if f.pushed() { // the agent is beside the sidecar
		if f.disco.speaks() && f.disco.refusing == 0 {
			f.at(f.now, evTurn, t, tr.gen, uint64(call))
		}
		return
	}
	if !f.net.reaches(p.region, in.region) {
		f.at(f.now+ns(f.policy().DialTimeout), evListEnded, t, tr.gen, uint64(call))
		return
	}
	f.at(f.now+(1+handshake)*f.net.delay(p.place, in.place, &f.disco.source), evAsk, t, tr.gen, uint64(call))
}

// askedFor is a call's coming to discovery. Calls are handled in turn, also those that nobody waits for any more.
func (f *fleet) askedFor(ev *event) {
	tr := &f.tiers[ev.id]
	if tr.gen != ev.gen {
		return
	}
	d, in, p := &f.disco, &f.disco.instances[tr.instance], &f.processes[tr.process]
	back := f.net.delay(in.place, p.place, &d.source)
	f.control.sidecar(f, askBytes)
	if d.down > 0 {
		f.control.refused(f)
		f.at(f.now+back, evListEnded, ev.id, ev.gen, ev.arg)
		return
	}
	f.control.called(f)
	f.control.bytes(f, askBytes)
	tr.asked = max(tr.asked, int(ev.arg))
	if d.silent > 0 {
		tr.deadTo = tr.asked
		return
	}
	start := max(f.now, in.busyUntil)
	wait := int64(f.exp.Discovery.MaxQueueTime)
	if d.refusing > 0 || wait > 0 && start-f.now > wait {
		if d.refusing > 0 {
			wait = 0
		}
		f.control.refused(f)
		f.control.both(f, refusalBytes)
		f.at(f.now+wait+back, evListEnded, ev.id, ev.gen, ev.arg)
		return
	}
	in.queue++
	f.control.queued(f, in.queue)
	in.busyUntil = start + int64(f.exp.Discovery.CallTime)
	f.control.busy(f, int64(f.exp.Discovery.CallTime))
	f.at(in.busyUntil, evTurn, ev.id, ev.gen, ev.arg)
}

// turn is discovery's answer to a call, which is a watch from now on.
func (f *fleet) turn(ev *event) {
	tr := &f.tiers[ev.id]
	d, in, p := &f.disco, &f.disco.instances[tr.instance], &f.processes[tr.process]
	if !f.pushed() {
		in.queue--
	}
	call := int(ev.arg)
	if tr.gen != ev.gen || !d.speaks() || call <= tr.deadTo {
		return
	}
	s := &f.services[tr.service]
	version := f.knows(in, tr.service)
	size := answerBytes + objectBytes
	if tr.whole && in.stalled == nil {
		size += s.Endpoints * f.exp.Discovery.EntryBytes
	} else {
		size += max(int(version-tr.version), 0) * f.exp.Discovery.EntryBytes
	}
	delay := int64(0)
	if !f.pushed() {
		f.control.both(f, size)
		if !f.net.reaches(in.region, p.region) {
			return
		}
		delay = f.net.delay(in.place, p.place, &d.source)
	}
	if call > tr.writes {
		tr.writes, tr.sent = call, version
	}
	tr.inOrder = f.now + delay
	f.at(tr.inOrder, evTold, ev.id, ev.gen, uint64(call)<<32|uint64(version))
}

func (f *fleet) knows(in *instance, service int32) int32 {
	if in.stalled != nil {
		return in.stalled[service]
	}
	return int32(len(f.services[service].log))
}

// told is the arrival of a watch's first object.
func (f *fleet) told(ev *event) {
	tr := &f.tiers[ev.id]
	if tr.gen != ev.gen {
		return
	}
	call, version := int(ev.arg>>32), int32(uint32(ev.arg))
	f.follow(ev.id, listwatch.Event{Kind: listwatch.EvAnswered, Call: call})
	if now := tr.watcher.ActiveCall(); now != call {
		if tr.writes == call { // it was given up meanwhile: its connection is closed
			tr.writes = 0
			if now > tr.deadTo {
				tr.writes, tr.sent = now, tr.version
			}
		}
		return
	}
	f.heard(ev.id)
	s := &f.services[tr.service]
	if tr.whole && f.disco.instances[tr.instance].stalled == nil {
		tr.whole = false
		version = int32(len(s.log))
		f.counted(tr, version)
		f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListFull, Servers: f.listAt(s, version)}
		for i := range f.event.Servers {
			f.noteState(tr, s, &f.event.Servers[i])
		}
		f.handle(ev.id, &f.event)
		return
	}
	f.apply(ev.id, version, true)
}

// delta is the arrival of a change on a watch.
func (f *fleet) delta(ev *event) {
	tr := &f.tiers[ev.id]
	call, version := int(ev.arg>>32), int32(uint32(ev.arg))
	if tr.gen != ev.gen || tr.watcher.ActiveCall() != call {
		return
	}
	f.heard(ev.id)
	f.follow(ev.id, listwatch.Event{Kind: listwatch.EvActivity, Call: call})
	f.apply(ev.id, version, false)
}

// apply tells the module what changed up to a version.
func (f *fleet) apply(t, version int32, answer bool) {
	tr := &f.tiers[t]
	s := &f.services[tr.service]
	if version <= tr.version && !answer {
		return
	}
	list := f.disco.lists[:0]
	for i := tr.version; i < version; i++ {
		list = append(list, s.log[i].entry)
		f.noteState(tr, s, &s.log[i].entry)
	}
	f.disco.lists = list
	f.counted(tr, version)
	f.event = forkline.Event{Kind: forkline.EvList, List: forkline.ListDelta, Servers: list}
	f.handle(t, &f.event)
}

// noteState keeps when a sidecar was told that an endpoint is not to be used.
func (f *fleet) noteState(tr *tier, s *service, e *forkline.ServerEntry) {
	at, _ := f.find(e.Server)
	k := &tr.conns[at-s.first]
	if e.State == forkline.Ready {
		k.toldAt = 0
	} else if k.toldAt == 0 {
		k.toldAt = f.now
	}
}

// counted takes the module off those that have not heard of the changes up to a version.
func (f *fleet) counted(tr *tier, version int32) {
	s := &f.services[tr.service]
	for i := max(tr.version, tr.born); i < version; i++ {
		c := &s.log[i]
		if c.pending--; c.pending == 0 {
			f.control.spread(f, c)
		}
	}
	tr.version = max(tr.version, version)
}

// listEnded is a sidecar's hearing that a call failed or that its watch broke.
func (f *fleet) listEnded(ev *event) {
	if f.tiers[ev.id].gen == ev.gen {
		f.follow(ev.id, listwatch.Event{Kind: listwatch.EvCallEnded, Call: int(ev.arg)})
	}
}

// note has discovery learn of an endpoint's state.
func (f *fleet) note(e int32, state forkline.ServerState) {
	l := learning{service: f.endpoints[e].service, region: f.endpoints[e].region}
	l.entry, l.made = f.entry(e, state), f.now
	f.disco.learning = append(f.disco.learning, l)
	f.at(f.now+int64(f.exp.Discovery.Lag), evLearn, 0, 0, uint64(len(f.disco.learning)-1))
}

// learn puts a change into its list and writes it on all watches, one after another.
func (f *fleet) learn(ev *event) {
	d := &f.disco
	l := &d.learning[ev.arg]
	if f.net.split[l.region] > 0 {
		d.deferred = append(d.deferred, int32(ev.arg))
		return
	}
	s := &f.services[l.service]
	f.control.changed(f)
	e, current := f.find(l.entry.Server)
	if ep := &f.endpoints[e]; current && !l.config {
		switch {
		case l.entry.State == forkline.Ready:
			ep.knownAt = 0
		case ep.knownAt == 0:
			ep.knownAt = f.now
		}
	}
	c := l.change
	if l.config {
		c.entry = s.cur[e-s.first]
	}
	for _, t := range s.tiers {
		if f.tiers[t].balancer != nil {
			c.pending++
		}
	}
	s.log = append(s.log, c)
	f.set(s, s.cur, &c.entry)
	if !d.speaks() {
		return
	}
	for i := range d.instances {
		if in := &d.instances[i]; in.stalled == nil {
			f.write(in, in.tiers[l.service])
		}
	}
}

// write sends each of the modules what it has not been sent yet.
func (f *fleet) write(in *instance, tiers []int32) {
	d := &f.disco
	at := max(f.now, in.busyUntil)
	began := at
	for _, t := range tiers {
		tr := &f.tiers[t]
		p := &f.processes[tr.process]
		version := f.knows(in, tr.service)
		if tr.writes == 0 || tr.sent >= version || !f.net.reaches(in.region, p.region) {
			continue
		}
		at += int64(f.exp.Discovery.WriteTime)
		if !f.pushed() {
			f.control.both(f, objectBytes+int(version-tr.sent)*f.exp.Discovery.EntryBytes)
		} else {
			f.control.bytes(f, objectBytes+int(version-tr.sent)*f.exp.Discovery.EntryBytes)
		}
		tr.sent = version
		tr.inOrder = max(tr.inOrder, at+f.net.delay(in.place, p.place, &d.source))
		f.at(tr.inOrder, evDelta, t, tr.gen, uint64(tr.writes)<<32|uint64(version))
	}
	f.control.busy(f, at-began)
	in.busyUntil = max(in.busyUntil, at)
}

// beats puts a sign of life on each watch of an instance, and what could not be written before. Beats take no time.
func (f *fleet) beats(id int32) {
	in := &f.disco.instances[id]
	f.at(f.now+ns(beat), evBeat, id, 0, 0)
	if !f.disco.speaks() {
		return
	}
	for _, t := range in.all {
		tr := &f.tiers[t]
		if tr.writes == 0 || tr.balancer == nil || !f.net.reaches(in.region, f.processes[tr.process].region) {
			continue
		}
		if !f.pushed() {
			f.control.both(f, beatBytes)
		}
		if tr.watcher.ActiveCall() == tr.writes {
			f.heard(t)
			f.follow(t, listwatch.Event{Kind: listwatch.EvActivity, Call: tr.writes})
		}
	}
	f.write(in, in.all)
}

// endWatches breaks all calls and watches as discovery goes down, or lets them fall silent.
func (f *fleet) endWatches(silently bool) {
	if f.pushed() {
		return // watches are on agents
	}
	for t := range f.tiers {
		tr := &f.tiers[t]
		if tr.balancer == nil {
			continue
		}
		in, p := &f.disco.instances[tr.instance], &f.processes[tr.process]
		for call := tr.deadTo + 1; call <= tr.asked && !silently && f.net.reaches(in.region, p.region); call++ {
			f.at(f.now+f.net.delay(in.place, p.place, &f.disco.source), evListEnded, int32(t), tr.gen, uint64(call))
		}
		tr.deadTo, tr.writes = tr.asked, 0
	}
	for i := range f.disco.instances { // calls that wait for their turn go with the process
		if !silently {
			f.disco.instances[i].busyUntil = f.now
		}
	}
}

// cut has instances in a region that is split off know what they know, and catch up once it is back.
func (f *fleet) cut(region int, off bool) {
	for i := range f.disco.instances {
		in := &f.disco.instances[i]
		if int(in.region) != region {
			continue
		}
		in.stalled = nil
		if off {
			in.stalled = make([]int32, len(f.services))
			for s := range f.services {
				in.stalled[s] = int32(len(f.services[s].log))
			}
		} else if f.disco.speaks() {
			f.write(in, in.all)
		}
	}
	if !off {
		for _, l := range f.disco.deferred {
			f.at(f.now+int64(f.exp.Discovery.Lag), evLearn, 0, 0, uint64(l))
		}
		f.disco.deferred = nil
	}
}

// heard notes that a sidecar has heard of discovery since the ends of faults.
func (f *fleet) heard(t int32) {
	tr := &f.tiers[t]
	for ; int(tr.heardOf) < len(f.ends); tr.heardOf++ {
		if e := &f.ends[tr.heardOf]; e.pending > 0 {
			if e.pending--; e.pending == 0 {
				e.told = f.now - e.at
			}
		}
	}
}
