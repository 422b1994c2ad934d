// Command standin plays the clients, the endpoints and discovery of one review case against a real sidecar, and checks
// the rule of that case. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	timeLimit = 110 * time.Second // for a whole case; the kernel then ends the sidecar with this process
)

// verdict is the result of a case that ran.
type verdict bool

const (
	held   verdict = false
	broken verdict = true
)

// options are the options of every case.
type options struct {
	root, run string // folder and command of the deploy file
	trouble   bool   // with the disruption
}

// cases maps the name of a case to its function.
var cases = map[string]func(*record, options) (verdict, error){
	"shifted-answer": shiftedAnswer,
	"spoilt-status":  spoiltStatus,
	"second-answer":  secondAnswer,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	var o options
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.StringVar(&o.root, "root", ".", "root of the repository")
	flag.StringVar(&o.run, "run", "exec bin/forkline", "command of the deploy file that runs a sidecar")
	flag.BoolVar(&o.trouble, "trouble", true, "with the disruption")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: no case %q\n", *name)
		return exitNotRun
	}
	log, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer log.close()
	time.AfterFunc(timeLimit, func() {
		log.say("the case did not end within %v", timeLimit)
		log.close()
		os.Exit(exitNotRun)
	})
	result, err := play(log, o)
	switch {
	case err != nil:
		log.say("the case could not run: %v", err)
		return exitNotRun
	case result == broken:
		log.say("the rule was broken")
		return exitBroken
	}
	log.say("the rule held")
	return exitHeld
}
