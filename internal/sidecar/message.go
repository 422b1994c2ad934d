package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Messages are parsed here instead of by net/http, which trusts its peers too much for a proxy. It silently drops a
// Content-Length next to a Transfer-Encoding, which allows request smuggling, it reads response heads of any size,
// and it can take an interim response for the final one.

const (
	maxHeadBytes        = 16 << 10 // bytes of the start line and headers; ten times what clients and endpoints send
	maxBodyBytes        = 64 << 10 // limit set by the protocol
	maxInterimResponses = 16       // interim (1xx) responses accepted before the final one
	maxHeaderFields     = 256      // of a message
	initialBodyCapacity = 4 << 10  // bytes of the buffer for a body of unknown length, which is doubled as needed
)

var (
	errMalformedHead = errors.New("the head cannot be read")
	errInvalidLength = errors.New("the length cannot be read")
	errTooLarge      = errors.New("the message is over the limit")
	errInterimBody   = errors.New("an interim response has a body")
)

// isMalformed reports whether a message could not be read because of its content, and not because its connection ended
// or timed out.
func isMalformed(err error) bool {
	_, isNetError := err.(net.Error)
	return !isNetError && err != io.EOF && err != io.ErrUnexpectedEOF
}

// Special values of message.length.
const (
	lengthChunked     = -1
	lengthUnspecified = -2 // no body in a request; all up to the end of the connection in a response (RFC 9112, 6.3)
)

// message is the head of a request or response.
type message struct {
	startLine string // request line or status line
	header    http.Header
	length    int64 // of the body in bytes, or lengthChunked or lengthUnspecified
	memory    int64 // bytes that the head takes
	// endsConnection is set if no other message can be read after it: its body ends with the connection, or is not read.
	endsConnection bool
}

// announcesBody reports whether the headers announce a body.
func (m *message) announcesBody() bool { return m.length != 0 && m.length != lengthUnspecified }

// readMessage reads and validates the head of a message. It consumes no byte of the body.
func readMessage(r *bufio.Reader, memory *messageMemory) (message, error) {
	text, fields, err := readUntilBlankLine(r, memory)
	if err != nil {
		return message{}, err
	}
	lines := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(text), len(text)))
	startLine, err := lines.ReadLine()
	if err != nil {
		return message{}, errMalformedHead
	}
	header, err := lines.ReadMIMEHeader()
	if err != nil {
		return message{}, errMalformedHead
	}
	for name, values := range header {
		if strings.ContainsRune(name, ' ') || slices.ContainsFunc(values, hasControl) {
			return message{}, errMalformedHead
		}
	}
	m := message{startLine: startLine, header: http.Header(header), memory: headMemory(len(text), fields)}
	m.length, err = bodyLength(m.header)
	return m, err
}

// readUntilBlankLine reads up to and including the next empty line. It also returns the number of lines between the first and the
// empty one.
func readUntilBlankLine(r *bufio.Reader, memory *messageMemory) (text []byte, fields int, err error) {
	for lineStart, lines := 0, 0; ; {
		chunk, err := r.ReadSlice('\n')
		if len(text)+len(chunk) > maxHeadBytes || lines > maxHeaderFields {
			return nil, 0, errTooLarge
		}
		if len(text)+len(chunk) > unreservedBytes || lines > unreservedFields {
			if err := memory.reserveLargest(); err != nil {
				return nil, 0, err
			}
		}
		text = append(text, chunk...)
		switch line := text[lineStart:]; {
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return nil, 0, err
		case string(line) == "\r\n" || string(line) == "\n":
			return text, max(lines-1, 0), nil
		}
		lineStart = len(text)
		lines++
	}
}

func hasControl(s string) bool {
	return strings.ContainsFunc(s, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

// bodyLength returns the body length that the headers specify. Ambiguous headers are an error.
func bodyLength(h http.Header) (int64, error) {
	coding, length := h["Transfer-Encoding"], h["Content-Length"]
	switch {
	case len(coding) == 0 && len(length) == 0:
		return lengthUnspecified, nil
	case len(coding) == 1 && len(length) == 0 && strings.EqualFold(coding[0], "chunked"):
		return lengthChunked, nil
	case len(coding) > 0 || len(length) > 1:
		return 0, errInvalidLength
	}
	n, err := strconv.ParseUint(length[0], 10, 63)
	if err != nil {
		return 0, errInvalidLength
	}
	return int64(n), nil
}

// readBody reads the complete body of a message, for which memory has been reserved. It reads nothing if the announced length
// exceeds the limit. A body of unspecified length ends where the peer ends the stream in order; a reset is an error, like any other
// end of the connection.
func readBody(r *bufio.Reader, length int64) ([]byte, error) {
	switch {
	case length > maxBodyBytes:
		return nil, errTooLarge
	case length == lengthUnspecified:
		return readUpTo(r, maxBodyBytes)
	case length == lengthChunked:
		body, err := readUpTo(httputil.NewChunkedReader(r), maxBodyBytes)
		if err == nil {
			_, _, err = readUntilBlankLine(r, nil) // discard trailers
		}
		return body, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// readUpTo reads up to the end of r. Over the limit it returns errTooLarge.
func readUpTo(r io.Reader, limit int) ([]byte, error) {
	body := make([]byte, 0, initialBodyCapacity)
	for {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), limit+1)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, errTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// readFinalResponse reads the complete final response of an endpoint. One without a length is complete when the endpoint has ended
// the stream in order.
func readFinalResponse(r *bufio.Reader, memory *messageMemory) (status int, m message, body []byte, err error) {
	for range maxInterimResponses {
		if m, err = readMessage(r, memory); err != nil {
			return 0, m, nil, err
		}
		version, rest, _ := strings.Cut(m.startLine, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err = strconv.Atoi(code)
		switch {
		case err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0":
			return 0, m, nil, errMalformedHead
		case status < 100 || status == http.StatusSwitchingProtocols:
			return 0, m, nil, errMalformedHead
		case status < 200 && m.announcesBody():
			return 0, m, nil, errInterimBody
		case status < 200:
			continue
		case status == http.StatusNoContent || status == http.StatusNotModified:
			m.endsConnection = m.announcesBody() // these have no body, whatever the headers say
			return status, m, nil, nil
		}
		m.endsConnection = m.length == lengthUnspecified
		if err = memory.settle(&m); err != nil {
			return 0, m, nil, err
		}
		body, err = readBody(r, m.length)
		memory.keep(m.memory + int64(cap(body)))
		return status, m, body, err
	}
	return 0, m, nil, errTooLarge
}

// keepAlive reports whether another message can follow this one on its connection.
func (m *message) keepAlive() bool {
	return !m.endsConnection && !strings.Contains(m.startLine, "HTTP/1.0") && !m.hasToken("Connection", "close")
}

// hasToken reports whether a comma-separated header contains a token.
func (m *message) hasToken(name, token string) bool {
	for _, v := range m.header[name] {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length"}

// stripHopByHop removes these headers, and those named by Connection, and returns h.
func stripHopByHop(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	return h
}
