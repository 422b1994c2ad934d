package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A budget must grant reservations in the order in which they were requested, also a large one before small ones that would fit,
// and must never exceed its limit.
func TestMemoryBudgetGrantsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMemoryBudget(1, 0) // the smallest
		first, _ := b.reserve(t.Context(), b.limit-10)
		granted := make(chan int64, 10)
		for _, bytes := range []int64{20, 5, 5} {
			go func() {
				if _, err := b.reserve(t.Context(), bytes); err == nil {
					granted <- bytes
				}
			}()
			synctest.Wait()
		}
		if len(granted) > 0 {
			t.Errorf("%d bytes were granted ahead of a reservation that waits", <-granted)
		}
		first.shrink(b.limit - 20)
		synctest.Wait()
		first.release()
		first.release()
		synctest.Wait()
		if order := []int64{<-granted, <-granted, <-granted}; order[0] != 20 || b.used != 30 || b.peak > b.limit {
			t.Errorf("granted %v, %d bytes used, peak %d of %d", order, b.used, b.peak, b.limit)
		}
	})
}

// A reservation whose wait ends must get an error that names the figures, must count as a timeout and must not keep others waiting.
func TestMemoryBudgetWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMemoryBudget(1, 0)
		b.reserve(t.Context(), b.limit-10)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		behind := make(chan error, 1)
		go func() {
			synctest.Wait() // until the large reservation waits
			_, err := b.reserve(t.Context(), 10)
			behind <- err
		}()
		_, err := b.reserve(ctx, 20)
		noMemory := (*MemoryBudgetError)(nil)
		if !errors.As(err, &noMemory) || noMemory.Requested != 20 || noMemory.Limit != b.limit || !errors.Is(err, os.ErrDeadlineExceeded) || isMalformed(err) {
			t.Errorf("error %v, want one of the wait that names 20 and %d bytes", err, b.limit)
		}
		if err := <-behind; err != nil {
			t.Error(err)
		}
	})
}

// The first in line must have others evicted, and no one else: the rest wait for what the first one gets evicted.
func TestMemoryBudgetEvictsForFirstInLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMemoryBudget(1, 0)
		held, _ := b.reserve(t.Context(), b.limit)
		evictedBy := make(chan int64, 100)
		for bytes := range int64(3) {
			go b.reserveEvicting(t.Context(), bytes+1, time.Second, func(int) { evictedBy <- bytes })
			synctest.Wait()
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for len(evictedBy) > 0 {
			if bytes := <-evictedBy; bytes != 0 {
				t.Errorf("reservation %d has others evicted while it is not the first", bytes)
			}
		}
		held.release()
	})
}

// expectMemoryReturned waits until nothing is reserved.
func expectMemoryReturned(t *testing.T, s *Sidecar) {
	t.Helper()
	cs := s.front.downstream
	for name, b := range map[string]*memoryBudget{
		"requests": cs.requestMemory, "input": cs.inputMemory, "responses": s.loop.upstream.responseMemory,
	} {
		eventually(t, "the memory of "+name, func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.used == 0 && b.waiters.Len() == 0
		})
	}
}

// Guards against a process that refuses everything after some time: however a request ends, its memory must be returned.
func TestMemoryIsReturnedHoweverRequestsEnd(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
	large := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	pay := fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	manyFields := strings.Repeat("X-A: a\r\n", 2*unreservedFields)
	for name, c := range map[string]struct {
		request  string // all that the client sends
		response string // of the endpoint; "" = none
		leave    bool   // the client leaves without reading
	}{
		"served":            {pay, large, false},
		"served, left":      {pay, large, true},
		"not answered":      {pay, "", true},
		"cut response":      {pay, large[:len(large)-1], false},
		"no length":         {pay, "HTTP/1.1 200 OK\r\n\r\n" + body, false},
		"no length, left":   {pay, "HTTP/1.1 200 OK\r\n\r\n" + body, true},
		"no length, long":   {pay, "HTTP/1.1 200 OK\r\n\r\n" + body + "x", false},
		"many fields":       {strings.Replace(pay, "Host: b\r\n", "Host: b\r\n"+manyFields, 1), large, false},
		"no such class":     {strings.ReplaceAll(pay, "pay", "none") + manyFields, large, false},
		"half a request":    {pay[:len(pay)/2], large, true},
		"pipelined, closed": {pay + pay + pay, large, true},
		"chunked, broken":   {"POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", large, false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(t, startServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.response)
				return false
			}).Addr().String())
			cfg.Site.Settings.Limits.MaxAttempts = 1
			s := startSidecar(t, cfg)
			for range 5 {
				conn := dial(t, s)
				io.WriteString(conn, c.request)
				if c.leave {
					conn.Close()
				} else {
					conn.readResponse(t)
					conn.Close()
				}
			}
			expectMemoryReturned(t, s)
		})
	}
}

// A response without a length must reserve the memory of the largest one before its body is read, and must keep no more than it takes.
func TestResponseWithoutLengthReservesMemory(t *testing.T) {
	for name, body := range map[string]string{"short": "hi", "of the largest size": strings.Repeat("x", maxBodyBytes)} {
		t.Run(name, func(t *testing.T) {
			b := newMemoryBudget(1, 0)
			memory := &messageMemory{reserve: func(bytes int64) (*reservation, error) { return b.reserve(t.Context(), bytes) }}
			_, _, got, err := readFinalResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"+body)), memory)
			if err != nil || string(got) != body {
				t.Fatalf("%d bytes and error %v", len(got), err)
			}
			if b.peak < maxBodyBytes {
				t.Errorf("at most %d bytes were reserved", b.peak)
			}
			if b.used < int64(cap(got)) || b.used > int64(cap(got)+unreservedBytes) {
				t.Errorf("%d bytes are reserved for a body in a buffer of %d", b.used, cap(got))
			}
			memory.held.release()
			if b.used != 0 {
				t.Errorf("%d bytes are reserved at the end", b.used)
			}
		})
	}
}

// Guards against memory that one kind of client takes from all others: while requests that have stopped half-way hold all of it, a
// large request that is complete must get its share at once, and the stopped ones must be refused.
func TestStoppedLargeRequestsGiveWay(t *testing.T) {
	s, _ := startWithRecordingServer(t, func(s *Sidecar) {
		s.front.downstream.requestMemory.resize(1, 0)
		s.front.requestTimeout = time.Hour // so that only an eviction ends them
	})
	half := fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nContent-Length: %d\r\n\r\n%s",
		maxBodyBytes, strings.Repeat("x", maxBodyBytes/2))
	stopped := make([]*client, 20)
	for i := range stopped {
		stopped[i] = dial(t, s)
		io.WriteString(stopped[i], half)
	}
	eventually(t, "requests that wait for memory", func() bool {
		s.front.downstream.requestMemory.mu.Lock()
		defer s.front.downstream.requestMemory.mu.Unlock()
		return s.front.downstream.requestMemory.waiters.Len() > 0
	})
	c := dial(t, s)
	c.id = "whole"
	c.send("POST", "pay", strings.Repeat("y", maxBodyBytes))
	if status := c.readStatus(t); status != 200 {
		t.Errorf("status %d", status)
	}
	refused := 0
	for _, c := range stopped {
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // those that were not in the way stay open
		if res, err := http.ReadResponse(c.reader, nil); err == nil && res.StatusCode == statusRefused {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no stopped request was refused")
	}
}

// Guards against a request that is lost by an eviction: one that becomes complete just as it is evicted must be answered.
func TestRequestThatCompletesDuringEvictionIsServed(t *testing.T) {
	s, _ := startWithRecordingServer(t, nil)
	cs := s.front.downstream
	cs.stallTime = 0
	c := dial(t, s)
	sendFirstHalf(t, s, c)
	cs.mu.Lock() // the connection's goroutine cannot withdraw the eviction before the rest has arrived
	var evicted *downstreamConn
	for evicted == nil {
		evicted = cs.slowest(func(*downstreamConn) bool { return true })
	}
	progress := evicted.input.lastProgress()
	cs.evictSlow(evicted)
	io.WriteString(c, requestSecondHalf)
	for !evicted.hasUnread() && evicted.input.lastProgress().Equal(progress) { // it may be read before the eviction interrupts the read
		time.Sleep(time.Millisecond)
	}
	cs.mu.Unlock()
	if status := c.readStatus(t); status != 200 {
		t.Errorf("status %d", status)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.closing != 0 {
		t.Errorf("%d connections count as closing", cs.closing)
	}
}
