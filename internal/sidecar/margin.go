package sidecar

import (
	"sync"
	"time"

	"forkline/internal/deadline"
)

// margin guards the sidecar's deadline.Margin, which is shared by the loop and the goroutines of client connections.
type margin struct {
	loop     *loop // provides the clock
	mu       sync.Mutex
	estimate deadline.Margin
}

// observe records the delay of something that was scheduled at the given time and happens now.
func (m *margin) observe(phase deadline.Phase, scheduledAt float64) {
	now := m.loop.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.estimate.Observe(phase, now, now-scheduledAt)
}

// observeResponse records the delay from the decision on a response to its first byte. Later delays are excluded,
// because a client that reads slowly does not indicate CPU contention.
func (m *margin) observeResponse(decidedAt time.Time) {
	m.observe(deadline.Response, m.loop.clockMS(decidedAt))
}

// reserve returns how many of the client's remaining ms to hold back.
func (m *margin) reserve(remaining float64) float64 {
	now := m.loop.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.estimate.Reserve(remaining, now)
}
