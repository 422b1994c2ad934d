package experiment

import "time"

// Result holds the measurements of a run. It is written as one JSON line. Times are in milliseconds and sizes in bytes
// unless the JSON name has another unit.
type Result struct {
	Name             string             `json:"name"`
	Seed             uint64             `json:"seed"`
	Version          string             `json:"version"`        // version of the program that ran the experiment
	VirtualSeconds   float64            `json:"virtual_s"`      // measured virtual time
	RealSeconds      float64            `json:"real_s"`         // elapsed real time of the run
	PeakHeapMB       float64            `json:"heap_mb"`        // peak heap of the whole process
	Sidecars         int                `json:"processes"`      // number of hollow sidecars
	HeapPerSidecarKB float64            `json:"per_process_kb"` // heap for each sidecar before the first call
	SimulatedShares  map[string]float64 `json:"thinned"`        // simulated share of calls, by service; only shares below 1
	Calls            Calls              `json:"calls"`
	Services         []ServiceResult    `json:"services"`
	Control          ControlTraffic     `json:"control"`
	Faults           []FaultResult      `json:"faults"`
	Violations       Violations         `json:"rules"`
	Series           []Second           `json:"series"` // one entry for each second of measured time
}

// Violations counts events that must not happen, over the whole run.
type Violations struct {
	ColdCrashes      int64 `json:"cold_falls"`     // cold endpoints that crashed under overload
	DrainingSends    int64 `json:"draining_sends"` // sends past the grace to an endpoint that the sidecar knows to drain or be removed
	UnsafeRepeats    int64 `json:"unsafe_repeats"` // executions of an unsafe call after its first
	Unanswered       int64 `json:"no_answer"`      // calls that were never answered
	DuplicateAnswers int64 `json:"two_answers"`    // answers of the module to calls that had already ended
	Backstops        int64 `json:"backstops"`      // calls that the sidecar answered because the module had not done so in time
}

// Calls counts the calls of one scope: the clients' calls or the calls of one service.
type Calls struct {
	Offered     int64 `json:"asked"`
	Served      int64 `json:"served"`
	InTime      int64 `json:"in_time"` // served within the target latency
	Refused     int64 `json:"refused"`
	Failed      int64 `json:"failed"`
	Late        int64 `json:"late"`        // ended after the client's deadline, in whatever way
	Attempts    int64 `json:"attempts"`    // sends to endpoints
	Connections int64 `json:"connections"` // connections opened for attempts

	P50       float64 `json:"p50_ms"` // latency of served calls
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	AddedP50  float64 `json:"added_p50_ms"` // latency that waiting at sidecars added
	AddedP99  float64 `json:"added_p99_ms"`
	AddedP999 float64 `json:"added_p999_ms"`
}

// ServiceResult holds the measurements of one service.
type ServiceResult struct {
	Name           string  `json:"name"`
	Calls          Calls   `json:"calls"`
	ColdCrashes    int     `json:"falls"`            // cold endpoints that crashed under the load of all sidecars
	WorstColdRatio float64 `json:"worst_cold_ratio"` // highest ratio of the calls in a window to the allowed number
}

// ControlTraffic holds the measurements of control traffic: list calls, watches and changes.
type ControlTraffic struct {
	CallsPerSecond          float64 `json:"calls_per_second"` // calls that arrive at discovery
	PeakCallsPerSecond      float64 `json:"peak_calls_per_second"`
	RefusedCalls            int64   `json:"refused_calls"`
	DiscoveryUtilization    float64 `json:"discovery_busy"` // mean busy share of an instance's time
	PeakQueue               int     `json:"peak_queue"`     // calls waiting at an instance
	SidecarBytesPerSecond   float64 `json:"sidecar_bytes_per_second"`
	DiscoveryBytesPerSecond float64 `json:"discovery_bytes_per_second"`
	ModuleMicrosPerCall     float64 `json:"module_us_per_call"` // measured processor time of the decision module
	ModuleMicrosPerList     float64 `json:"module_us_per_list"`
	PropagationP50          float64 `json:"spread_p50_ms"` // from a change until all sidecars have applied it
	PropagationP99          float64 `json:"spread_p99_ms"`
	PropagationMax          float64 `json:"spread_max_ms"`
	UnpropagatedChanges     int64   `json:"unspread"`    // changes that some sidecar had not applied at the end of the run
	ResyncMax               float64 `json:"told_max_ms"` // longest ResyncMax of the discovery faults; -1 if one has none
}

// FaultResult holds the impact of one fault.
type FaultResult struct {
	Fault        string  `json:"fault"`
	At           float64 `json:"at_ms"`
	LostCalls    int64   `json:"lost"`         // calls refused, failed or late between its start and recovery
	RecoveryTime float64 `json:"recovered_ms"` // from the fault's end to the first second served as before; -1 if not in this run
	ListCalls    int64   `json:"list_calls"`   // calls at discovery from the fault's start until recovery and resync
	ResyncMax    float64 `json:"told_max_ms"`  // from the fault's end until discovery has reached all modules; -1 if not in this run
}

// Second holds the counts of one second of measured time.
type Second struct {
	At          float64 `json:"at_s"`
	Offered     int64   `json:"asked"`  // client calls that arrived in this second
	Served      int64   `json:"served"` // those of them that were served; likewise Refused, Failed and Late
	Refused     int64   `json:"refused"`
	Failed      int64   `json:"failed"`
	Late        int64   `json:"late"`
	ListCalls   int64   `json:"list_calls"`  // list calls that discovery received
	Changes     int64   `json:"changes"`     // changes that discovery learned of
	Connections int64   `json:"connections"` // connections opened for attempts
}

// Progress is called about once per second of real time with the elapsed and the total virtual time.
type Progress func(done, total time.Duration)
