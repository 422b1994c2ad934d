// Command fleetlab runs experiments on a hollow fleet: hundreds or thousands of simulated sidecars with the real decision
// module, in one process and in virtual time.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"

	"forkline/internal/experiment"
	"forkline/internal/fleet"
)

// Exit codes of the program.
const (
	exitDone        = 0
	exitFailed      = 1
	exitBadInput    = 2
	exitInterrupted = 130
)

const description = `Plays experiments on a hollow fleet: many sidecars with the real decision module in one process, in
virtual time. The same file and seed give the same result.

Examples:

  fleetlab example > first.toml
  fleetlab check first.toml
  fleetlab run first.toml
  fleetlab run --seeds 1,2,3 --out results.jsonl --table results.md first.toml second.toml
  fleetlab run --out - first.toml | jq .calls.in_time

Exit codes: 0 done; 1 a run failed or its results could not be written; 2 bad input, and nothing was run; 130
interrupted. Result files are written atomically.`

// options holds the commands and flags; kong derives their names from the names of the fields.
type options struct {
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log on standard error: ${enum}."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"Least level that is logged: ${enum}."`
	Quiet     bool   `short:"q" help:"Log errors only and show no progress."`

	Run struct {
		Files []string `arg:"" name:"file" help:"Experiments, in TOML."`
		Seeds []uint64 `placeholder:"1,2,3" help:"Play each experiment with each of these seeds, not its own."`
		Out   string   `short:"o" placeholder:"FILE" help:"Write results as JSON lines; - is standard output."`
		Table string   `short:"t" placeholder:"FILE" help:"Write results as Markdown tables; - is standard output, and the default without --out."`
	} `cmd:"" help:"Play experiments."`
	Check struct {
		Files []string `arg:"" name:"file" help:"Experiments, in TOML."`
	} `cmd:"" help:"Check experiments and tell their size; play nothing."`
	Example struct{} `cmd:"" help:"Print a valid experiment that explains every key and names its default."`
	Version struct{} `cmd:"" help:"Print the version."`
}

// app is the program with its dependencies.
type app struct {
	stdout, stderr io.Writer
	terminal       bool // standard error is a terminal
	runExperiment  func(context.Context, *experiment.Experiment, experiment.Progress) (*experiment.Result, error)
	estimateMemory func(*experiment.Experiment) int64 // memory that a run needs, in bytes
	totalMemory    func() int64                       // memory of the machine in bytes, 0 if unknown
	version        string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // restores the default handling: a second signal kills the program
	a := app{stdout: os.Stdout, stderr: os.Stderr, terminal: isatty.IsTerminal(os.Stderr.Fd()), runExperiment: fleet.Run,
		estimateMemory: fleet.Estimate, totalMemory: totalMemory, version: version()}
	os.Exit(a.main(ctx, os.Args[1:]))
}

// main runs one command line and returns its exit code.
func (a *app) main(ctx context.Context, args []string) int {
	con := &console{out: a.stderr}
	if len(args) > 0 && args[0] == "help" {
		args = append(args[1:len(args):len(args)], "--help")
	}
	var opt options
	exited := false
	parser, err := kong.New(&opt, kong.Name("fleetlab"), kong.Description(description), kong.Writers(a.stdout, a.stderr),
		kong.Exit(func(int) { exited = true }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the tags of options are invalid
	}
	cmd, err := parser.Parse(args)
	if exited { // by --help, which has printed the help
		return exitDone
	}
	if err != nil {
		fmt.Fprintln(con, "fleetlab:", oneLine(err)+"; see fleetlab --help")
		return exitBadInput
	}
	log := opt.logger(con)
	switch cmd.Command() {
	case "run <file>":
		err = a.run(ctx, &opt, con, log)
	case "check <file>":
		err = a.check(&opt)
	case "example":
		_, err = io.WriteString(a.stdout, experiment.Example)
	case "version":
		_, err = fmt.Fprintln(a.stdout, "fleetlab", a.version)
	}
	if err == nil {
		return exitDone
	}
	var bad *experiment.Error
	switch {
	case opt.LogFormat == "json":
		log.Error(oneLine(err))
	case errors.As(err, &bad): // begins with file and line, the format that editors recognize
		fmt.Fprintln(con, oneLine(err))
	default:
		fmt.Fprintln(con, "fleetlab:", oneLine(err))
	}
	switch {
	case errors.Is(err, context.Canceled):
		return exitInterrupted
	case errors.As(err, &bad) || errors.Is(err, errBadInput):
		return exitBadInput
	}
	return exitFailed
}

// errBadInput marks errors in the user's input, except those in experiment files.
var errBadInput = errors.New("bad input")

// badInputf returns an error that matches errBadInput.
func badInputf(format string, args ...any) error {
	return inputError{fmt.Errorf(format, args...)}
}

type inputError struct{ error }

func (inputError) Is(target error) bool { return target == errBadInput }

// oneLine returns the text of err with control characters replaced by spaces.
func oneLine(err error) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, strings.TrimSpace(err.Error()))
}

// logger returns a logger with the configured format and level.
func (o *options) logger(w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.LogLevel)); err != nil || o.Quiet {
		level = slog.LevelError
	}
	handlerOptions := &slog.HandlerOptions{Level: level}
	if o.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, handlerOptions))
	}
	return slog.New(slog.NewTextHandler(w, handlerOptions))
}

// version returns the revision of the program and the Go release that built it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return formatVersion(info)
}

func formatVersion(info *debug.BuildInfo) string {
	revision, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), 12)]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "-dirty"
		}
	}
	return revision + dirty + " " + info.GoVersion
}

// totalMemory returns the memory of the machine in bytes, or 0 if it is unknown.
func totalMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
