package sidecar

import (
	"bytes"
	"log/slog"
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
