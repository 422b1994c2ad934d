package sidecar

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
)

const (
	maxObjectBytes    = 8 << 20  // limit for one JSON object of a watch, in bytes
	objectMemoryShare = 1.0 / 16 // of the memory limit, for the same; a list takes several times its text
)

// ListTooLargeError reports a list that does not fit into the memory limit. The list before it stays in use.
type ListTooLargeError struct {
	Limit int // bytes
}

func (e *ListTooLargeError) Error() string {
	return fmt.Sprintf("list: over %d bytes: raise limits.memory_mb, or have discovery serve shorter lists", e.Limit)
}

// maxListBytes returns the limit for one JSON object of a watch under the given memory limit.
func maxListBytes(memoryMB int) int {
	return min(maxObjectBytes, int(objectMemoryShare*float64(cmp.Or(memoryMB, defaultMemoryMB))*(1<<20)))
}

// objectReader splits a watch into its JSON objects. An object may span several lines, so its end is found by
// counting braces. Complete objects and line breaks between them count as activity; parts of an object do not, so
// that a watch which delivers single bytes still times out.
type objectReader struct {
	r          *bufio.Reader
	limit      int // bytes of one object
	onActivity func()
}

var errNoObject = errors.New("list: no JSON object")

// next returns the next complete object.
func (o *objectReader) next() ([]byte, error) {
	var text []byte
	for depth, quoted, escaped := 0, false, false; ; {
		b, err := o.r.ReadByte()
		switch {
		case err != nil:
			return nil, err
		case depth == 0 && b == '\n':
			o.onActivity()
			continue
		case depth == 0 && (b == ' ' || b == '\t' || b == '\r'):
			continue
		case depth == 0 && b != '{':
			return nil, errNoObject
		case len(text) == o.limit:
			return nil, &ListTooLargeError{o.limit}
		}
		text = append(text, b)
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped, quoted = b == '\\', b != '"'
		case b == '"':
			quoted = true
		case b == '{':
			depth++
		case b == '}':
			if depth--; depth == 0 {
				o.onActivity()
				return text, nil
			}
		}
	}
}
