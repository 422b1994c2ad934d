// Command fleetlab plays experiments on a hollow fleet: hundreds or thousands of sidecars with the real decision
// module in one process, in virtual time.
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

// The exit codes.
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
interrupted. Result files appear whole or not at all.`

// options are the command line.
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

// lab is the command with what it stands on.
type lab struct {
	stdout, stderr io.Writer
	terminal       bool // standard error is one
	play           func(context.Context, *experiment.Experiment, experiment.Progress) (*experiment.Result, error)
	estimate       func(*experiment.Experiment) int64 // bytes that a run needs
	memory         func() int64                       // bytes that the machine has
	version        string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the program at once
	l := lab{stdout: os.Stdout, stderr: os.Stderr, terminal: isatty.IsTerminal(os.Stderr.Fd()), play: fleet.Run,
		estimate: fleet.Estimate, memory: memory, version: version()}
	os.Exit(l.main(ctx, os.Args[1:]))
}

// main runs one command line and returns its exit code.
func (l *lab) main(ctx context.Context, args []string) int {
	con := &console{out: l.stderr}
	if len(args) > 0 && args[0] == "help" {
		args = append(args[1:len(args):len(args)], "--help")
	}
	var opt options
	exited := false
	parser, err := kong.New(&opt, kong.Name("fleetlab"), kong.Description(description), kong.Writers(l.stdout, l.stderr),
		kong.Exit(func(int) { exited = true }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the struct above is at fault
	}
	cmd, err := parser.Parse(args)
	if exited { // by --help, which has printed
		return exitDone
	}
	if err != nil {
		fmt.Fprintln(con, "fleetlab:", oneLine(err)+"; see fleetlab --help")
		return exitBadInput
	}
	log := opt.logger(con)
	switch cmd.Command() {
	case "run <file>":
		err = l.run(ctx, &opt, con, log)
	case "check <file>":
		err = l.check(&opt)
	case "example":
		_, err = io.WriteString(l.stdout, experiment.Example)
	case "version":
		_, err = fmt.Fprintln(l.stdout, "fleetlab", l.version)
	}
	if err == nil {
		return exitDone
	}
	var bad *experiment.Error
	switch {
	case opt.LogFormat == "json":
		log.Error(oneLine(err))
	case errors.As(err, &bad): // begins with file and line, as editors and the like know it
		fmt.Fprintln(con, oneLine(err))
	default:
		fmt.Fprintln(con, "fleetlab:", oneLine(err))
	}
	switch {
	case errors.Is(err, context.Canceled):
		return exitInterrupted
	case errors.As(err, &bad) || errors.Is(err, errInput):
		return exitBadInput
	}
	return exitFailed
}

// errInput marks errors of what the user gave, apart from those in an experiment's file.
var errInput = errors.New("bad input")

// badInput is an error of what the user gave.
func badInput(format string, args ...any) error {
	return inputError{fmt.Errorf(format, args...)}
}

type inputError struct{ error }

func (inputError) Is(target error) bool { return target == errInput }

// oneLine is an error's text without what would break or spoil a line.
func oneLine(err error) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, strings.TrimSpace(err.Error()))
}

// logger is the log that the options ask for.
func (o *options) logger(w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.LogLevel)); err != nil || o.Quiet {
		level = slog.LevelError
	}
	set := &slog.HandlerOptions{Level: level}
	if o.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, set))
	}
	return slog.New(slog.NewTextHandler(w, set))
}

// version names the revision and the Go release that built the program.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return versionOf(info)
}

func versionOf(info *debug.BuildInfo) string {
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

// memory is the machine's, in bytes; 0 if it does not tell.
func memory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
