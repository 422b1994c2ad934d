package main

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"forkline/internal/experiment"
)

// maxServiceRows limits the table of services to those with the lowest share of calls in time.
const maxServiceRows = 20

// markdown formats results as Markdown: a table of all runs, and for each run its services, faults, violations and control
// traffic.
func markdown(results []*experiment.Result) []byte {
	var b bytes.Buffer
	var rows [][]string
	for _, r := range results {
		rows = append(rows, append([]string{r.Name, strconv.FormatUint(r.Seed, 10)}, append(callCells(r.Calls),
			strconv.Itoa(r.Sidecars), formatFigure(r.VirtualSeconds), formatFigure(r.RealSeconds), formatFigure(r.PeakHeapMB),
			formatFigure(r.HeapPerSidecarKB))...))
	}
	writeTable(&b, append(append([]string{"run", "seed"}, callHeadings...), "sidecars", "virtual s", "real s", "heap MB", "KB each"),
		rows)
	for _, r := range results {
		writeRun(&b, r)
	}
	return b.Bytes()
}

// writeRun writes the section of one run.
func writeRun(b *bytes.Buffer, r *experiment.Result) {
	fmt.Fprintf(b, "\n## %s, seed %d\n\nPlayed by %s. Times are in ms.", r.Name, r.Seed, r.Version)
	if n := len(r.SimulatedShares); n > 0 {
		shares := slices.Sorted(maps.Values(r.SimulatedShares))
		fmt.Fprintf(b, " Thinned services: %d, of whose calls %s to %s are played.", n, formatFigure(shares[0]),
			formatFigure(shares[n-1]))
	}
	b.WriteString("\n\n")

	services := slices.Clone(r.Services)
	if len(services) > maxServiceRows {
		slices.SortStableFunc(services, func(x, y experiment.ServiceResult) int {
			return cmp.Compare(inTimeShare(x.Calls), inTimeShare(y.Calls))
		})
		fmt.Fprintf(b, "The %d of %d services that serve fewest of their calls in time:\n\n", maxServiceRows, len(services))
		services = services[:maxServiceRows]
	}
	var rows [][]string
	for _, s := range services {
		rows = append(rows, append(append([]string{s.Name}, callCells(s.Calls)...), strconv.Itoa(s.ColdCrashes),
			formatFigure(s.WorstColdRatio)))
	}
	writeTable(b, append(append([]string{"service"}, callHeadings...), "falls", "worst cold"), rows)

	if len(r.Faults) > 0 {
		b.WriteString("\n")
		rows = nil
		for _, f := range r.Faults {
			recovered := "not in this run"
			if f.RecoveryTime >= 0 {
				recovered = formatFigure(f.RecoveryTime)
			}
			rows = append(rows, []string{f.Fault, formatMillis(f.At), formatCount(f.LostCalls), recovered, formatCount(f.ListCalls),
				formatFigure(f.ResyncMax)})
		}
		writeTable(b, []string{"fault", "at", "lost", "recovered after", "list calls", "last told"}, rows)
	}

	b.WriteString("\n")
	writeTable(b, []string{"what must not happen", "count"}, [][]string{
		{"cold endpoints that fell", formatCount(r.Violations.ColdCrashes)},
		{"sends to draining endpoints past the grace", formatCount(r.Violations.DrainingSends)},
		{"unsafe calls run again", formatCount(r.Violations.UnsafeRepeats)},
		{"calls never answered", formatCount(r.Violations.Unanswered)},
		{"calls answered twice", formatCount(r.Violations.DuplicateAnswers)},
		{"calls answered by the sidecar for the module", formatCount(r.Violations.Backstops)},
	})

	c := r.Control
	b.WriteString("\n")
	writeTable(b, []string{"control", "figure"}, [][]string{
		{"calls a second at discovery, mean", formatFigure(c.CallsPerSecond)},
		{"calls a second at discovery, peak", formatFigure(c.PeakCallsPerSecond)},
		{"calls refused by discovery", formatCount(c.RefusedCalls)},
		{"discovery busy, share", formatFigure(c.DiscoveryUtilization)},
		{"calls waiting at discovery, most", strconv.Itoa(c.PeakQueue)},
		{"bytes a second, a sidecar", formatFigure(c.SidecarBytesPerSecond)},
		{"bytes a second, discovery", formatFigure(c.DiscoveryBytesPerSecond)},
		{"module, us a call", formatFigure(c.ModuleMicrosPerCall)},
		{"module, us a list", formatFigure(c.ModuleMicrosPerList)},
		{"change in force everywhere, p50", formatFigure(c.PropagationP50)},
		{"change in force everywhere, p99", formatFigure(c.PropagationP99)},
		{"change in force everywhere, most", formatFigure(c.PropagationMax)},
		{"changes not in force everywhere at the end", formatCount(c.UnpropagatedChanges)},
		{"last told after discovery's return", formatFigure(c.ResyncMax)},
	})
}

var callHeadings = []string{"asked", "in time", "refused", "failed", "late", "p50", "p99", "p99.9", "added p99"}

func callCells(c experiment.Calls) []string {
	share := "-"
	if c.Offered > 0 {
		share = fmt.Sprintf("%.2f %%", math.Floor(1e4*inTimeShare(c))/100) // rounded down, so that 100 means all
	}
	return []string{formatCount(c.Offered), share, formatCount(c.Refused), formatCount(c.Failed), formatCount(c.Late),
		formatFigure(c.P50), formatFigure(c.P99), formatFigure(c.P999), formatFigure(c.AddedP99)}
}

// inTimeShare returns the share of calls that were served in time, or 1 if there were no calls.
func inTimeShare(c experiment.Calls) float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Offered)
}

func formatCount(n int64) string { return strconv.FormatInt(n, 10) }

// formatFigure formats x with about three significant digits.
func formatFigure(x float64) string {
	switch {
	case x >= 100 || x <= -100 || x == 0:
		return strconv.FormatFloat(x, 'f', 0, 64)
	case x >= 10 || x <= -10:
		return strconv.FormatFloat(x, 'f', 1, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

func formatMillis(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

// writeTable writes a Markdown table with aligned columns.
func writeTable(b *bytes.Buffer, headings []string, rows [][]string) {
	w := tabwriter.NewWriter(b, 0, 0, 1, ' ', 0)
	writeRow := func(cells []string) { fmt.Fprintf(w, "| %s\t|\n", strings.Join(cells, "\t| ")) }
	writeRow(headings)
	separator := slices.Repeat([]string{"---:"}, len(headings))
	separator[0] = "---"
	writeRow(separator)
	for _, r := range rows {
		writeRow(r)
	}
	w.Flush() // writing to a bytes.Buffer cannot fail
}
