package forkline

import (
	"fmt"
	"math"
)

// This file is the whole interface of the decision module: what it is told at
// start (Settings), what it hears (Event) and what it answers (Action). The
// decisions themselves are in balancer.go. All times are milliseconds.

// Effect says how far a request of a class may be repeated.
type Effect uint8

// The three kinds of effect.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped within a group of servers, for a while
	Unsafe               // must never run twice
)

// DedupScope is the set of servers that drop repeats of a keyed request. GroupZone|GroupCell is what is in both.
type DedupScope uint8

// The groups of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Value            float64 // of one request answered in time; default 1
	LateValue        float64 // share of Worth that an answer after Aim still earns
	TargetLatency    float64 // wanted within
	TargetWorkFactor float64 // the aim grows by this multiple of the request's own work
	Timeout          float64 // given up after
	Effect           Effect
	Scope            DedupScope // keyed only
	DedupWindow      float64    // keyed only: how long the group remembers a request
	Stream           bool
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all copies; 0 = no quota
}

// Limits are what the site permits.
type Limits struct {
	MaxAttempts     int // per request; default 1
	MaxOpenRequests int // open requests per copy; 0 = no bound
	CancelAttempts  bool
	Hedging         bool
	Probing         bool
	SendRetryAfter  bool
	MaxRetryAfter   float64
	ConnectTimeout  float64
	ConnIdleTimeout float64 // an idle connection closes after this; 0 = not told
	StreamsPerConn  int     // attempts that one connection carries at once; default 1
}

// Safety holds the figures of the four rules.
type Safety struct {
	AnswerSlack       float64 // a final answer is valid so long after the due time
	DrainGrace        float64
	ColdCapacity      float64 // a cold server starts with at least this share of its capacity
	RampTime          float64 // and is warm after this time at the latest
	OverloadMultiple  float64
	OverloadWindow    float64
	PollInterval      float64 // on-request lists: ask at least so often
	DrainCloseTimeout float64 // idle connections to a draining server are closed within this; 0 = no such rule
	RetryBudgetMin    float64 // within any BudgetWindow, attempts beyond each request's first may number this
	RetryBudgetRatio  float64 // plus this share of the requests taken
	RetryBudgetWindow float64 // 0 = no such rule
}

// Settings is everything a balancer copy is told at start. Absent figures take
// the defaults that the fields name.
type Settings struct {
	Copies           int // copies that balance for this tier; default 1
	Rank             int // number of this copy among them
	Stage, Stages    int // the tier this copy sends to, of how many; 0 is the front
	Zone             int // where this copy runs
	PollList         bool
	ValueByWork      bool
	ProbeCost        float64 // points of the goal for one probe a request
	LoadReportField  int     // place of the requests a server holds in a load report, from 1; 0 = not told
	WorstClassWeight float64 // weight of the worst-served class in the goal, over that of all worth
	OverQuotaValue   float64 // worth of a request beyond its tenant's quota, as a share
	Classes          []Class
	Tenants          []Tenant
	Limits           Limits
	Safety           Safety
}

// SettingError tells which setting cannot be used, and why.
type SettingError struct {
	Setting string // its path in Settings, as Classes[0].Effect
	Problem string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s %s: correct the configuration, then start again or send SIGHUP", e.Setting, e.Problem)
}

// newSettingError is the error of a setting; the problem is formatted.
func newSettingError(setting, problem string, of ...any) error {
	return &SettingError{Setting: setting, Problem: fmt.Sprintf(problem, of...)}
}

// check fills defaults in and names the first setting that cannot be used.
func (set *Settings) check() error {
	set.Copies, set.Stages = max(set.Copies, 1), max(set.Stages, 1)
	set.Limits.MaxAttempts = max(set.Limits.MaxAttempts, 1)
	if len(set.Classes) == 0 {
		return newSettingError("Classes", "is empty")
	}
	if set.Stage < 0 || set.Stage >= set.Stages {
		return newSettingError("Stage", "%d is outside the %d stages", set.Stage, set.Stages)
	}
	for i, c := range set.Classes {
		class := fmt.Sprintf("Classes[%d]", i)
		if c.Effect > Unsafe {
			return newSettingError(class+".Effect", "%d is unknown", c.Effect)
		}
		if !(c.Timeout > 0) || !(c.TargetLatency > 0) || c.DedupWindow < 0 || c.Value < 0 {
			return newSettingError(class, "has GiveUp %v, Aim %v, Window %v or Worth %v, which is not a time or worth",
				c.Timeout, c.TargetLatency, c.DedupWindow, c.Value)
		}
	}
	f := &set.Safety
	names := [...]string{"AnswerSlack", "DrainGrace", "ColdFrom", "Ramp", "AskEvery", "DrainClose",
		"BudgetFree", "BudgetShare", "BudgetWindow"}
	for i, v := range [...]float64{f.AnswerSlack, f.DrainGrace, f.ColdCapacity, f.RampTime, f.PollInterval, f.DrainCloseTimeout,
		f.RetryBudgetMin, f.RetryBudgetRatio, f.RetryBudgetWindow} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return newSettingError("Safety."+names[i], "%v is negative or no number", v)
		}
	}
	return nil
}

// ServerState is what the list says of a server.
type ServerState uint8

// The states a list can tell.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// ServerEntry is one line of a server list.
type ServerEntry struct {
	Server  uint32
	Zone    uint8
	Kind    uint16
	Cell    uint16
	State   ServerState
	Weight  float64
	Started float64 // clock time of the last start; 0 = long ago
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events a balancer handles.
const (
	EvRequest         EventKind = iota + 1 // Request, Class, Tenant, Key, Due, Hint
	EvResponseStarted                      // Request, Attempt, Server, Took
	EvOutcome                              // Request, Attempt, Server, Outcome, Took, Service, Fresh, Done
	EvClientGone                           // Request
	EvList                                 // List, Servers
	EvTimer                                // Token
	EvProbeResult                          // Server, Outcome, Took, Report, Values
	EvConnecting                           // Request, Attempt: it waits for a new connection; not told by every host
	EvConnected                            // Request, Attempt: its connection is up
)

// ListKind tells how a list event is to be read.
type ListKind uint8

// The kinds of list event.
const (
	ListFailed ListKind = iota // a call to the list failed; the old list stays
	ListCached                 // whole, as last held; may be outdated
	ListDelta                  // changed entries only
	ListFull                   // whole: what is absent is gone
	ListMoved                  // the next calls go elsewhere; the old list stays
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Rejected, ConnectFailed and NotSent prove that nothing ran.
const (
	OK Outcome = iota
	Error
	Rejected
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// Event is one thing a balancer hears. Events of one instant come one by one.
type Event struct {
	Kind          EventKind
	List          ListKind
	Outcome       Outcome
	RequestDone   bool // the request has ended, by this outcome or before
	Class         uint16
	Tenant        uint16
	Attempt       uint16
	Request       uint32
	Server        uint32
	Key           uint64
	Token         uint64
	Deadline      float64    // the client gives this try up
	WorkHint      float64    // expected work; 0 = none told
	Elapsed       float64    // since the attempt or probe was sent
	ServiceTime   float64    // of it, from the request's last byte to the answer's first; 0 = not told
	NewConnection bool       // the attempt's connection was opened for it, which its server pays for too
	LoadReport    [4]float32 // load report of the server
	LoadReportLen int        // how many figures of it are told; 0 = no report
	Servers       []ServerEntry
}

// sanitized is the event with every figure that is negative or no number taken for 0: one such figure would
// stay in the averages for good, or keep a call for ever. A due time of 0 has passed.
func (ev *Event) sanitized() Event {
	e := *ev
	for _, f := range [...]*float64{&e.Deadline, &e.WorkHint, &e.Elapsed, &e.ServiceTime} {
		if !(*f >= 0) || math.IsInf(*f, 0) {
			*f = 0
		}
	}
	for _, v := range e.LoadReport {
		if !(v >= 0) || math.IsInf(float64(v), 0) {
			e.LoadReportLen = 0
		}
	}
	return e
}

// advanceClock is the new clock time, unless that is no number or before the old one.
func advanceClock(old, now float64) float64 {
	if now > old && !math.IsInf(now, 0) {
		return now
	}
	return old
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions a balancer asks for.
const (
	ActSend      ActionKind = iota + 1 // Request, Server, Until, Whole: start an attempt
	ActRefuse                          // Request, After: final; trying again is harmless, best after that time
	ActFail                            // Request: final; promises nothing
	ActCancel                          // Request, Attempt: stop waiting for an attempt
	ActTimer                           // After, Token
	ActWatchList                       // subscribe to list changes; nothing to do if that is so
	ActProbe                           // Server: ask it for a load report
	ActLog                             // Text
	ActCloseIdle                       // Server: close the idle connections to it
)

// Action is one thing a balancer asks its host to do, in the order given.
type Action struct {
	Kind       ActionKind
	Attempt    uint16
	Request    uint32
	Server     uint32
	Token      uint64
	Deadline   float64 // clock time at which the attempt is given up
	LastByteBy float64 // latest clock time for the attempt's last byte; 0 = any
	Delay      float64 // time from now
	Text       string
}
