// Command standin-2 runs the cases of the second review. Each case starts one real sidecar and the stand-ins around it on
// loopback: discovery, endpoints and clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// bed is what every case runs on.
type bed struct {
	rec       *record
	dir       string
	trouble   bool
	discovery *discovery
	endpoints *endpoints
	sidecar   *sidecarProcess
}

// start starts n endpoints and a sidecar that follows their list.
func (b *bed) start(n, memoryMB, sockets int, settings map[string]any) error {
	for i := range n {
		t, err := b.endpoints.add(fmt.Sprintf("s-%d", i), 3+i/3)
		if err != nil {
			return err
		}
		b.discovery.add(t)
	}
	var err error
	if b.sidecar, err = startSidecar(b.rec, b.dir, b.discovery.addr(), b.discovery.list(), memoryMB, sockets, settings); err != nil {
		return err
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, ok := b.discovery.told(); ok {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the sidecar did not ask discovery within 10 s")
		}
	}
}

// keepLog appends the sidecar's log to the record.
func (b *bed) keepLog() {
	text, err := os.ReadFile(filepath.Join(b.dir, "sidecar.log"))
	if err == nil {
		fmt.Fprintf(b.rec.file, "the sidecar's log:\n%s", text)
	}
}

var cases = map[string]func(b *bed) (broken bool, err error){
	"silent-watch": silentWatch,
	"ready-body":   readyBody,
	"no-length":    noLength,
	"slow-request": slowRequest,
	"slow-peers":   slowPeers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	broken, err := run(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run(name, folder string) (broken bool, err error) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer rec.file.Close()
	dir, err := os.MkdirTemp("", "forkline-review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	b := &bed{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", endpoints: &endpoints{rec: rec, handle: answerAfter(20 * time.Millisecond)}}
	if b.discovery, err = newDiscovery(rec); err != nil {
		return false, err
	}
	defer func() {
		if b.sidecar != nil {
			b.keepLog()
			b.sidecar.stop()
		}
		b.discovery.close()
		b.endpoints.close()
	}()
	limit := time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "standin-2: the case took too long")
		if b.sidecar != nil {
			b.sidecar.cmd.Process.Kill()
		}
		os.Exit(2)
	})
	defer limit.Stop()
	broken, err = cases[name](b)
	if err == nil && !b.sidecar.running() {
		err = fmt.Errorf("%w: the sidecar ended early", errCannotRun)
	}
	if err != nil {
		rec.add("%v", err)
		return false, err
	}
	if broken {
		rec.say("result: the rule was broken")
	} else {
		rec.say("result: the rule held")
	}
	return broken, nil
}
