// Command knownred runs a 'go test' command and tolerates failures only of the tests that KNOWN-RED.txt lists. Each
// listed test runs by itself and must fail. The list is read from the working directory; without it every test must pass.
//
//	go run ./internal/knownred go test -race ./...
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const (
	listName   = "KNOWN-RED.txt"
	maxEntries = 3
)

func main() {
	if err := run(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// entry is one line of the list.
type entry struct {
	pkg, test string // import path; name as 'go test' prints it, so a subtest is "TestParent/subtest"
	line      string // whole line, for messages
}

var entryPattern = regexp.MustCompile(`^([^\s:]+?)\.((?:Test|Fuzz|Example)[\pL\d_]*(?:/\S+)?): (\S.*); issue [1-9]\d*$`)

// parse parses a list, whose lines have the form 'import/path.TestName: cause; issue 8'. It rejects a list with more
// than maxEntries entries, and one that names a test twice or names both a test and one of its subtests.
func parse(text string) ([]entry, error) {
	var known []entry
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		parts := entryPattern.FindStringSubmatch(line)
		if parts == nil {
			return nil, fmt.Errorf("%s:%d: want 'import/path.TestName: cause; issue 8', not %q", listName, len(known)+1, line)
		}
		e := entry{pkg: parts[1], test: parts[2], line: line}
		for _, other := range known {
			if other.pkg == e.pkg && (strings.HasPrefix(other.test+"/", e.test+"/") || strings.HasPrefix(e.test+"/", other.test+"/")) {
				return nil, fmt.Errorf("%s:%d: %s.%s is listed twice", listName, len(known)+1, e.pkg, e.test)
			}
		}
		known = append(known, e)
	}
	if len(known) > maxEntries {
		return nil, fmt.Errorf("%s lists %d tests, at most %d may be red", listName, len(known), maxEntries)
	}
	return known, nil
}

// pattern returns the argument of go test's -run and -skip that matches only this test. It has one regular expression
// for each level of subtests.
func (e entry) pattern() string {
	levels := strings.Split(e.test, "/")
	for i, level := range levels {
		levels[i] = "^" + regexp.QuoteMeta(level) + "$"
	}
	return strings.Join(levels, "/")
}

// run executes the command 'go test [-flag[=value]]... package...'. Listed tests run first, each by itself, then their
// packages without them, then all other packages, so that the output ends with go test's results for the packages.
func run(command []string, stdout, stderr io.Writer) error {
	flags, packages, err := splitCommand(command)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(listName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read the list: %w", err)
	}
	known, err := parse(string(text))
	if err != nil {
		return err
	}
	if len(known) == 0 {
		return goTest(stdout, stderr, flags, packages...)
	}
	names, err := exec.Command("go", append([]string{"list"}, packages...)...).Output()
	if err != nil {
		return fmt.Errorf("list the packages: %w", err)
	}
	others := strings.Fields(string(names))
	skip := map[string][]string{}
	var failures []error
	for _, e := range known {
		if i := slices.Index(others, e.pkg); i >= 0 {
			others = slices.Delete(others, i, i+1)
		} else if skip[e.pkg] == nil {
			failures = append(failures, fmt.Errorf("no such package: %s", e.line))
			continue
		}
		skip[e.pkg] = append(skip[e.pkg], e.pattern())
		if err := expectFailure(e, flags, stderr); err != nil {
			failures = append(failures, fmt.Errorf("%w: %s", err, e.line))
			continue
		}
		fmt.Fprintln(stdout, "known red:", e.line)
	}
	for _, pkg := range slices.Sorted(maps.Keys(skip)) {
		failures = append(failures, goTest(stdout, stderr, append(flags, "-skip="+strings.Join(skip[pkg], "|")), pkg))
	}
	if len(others) > 0 {
		failures = append(failures, goTest(stdout, stderr, flags, others...))
	}
	return errors.Join(failures...)
}

// splitCommand splits a test command into its flags and packages. It rejects flags that select tests or change the
// form of the output, as this program sets those itself.
func splitCommand(command []string) (flags, packages []string, err error) {
	if len(command) < 3 || command[0] != "go" || command[1] != "test" {
		return nil, nil, fmt.Errorf("want 'go test [-flag[=value]]... package...', not %q", command)
	}
	command = command[2:]
	first := slices.IndexFunc(command, func(arg string) bool { return !strings.HasPrefix(arg, "-") })
	if first < 0 {
		return nil, nil, errors.New("the test command names no packages")
	}
	flags, packages = slices.Clip(command[:first]), command[first:]
	for _, arg := range command {
		name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if strings.HasPrefix(arg, "-") && slices.Contains([]string{"run", "skip", "json", "list", "short", "c"}, name) {
			return nil, nil, fmt.Errorf("the test command may not have %s: it has to run all tests", arg)
		}
	}
	return flags, packages, nil
}

// goTest runs 'go test' and passes its output on.
func goTest(stdout, stderr io.Writer, flags []string, packages ...string) error {
	cmd := exec.Command("go", slices.Concat([]string{"test"}, flags, packages)...)
	cmd.Stdout, cmd.Stderr = stdout, stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("%s: %w", strings.Join(cmd.Args, " "), err)
	}
	return nil
}

// expectFailure runs one listed test by itself and returns an error unless that test fails.
func expectFailure(e entry, flags []string, stderr io.Writer) error {
	cmd := exec.Command("go", slices.Concat([]string{"test"}, flags, []string{"-json", "-run=" + e.pattern(), e.pkg})...)
	cmd.Stderr = stderr
	out, runErr := cmd.Output()
	if exit := (*exec.ExitError)(nil); runErr != nil && !errors.As(runErr, &exit) {
		return fmt.Errorf("go test: %w", runErr)
	}
	return checkResult(bytes.NewReader(out), e, runErr != nil)
}

// checkResult reads the events of 'go test -json', which 'go doc test2json' describes, and returns an error unless they
// show that the test failed. commandFailed is whether go test itself exited with an error.
func checkResult(events io.Reader, e entry, commandFailed bool) error {
	lastAction := ""
	for dec := json.NewDecoder(events); ; {
		var event struct{ Action, Test, FailedBuild string }
		if err := dec.Decode(&event); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return fmt.Errorf("read go test's events: %w", err)
		}
		switch {
		case event.FailedBuild != "":
			return errors.New("the package of a listed test does not build")
		case event.Test == e.test && slices.Contains([]string{"run", "pass", "fail", "skip"}, event.Action):
			lastAction = event.Action
		}
	}
	switch {
	case lastAction == "":
		return errors.New("a listed test does not exist, or does not run by itself")
	case lastAction == "pass":
		return errors.New("a listed test passes: take it off the list")
	case lastAction == "skip":
		return errors.New("a listed test is skipped: it has to run and fail")
	case !commandFailed:
		return errors.New("a listed test ended with no verdict, but go test passed")
	}
	return nil // the test failed, or started and never ended because it hung or crashed the process
}
