// Package experiment holds what a hollow fleet is asked to play: its shape, its traffic, its discovery and network,
// and the faults. Read makes one from TOML and checks it; internal/fleet plays it. Example is a file that names every
// key with its range, and with the default that it takes where a file leaves it out.
package experiment

import "time"

// Duration is a time.Duration that TOML writes as text: "250ms", "6s", "24h".
type Duration time.Duration

// Experiment is one run of a hollow fleet. Nothing in it names a real deployment.
type Experiment struct {
	Name      string    `toml:"name"`
	Seed      uint64    `toml:"seed"`     // of all random numbers; the same seed gives the same result
	Duration  Duration  `toml:"duration"` // of virtual time that is measured, from the end of Warmup on
	Warmup    Duration  `toml:"warmup"`   // of virtual time before that, not measured
	Memory    int       `toml:"memory_mb"`
	Regions   []Region  `toml:"region"`
	Services  []Service `toml:"service"`
	Classes   []Class   `toml:"class"`
	Sidecar   Sidecar   `toml:"sidecar"`
	Discovery Discovery `toml:"discovery"`
	Network   Network   `toml:"network"`
	Faults    []Fault   `toml:"fault"`

	source *sourceFile // nil if it was not read from a file
}

// Region is a set of zones; each zone has so many racks, over which endpoints are dealt out in turn.
type Region struct {
	Name  string `toml:"name"`
	Zones int    `toml:"zones"`
	Racks int    `toml:"racks"` // of each zone
}

// Service is one service of the call graph. If it calls others, each of its endpoints has a sidecar of its own for that; one
// with Front > 0 also has so many sidecars at the front, through which clients come.
//
// A file may write several alike as one with Copies > 1: "svc" with 14 copies becomes svc-0 to svc-13, each with
// endpoints, front and rate of its own. A call to "svc"
// goes from copy i of the caller to copy i modulo 14, one to "svc-3" from all copies to that one. Read deals them out, so
// that Copies is 1 in what it returns.
type Service struct {
	Name      string   `toml:"name"`
	Copies    int      `toml:"copies"`
	Endpoints int      `toml:"endpoints"` // dealt out over the zones
	Front     int      `toml:"front"`     // sidecars at the front that balance for this service; 0 = clients do not call it
	Rate      float64  `toml:"rate"`      // calls a second of clients, over all front sidecars; needs Front
	Cores     float64  `toml:"cores"`     // calls an endpoint works on at once at full speed
	Work      Duration `toml:"work"`      // mean time that a call takes at an idle warm endpoint, without the calls it makes
	Slots     int      `toml:"slots"`     // calls in work and waiting; more are turned away
	Thin      float64  `toml:"thin"`      // share of this service's calls that is played, 0 < Thin <= 1; 1 = in full
	Calls     []Call   `toml:"call"`
}

// Call says that an endpoint calls another service, one call after another, for each request it works on.
type Call struct {
	To    string  `toml:"to"`
	Times float64 `toml:"times"` // mean calls for each request
}

// Class is a class of requests, as the module's settings name it.
type Class struct {
	Name   string   `toml:"name"`
	Share  float64  `toml:"share"`  // of the clients' calls
	Effect string   `toml:"effect"` // "safe", "keyed" or "unsafe"
	Aim    Duration `toml:"aim"`
	GiveUp Duration `toml:"give_up"`
	Worth  float64  `toml:"worth"`
}

// Sidecar holds the settings that all copies of the module get.
type Sidecar struct {
	MaxAttempts  int      `toml:"max_attempts"`
	DrainGrace   Duration `toml:"drain_grace"`
	ColdFrom     float64  `toml:"cold_from"` // a cold endpoint starts with this share of its capacity
	Ramp         Duration `toml:"ramp"`      // and is warm after this time
	FallMultiple float64  `toml:"fall_multiple"`
	FallAfter    Duration `toml:"fall_after"`
	AskEvery     Duration `toml:"ask_every"` // of discovery, where lists are asked for
	ConnIdle     Duration `toml:"conn_idle"`
}

// Discovery is the service that tells the list. Instances share the askers evenly and are all down or up together.
type Discovery struct {
	Pushed    bool     `toml:"pushed"`      // by an agent beside each sidecar, not asked for
	Instances int      `toml:"instances"`   // each handles calls in turn
	CallTime  Duration `toml:"call_time"`   // of an instance, for each call that it answers
	WriteTime Duration `toml:"write_time"`  // of an instance, for each change on each watch (fan-out)
	MaxWait   Duration `toml:"max_wait"`    // of a call for its turn; then it is refused
	Lag       Duration `toml:"lag"`         // from a change to discovery's knowing it
	EntrySize int      `toml:"entry_bytes"` // of one endpoint in a list
}

// Network gives one-way delays; each message has a tenth of jitter either way. A lost message is sent again by the
// transport after Retransmit.
type Network struct {
	SameZone   Duration `toml:"same_zone"`
	SameRegion Duration `toml:"same_region"`
	Regions    Duration `toml:"between_regions"`
	Loss       float64  `toml:"loss"` // share of messages
	Retransmit Duration `toml:"retransmit"`
}

// Fault is one thing that goes wrong, or that an operator does, At after the start of the measured time, For so long.
//
//	kind       what                                                           target
//	machine    Count endpoints, and their sidecars, vanish and return cold    service, or "" for any
//	rack       one rack vanishes                                              "region/zone/rack", as "r-1/0/2" or "1/0/2"
//	zone       one zone vanishes                                              "region/zone", as "r-1/0" or "1/0"
//	split      a region hears no other, nor they it                           region
//	down       discovery refuses all calls and ends all watches               -
//	silent     discovery accepts calls and says nothing; watches fall silent  -
//	refusing   discovery answers 503                                          -
//	restart    Count endpoints, and their sidecars, are replaced one by one, evenly over For   service, or "" for any
//	changes    Count changes of configuration, evenly over For; each goes to all              service, or "" for any
//	burst      clients' calls are Factor times as many                        service, or "" for all
//
// Services go by their names, regions by their names or their numbers from 0, zones and racks by their numbers. Read
// writes the numbers of regions in place of their names.
type Fault struct {
	Kind   string   `toml:"kind"`
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`
	Target string   `toml:"target"`
	Count  int      `toml:"count"`
	Factor float64  `toml:"factor"`
}
