package sidecar

import (
	"sync"
	"time"

	"forkline/internal/deadline"
)

// margin is the sidecar's deadline.Margin, which the loop and the goroutines of clients' connections share.
type margin struct {
	loop *loop // has the clock
	mu   sync.Mutex
	of   deadline.Margin
}

// measured notes how long ago a thing was to happen that happens now.
func (m *margin) measured(p deadline.Phase, since float64) {
	now := m.loop.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.of.Observe(p, now, now-since)
}

// answers begins to measure an answer that was decided on then. A client that reads it slowly is no delay of the core:
// what counts is the time until the answer's first byte.
func (m *margin) answers(decided time.Time) { m.measured(deadline.Response, m.loop.clock(decided)) }

// hold tells how many ms to hold back of the ms left to a client.
func (m *margin) hold(left float64) float64 {
	now := m.loop.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.of.Reserve(left, now)
}
