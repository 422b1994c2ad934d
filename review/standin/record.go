package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of one case: what was sent, answered and run, with the time since the start in seconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	text  *bufio.Writer
	start time.Time
}

// newRecord creates the file at path, or empties it.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, text: bufio.NewWriter(file), start: time.Now()}, nil
}

// add writes one line.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.text, "%9.4f %-12s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add("result", format, args...)
}

// close writes what is buffered and closes the file.
func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.text.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
