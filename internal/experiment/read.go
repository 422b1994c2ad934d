package experiment

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Example is a valid file that tells what every key means.
//
//go:embed example.toml
var Example string

// maxFile bounds the size of a file in bytes.
const maxFile = 1 << 20

// Error says what is wrong with a file, where. Line is 0 if the file as a whole is meant; Key is empty if no key is,
// else a path such as service[3].rate, counted from 0.
type Error struct {
	File    string
	Line    int
	Key     string
	Message string
}

func (e *Error) Error() string {
	text := e.File + ":"
	if e.Line > 0 {
		text += strconv.Itoa(e.Line) + ":"
	}
	if e.Key != "" {
		text += " " + e.Key + ":"
	}
	return text + " " + e.Message
}

// UnmarshalText reads what time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	t, err := time.ParseDuration(string(text))
	*d = Duration(t)
	return err
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// Read reads and checks the file at path and fills in what it leaves out. Any fault of the file is an *Error.
func Read(path string) (*Experiment, error) {
	whole := func(message string) (*Experiment, error) { return nil, &Error{File: path, Message: message} }
	info, err := os.Stat(path) // ahead of opening it, as opening a pipe may wait for good
	switch {
	case errors.Is(err, os.ErrNotExist):
		return whole("there is no such file")
	case err != nil:
		return whole(cause(err))
	case info.IsDir():
		return whole("is a directory, not a file")
	case !info.Mode().IsRegular():
		return whole("is not a regular file")
	}
	f, err := os.Open(path)
	if err != nil {
		return whole(cause(err))
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return whole(cause(err))
	}
	return Parse(path, text)
}

// cause is an error without the path that it names.
func cause(err error) string {
	if inner := (*os.PathError)(nil); errors.As(err, &inner) {
		err = inner.Err
	}
	return "cannot be read: " + err.Error()
}

// Parse is Read on text that is at hand; file is its name in errors, and that of the experiment if the text has none.
func Parse(file string, text []byte) (*Experiment, error) {
	src := &source{file: file, text: text, lines: map[string]int{}}
	if len(text) > maxFile {
		return nil, &Error{File: file, Message: fmt.Sprintf("is over %d bytes long", maxFile)}
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, &Error{File: file, Message: "is empty"}
	}
	for at := 0; at < len(text); {
		r, n := utf8.DecodeRune(text[at:])
		if r == utf8.RuneError && n == 1 {
			return nil, &Error{File: file, Line: src.line(at), Message: "is not UTF-8 text"}
		}
		at += n
	}
	if err := src.walk(); err != nil {
		return nil, err
	}
	if err := toml.Unmarshal(text, &map[string]any{}); err != nil { // the syntax, and keys that are given twice
		return nil, src.syntax(err)
	}
	e := &Experiment{source: src}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(e); err != nil {
		return nil, src.syntax(err)
	}
	e.fillIn()
	if !src.has("name") {
		e.Name = strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	e.dealOut()
	return e, nil
}

// Errorf is an *Error that names the key, a path such as memory_mb or service[3].rate, and its place in the file.
func (e *Experiment) Errorf(key, format string, args ...any) error {
	src := e.source
	if src == nil {
		src = &source{file: e.Name}
	}
	return &Error{File: src.file, Line: src.nearest(key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// index is the part of a path that numbers a table in a list.
var index = regexp.MustCompile(`\[\d+\]`)

// source knows where each key of a file is.
type source struct {
	file  string
	text  []byte
	lines map[string]int // by path, of tables and keys
}

// line is the line, from 1, of an offset.
func (s *source) line(offset int) int { return 1 + bytes.Count(s.text[:offset], []byte("\n")) }

// has tells whether the file gives the key.
func (s *source) has(key string) bool { return s.lines[key] > 0 }

// nearest is the line of the key, or of the innermost table round it that the file has; 1 if there is none.
func (s *source) nearest(key string) int {
	for key != "" && !s.has(key) {
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return max(1, s.lines[key])
}

// syntax tells an error of the library in our form.
func (s *source) syntax(err error) error {
	var at *toml.DecodeError
	if strict := (*toml.StrictMissingError)(nil); errors.As(err, &strict) {
		at = &strict.Errors[0]
	} else if !errors.As(err, &at) {
		return &Error{File: s.file, Message: err.Error()}
	}
	line, _ := at.Position()
	return &Error{File: s.file, Line: line, Key: s.keyAt(line), Message: strings.TrimPrefix(at.Error(), "toml: ")}
}

// keyAt is the longest path that begins on the line.
func (s *source) keyAt(line int) string {
	longest := ""
	for key, at := range s.lines {
		if at == line && (len(key) > len(longest) || len(key) == len(longest) && key < longest) {
			longest = key
		}
	}
	return longest
}

// walk notes the line of each key and finds unknown ones and values of the wrong type.
func (s *source) walk() error {
	var p unstable.Parser
	p.Reset(s.text)
	counts := map[string]int{} // of the tables of each list so far
	prefix, within := "", reflect.TypeFor[Experiment]()
	for p.NextExpression() {
		n := p.Expression()
		var err error
		switch n.Kind {
		case unstable.KeyValue:
			err = s.keyValue(n, prefix, within)
		default:
			prefix, within, err = s.table(n, counts)
		}
		if err != nil {
			return err
		}
	}
	return nil // faults of the syntax, which end this early, are told by the decoder
}

// table enters [a.b] or [[a.b]] and returns the path and type of what follows.
func (s *source) table(n *unstable.Node, counts map[string]int) (string, reflect.Type, error) {
	path, t := "", reflect.TypeFor[Experiment]()
	for it := n.Key(); it.Next(); {
		line := s.line(int(it.Node().Raw.Offset))
		var err error
		if path, t, err = s.field(path, t, it.Node()); err != nil {
			return "", nil, err
		}
		last := it.IsLast()
		fail := func(message string) (string, reflect.Type, error) {
			return "", nil, &Error{File: s.file, Line: line, Key: path, Message: message}
		}
		switch {
		case t.Kind() == reflect.Slice && last && n.Kind == unstable.ArrayTable:
			counts[path]++
			path = fmt.Sprintf("%s[%d]", path, counts[path]-1)
			t = t.Elem()
		case t.Kind() == reflect.Slice && !last && counts[path] > 0:
			path = fmt.Sprintf("%s[%d]", path, counts[path]-1)
			t = t.Elem()
		case t.Kind() == reflect.Slice:
			return fail("is a list of tables, each of which begins with [[" + index.ReplaceAllString(path, "") + "]]")
		case t.Kind() != reflect.Struct:
			return fail("is " + wanted(t) + ", not a table")
		case last && n.Kind == unstable.ArrayTable:
			return fail("is one table, not a list of them: [" + path + "]")
		}
		if !s.has(path) {
			s.lines[path] = line
		}
	}
	return path, t, nil
}

// field is the path and type of one more part of a key.
func (s *source) field(path string, t reflect.Type, part *unstable.Node) (string, reflect.Type, error) {
	name := string(part.Data)
	shown := name
	if strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") != "" || name == "" {
		shown = strconv.Quote(name)
	}
	if path != "" {
		shown = path + "." + shown
	}
	line := s.line(int(part.Raw.Offset))
	if t.Kind() != reflect.Struct {
		return shown, nil, &Error{File: s.file, Line: line, Key: path, Message: "is " + wanted(t) + ", not a table"}
	}
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("toml"); tag != "" && tag == name {
			return shown, t.Field(i).Type, nil
		}
	}
	return shown, nil, &Error{File: s.file, Line: line, Key: shown, Message: "is not a key that is known here"}
}

// keyValue takes in a.b = value.
func (s *source) keyValue(n *unstable.Node, path string, t reflect.Type) error {
	line := 0
	for it := n.Key(); it.Next(); {
		line = s.line(int(it.Node().Raw.Offset))
		var err error
		if path, t, err = s.field(path, t, it.Node()); err != nil {
			return err
		}
		if !s.has(path) {
			s.lines[path] = line
		}
	}
	return s.value(n.Value(), path, t, line)
}

// value checks the type of a value and takes in what is inside it.
func (s *source) value(v *unstable.Node, path string, t reflect.Type, line int) error {
	if !s.has(path) {
		s.lines[path] = line
	}
	fail := func(format string, args ...any) error {
		return &Error{File: s.file, Line: line, Key: path, Message: fmt.Sprintf(format, args...)}
	}
	fits := false
	switch {
	case t == reflect.TypeFor[Duration]():
		if v.Kind == unstable.String {
			if _, err := time.ParseDuration(string(v.Data)); err != nil {
				return fail("%q is not a time such as \"250ms\", \"6s\" or \"24h\"", v.Data)
			}
			fits = true
		}
	case t.Kind() == reflect.Struct:
		if v.Kind != unstable.InlineTable {
			break
		}
		for it := v.Children(); it.Next(); {
			if err := s.keyValue(it.Node(), path, t); err != nil {
				return err
			}
		}
		fits = true
	case t.Kind() == reflect.Slice:
		if v.Kind != unstable.Array {
			break
		}
		i := 0
		for it := v.Children(); it.Next(); i++ {
			at := line
			if it.Node().Kind == unstable.InlineTable {
				at = s.line(int(it.Node().Raw.Offset))
			}
			if err := s.value(it.Node(), fmt.Sprintf("%s[%d]", path, i), t.Elem(), at); err != nil {
				return err
			}
		}
		fits = true
	case t.Kind() == reflect.String:
		fits = v.Kind == unstable.String
	case t.Kind() == reflect.Bool:
		fits = v.Kind == unstable.Bool
	case t.Kind() == reflect.Float64:
		fits = v.Kind == unstable.Float || v.Kind == unstable.Integer
	default:
		fits = v.Kind == unstable.Integer
		if fits && t.Kind() == reflect.Uint64 && bytes.HasPrefix(v.Data, []byte("-")) {
			return fail("%s is negative", v.Data)
		}
	}
	if !fits {
		return fail("is %s, not %s", given[v.Kind], wanted(t))
	}
	return nil
}

// wanted names what a key takes.
func wanted(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return `a time such as "250ms"`
	case t.Kind() == reflect.Struct:
		return "a table"
	case t.Kind() == reflect.Slice:
		return "a list of tables"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

// given names what a file gives.
var given = map[unstable.Kind]string{
	unstable.String: "text", unstable.Bool: "true or false", unstable.Float: "a number with a fraction",
	unstable.Integer: "a whole number", unstable.Array: "a list", unstable.InlineTable: "a table",
	unstable.LocalDate: "a date", unstable.LocalTime: "a time of day", unstable.LocalDateTime: "a date",
	unstable.DateTime: "a date",
}
