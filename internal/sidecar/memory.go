package sidecar

import (
	"container/list"
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

const (
	defaultMemoryMB      = 192      // where the configuration states no limit
	requestMemoryShare   = 1.0 / 8  // of the memory limit, for requests that are being received or answered
	responseMemoryShare  = 1.0 / 16 // for responses that are being received or passed on
	inputMemoryShare     = 1.0 / 16 // for input behind requests that are being answered
	unreservedBytes      = 2 << 10  // what a message may take without a reservation: nearly all messages take less
	unreservedFields     = 32       // header fields of such a message
	headerFieldBytes     = 160      // memory of one parsed header field, beside its text
	minReservableRequest = 2        // messages of the largest size that a budget holds, however small the memory limit is
)

// MemoryBudgetError reports that a message got no memory in time. A request has not run because of it; that of a response may have.
type MemoryBudgetError struct {
	Requested, Used, Limit int64 // bytes
}

func (e *MemoryBudgetError) Error() string {
	return fmt.Sprintf("no memory for a message of %d bytes: %d of %d bytes are taken by other messages; raise limits.memory_mb, "+
		"or have fewer clients send large messages at once", e.Requested, e.Used, e.Limit)
}

// MemoryBudgetError is a net.Error, like that of any other wait that has ended, and no fault of the message.
func (e *MemoryBudgetError) Timeout() bool   { return true }
func (e *MemoryBudgetError) Temporary() bool { return true }

// Is reports that the error counts as os.ErrDeadlineExceeded.
func (e *MemoryBudgetError) Is(target error) bool { return target == os.ErrDeadlineExceeded }

// memoryBudget bounds the bytes that messages in progress take together. Reservations that do not fit wait, in order.
type memoryBudget struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	peak    int64      // largest value of used
	waiters *list.List // of *memoryWaiter, the one that waits longest first
}

type memoryWaiter struct {
	bytes   int64
	granted chan struct{} // closed when the reservation has been made
}

// newMemoryBudget returns a budget of a share of the memory limit.
func newMemoryBudget(memoryMB int, share float64) *memoryBudget {
	b := &memoryBudget{waiters: list.New()}
	b.resize(memoryMB, share)
	return b
}

// resize changes the budget to a share of a new memory limit. What is reserved stays so.
func (b *memoryBudget) resize(memoryMB int, share float64) {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(int64(share*float64(memoryMB)*(1<<20)), minReservableRequest*maxMessageMemory)
	b.grant()
}

// tryReserve reserves bytes and reports whether there was space. It does not overtake those who wait.
func (b *memoryBudget) tryReserve(bytes int64) (*reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiters.Len() > 0 || b.used+bytes > b.limit {
		return nil, false
	}
	return b.take(bytes), true
}

// reserve reserves bytes. It waits for space until the context ends.
func (b *memoryBudget) reserve(ctx context.Context, bytes int64) (*reservation, error) {
	return b.reserveEvicting(ctx, bytes, 0, nil)
}

// reserveEvicting reserves bytes as reserve does. While it waits and is first in line, it calls evict at once and then once an
// interval, with the number of reservations that wait.
func (b *memoryBudget) reserveEvicting(ctx context.Context, bytes int64, interval time.Duration, evict func(waiting int)) (*reservation, error) {
	if r, ok := b.tryReserve(bytes); ok {
		return r, nil
	}
	w, element := b.enqueue(bytes)
	var ticks <-chan time.Time
	if evict != nil {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		if waiting, first := b.position(element); evict != nil && first {
			evict(waiting)
		}
		select {
		case <-w.granted:
			return &reservation{budget: b, bytes: bytes}, nil
		case <-ctx.Done():
			return b.dequeue(w, element)
		case <-ticks:
		}
	}
}

// enqueue adds a reservation to those that wait.
func (b *memoryBudget) enqueue(bytes int64) (*memoryWaiter, *list.Element) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &memoryWaiter{bytes: bytes, granted: make(chan struct{})}
	element := b.waiters.PushBack(w)
	b.grant() // there may be space by now
	return w, element
}

// position returns the number of reservations that wait and whether the given one is the first of them.
func (b *memoryBudget) position(element *list.Element) (waiting int, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiters.Len(), b.waiters.Front() == element
}

// dequeue ends the wait of a reservation, which may have been made just before.
func (b *memoryBudget) dequeue(w *memoryWaiter, element *list.Element) (*reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return &reservation{budget: b, bytes: w.bytes}, nil
	default:
	}
	b.waiters.Remove(element)
	b.grant() // those behind may fit
	return nil, &MemoryBudgetError{Requested: w.bytes, Used: b.used, Limit: b.limit}
}

// take makes a reservation. The caller holds mu and has checked that there is space.
func (b *memoryBudget) take(bytes int64) *reservation {
	b.used += bytes
	b.peak = max(b.peak, b.used)
	return &reservation{budget: b, bytes: bytes}
}

// grant makes the reservations that wait and fit. The caller holds mu.
func (b *memoryBudget) grant() {
	for e := b.waiters.Front(); e != nil; e = b.waiters.Front() {
		w := e.Value.(*memoryWaiter)
		if b.used+w.bytes > b.limit {
			return
		}
		b.take(w.bytes)
		b.waiters.Remove(e)
		close(w.granted)
	}
}

// state returns the use of the budget, for the log.
func (b *memoryBudget) state(name string) slog.Attr {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slog.Group(name, "used", b.used, "peak", b.peak, "limit", b.limit, "waiting", b.waiters.Len())
}

// maxMessageMemory is the memory of a message of the largest size. A buffer that grows takes up to half as much again.
const maxMessageMemory = 2*maxHeadBytes + maxHeaderFields*headerFieldBytes + maxBodyBytes*3/2

// headMemory returns the memory of a parsed head.
func headMemory(textBytes, fields int) int64 { return int64(textBytes + fields*headerFieldBytes) }

// bodyMemory returns the memory of a body with the given value of message.length.
func bodyMemory(length int64) int64 {
	if length == lengthUnspecified || length == lengthChunked {
		return maxBodyBytes * 3 / 2
	}
	return min(length, maxBodyBytes)
}

// messageMemory reserves the memory of one message in one step, so that messages never wait for one another while they hold a
// part. A message that turns out to be large before its length is known takes the largest size until then.
type messageMemory struct {
	reserve func(bytes int64) (*reservation, error) // nil = memory is unlimited
	held    *reservation                            // nil if the message is small
}

// reserveLargest reserves the memory of the largest message, unless some has been reserved.
func (m *messageMemory) reserveLargest() (err error) {
	if m != nil && m.reserve != nil && m.held == nil {
		m.held, err = m.reserve(maxMessageMemory)
	}
	return err
}

// settle reserves the memory that a message with the given head takes.
func (m *messageMemory) settle(head *message) (err error) {
	if m == nil || m.reserve == nil {
		return nil
	}
	bytes := head.memory + bodyMemory(head.length)
	if m.held == nil && bytes > unreservedBytes+unreservedFields*headerFieldBytes {
		m.held, err = m.reserve(bytes)
	}
	m.held.shrink(bytes)
	return err
}

// keep returns all of the memory but the given bytes, which the message takes after it has been read.
func (m *messageMemory) keep(bytes int64) {
	if m != nil {
		m.held.shrink(bytes)
	}
}

// reservation is a part of a memoryBudget. Its owner releases it; nil is the reservation of a message that needs none.
type reservation struct {
	budget *memoryBudget
	bytes  int64 // guarded by budget.mu; 0 = released
}

// shrink returns all but the given bytes to the budget.
func (r *reservation) shrink(bytes int64) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if bytes < r.bytes {
		r.budget.used -= r.bytes - bytes
		r.bytes = bytes
		r.budget.grant()
	}
}

// release returns all bytes to the budget. It may be called more than once.
func (r *reservation) release() { r.shrink(0) }
