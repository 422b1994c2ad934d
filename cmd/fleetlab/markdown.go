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

// maxRows bounds the table of services; those that serve worst are shown.
const maxRows = 20

// markdown tells results to people: all runs, and of each its services, its faults and its control traffic.
func markdown(results []*experiment.Result) []byte {
	var b bytes.Buffer
	var rows [][]string
	for _, r := range results {
		rows = append(rows, append([]string{r.Name, strconv.FormatUint(r.Seed, 10)}, append(callCells(r.Calls),
			strconv.Itoa(r.Processes), figure(r.Virtual), figure(r.Real), figure(r.HeapMB), figure(r.PerKB))...))
	}
	table(&b, append(append([]string{"run", "seed"}, callHeads...), "sidecars", "virtual s", "real s", "heap MB", "KB each"), rows)
	for _, r := range results {
		one(&b, r)
	}
	return b.Bytes()
}

// one tells one run.
func one(b *bytes.Buffer, r *experiment.Result) {
	fmt.Fprintf(b, "\n## %s, seed %d\n\nPlayed by %s. Times are in ms.", r.Name, r.Seed, r.Version)
	if n := len(r.Thinned); n > 0 {
		shares := slices.Sorted(maps.Values(r.Thinned))
		fmt.Fprintf(b, " Thinned services: %d, of whose calls %s to %s are played.", n, figure(shares[0]), figure(shares[n-1]))
	}
	b.WriteString("\n\n")

	services := slices.Clone(r.Services)
	if len(services) > maxRows {
		slices.SortStableFunc(services, func(x, y experiment.ServiceResult) int {
			return cmp.Compare(inTime(x.Calls), inTime(y.Calls))
		})
		fmt.Fprintf(b, "The %d of %d services that serve fewest of their calls in time:\n\n", maxRows, len(services))
		services = services[:maxRows]
	}
	var rows [][]string
	for _, s := range services {
		rows = append(rows, append(append([]string{s.Name}, callCells(s.Calls)...), strconv.Itoa(s.Falls), figure(s.WorstCold)))
	}
	table(b, append(append([]string{"service"}, callHeads...), "falls", "worst cold"), rows)

	if len(r.Faults) > 0 {
		b.WriteString("\n")
		rows = nil
		for _, f := range r.Faults {
			recovered := "not in this run"
			if f.Recovered >= 0 {
				recovered = figure(f.Recovered)
			}
			rows = append(rows, []string{f.Fault, seconds(f.At), count(f.Lost), recovered, count(f.ListCalls), figure(f.ToldMax)})
		}
		table(b, []string{"fault", "at", "lost", "recovered after", "list calls", "last told"}, rows)
	}

	b.WriteString("\n")
	table(b, []string{"what must not happen", "count"}, [][]string{
		{"cold endpoints that fell", count(r.Rules.ColdFalls)},
		{"sends to draining endpoints past the grace", count(r.Rules.DrainingSends)},
		{"unsafe calls run again", count(r.Rules.UnsafeRepeats)},
		{"calls never answered", count(r.Rules.NoAnswer)},
		{"calls answered twice", count(r.Rules.TwoAnswers)},
		{"calls answered by the sidecar for the module", count(r.Rules.Backstops)},
	})

	c := r.Control
	b.WriteString("\n")
	table(b, []string{"control", "figure"}, [][]string{
		{"calls a second at discovery, mean", figure(c.CallsPerSecond)},
		{"calls a second at discovery, peak", figure(c.PeakCallsPerSecond)},
		{"calls refused by discovery", count(c.RefusedCalls)},
		{"discovery busy, share", figure(c.DiscoveryBusy)},
		{"calls waiting at discovery, most", strconv.Itoa(c.PeakQueue)},
		{"bytes a second, a sidecar", figure(c.SidecarBytesPerSecond)},
		{"bytes a second, discovery", figure(c.DiscoveryBytesPerSecond)},
		{"module, us a call", figure(c.ModuleMicrosPerCall)},
		{"module, us a list", figure(c.ModuleMicrosPerList)},
		{"change in force everywhere, p50", figure(c.SpreadP50)},
		{"change in force everywhere, p99", figure(c.SpreadP99)},
		{"change in force everywhere, most", figure(c.SpreadMax)},
		{"changes not in force everywhere at the end", count(c.Unspread)},
		{"last told after discovery's return", figure(c.ToldMax)},
	})
}

var callHeads = []string{"asked", "in time", "refused", "failed", "late", "p50", "p99", "p99.9", "added p99"}

func callCells(c experiment.Calls) []string {
	share := "-"
	if c.Asked > 0 {
		share = fmt.Sprintf("%.2f %%", math.Floor(1e4*inTime(c))/100) // 100 only where all were
	}
	return []string{count(c.Asked), share, count(c.Refused), count(c.Failed), count(c.Late),
		figure(c.P50), figure(c.P99), figure(c.P999), figure(c.AddedP99)}
}

// inTime is the share of calls that were served in time; 1 if there were none.
func inTime(c experiment.Calls) float64 {
	if c.Asked == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Asked)
}

func count(n int64) string { return strconv.FormatInt(n, 10) }

// figure shows three digits or so.
func figure(x float64) string {
	switch {
	case x >= 100 || x <= -100 || x == 0:
		return strconv.FormatFloat(x, 'f', 0, 64)
	case x >= 10 || x <= -10:
		return strconv.FormatFloat(x, 'f', 1, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

func seconds(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

// table writes one in Markdown, its columns aligned.
func table(b *bytes.Buffer, heads []string, rows [][]string) {
	w := tabwriter.NewWriter(b, 0, 0, 1, ' ', 0)
	line := func(cells []string) { fmt.Fprintf(w, "| %s\t|\n", strings.Join(cells, "\t| ")) }
	line(heads)
	rule := slices.Repeat([]string{"---:"}, len(heads))
	rule[0] = "---"
	line(rule)
	for _, r := range rows {
		line(r)
	}
	w.Flush() // into memory, which cannot fail
}
