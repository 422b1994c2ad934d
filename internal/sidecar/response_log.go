package sidecar

import (
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// responseError reports a response that the protocol does not define. Its request may have run.
type responseError struct {
	status int   // 0 if the response cannot be read
	cause  error // why it cannot be read
}

func (e *responseError) Error() string {
	return e.problem() + "; the request may have run and counts as failed: correct the endpoint or remove it from discovery"
}

func (e *responseError) Unwrap() error { return e.cause }

func (e *responseError) problem() string {
	switch {
	case e.cause != nil:
		return fmt.Sprintf("the response is malformed: %v", e.cause)
	case e.status == http.StatusServiceUnavailable || e.status == http.StatusGatewayTimeout:
		return fmt.Sprintf("status %d comes without one header X-Not-Run: 1", e.status)
	}
	return fmt.Sprintf("status %d is not defined for endpoints", e.status)
}

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
	l.logger.Warn("invalid response", "addr", addr, "id", truncate(id, maxLoggedID), "err", err, "omitted", l.omitted.Swap(0))
}
