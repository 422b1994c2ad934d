package sidecar

import (
	"sync"
	"time"

	"forkline/internal/deadline"
)

// margin is the sidecar's deadline.Margin, which the loop and the goroutines of clients' connections share.
type margin struct {
	loop     *loop // has the clock
	mu       sync.Mutex
	estimate deadline.Margin
}

// measured notes how long ago a thing was to happen that happens now.
func (m *margin) observe(phase deadline.Phase, scheduledAt float64) {
	now := m.loop.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.estimate.Observe(phase, now, now-scheduledAt)
}

// answers begins to measure an answer that was decided on then. A client that reads it slowly is no delay of the core:
// what counts is the time until the answer's first byte.
func (m *margin) observeResponse(decidedAt time.Time) {
	m.observe(deadline.Response, m.loop.clockMS(decidedAt))
}

// hold tells how many ms to hold back of the ms left to a client.
func (m *margin) reserve(remaining float64) float64 {
	now := m.loop.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.estimate.Reserve(remaining, now)
}
