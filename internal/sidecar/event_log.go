package sidecar

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"runtime/metrics"
	"slices"
	"sync"
	"time"

	"forkline"
)

// eventLogInterval is the least time between two summaries, since a flood causes events at any rate.
const eventLogInterval = time.Second

// eventKind is what the sidecar did to a connection or a request.
type eventKind string

const (
	eventClose  eventKind = "close"  // of a client's connection
	eventReject eventKind = "reject" // an error response to input that is not a valid request
	eventRefuse eventKind = "refuse" // a final response that states that the request has not run
	eventFail   eventKind = "fail"   // a final response that does not state that
	eventRetry  eventKind = "retry"  // another attempt of a request
	eventDrop   eventKind = "drop"   // the end of a request whose client has left
)

// eventReason is why the sidecar did it.
type eventReason string

const (
	reasonRequestTimeout  eventReason = "request timeout"
	reasonIdleTimeout     eventReason = "idle timeout"
	reasonClientLeft      eventReason = "client left"
	reasonWriteFailed     eventReason = "response not written"
	reasonResponseClosing eventReason = "after last response"
	reasonRejected        eventReason = "invalid request"
	reasonMalformed       eventReason = "malformed"
	reasonTooLarge        eventReason = "too large"
	reasonEvictedIdle     eventReason = "evicted while idle"
	reasonEvictedSlow     eventReason = "evicted as slow"
	reasonNoSlot          eventReason = "no connection slot"
	reasonNoMemory        eventReason = "no memory for the request"
	reasonInputUnread     eventReason = "too much input unread"
	reasonEnded           eventReason = "sidecar ended"
	reasonSameID          eventReason = "ID in use"
	reasonRanBefore       eventReason = "may have run under its ID"
	reasonIDsFull         eventReason = "recent IDs full"
	reasonAborted         eventReason = "shutdown"
	reasonBackstop        eventReason = "deadline passed"
	reasonEffectChanged   eventReason = "settings changed"
	reasonNoAttempt       eventReason = "balancer, no attempt"
)

// outcomeNames are the names of outcomes in the log.
var outcomeNames = [...]string{
	forkline.OK: "ok", forkline.Error: "error", forkline.Rejected: "rejected", forkline.Timeout: "timeout",
	forkline.ConnectFailed: "connect failed", forkline.Reset: "reset", forkline.Cancelled: "cancelled", forkline.NotSent: "not sent",
}

// reasonAfter returns the reason of what follows the given outcome of an attempt.
func reasonAfter(outcome forkline.Outcome) eventReason {
	return eventReason("after " + outcomeNames[outcome])
}

// eventLog counts what the sidecar does to connections and requests, by reason, and logs the counts and one request ID for
// each in a summary. It is the record from which an operator can tell why a client got no answer. Several goroutines may use it.
type eventLog struct {
	logger *slog.Logger
	state  func() []slog.Attr // what to log beside the counts; nil = nothing

	mu     sync.Mutex
	counts map[eventKey]*eventCount
	timer  *time.Timer // of the summary that is pending or being written; nil = none
}

type eventKey struct {
	kind   eventKind
	reason eventReason
}

type eventCount struct {
	count int
	id    string // request ID of the last event that had one
}

func newEventLog(logger *slog.Logger) *eventLog {
	return &eventLog{logger: logger, counts: map[eventKey]*eventCount{}}
}

// count records one event. The ID of its request may be empty.
func (l *eventLog) count(kind eventKind, reason eventReason, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := eventKey{kind, reason}
	if l.counts[key] == nil {
		l.counts[key] = &eventCount{}
	}
	l.counts[key].count++
	l.counts[key].id = cmp.Or(id, l.counts[key].id)
	if l.timer == nil {
		l.timer = time.AfterFunc(eventLogInterval, l.writeSummary)
	}
}

// writeSummary logs the counts and schedules the next summary. Writing a log that nobody reads blocks, so there is never a second one
// meanwhile.
func (l *eventLog) writeSummary() {
	l.flush()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = nil
	if len(l.counts) > 0 {
		l.timer = time.AfterFunc(eventLogInterval, l.writeSummary)
	}
}

// flush logs the counts since the last summary, if there are any.
func (l *eventLog) flush() {
	l.mu.Lock()
	counts := l.counts
	l.counts = map[eventKey]*eventCount{}
	l.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b eventKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.reason, b.reason))
	})
	var attrs []any
	for _, key := range keys {
		value := fmt.Sprint(counts[key].count)
		if id := counts[key].id; id != "" {
			value += " id=" + truncate(id, maxLoggedID)
		}
		attrs = append(attrs, slog.String(string(key.kind)+": "+string(key.reason), value))
	}
	if l.state != nil {
		for _, attr := range l.state() {
			attrs = append(attrs, attr)
		}
	}
	l.logger.Info("events", attrs...)
}

// maxLoggedID is the length in bytes to which request IDs are cut in the log, as clients choose them.
const maxLoggedID = 64

func truncate(s string, length int) string { return s[:min(len(s), length)] }

// runtimeMemory returns the bytes of memory that the Go runtime holds, which a memory limit counts nearly in full.
func runtimeMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
