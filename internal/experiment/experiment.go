// Package experiment defines the experiments that a hollow fleet runs: its topology, traffic, discovery, network and
// faults. Read reads and validates an experiment in TOML; internal/fleet runs it. Example is a file that documents every
// key with its range and its default.
package experiment

import "time"

// Duration is a time.Duration that is a string in TOML, such as "250ms", "6s" or "24h".
type Duration time.Duration

// Experiment describes one run of a hollow fleet. It refers to no real deployment.
type Experiment struct {
	Name      string    `toml:"name"`
	Seed      uint64    `toml:"seed"`      // seed of all random numbers; the same seed gives the same result
	Duration  Duration  `toml:"duration"`  // measured virtual time, which begins at the end of Warmup
	Warmup    Duration  `toml:"warmup"`    // virtual time before that, not measured
	MemoryMB  int       `toml:"memory_mb"` // memory that the run may need
	Regions   []Region  `toml:"region"`
	Services  []Service `toml:"service"`
	Classes   []Class   `toml:"class"`
	Sidecar   Sidecar   `toml:"sidecar"`
	Discovery Discovery `toml:"discovery"`
	Network   Network   `toml:"network"`
	Faults    []Fault   `toml:"fault"`

	source *sourceFile // nil if the experiment was not read from a file
}

// Region is a group of zones. Endpoints are distributed over the racks of a zone round-robin.
type Region struct {
	Name  string `toml:"name"`
	Zones int    `toml:"zones"`
	Racks int    `toml:"racks"` // racks in each zone
}

// Service is one service of the call graph. If it calls other services, each of its endpoints has its own sidecar for
// these calls. If FrontSidecars > 0, the service also has that number of front sidecars, through which clients call it.
//
// A file can define several equal services as one with Copies > 1: "svc" with 14 copies becomes svc-0 to svc-13, each with
// its own endpoints, front sidecars and rate. A call to "svc" goes from copy i of the caller to copy i modulo 14; a call to
// "svc-3" goes from all copies of the caller to that one. Read expands the copies, so Copies is 1 in what it returns.
type Service struct {
	Name           string   `toml:"name"`
	Copies         int      `toml:"copies"`
	Endpoints      int      `toml:"endpoints"` // distributed over the zones
	FrontSidecars  int      `toml:"front"`     // front sidecars that balance for this service; 0 if clients do not call it
	ClientRate     float64  `toml:"rate"`      // client calls per second over all front sidecars; requires FrontSidecars > 0
	Cores          float64  `toml:"cores"`     // calls that an endpoint processes concurrently at full speed
	MeanWork       Duration `toml:"work"`      // mean time that a call takes at an idle warm endpoint, without its own calls
	Slots          int      `toml:"slots"`     // maximum number of calls in progress and waiting; further calls are rejected
	SimulatedShare float64  `toml:"thin"`      // share of this service's calls that is simulated, above 0 and at most 1
	Calls          []Call   `toml:"call"`
}

// Call makes each endpoint call another service for each request that it processes, one call after another.
type Call struct {
	To    string  `toml:"to"`
	Times float64 `toml:"times"` // mean number of calls for each request
}

// Class is a class of requests in the settings of the decision module.
type Class struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"`  // share of the client calls
	Effect        string   `toml:"effect"` // "safe", "keyed" or "unsafe"
	TargetLatency Duration `toml:"aim"`
	Timeout       Duration `toml:"give_up"`
	Value         float64  `toml:"worth"` // value of a call that is served in time
}

// Sidecar holds the settings that all instances of the decision module share.
type Sidecar struct {
	MaxAttempts      int      `toml:"max_attempts"`
	DrainGrace       Duration `toml:"drain_grace"`
	ColdCapacity     float64  `toml:"cold_from"`     // share of its capacity with which a cold endpoint starts
	RampTime         Duration `toml:"ramp"`          // time until a cold endpoint is warm
	OverloadMultiple float64  `toml:"fall_multiple"` // load, as a multiple of its capacity, that crashes a cold endpoint
	OverloadWindow   Duration `toml:"fall_after"`    // period over which that load is measured
	PollInterval     Duration `toml:"ask_every"`     // interval between polls of discovery, where lists are polled
	IdleTimeout      Duration `toml:"conn_idle"`     // idle connections are closed after this time
}

// Discovery is the service that distributes the lists of endpoints. The sidecars are spread evenly over its instances,
// which are all down or up together.
type Discovery struct {
	Pushed       bool     `toml:"pushed"`      // lists are pushed by an agent beside each sidecar instead of polled
	Instances    int      `toml:"instances"`   // each instance handles one call at a time
	CallTime     Duration `toml:"call_time"`   // time that an instance needs to answer a call
	WriteTime    Duration `toml:"write_time"`  // time that an instance needs to write a change to one watch (fan-out)
	MaxQueueTime Duration `toml:"max_wait"`    // longest time that a call waits in the queue; then it is refused
	Lag          Duration `toml:"lag"`         // delay until discovery learns of a change
	EntryBytes   int      `toml:"entry_bytes"` // size of one endpoint in a list
}

// Network holds the one-way delays of messages; each message has a jitter of ±10 %. The transport retransmits a lost
// message after RetransmitDelay.
type Network struct {
	SameZone        Duration `toml:"same_zone"`
	SameRegion      Duration `toml:"same_region"`
	BetweenRegions  Duration `toml:"between_regions"`
	LossRate        float64  `toml:"loss"` // share of messages that are lost
	RetransmitDelay Duration `toml:"retransmit"`
}

// Fault is a failure or an operator's action. It begins At after the start of the measured time and lasts Duration.
//
//	kind       effect                                                              target
//	machine    Count endpoints and their sidecars disappear and return cold        service, or "" for any
//	rack       one rack disappears                                                 "region/zone/rack": "r-1/0/2" or "1/0/2"
//	zone       one zone disappears                                                 "region/zone": "r-1/0" or "1/0"
//	split      a network partition cuts a region off from all others               region
//	down       discovery refuses all calls and ends all watches                    -
//	silent     discovery accepts calls and never answers; watches become silent    -
//	refusing   discovery answers 503                                               -
//	restart    Count endpoints and their sidecars are replaced one by one,         service, or "" for any
//	           evenly spread over Duration
//	changes    Count configuration changes, evenly spread over Duration;           service, or "" for any
//	           each goes to all sidecars of the service
//	burst      the rate of client calls is multiplied by Factor                    service, or "" for all
//
// Services are referred to by name, regions by name or number, zones and racks by number, all numbers from 0. Read
// replaces the names of regions by their numbers.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`
	Target   string   `toml:"target"`
	Count    int      `toml:"count"`
	Factor   float64  `toml:"factor"`
}
