package experiment

import "time"

// Result is what a run measured. It is written as one JSON line, with times in milliseconds and sizes in bytes.
type Result struct {
	Name      string             `json:"name"`
	Seed      uint64             `json:"seed"`
	Version   string             `json:"version"`        // of the program that played it
	Virtual   float64            `json:"virtual_s"`      // measured virtual time
	Real      float64            `json:"real_s"`         // time that the run took
	HeapMB    float64            `json:"heap_mb"`        // most in use by the whole process
	Processes int                `json:"processes"`      // hollow sidecars
	PerKB     float64            `json:"per_process_kb"` // heap for each
	Thinned   map[string]float64 `json:"thinned"`        // services whose calls were played in part, with the share
	Calls     Calls              `json:"calls"`
	Services  []ServiceResult    `json:"services"`
	Control   Control            `json:"control"`
	Faults    []FaultResult      `json:"faults"`
	Rules     Rules              `json:"rules"`
	Series    []Second           `json:"series"` // one a second of measured time
}

// Rules counts what must not happen, over the whole run.
type Rules struct {
	ColdFalls     int64 `json:"cold_falls"`     // cold endpoints that fell
	DrainingSends int64 `json:"draining_sends"` // sends past the grace to endpoints that the sidecar was told to drain or be gone
	UnsafeRepeats int64 `json:"unsafe_repeats"` // runs of an unsafe call after its first
	NoAnswer      int64 `json:"no_answer"`      // calls that were never answered
	TwoAnswers    int64 `json:"two_answers"`    // answers of the module to calls that had ended
	Backstops     int64 `json:"backstops"`      // calls that the sidecar had to answer, as the module had not in time
}

// Calls sums up calls over a scope.
type Calls struct {
	Asked       int64 `json:"asked"`
	Served      int64 `json:"served"`
	InTime      int64 `json:"in_time"`
	Refused     int64 `json:"refused"`
	Failed      int64 `json:"failed"`
	Late        int64 `json:"late"`
	Attempts    int64 `json:"attempts"`
	Connections int64 `json:"connections"`

	P50       float64 `json:"p50_ms"` // of served calls
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	AddedP50  float64 `json:"added_p50_ms"` // that waiting at sidecars added
	AddedP99  float64 `json:"added_p99_ms"`
	AddedP999 float64 `json:"added_p999_ms"`
}

// ServiceResult is one service's part.
type ServiceResult struct {
	Name      string  `json:"name"`
	Calls     Calls   `json:"calls"`
	Falls     int     `json:"falls"`            // cold endpoints that fell under the sum of all sidecars
	WorstCold float64 `json:"worst_cold_ratio"` // most calls in a window over the allowed count
}

// Control is the traffic for control: calls for lists, watches, changes.
type Control struct {
	CallsPerSecond          float64 `json:"calls_per_second"` // that discovery saw
	PeakCallsPerSecond      float64 `json:"peak_calls_per_second"`
	RefusedCalls            int64   `json:"refused_calls"`
	DiscoveryBusy           float64 `json:"discovery_busy"` // share of an instance's time, mean
	PeakQueue               int     `json:"peak_queue"`     // calls waiting for their turn
	SidecarBytesPerSecond   float64 `json:"sidecar_bytes_per_second"`
	DiscoveryBytesPerSecond float64 `json:"discovery_bytes_per_second"`
	ModuleMicrosPerCall     float64 `json:"module_us_per_call"` // processor time of the real module, as measured in this run
	ModuleMicrosPerList     float64 `json:"module_us_per_list"`
	SpreadP50               float64 `json:"spread_p50_ms"` // from a change to its being in force everywhere
	SpreadP99               float64 `json:"spread_p99_ms"`
	SpreadMax               float64 `json:"spread_max_ms"`
	Unspread                int64   `json:"unspread"`    // changes not in force everywhere at the end of the run
	ToldMax                 float64 `json:"told_max_ms"` // from discovery's return to the last copy's being answered; -1 = not in this run
}

// FaultResult tells what a fault cost.
type FaultResult struct {
	Fault     string  `json:"fault"`
	At        float64 `json:"at_ms"`
	Lost      int64   `json:"lost"`         // calls refused, failed or late between its start and recovery
	Recovered float64 `json:"recovered_ms"` // from its end until a second is served as before; -1 = not in this run
	ListCalls int64   `json:"list_calls"`   // that discovery saw from its start until recovery and until all were answered
	ToldMax   float64 `json:"told_max_ms"`  // from its end until the last sidecar had been answered; -1 = not in this run
}

// Second is one second of the run.
type Second struct {
	At          float64 `json:"at_s"`
	Asked       int64   `json:"asked"` // of the clients' calls that came in this second
	Served      int64   `json:"served"`
	Refused     int64   `json:"refused"`
	Failed      int64   `json:"failed"`
	Late        int64   `json:"late"`
	ListCalls   int64   `json:"list_calls"`
	Changes     int64   `json:"changes"`
	Connections int64   `json:"connections"`
}

// Progress is told about once a second of real time; done and of are virtual.
type Progress func(done, of time.Duration)
