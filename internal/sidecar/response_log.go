package sidecar

import (
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// responseLogInterval is the least time between two lines, as an endpoint in trouble may spoil every response.
const responseLogInterval = time.Second

// responseLog logs responses that the protocol does not define, so that an operator can find the endpoint that sends
// them. Several goroutines may use it.
type responseLog struct {
	logger  *slog.Logger
	limiter *rate.Limiter
	omitted atomic.Int64 // responses since the last line that got no line of their own
}

func newResponseLog(logger *slog.Logger) *responseLog {
	return &responseLog{logger: logger, limiter: rate.NewLimiter(rate.Every(responseLogInterval), 1)}
}

// report logs the response to the request with the given ID, unless another one was logged within the interval.
func (l *responseLog) report(addr, id string, err *responseError) {
	if !l.limiter.Allow() {
		l.omitted.Add(1)
		return
	}
	l.logger.Warn("invalid response", "addr", addr, "id", id, "err", err, "omitted", l.omitted.Swap(0))
}
