package forkline

import (
	"fmt"
	"math"
)

// This file is the public interface of the decision module: its configuration (Settings), its input (Event) and
// its output (Action). The decisions are made in balancer.go. All times and durations are in milliseconds.

// Effect describes the side effects of a class and so whether its requests may be retried.
type Effect uint8

// The values of Effect.
const (
	Safe   Effect = iota // no side effects: may be retried on any server
	Keyed                // has an idempotency key: servers of one DedupScope drop repeats within the DedupWindow
	Unsafe               // must not run more than once
)

// DedupScope is the set of servers that drop repeats of a keyed request among themselves. ScopeZone|ScopeCell
// is the set of servers that are in the same zone and in the same cell.
type DedupScope uint8

// The deduplication scopes of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Value            float64 // of one request that is answered within TargetLatency; default 1
	LateValue        float64 // share of Value that an answer after TargetLatency still earns
	TargetLatency    float64 // latency within which an answer earns the full Value
	TargetWorkFactor float64 // TargetLatency grows by this multiple of the request's own work
	Timeout          float64 // time after which the client gives up
	Effect           Effect
	Scope            DedupScope // keyed classes only
	DedupWindow      float64    // keyed classes only: how long the servers of the scope remember a request
	Stream           bool
}

// Tenant describes one of the tenants that share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all copies; 0 = unlimited
}

// Limits holds what the site permits a balancer to do.
type Limits struct {
	MaxAttempts     int     // attempts per request; default 1
	MaxOpenRequests int     // open requests per copy; 0 = unlimited
	CancelAttempts  bool    // whether running attempts may be cancelled
	Hedging         bool    // whether hedged attempts may be sent
	Probing         bool    // whether servers may be probed for load reports
	SendRetryAfter  bool    // whether refusals carry a retry delay
	MaxRetryAfter   float64 // longest retry delay; 0 = no limit of the site
	ConnectTimeout  float64
	IdleTimeout     float64 // time after which an idle connection closes; 0 = not stated
	MaxStreams      int     // concurrent attempts per connection; default 1
}

// Safety holds the parameters of the four safety rules.
type Safety struct {
	AnswerSlack       float64 // a final answer is valid for this long after its deadline
	DrainGrace        float64 // requests may be sent to a server for this long after the notice that it drains
	ColdCapacity      float64 // a cold server starts with at least this share of its capacity
	RampTime          float64 // a server is warm at the latest this long after its start
	OverloadMultiple  float64 // a cold server fails if its load exceeds this multiple of its capacity
	OverloadWindow    float64 // over this time
	PollInterval      float64 // longest interval between calls for the list where the list is polled
	DrainCloseTimeout float64 // idle connections to a draining server are closed within this time; 0 = no such rule
	RetryBudgetMin    float64 // attempts after the first of each request that any RetryBudgetWindow allows
	RetryBudgetRatio  float64 // plus this share of the requests accepted in the window
	RetryBudgetWindow float64 // length of the sliding window; 0 = no retry budget
}

// Settings is the configuration of one balancer copy. An absent field takes the default in its comment.
type Settings struct {
	Copies           int     // number of balancer copies of this tier; default 1
	Rank             int     // index of this copy among them
	Stage, Stages    int     // index of the tier that this copy sends to, and the number of tiers; 0 is the front
	Zone             int     // zone in which this copy runs
	PollList         bool    // the server list is polled, not pushed
	ValueByWork      bool    // a request's value is proportional to its work
	ProbeCost        float64 // cost in points of the goal of one probe per request
	ReportField      int     // position in a load report, from 1, of the number of requests a server holds; 0 = not reported
	WorstClassWeight float64 // weight of the worst-served class in the goal, relative to that of the total value
	OverQuotaValue   float64 // value of a request over its tenant's quota, as a share of its class's value
	Classes          []Class
	Tenants          []Tenant
	Limits           Limits
	Safety           Safety
}

// SettingError reports a setting that is invalid and the reason.
type SettingError struct {
	Setting string // path in the configuration, such as Classes[0].Effect
	Problem string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s %s: correct the configuration, then start again or send SIGHUP", e.Setting, e.Problem)
}

// newSettingError returns a SettingError whose problem is formatted from a format string and its arguments.
func newSettingError(setting, problem string, args ...any) error {
	return &SettingError{Setting: setting, Problem: fmt.Sprintf(problem, args...)}
}

// validate fills in defaults and returns an error for the first invalid setting. The names in the errors are
// those of the configuration, not of the Go fields.
func (s *Settings) validate() error {
	s.Copies, s.Stages = max(s.Copies, 1), max(s.Stages, 1)
	s.Limits.MaxAttempts = max(s.Limits.MaxAttempts, 1)
	if len(s.Classes) == 0 {
		return newSettingError("Classes", "is empty")
	}
	if s.Stage < 0 || s.Stage >= s.Stages {
		return newSettingError("Stage", "%d is outside the %d stages", s.Stage, s.Stages)
	}
	for i, c := range s.Classes {
		class := fmt.Sprintf("Classes[%d]", i)
		if c.Effect > Unsafe {
			return newSettingError(class+".Effect", "%d is unknown", c.Effect)
		}
		if !(c.Timeout > 0) || !(c.TargetLatency > 0) || c.DedupWindow < 0 || c.Value < 0 {
			return newSettingError(class,
				"has GiveUp %v, Aim %v, Window %v or Worth %v: the first two must be positive, the others not negative",
				c.Timeout, c.TargetLatency, c.DedupWindow, c.Value)
		}
	}
	safety := &s.Safety
	names := [...]string{"AnswerSlack", "DrainGrace", "ColdFrom", "Ramp", "AskEvery", "DrainClose",
		"BudgetFree", "BudgetShare", "BudgetWindow"}
	for i, v := range [...]float64{safety.AnswerSlack, safety.DrainGrace, safety.ColdCapacity, safety.RampTime,
		safety.PollInterval, safety.DrainCloseTimeout, safety.RetryBudgetMin, safety.RetryBudgetRatio, safety.RetryBudgetWindow} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return newSettingError("Safety."+names[i], "%v is negative or not a finite number", v)
		}
	}
	return nil
}

// ServerState is the state of a server as stated by the server list.
type ServerState uint8

// The server states.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// ServerEntry is one entry of a server list.
type ServerEntry struct {
	Server  uint32
	Zone    uint8
	Kind    uint16 // index of the server's model; no decision uses it
	Cell    uint16
	State   ServerState
	Weight  float64 // capacity relative to other servers; no decision uses it
	Started float64 // time of the last start on the balancer's clock; 0 = long ago
}

// EventKind is the kind of an Event and determines which of its fields are set.
type EventKind uint8

// The kinds of event, with the fields that each one sets.
const (
	EvRequest         EventKind = iota + 1 // Request, Class, Tenant, Key, Deadline, WorkHint
	EvResponseStarted                      // Request, Attempt, Server, Elapsed: the first byte of the response arrived
	EvOutcome                              // Request, Attempt, Server, Outcome, Elapsed, ServiceTime, NewConnection, RequestDone
	EvClientGone                           // Request: the client has disconnected or timed out
	EvList                                 // List, Servers, Elapsed
	EvTimer                                // Token
	EvProbeResult                          // Server, Outcome, Elapsed, Report, ReportLen
	EvConnecting                           // Request, Attempt: the attempt waits for a new connection; optional
	EvConnected                            // Request, Attempt: the attempt's connection is established
)

// ListKind is the kind of a list event and determines how its entries are applied.
type ListKind uint8

// The kinds of list event.
const (
	ListFailed ListKind = iota // a call for the list failed; the current list stays in use
	ListCached                 // full list from an earlier run; may be outdated
	ListDelta                  // changed entries only
	ListFull                   // full list: servers that it does not contain are removed
	ListMoved                  // the next calls go to another discovery address; the current list stays in use
)

// Outcome is the way in which an attempt or a probe ended.
type Outcome uint8

// The outcomes. Rejected, ConnectFailed and NotSent prove that the request did not run.
const (
	OK            Outcome = iota
	Error                 // a response that reports a failure; the request may have run
	Rejected              // a response that proves that the request did not run
	Timeout               // no response before the attempt's deadline
	ConnectFailed         // no connection, or it broke before the request was written completely
	Reset                 // the connection broke later
	Cancelled             // cancelled, or ended in a way that says nothing about the server
	NotSent               // nothing was written, as the client had left
)

// Event is one input of a balancer. Events that occur at the same time are passed one by one.
type Event struct {
	Kind          EventKind
	List          ListKind
	Outcome       Outcome
	RequestDone   bool // the request has ended, by this outcome or earlier
	Class         uint16
	Tenant        uint16
	Attempt       uint16
	Request       uint32
	Server        uint32
	Key           uint64
	Token         uint64
	Deadline      float64    // time at which the client gives up this call
	WorkHint      float64    // expected work; 0 = unknown
	Elapsed       float64    // time since the attempt or probe was sent; ListFailed: how long the watch was silent
	ServiceTime   float64    // part of Elapsed from the request's last byte to the response's first; 0 = not measured
	NewConnection bool       // the attempt's connection was opened for it, which its server pays for too
	Report        [4]float32 // load report of the server
	ReportLen     int        // number of values in Report that are set; 0 = no report
	Servers       []ServerEntry
}

// sanitized returns a copy of the event in which each time or hint that is negative or not a finite number is
// 0. A load report with such a value is dropped. One invalid number would stay in the moving averages for good,
// or keep a request open forever. A Deadline of 0 has passed.
func (ev *Event) sanitized() Event {
	e := *ev
	for _, f := range [...]*float64{&e.Deadline, &e.WorkHint, &e.Elapsed, &e.ServiceTime} {
		if !(*f >= 0) || math.IsInf(*f, 0) {
			*f = 0
		}
	}
	for _, v := range e.Report {
		if !(v >= 0) || math.IsInf(float64(v), 0) {
			e.ReportLen = 0
		}
	}
	return e
}

// advanceClock returns the new clock time, or the old one if the new time is earlier or not a finite number.
func advanceClock(old, now float64) float64 {
	if now > old && !math.IsInf(now, 0) {
		return now
	}
	return old
}

// ActionKind is the kind of an Action and determines which of its fields are set.
type ActionKind uint8

// The kinds of action, with the fields that each one sets.
const (
	ActSend      ActionKind = iota + 1 // Request, Server, Deadline, LastByteBy: start an attempt
	ActRefuse                          // Request, Delay: final answer; a retry by the client is safe, best after Delay
	ActFail                            // Request: final answer; the request may have run
	ActCancel                          // Request, Attempt: stop waiting for the attempt
	ActTimer                           // Delay, Token: send EvTimer with Token after Delay
	ActWatchList                       // subscribe to list changes; no effect if already subscribed
	ActProbe                           // Server: request a load report
	ActLog                             // Text: write to the log
	ActCloseIdle                       // Server: close the idle connections to the server
)

// Action is one instruction of a balancer to its host. The host carries actions out in the order given.
type Action struct {
	Kind       ActionKind
	Attempt    uint16
	Request    uint32
	Server     uint32
	Token      uint64
	Deadline   float64 // clock time at which the attempt times out
	LastByteBy float64 // latest clock time for the attempt's last byte; 0 = unlimited
	Delay      float64 // time from now
	Text       string
}
