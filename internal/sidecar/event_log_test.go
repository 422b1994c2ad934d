package sidecar

import (
	"bytes"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Events must be logged by kind and reason with a request ID, in at most one line per interval however many there are, and
// none may be left out.
func TestEventsAreLoggedByReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		l := newEventLog(slog.New(slog.NewTextHandler(&text, nil)))
		for range 1000 {
			l.count(eventRefuse, reasonIDsFull, strings.Repeat("x", 2*maxLoggedID))
			l.count(eventClose, reasonEvictedSlow, "")
		}
		time.Sleep(eventLogInterval)
		synctest.Wait()
		want := []string{`"close: evicted as slow"=1000`, `"refuse: recent IDs full"="1000 id=` + strings.Repeat("x", maxLoggedID) + `"`}
		for _, part := range want {
			if !strings.Contains(text.String(), part) {
				t.Errorf("log %q, want %q", text.String(), part)
			}
		}
		l.count(eventRetry, reasonAfter(2), "a")
		l.flush() // as at the end of the process
		time.Sleep(2 * eventLogInterval)
		synctest.Wait()
		if lines := strings.Count(text.String(), "\n"); lines != 2 || !strings.Contains(text.String(), `"retry: after rejected"="1 id=a"`) {
			t.Errorf("%d lines, want 2, the last with the retry:\n%s", lines, text.String())
		}
	})
}

// stalledWriter is a log that nobody reads until it is released.
type stalledWriter struct{ release chan struct{} }

func (w stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// While nobody reads the log, events must still be counted without waiting, and must not pile up goroutines.
func TestStalledLogDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := stalledWriter{make(chan struct{})}
		l := newEventLog(slog.New(slog.NewTextHandler(stalled, nil)))
		before := runtime.NumGoroutine()
		for range 100 {
			l.count(eventClose, reasonIdleTimeout, "")
			time.Sleep(eventLogInterval)
			synctest.Wait()
		}
		if extra := runtime.NumGoroutine() - before; extra > 1 {
			t.Errorf("%d goroutines wait for the log", extra)
		}
		close(stalled.release)
	})
}
