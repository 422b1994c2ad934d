package fleet

import (
	"fmt"
	"testing"
	"time"

	"forkline/internal/experiment"
)

// fullSizeExperiment returns an experiment with 98 services in 24 tiers, 2,800 hollow sidecars and 4 regions with 11 zones.
// Two services simulate all of their clients' calls, the others a share.
func fullSizeExperiment() *experiment.Experiment {
	e := smallExperiment()
	e.Name = "full"
	e.Regions = []experiment.Region{{Name: "a", Zones: 3, Racks: 8}, {Name: "b", Zones: 3, Racks: 8},
		{Name: "c", Zones: 3, Racks: 8}, {Name: "d", Zones: 2, Racks: 8}}
	e.Network.BetweenRegions = dur(5 * time.Millisecond)
	e.Discovery.Instances = 4
	e.Classes = nil
	for _, c := range smallExperiment().Classes {
		c.TargetLatency, c.Timeout = dur(2*time.Second), dur(5*time.Second)
		e.Classes = append(e.Classes, c)
	}
	e.Services = nil
	for i := range 98 {
		// Four services in each tier, two in the last ones; each calls one or two of the next tier.
		tier, place := i/4, i%4
		if i >= 92 {
			tier, place = 23, i-92
		}
		s := experiment.Service{Name: fmt.Sprintf("s%02d", i), Endpoints: 26, Cores: 4, MeanWork: dur(5 * time.Millisecond),
			Slots: 128, SimulatedShare: 0.05}
		if tier < 23 {
			next := 4 * (tier + 1)
			s.Calls = []experiment.Call{{To: fmt.Sprintf("s%02d", next+place), Times: 0.9}}
			if tier%4 == 0 {
				s.Calls = append(s.Calls, experiment.Call{To: fmt.Sprintf("s%02d", next+(place+1)%4), Times: 0.1})
			}
		}
		if tier == 0 {
			s.FrontSidecars, s.ClientRate = 100, 2000
		}
		e.Services = append(e.Services, s)
	}
	e.Services[0].SimulatedShare, e.Services[1].SimulatedShare = 1, 1 // all calls are simulated
	// 2,800 sidecars: 400 front sidecars, and one for each endpoint of the 92 services that call others.
	for i := range e.Services {
		if i < 8 {
			e.Services[i].Endpoints = 27
		}
	}
	return e
}

func TestFullSizeForOneSecond(t *testing.T) {
	if testing.Short() {
		t.Skip("2,800 hollow sidecars")
	}
	e := fullSizeExperiment()
	e.Warmup, e.Duration = dur(4*time.Second), dur(time.Second)
	r := runExperiment(t, e)
	r.Series, r.Services, r.SimulatedShares = nil, nil, nil
	logResult(t, r)
	if r.Sidecars != 2800 {
		t.Errorf("%d hollow sidecars", r.Sidecars)
	}
	if c := r.Calls; float64(c.Served) < 0.98*float64(c.Offered) {
		t.Errorf("%d of %d calls served", c.Served, c.Offered)
	}
}

// BenchmarkFullSize simulates one minute of the full-size fleet with the loss of a zone, an outage of discovery and a wave of
// restarts.
func BenchmarkFullSize(b *testing.B) {
	for b.Loop() {
		e := fullSizeExperiment()
		e.Duration = dur(60 * time.Second)
		e.Faults = []experiment.Fault{
			{Kind: "zone", At: dur(10 * time.Second), Duration: dur(8 * time.Second), Target: "1/1"},
			{Kind: "down", At: dur(30 * time.Second), Duration: dur(8 * time.Second)},
			{Kind: "restart", At: dur(42 * time.Second), Duration: dur(10 * time.Second), Count: 280},
		}
		r := runExperiment(b, e)
		r.Series, r.Services, r.SimulatedShares = nil, nil, nil
		logResult(b, r)
		b.ReportMetric(r.PeakHeapMB, "heap-MB")
		b.ReportMetric(r.HeapPerSidecarKB, "KB/sidecar")
		b.ReportMetric(r.Control.ModuleMicrosPerCall, "module-µs/call")
		b.ReportMetric(r.Control.ModuleMicrosPerList, "module-µs/list")
	}
}
