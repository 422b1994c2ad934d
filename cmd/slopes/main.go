// Command slopes measures what forkline costs against its size and prints each cost with its slope and fit. Everything
// runs on this machine's loopback; sidecars are real processes, discovery and endpoints are stand-ins.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"forkline/internal/probe"
	"forkline/internal/rig"
	"forkline/internal/slope"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // something could not be measured
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

type arguments struct {
	JSON    bool          `help:"Print JSON instead of Markdown tables."`
	Within  time.Duration `help:"End with an error after this time." default:"30m"`
	Sidecar string        `name:"binary" help:"The sidecar program. Without it, it is built from this source tree." type:"path"`

	Module    moduleCommand    `cmd:"" help:"Processor time and heap of the decision module against servers, list and waiting calls."`
	Cost      sidecarCommand   `cmd:"" name:"sidecar" help:"Memory, processor time and bytes of one sidecar process against list, changes and connections."`
	Discovery discoveryCommand `cmd:"" help:"Processor time and bytes of the stand-in discovery against watches and list."`
	Added     addedCommand     `cmd:"" help:"What a sidecar adds to a call, for each effect, against the direct way in the same run."`
	Change    changeCommand    `cmd:"" help:"Until a change of the settings is in force in real sidecars, and what it costs."`
	Fleet     fleetCommand     `cmd:"" help:"Outages of discovery and a wave of restarts with real sidecars."`
	StandIn   standInCommand   `cmd:"" hidden:"" name:"stand-in" help:"Run a stand-in discovery on standard input and output."`
}

// output is what commands need of their surroundings.
type output struct {
	args   *arguments
	stdin  io.Reader
	stdout io.Writer
	dir    string // of the program that was built; "" = none
}

func run(ctx context.Context, words []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var args arguments
	ended := false
	parser, err := kong.New(&args, kong.Name("slopes"), kong.Writers(stdout, stderr),
		kong.Exit(func(int) { ended = true }), // after the help text
		kong.Description("Measures what forkline costs against its size. Exit codes: 0 done, 1 not measured, 2 bad arguments."))
	if err != nil {
		fmt.Fprintln(stderr, "slopes:", err)
		return exitFailed
	}
	command, err := parser.Parse(words)
	if ended {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, "slopes:", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, args.Within)
	defer cancel()
	o := &output{args: &args, stdin: stdin, stdout: stdout}
	defer o.clear()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(o); err != nil {
		fmt.Fprintln(stderr, "slopes:", err)
		return exitFailed
	}
	return exitOK
}

// binary is the sidecar program.
func (o *output) binary(ctx context.Context) (string, error) {
	if o.args.Sidecar != "" {
		return o.args.Sidecar, nil
	}
	var err error
	if o.dir, err = os.MkdirTemp("", "slopes"); err != nil {
		return "", err
	}
	return rig.Build(ctx, o.dir)
}

// clear removes the program that was built.
func (o *output) clear() {
	if o.dir != "" {
		os.RemoveAll(o.dir)
	}
}

// print writes a result as JSON, or else what f writes.
func (o *output) print(result any, f func(w io.Writer) error) error {
	if !o.args.JSON {
		return f(o.stdout)
	}
	return json.NewEncoder(o.stdout).Encode(result)
}

// series prints a machine and its series.
func (o *output) series(r rig.Result) error {
	return o.print(r, func(w io.Writer) error {
		return errors.Join(machine(w, r.Machine), slope.WriteMarkdown(w, r.Series))
	})
}

// machine writes what else the machine did.
func machine(w io.Writer, m rig.Machine) error {
	_, err := fmt.Fprintf(w, "%s, %.0f s, %d cores, load %.1f before and %.1f after.\n\n",
		m.Start.UTC().Format(time.RFC3339), m.RealSeconds, m.Cores, m.LoadBefore, m.LoadAfter)
	return err
}

type moduleCommand struct {
	Servers []int         `help:"Sizes of the tier." default:"10,30,100,300,1000,2800"`
	Waiting []int         `help:"Calls that wait." default:"10,100,300,1000,3000"`
	Rounds  int           `help:"Rounds of each measure, of which the least counts." default:"5"`
	Round   time.Duration `help:"Least processor time of a round." default:"50ms"`
}

func (c *moduleCommand) Run(ctx context.Context, o *output) error {
	observed := rig.Observe()
	r, err := probe.Options{Servers: c.Servers, Queued: c.Waiting, Rounds: c.Rounds, MinRound: c.Round}.Run(ctx)
	if err != nil {
		return err
	}
	return o.series(rig.Result{Machine: observed(), Series: r.Series})
}

type sidecarCommand struct {
	For         time.Duration `help:"Time that each figure is measured." default:"5s"`
	Rate        float64       `help:"Calls a second where there are calls." default:"168"`
	Work        time.Duration `help:"Work of an endpoint on a call." default:"0s"`
	Lists       []int         `help:"Lengths of the list; entries past 300 are hollow: they share addresses." default:"10,100,300,1000,2800"`
	Changes     []int         `help:"Changes a minute, at a list of 300." default:"0,60,600,3000,6000"`
	Connections []int         `help:"Connections of clients, at a list of 300." default:"10,100,300,1000"`
}

func (c *sidecarCommand) Run(ctx context.Context, o *output) error {
	binary, err := o.binary(ctx)
	if err != nil {
		return err
	}
	r, err := rig.Sidecar{
		Binary: binary, For: c.For, Rate: c.Rate, Work: c.Work, Lists: c.Lists, Changes: c.Changes, Connections: c.Connections,
	}.Run(ctx)
	if err != nil {
		return err
	}
	return o.series(r)
}

type discoveryCommand struct {
	For     time.Duration `help:"Time that each figure is measured." default:"5s"`
	Watches []int         `help:"Watches open at once, at a list of 300." default:"10,30,100,300,1000"`
	Changes int           `help:"Changes a minute for them." default:"600"`
	Lists   []int         `help:"Lengths of the list, for whole lists." default:"10,100,300,1000,2800"`
}

func (c *discoveryCommand) Run(ctx context.Context, o *output) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	r, err := rig.DiscoveryCost{
		Command: []string{self, "stand-in"}, For: c.For, Watches: c.Watches, Changes: c.Changes, Lists: c.Lists,
	}.Run(ctx)
	if err != nil {
		return err
	}
	return o.series(r)
}

type standInCommand struct {
	Entries int `arg:"" help:"Length of the list."`
}

func (c *standInCommand) Run(ctx context.Context, o *output) error {
	return rig.ServeDiscovery(ctx, c.Entries, o.stdin, o.stdout)
}

type addedCommand struct {
	For       time.Duration `help:"Time that each effect at each size is measured." default:"20s"`
	Warm      time.Duration `help:"Time of calls before that." default:"2s"`
	Rate      float64       `help:"Calls a second by the sidecar, and as many direct." default:"168"`
	Work      time.Duration `help:"Work of an endpoint on a call." default:"0s"`
	Endpoints []int         `help:"Sizes of the tier, at most 300." default:"29,100,300"`
}

func (c *addedCommand) Run(ctx context.Context, o *output) error {
	binary, err := o.binary(ctx)
	if err != nil {
		return err
	}
	r, err := rig.Added{Binary: binary, For: c.For, Warm: c.Warm, Rate: c.Rate, Work: c.Work, Endpoints: c.Endpoints}.Run(ctx)
	if err != nil {
		return err
	}
	return o.print(r, func(w io.Writer) error {
		return errors.Join(machine(w, r.Machine), addedTable(w, r.Rows), slope.WriteMarkdown(w, r.Series))
	})
}

func addedTable(w io.Writer, rows []rig.AddedRow) error {
	text := "| effect | endpoints | calls | not served | direct ms: 50, 99, 99.9 in 100 | by the sidecar | added | " +
		"processor ms a call | connections to endpoints |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
	for _, r := range rows {
		text += fmt.Sprintf("| %s | %d | %d | %d | %s | %s | %s | %.2f | %d |\n", r.Effect, r.Endpoints, r.Via.All(),
			r.Via.All()-r.Via.Served, quantiles(r.Direct.Latency), quantiles(r.Via.Latency), quantiles(r.Added), r.CPU, r.ToTier)
	}
	_, err := io.WriteString(w, text+"\n")
	return err
}

func quantiles(l rig.Latency) string { return fmt.Sprintf("%.2f, %.1f, %.1f", l.P50, l.P99, l.P999) }

type fleetCommand struct {
	Sidecars  int           `help:"Real sidecars, at most 300." default:"20"`
	Endpoints int           `help:"Endpoints, at most 300 with an address of their own." default:"30"`
	Pushed    bool          `help:"Lists are pushed, not asked for."`
	Rate      float64       `help:"Calls a second of clients, over all sidecars." default:"0"`
	Work      time.Duration `help:"Work of an endpoint on a call." default:"0s"`
	CallTime  time.Duration `help:"Time that discovery needs for each call, in turn." default:"0s"`
	MaxWait   time.Duration `help:"Longest wait of a call for its turn; 0 = any." default:"0s"`
	AskEvery  time.Duration `help:"Time between calls for lists in the settings; the module's back-off follows it." default:"10s"`
	Outages   []string      `help:"Ways in which discovery is away, one after another." enum:"refused,503,silent" default:"refused,503,silent"`
	Rest      time.Duration `help:"Time measured before, and after each return." default:"10s"`
	Away      time.Duration `help:"Length of an outage." default:"8s"`
	Killed    float64       `help:"Share of the sidecars that are killed at once and started again; negative = none." default:"0.7"`
}

func (c *fleetCommand) Run(ctx context.Context, o *output) error {
	binary, err := o.binary(ctx)
	if err != nil {
		return err
	}
	outages := []rig.Outage{}
	for _, how := range c.Outages {
		outages = append(outages, rig.Outage(how))
	}
	r, err := rig.Fleet{
		Binary: binary, Sidecars: c.Sidecars, Endpoints: c.Endpoints, Pushed: c.Pushed, Rate: c.Rate, Work: c.Work,
		AskEvery: c.AskEvery, CallTime: c.CallTime, MaxWait: c.MaxWait, Outages: outages, Rest: c.Rest, Away: c.Away, Killed: c.Killed,
	}.Run(ctx)
	if err != nil {
		return err
	}
	return o.print(r, func(w io.Writer) error { return errors.Join(machine(w, r.Machine), fleetTable(w, r)) })
}

func fleetTable(w io.Writer, r rig.FleetResult) error {
	way := "asked for"
	if r.Pushed {
		way = "pushed"
	}
	text := fmt.Sprintf("%d sidecars, %d endpoints, lists are %s.\n\n", r.Sidecars, r.Endpoints, way) +
		"| phase | s | calls seen by discovery a second, peak | calls, refused | bytes a second for each sidecar: in, out | " +
		"processor ms a second: mean, most | MB: mean, most | answered, last after ms | ready ms: median, most | " +
		"clients: served, refused, failed |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
	for _, p := range r.Phases {
		peak := 0
		for _, n := range p.CallsPerSecond {
			peak = max(peak, n)
		}
		each := p.Seconds * float64(r.Sidecars)
		told, ready := "-", "-"
		if p.Told >= 0 {
			told = fmt.Sprintf("%d, %.0f", p.Answered, p.Told)
		} else if strings.HasPrefix(p.Name, "back") {
			told = fmt.Sprintf("%d of %d", p.Answered, r.Sidecars)
		}
		if p.Restarted > 0 {
			ready = fmt.Sprintf("%d: %.0f, %.0f", p.Restarted, p.ReadyP50, p.ReadyMax)
		}
		text += fmt.Sprintf("| %s | %.1f | %.1f, %d | %d, %d | %.1f, %.1f | %.2f, %.2f | %.1f, %.1f | %s | %s | %d, %d, %d |\n",
			p.Name, p.Seconds, float64(p.Control.Calls)/p.Seconds, peak, p.Control.Calls, p.Control.Refused,
			float64(p.Control.Received)/each, float64(p.Control.Wrote)/each, p.CPU, p.CPUMost, p.ResidentMB, p.ResidentMost,
			told, ready, p.Calls.Served, p.Calls.Refused, p.Calls.Failed)
	}
	_, err := io.WriteString(w, text)
	return err
}
