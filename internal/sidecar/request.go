package sidecar

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"forkline"
)

// This file turns the head of a client's request into a call, by the settings.

// settingsIndex is an immutable copy of the settings with classes and tenants indexed by name. A reload replaces it.
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

// requestError reports why a request is not accepted. The client has to send another one.
type requestError struct {
	status int // HTTP status of the response
	reason string
}

func (e *requestError) Error() string { return e.reason }

// resolveClass returns the class with the given name, if it exists and permits the request.
func (s *settingsIndex) resolveClass(name, method string, hasKey bool) (*forkline.Class, *requestError) {
	index, ok := s.classes[name]
	if !ok {
		return nil, errNoClass
	}
	c := &s.settings.Classes[index]
	wantMethod := http.MethodPost
	if c.Effect == forkline.Safe {
		wantMethod = http.MethodGet
	}
	switch {
	case method != wantMethod:
		return nil, &requestError{http.StatusMethodNotAllowed, "requests of this class are " + wantMethod}
	case c.Effect == forkline.Keyed && !hasKey:
		return nil, &requestError{http.StatusBadRequest, "Idempotency-Key is missing"}
	}
	return c, nil
}

var (
	errNoClass     = &requestError{http.StatusNotFound, "X-Class and the path name no class"}
	errRequestLine = &requestError{http.StatusBadRequest, "the request line cannot be read"}
	errNoID        = &requestError{http.StatusBadRequest, "X-Request-Id is missing"}
	errBodyLength  = &requestError{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	errDeadline    = &requestError{http.StatusBadRequest, "X-Deadline is no time"}
)

// apply sets the class, tenant, deadline and effect of a request. The time to answer is the client's timeout less the
// margin that is reserved.
func (s *settingsIndex) apply(request *call, m *margin) {
	request.index, request.event.Class = s, s.classes[request.class]
	tenant, ok := s.tenants[request.tenant]
	if !ok {
		tenant = uint16(len(s.tenants)) // an unknown tenant, without a quota
	}
	request.event.Tenant = tenant
	c := &s.settings.Classes[request.event.Class]
	timeout := min(c.Timeout/1000, request.clientTimeout)
	request.margin = m.reserve(1000 * timeout)
	request.answerWithin = 1000*timeout - request.margin
	request.safe, request.outgoing.atMostOnce = c.Effect == forkline.Safe, c.Effect == forkline.Unsafe
}

// singleValueHeaders are the headers that the sidecar interprets. A request that repeats one of them is ambiguous and
// rejected.
var singleValueHeaders = []string{"Host", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "Idempotency-Key", "Expect"}

// requestLine is the first line of a request.
type requestLine struct {
	method, uri string
	segment     string // first part of the path
}

func parseRequestLine(text string) (requestLine, *requestError) {
	method, rest, _ := strings.Cut(text, " ")
	uri, version, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || !strings.HasPrefix(uri, "/") || hasControl(uri) {
		return requestLine{}, errRequestLine
	}
	path, _, _ := strings.Cut(strings.TrimPrefix(uri, "/"), "?")
	segment, _, _ := strings.Cut(path, "/")
	return requestLine{method, uri, segment}, nil
}

// names reports whether the path begins with a class name, which may contain characters that are escaped in a path.
func (l *requestLine) names(class string) bool {
	decoded, _ := url.PathUnescape(l.segment)
	return l.segment == class || decoded == class
}

// parse validates the head of a request and returns the call.
func (f *front) parse(m message) (*call, *requestError) {
	line, err := parseRequestLine(m.startLine)
	if err != nil {
		return nil, err
	}
	h, index := m.header, f.index.Load()
	for _, name := range singleValueHeaders {
		if len(h[name]) > 1 {
			return nil, &requestError{http.StatusBadRequest, name + " comes twice"}
		}
	}
	request := &call{
		event: forkline.Event{WorkHint: workHint(h), Key: objectKey(h)}, id: h.Get("X-Request-Id"),
		class: h.Get("X-Class"), tenant: h.Get("X-Tenant"), method: line.method, hasKey: h.Get("Idempotency-Key") != "",
	}
	if !line.names(request.class) {
		return nil, errNoClass
	}
	if _, err := index.resolveClass(request.class, line.method, request.hasKey); err != nil {
		return nil, err
	}
	switch {
	case request.id == "":
		return nil, errNoID
	case m.length > maxBodyBytes:
		return nil, errBodyLength
	}
	if request.clientTimeout, err = clientTimeout(h); err != nil {
		return nil, err
	}
	request.outgoing = upstreamRequest{
		preamble: fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", line.method, line.uri, h.Get("Host")),
		header:   stripHopByHop(h),
	}
	index.apply(request, &f.loop.margin)
	h.Del("Host")
	return request, nil
}

// clientTimeout returns how long the client waits, in seconds; infinitely where it does not state it.
func clientTimeout(h http.Header) (float64, *requestError) {
	text := h.Get("X-Deadline")
	if text == "" {
		return math.Inf(1), nil
	}
	remaining, err := strconv.ParseFloat(text, 64)
	if err != nil || !(remaining > 0) || math.IsInf(remaining, 0) {
		return 0, errDeadline
	}
	return remaining, nil
}

// workHint returns the work that the client expects, in seconds; 0 if it does not state it.
func workHint(h http.Header) float64 {
	hint, err := strconv.ParseFloat(h.Get("X-Cost-Hint"), 64)
	if err != nil {
		return 0
	}
	return hint / 1000
}

// objectKey returns the hash of the object that the request is about, which a cookie names; 0 if there is none.
func objectKey(h http.Header) uint64 {
	cookie, err := (&http.Request{Header: h}).Cookie("obj")
	if err != nil {
		return 0
	}
	sum := fnv.New64a()
	io.WriteString(sum, cookie.Value)
	return sum.Sum64()
}
