package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Tests of the memory of the program in its own process, with many clients at once.

const (
	maxBody       = 64 << 10        // the largest body of the protocol
	badClientTime = 3 * time.Second // the protocol's limit for an answer or a close
	clientShare   = 0.6             // of the descriptors that clients take in these tests
)

// memorySettings are the settings of a tier with a safe class and one that may run once, with deadlines of the usual length.
const memorySettings = `{"balancers":2,"stages":["a"],"zones":["z"],"membershipMode":"on_request",
	"limits":{"maxAttempts":3,"cancel":true,"connectTimeout":250,"connIdle":10000,"retryAfter":true},
	"safety":{"answerSlack":20,"drainGrace":500,"askEvery":5000},
	"classes":[{"name":"read","aim":2500,"giveUp":6000,"effect":"read_like"},
		{"name":"pay","aim":2500,"giveUp":6000,"effect":"non_idempotent"}]}`

// headOf returns the head of a request of the given class, up to its last field.
func headOf(class, id string) string {
	method := "GET"
	if class == "pay" {
		method = "POST"
	}
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: b\r\nX-Class: %s\r\nX-Request-Id: %s\r\nX-Deadline: 3\r\n", method, class, class, id)
}

// shortFields returns header fields of five to eight bytes each, as many as a head of the given size holds.
func shortFields(size int) string {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// memoryClients are the ways in which a client uses one connection, until the sidecar closes it.
var memoryClients = map[string]func(c net.Conn, id string){
	"idle": func(c net.Conn, _ string) {},
	"stops in a large body": func(c net.Conn, id string) {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", headOf("pay", id), maxBody, strings.Repeat("x", maxBody-500))
	},
	"stops in a chunked body": func(c net.Conn, id string) {
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\nfe00\r\n%s", headOf("pay", id), strings.Repeat("x", maxBody-600))
	},
	"writes slowly": func(c net.Conn, id string) {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", headOf("pay", id), maxBody, strings.Repeat("x", maxBody-6000))
		go func() {
			for range 60 {
				time.Sleep(50 * time.Millisecond) // the pace of the client
				if _, err := io.WriteString(c, strings.Repeat("x", 100)); err != nil {
					return
				}
			}
		}()
	},
	"stops in many short fields": func(c net.Conn, id string) { fmt.Fprint(c, headOf("read", id), shortFields(15000)) },
	"many short fields": func(c net.Conn, id string) {
		fmt.Fprintf(c, "%s%s\r\n", headOf("read", id), shortFields(15000))
	},
	"many short fields and a body": func(c net.Conn, id string) {
		fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", headOf("pay", id), shortFields(15000), maxBody, strings.Repeat("x", maxBody-500))
	},
	"complete large request": func(c net.Conn, id string) {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", headOf("pay", id), maxBody, strings.Repeat("x", maxBody))
	},
	"pipelines": func(c net.Conn, id string) {
		go func() {
			for i := range 2000 {
				if _, err := fmt.Fprintf(c, "%s\r\n", headOf("read", fmt.Sprint(id, "-", i))); err != nil {
					return
				}
			}
		}()
	},
}

// peakMemory returns the largest resident size of a process so far, in KB.
func peakMemory(t *testing.T, p *os.Process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return residentPeak(string(status))
}

// residentPeak returns the largest resident size that a status file of /proc states, in KB; 0 if it states none.
func residentPeak(status string) (kb int) {
	for line := range strings.Lines(status) {
		if strings.HasPrefix(line, "VmHWM:") {
			fmt.Sscan(strings.TrimPrefix(line, "VmHWM:"), &kb)
		}
	}
	return kb
}

// runClients has count clients connect at once, each rounds times, and use their connections by use. It returns when the sidecar has
// closed all of these connections, or has left one open for twice the time in which a bad client is owed an answer or a close.
func runClients(addr string, count, rounds int, use func(c net.Conn, id string)) {
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			for round := range rounds {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					continue
				}
				stop := time.AfterFunc(2*badClientTime, func() { c.Close() })
				use(c, fmt.Sprint(i, "-", round))
				io.Copy(io.Discard, c)
				stop.Stop()
				c.Close()
			}
		})
	}
	wg.Wait()
}

// Guards against the process being killed over its memory limit (issue 28): with as many clients as the descriptors allow, and the
// least and the most memory that the pages name, the peak must stay under the limit, and other clients must be served afterwards.
func TestMemoryStaysUnderLimitWithManyClients(t *testing.T) {
	for _, limits := range []struct{ memoryMB, sockets int }{{32, 1024}, {32, 256}, {64, 672}, {192, 1024}} {
		for name, use := range memoryClients {
			if limits.memoryMB != 32 || limits.sockets != 1024 { // the least memory for the most clients meets all kinds
				if name != "stops in a large body" && name != "many short fields and a body" {
					continue
				}
			}
			t.Run(fmt.Sprint(limits.memoryMB, " MB, ", limits.sockets, " descriptors/", name), func(t *testing.T) {
				var addrs []string
				for range 10 {
					addrs = append(addrs, newEndpointWithBody(t, 300*time.Millisecond, strings.Repeat("x", maxBody)).addr)
				}
				disc, _ := newFakeDiscovery(t, func() string { return "" })
				p, addr, _ := startWithLimits(t, limits.memoryMB, limits.sockets, limits.sockets, map[string]any{
					"discovery": disc.addr, "known": json.RawMessage(listJSON(1, addrs...)), "settings": json.RawMessage(memorySettings),
				})
				eventually(t, "readiness", func() bool { return sendRequest(addr, "/-/ready") == 200 })
				ctx, stopOthers := context.WithCancel(context.Background())
				var others sync.WaitGroup
				var asked, served atomic.Int32
				others.Go(func() { // a client whose requests are small and whole
					for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
						if sendRead(addr, fmt.Sprint("other-", asked.Add(1))) == 200 {
							served.Add(1)
						}
					}
				})
				runClients(addr, int(clientShare*float64(limits.sockets)), 2, use)
				stopOthers()
				others.Wait()
				peak := peakMemory(t, p)
				t.Logf("peak %d KB of %d KB; %d of %d requests of another client served", peak, limits.memoryMB<<10, served.Load(), asked.Load())
				if peak >= limits.memoryMB<<10 {
					t.Errorf("peak memory %d KB, the limit is %d KB", peak, limits.memoryMB<<10)
				}
				id := 0
				eventually(t, "a request served afterwards", func() bool { id++; return sendRead(addr, fmt.Sprint("after-", id)) == 200 })
			})
		}
	}
}

// Guards against the same by discovery: a list that the least memory of the pages does not hold must be rejected, and the sidecar must go
// on with the list it has. A list of the largest fleet, 3,200 endpoints, must be accepted.
func TestMemoryStaysUnderLimitWithLargeList(t *testing.T) {
	const memoryMB, largestFleet, tooMany = 32, 3200, 60000
	for name, count := range map[string]int{"largest fleet": largestFleet, "too large": tooMany} {
		t.Run(name, func(t *testing.T) {
			listed, cached := newEndpoint(t, 0), newEndpoint(t, 0)
			addrs := slices.Repeat([]string{listed.addr}, count)
			disc, watches := newFakeDiscovery(t, func() string { return listJSON(2, addrs...) })
			p, addr, _ := startWithLimits(t, memoryMB, 256, 256, map[string]any{
				"discovery": disc.addr, "known": json.RawMessage(listJSON(1, cached.addr)), "settings": settingsFor("on_request"),
			})
			id := 0
			served := func() bool { id++; return sendRead(addr, fmt.Sprint(id)) == 200 }
			if count == tooMany {
				eventually(t, "a second watch after the list was rejected", func() bool { return watches.Load() >= 2 })
				listed.stop()
				eventually(t, "a request served by the list before", served)
			} else {
				eventually(t, "a watch", func() bool { return watches.Load() >= 1 })
				cached.stop()
				eventually(t, "a request served by the new list", served)
			}
			peak := peakMemory(t, p)
			t.Logf("peak %d KB of %d KB", peak, memoryMB<<10)
			if peak >= memoryMB<<10 {
				t.Errorf("peak memory %d KB, the limit is %d KB", peak, memoryMB<<10)
			}
		})
	}
}
