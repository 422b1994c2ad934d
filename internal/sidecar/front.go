package sidecar

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"forkline"
	"forkline/internal/deadline"
)

const (
	defaultRequestTimeout = 2200 * time.Millisecond // a connection may be quiet for so long, and a request take to come whole
	statusRefused         = http.StatusServiceUnavailable
	statusFailed          = http.StatusBadGateway

	defaultDrainAcceptTime = 600 * time.Millisecond  // new connections come for up to 0.4 s after SIGTERM
	drainFinishTime        = 1300 * time.Millisecond // for what was taken, from the end of taking until the rest is given up
	soloFinishTime         = 500 * time.Millisecond  // instead, where no other sidecar could take what comes in between
	finalWriteTime         = 150 * time.Millisecond  // for the answers that are given then
)

// front takes requests from callers and answers them.
type front struct {
	loop               *loop
	index              atomic.Pointer[settingsIndex]
	downstream         *downstream
	draining           atomic.Bool   // not ready any more
	closeAfterResponse atomic.Bool   // every answer closes its connection
	drainAcceptTime    time.Duration // from SIGTERM until no new connection is taken
	requestTimeout     time.Duration // see quietTime
}

// tables are the settings as requests meet them: by names. They are replaced whole.
type settingsIndex struct {
	settings forkline.Settings
	classes  map[string]uint16
	tenants  map[string]uint16
}

func newSettingsIndex(settings *forkline.Settings) *settingsIndex {
	index := &settingsIndex{settings: *settings, classes: map[string]uint16{}, tenants: map[string]uint16{}}
	for i, c := range settings.Classes {
		index.classes[c.Name] = uint16(i)
	}
	for i, tenant := range settings.Tenants {
		index.tenants[tenant.Name] = uint16(i)
	}
	return index
}

// class is the class of a name; of a request that cannot be of it, it tells why.
func (s *settingsIndex) resolveClass(name, method string, hasKey bool) (c *forkline.Class, status int, reason string) {
	index, ok := s.classes[name]
	if !ok {
		return nil, http.StatusNotFound, "X-Class and the path name no class"
	}
	c = &s.settings.Classes[index]
	wantMethod := http.MethodPost
	if c.Effect == forkline.Safe {
		wantMethod = http.MethodGet
	}
	switch {
	case method != wantMethod:
		return nil, http.StatusMethodNotAllowed, "requests of this class are " + wantMethod
	case c.Effect == forkline.Keyed && !hasKey:
		return nil, http.StatusBadRequest, "Idempotency-Key is missing"
	}
	return c, 0, ""
}

// place gives a call what the tables say of its class and tenant, and its time less what has to be held back of it.
func (s *settingsIndex) apply(request *call, m *margin) {
	request.index, request.event.Class = s, s.classes[request.class]
	tenant, ok := s.tenants[request.tenant]
	if !ok {
		tenant = uint16(len(s.tenants)) // one without a quota
	}
	request.event.Tenant = tenant
	c := &s.settings.Classes[request.event.Class]
	timeout := min(c.Timeout/1000, request.clientTimeout)
	request.margin = m.reserve(1000 * timeout)
	request.answerWithin = 1000*timeout - request.margin
	request.safe, request.outgoing.atMostOnce = c.Effect == forkline.Safe, c.Effect == forkline.Unsafe
}

// newFront makes a front for at most so many callers' connections.
func newFront(l *loop, settings *forkline.Settings, maxConns int) *front {
	f := &front{loop: l, drainAcceptTime: defaultDrainAcceptTime, requestTimeout: defaultRequestTimeout, downstream: newDownstream(maxConns)}
	f.index.Store(newSettingsIndex(settings))
	return f
}

// serve takes requests until the listener is closed.
func (f *front) serve(ln net.Listener) error { return f.downstream.serve(ln, f.serveConn) }

// talk serves one connection: a request, its answer, and so on, while both sides keep it.
func (f *front) serveConn(c *downstreamConn) {
	for isFirst, keepAlive := true, true; keepAlive; isFirst = false {
		readBy := time.Now().Add(f.requestTimeout)
		if !f.downstream.awaitRequest(c, readBy) {
			return
		}
		if !isFirst {
			readBy = time.Now().Add(f.requestTimeout)
		}
		c.SetReadDeadline(readBy)
		m, err := readMessage(c.reader)
		if err != nil {
			f.rejectUnreadable(c, err)
			return
		}
		keepAlive = m.keepAlive() && !f.closeAfterResponse.Load()
		if m.length == lengthUnspecified { // of a request: none
			m.length = 0
		}
		if m.startLine == "GET /-/ready HTTP/1.1" {
			if c.writeResponse(&response{status: f.readyStatus()}, !keepAlive) != nil || !f.downstream.endRequest(c) {
				return
			}
			continue
		}
		expectsContinue := m.length != 0 && m.hasToken("Expect", "100-continue")
		request, status, reason := f.parse(m)
		if request == nil {
			c.reject(status, reason)
			return
		}
		if expectsContinue {
			c.SetWriteDeadline(time.Now().Add(writeTimeout))   // that of the answer before may have passed
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // one that fails shows in the body
		}
		if request.outgoing.body, err = readBody(c.reader, m.length); err != nil {
			f.rejectUnreadable(c, err)
			return
		}
		r, ok := f.awaitResponse(c, request)
		keepAlive = keepAlive && !f.closeAfterResponse.Load() && r.status/100 != 4
		if !ok || c.writeResponse(&r, !keepAlive) != nil || keepAlive && !f.downstream.endRequest(c) {
			return
		}
	}
	c.lingerClose()
}

// complain answers what cannot be read as a request. One that falls silent or breaks off is just closed.
func (f *front) rejectUnreadable(c *downstreamConn, err error) {
	_, isNetError := err.(net.Error)
	switch {
	case err == errTooLarge:
		c.reject(http.StatusRequestEntityTooLarge, err.Error())
	case !isNetError && err != io.EOF && err != io.ErrUnexpectedEOF:
		c.reject(http.StatusBadRequest, err.Error())
	}
}

// have gets the final answer to a request that has come whole; none if its caller leaves before.
func (f *front) awaitResponse(c *downstreamConn, request *call) (response, bool) {
	responses, decidedAt := make(chan response, 1), time.Time{}
	request.respond = func(r response) {
		decidedAt = time.Now()
		c.SetReadDeadline(time.Unix(1, 0)) // ends the wait below; behind the answer, it could end the next request's reading
		responses <- r
	}
	arrivedAt := f.loop.clockMS(time.Now())
	request.setDeadline(arrivedAt)
	c.SetReadDeadline(time.Time{})
	if !f.downstream.beginRequest(c) {
		return response{}, false
	}
	request.clientGone = c.disconnected
	f.loop.post(func() { f.loop.margin.observe(deadline.Intake, arrivedAt); f.loop.accept(request) })
	if c.awaitDisconnect() {
		select {
		case r := <-responses:
			return r, true
		default:
		}
		f.loop.post(func() { f.loop.handleDisconnect(request) })
		return response{}, false
	}
	select {
	case r := <-responses:
		f.loop.margin.observeResponse(decidedAt)
		return r, true
	case <-f.loop.done:
		return response{}, false
	}
}

// ready tells by a status whether requests are welcome: the loop runs, has a list to send by and is not ending.
func (f *front) readyStatus() int {
	readyServers := 0
	f.loop.postAndWait(func() { readyServers = f.loop.readyServers })
	if readyServers == 0 || f.draining.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// single are the headers that a request is understood by; with two of one kind it could be read in two ways.
var singleValueHeaders = []string{"Host", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "Idempotency-Key", "Expect"}

// parse checks the head of a request; of one that cannot be taken it tells why.
func (f *front) parse(m message) (request *call, status int, reason string) {
	method, rest, _ := strings.Cut(m.startLine, " ")
	uri, version, _ := strings.Cut(rest, " ")
	path, _, _ := strings.Cut(strings.TrimPrefix(uri, "/"), "?")
	segment, _, _ := strings.Cut(path, "/")
	decoded, _ := url.PathUnescape(segment) // a name may have characters that a path has in code only
	if version != "HTTP/1.1" && version != "HTTP/1.0" || !strings.HasPrefix(uri, "/") || hasControl(uri) {
		return nil, http.StatusBadRequest, "the request line cannot be read"
	}
	h := m.header
	for _, name := range singleValueHeaders {
		if len(h[name]) > 1 {
			return nil, http.StatusBadRequest, name + " comes twice"
		}
	}
	name, hasKey, index := h.Get("X-Class"), h.Get("Idempotency-Key") != "", f.index.Load()
	if segment != name && decoded != name {
		return nil, http.StatusNotFound, "X-Class and the path name no class"
	}
	if class, status, reason := index.resolveClass(name, method, hasKey); class == nil {
		return nil, status, reason
	}
	switch {
	case h.Get("X-Request-Id") == "":
		return nil, http.StatusBadRequest, "X-Request-Id is missing"
	case m.length > maxBodyBytes:
		return nil, http.StatusRequestEntityTooLarge, "the body is over 64 KiB"
	}
	clientTimeout := math.Inf(1)
	if text := h.Get("X-Deadline"); text != "" {
		remaining, err := strconv.ParseFloat(text, 64)
		if err != nil || !(remaining > 0) || math.IsInf(remaining, 0) {
			return nil, http.StatusBadRequest, "X-Deadline is no time"
		}
		clientTimeout = remaining
	}
	hint, err := strconv.ParseFloat(h.Get("X-Cost-Hint"), 64)
	if err != nil {
		hint = 0
	}
	request = &call{
		event: forkline.Event{WorkHint: hint / 1000}, id: h.Get("X-Request-Id"),
		class: name, tenant: h.Get("X-Tenant"), method: method, hasKey: hasKey, clientTimeout: clientTimeout,
	}
	if cookie, err := (&http.Request{Header: h}).Cookie("obj"); err == nil {
		sum := fnv.New64a()
		io.WriteString(sum, cookie.Value)
		request.event.Key = sum.Sum64()
	}
	request.outgoing = upstreamRequest{
		preamble: fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, h.Get("Host")),
		header:   stripHopByHop(h),
	}
	index.apply(request, &f.loop.margin)
	h.Del("Host")
	return request, 0, ""
}

// finishing is how long before the end connections are closed. Callers then go to the other sidecars of the tier, so
// that the slow calls have time to end. A sidecar that is alone goes on: what it does not take is lost for sure until
// it has started again, and most calls that it takes are still answered.
func (f *front) finishTime() time.Duration {
	if f.index.Load().settings.Copies > 1 {
		return drainFinishTime
	}
	return soloFinishTime
}

// drain ends the front in order: it goes on taking requests while new connections may come, and on those that it has
// for as long as what comes there can be finished; then it finishes what was taken. What is left at last is given up.
func (f *front) drain(ln net.Listener, limit time.Duration) {
	startedAt := time.Now()
	f.draining.Store(true)
	time.Sleep(min(f.drainAcceptTime, limit)) // with short deadlines SIGKILL comes soon after
	ln.Close()
	time.Sleep(time.Until(startedAt.Add(limit - f.finishTime())))
	f.closeAfterResponse.Store(true)
	timer := time.AfterFunc(time.Until(startedAt.Add(limit)), func() { f.loop.post(f.loop.abortAll) })
	defer timer.Stop()
	f.downstream.drain(startedAt.Add(limit + finalWriteTime))
}
