package sidecar

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxReadAhead        = maxHeadBytes + maxBodyBytes // of the input behind an open request: one request of the largest size
	unreservedReadAhead = 1 << 10                     // bytes of the first buffer, which needs no reservation
	minRead             = 256                         // space below which the buffer grows
	arrivalResolution   = 10 * time.Millisecond       // bytes that arrive within it count as having arrived together
	minWindow           = 4 << 10                     // no receive buffer is assumed to be full with fewer bytes
	windowUpdateTime    = 25 * time.Millisecond       // a round trip: from reading a full buffer to the arrival of what follows
)

// clientInput is the input of a client's connection. While a request is open, it reads ahead, because the end of the stream is
// visible only behind all bytes that the client has sent before: as long as the kernel's receive buffer is full, a client's close
// does not even reach this machine. It also remembers when bytes arrived, as the time of a pipelined request counts from its last
// byte and not from the end of the request before it.
//
// Only the connection's goroutine reads. Other goroutines may call lastProgress and mayHideEnd.
type clientInput struct {
	conn   net.Conn
	budget *memoryBudget // bounds the buffers of all connections
	// resume is called when a read is interrupted. It reports whether to continue, as bytes have arrived.
	resume func() bool

	ahead       []byte       // bytes that were read ahead
	arrivals    []arrival    // when they arrived; the sum of their bytes is len(ahead)
	aheadErr    error        // what ended the stream
	reserved    *reservation // of the buffer
	deliveredAt time.Time    // arrival of the bytes that the last Read returned
	progressAt  atomic.Int64 // Unix time in ns of the last arrival
	full        atomic.Bool  // no more can be read ahead
}

// arrival is a number of bytes that arrived together.
type arrival struct {
	bytes int
	at    time.Time
}

func newClientInput(c net.Conn, budget *memoryBudget, resume func() bool) *clientInput {
	in := &clientInput{conn: c, budget: budget, resume: resume}
	in.progressAt.Store(time.Now().UnixNano())
	return in
}

// lastProgress returns when bytes last arrived, or when the connection was accepted.
func (in *clientInput) lastProgress() time.Time { return time.Unix(0, in.progressAt.Load()) }

// Read returns bytes that were read ahead, which all have arrived together, or else reads from the connection.
func (in *clientInput) Read(p []byte) (int, error) {
	if len(in.ahead) > 0 {
		in.deliveredAt = in.arrivals[0].at
		n := copy(p, in.ahead[:in.arrivals[0].bytes])
		in.consume(n)
		return n, nil
	}
	if in.aheadErr != nil {
		return 0, in.aheadErr
	}
	n, err := in.conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && in.resume() {
		n, err = in.conn.Read(p)
	}
	if n > 0 {
		in.deliveredAt = time.Now()
		in.progressAt.Store(in.deliveredAt.UnixNano())
	}
	return n, err
}

// consume removes the first n bytes of what was read ahead.
func (in *clientInput) consume(n int) {
	in.full.Store(false)
	in.ahead = in.ahead[n:]
	if in.arrivals[0].bytes -= n; in.arrivals[0].bytes == 0 {
		in.arrivals = in.arrivals[1:]
	}
	if len(in.ahead) == 0 {
		in.dropAhead()
	}
}

// dropAhead discards what was read ahead and returns its memory.
func (in *clientInput) dropAhead() {
	in.ahead, in.arrivals = nil, nil
	in.reserved.release()
}

// errReadAheadFull reports that no more input can be read ahead.
var errReadAheadFull = errors.New("no more input can be read ahead")

// readAhead waits for more input and reads it. It returns an error at the end of the stream, when the read deadline passes, or if
// no more can be read ahead.
func (in *clientInput) readAhead() error {
	if in.aheadErr != nil {
		return in.aheadErr
	}
	if err := in.awaitBytes(); err != nil {
		return err
	}
	if !in.growAhead() {
		in.full.Store(true)
		return errReadAheadFull
	}
	n, err := in.conn.Read(in.ahead[len(in.ahead):cap(in.ahead)])
	in.ahead = in.ahead[:len(in.ahead)+n]
	in.recordArrival(n)
	return in.keepEnd(err)
}

// awaitBytes waits until there are bytes to read. It needs no buffer, unlike a read.
func (in *clientInput) awaitBytes() error {
	switch n, err := awaitReadable(in.conn); {
	case errors.Is(err, errors.ErrUnsupported):
		return nil // the read waits
	case err != nil:
		return in.keepEnd(err)
	case n == 0:
		return in.keepEnd(io.EOF)
	}
	return nil
}

// keepEnd remembers an error that ends the stream, and returns it.
func (in *clientInput) keepEnd(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		in.aheadErr = err
	}
	return err
}

func (in *clientInput) recordArrival(n int) {
	if n == 0 {
		return
	}
	now := time.Now()
	in.progressAt.Store(now.UnixNano())
	if last := len(in.arrivals) - 1; last >= 0 && now.Sub(in.arrivals[last].at) < arrivalResolution {
		in.arrivals[last].bytes += n
		return
	}
	in.arrivals = append(in.arrivals, arrival{n, now})
}

// growAhead makes space for more bytes and reports whether there is some.
func (in *clientInput) growAhead() bool {
	if cap(in.ahead)-len(in.ahead) >= minRead {
		return true
	}
	capacity := max(unreservedReadAhead, min(2*len(in.ahead), maxReadAhead))
	if capacity-len(in.ahead) < minRead {
		return false
	}
	var reserved *reservation
	if capacity > unreservedReadAhead {
		var ok bool
		if reserved, ok = in.budget.tryReserve(int64(capacity)); !ok {
			return false
		}
	}
	in.ahead = append(make([]byte, 0, capacity), in.ahead...)
	in.reserved.release()
	in.reserved = reserved
	return true
}

// readAheadArrived reads ahead what has arrived, and what could not arrive because the kernel's receive buffer was full. It returns
// an error at the end of the stream, or if no more can be read ahead. The connection must have no read deadline.
func (in *clientInput) readAheadArrived() error {
	before := len(in.ahead)
	for {
		_, err := peek(in.conn)
		if errors.Is(err, errors.ErrUnsupported) {
			return in.aheadErr
		}
		if errors.Is(err, syscall.EAGAIN) && (len(in.ahead)-before < minWindow || !in.awaitWindowUpdate()) {
			return in.aheadErr
		}
		if err := in.readAhead(); err != nil {
			return err
		}
	}
}

// awaitWindowUpdate waits for a short time and reports whether there is something to read, be it the end of the stream.
func (in *clientInput) awaitWindowUpdate() bool {
	in.conn.SetReadDeadline(time.Now().Add(windowUpdateTime))
	defer in.conn.SetReadDeadline(time.Time{})
	_, err := awaitReadable(in.conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// mayHideEnd reports whether the client may have closed the connection without any sign of it on this machine: there is more
// unread input than can be read ahead. Any goroutine may call it.
func (in *clientInput) mayHideEnd() bool {
	if !in.full.Load() {
		return false
	}
	n, err := peek(in.conn)
	return err == nil && n > 0
}
