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

// Example is a valid experiment file that documents every key.
//
//go:embed example.toml
var Example string

// maxFileBytes is the maximum size of an experiment file.
const maxFileBytes = 1 << 20

// Error describes an error in an experiment file and its position. Line is 0 if the error concerns the file as a whole.
// Key is empty if the error concerns no key, otherwise a path such as service[3].rate with indexes from 0.
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

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	t, err := time.ParseDuration(string(text))
	*d = Duration(t)
	return err
}

// MarshalText formats d so that UnmarshalText can parse it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// Read reads and validates the file at path and sets the defaults of omitted keys. Every error that it returns is an *Error.
func Read(path string) (*Experiment, error) {
	fail := func(message string) (*Experiment, error) { return nil, &Error{File: path, Message: message} }
	info, err := os.Stat(path) // before opening it, as opening a named pipe can block forever
	switch {
	case errors.Is(err, os.ErrNotExist):
		return fail("there is no such file")
	case err != nil:
		return fail(readFailure(err))
	case info.IsDir():
		return fail("is a directory, not a file")
	case !info.Mode().IsRegular():
		return fail("is not a regular file")
	}
	f, err := os.Open(path)
	if err != nil {
		return fail(readFailure(err))
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return fail(readFailure(err))
	}
	return Parse(path, text)
}

// readFailure returns the message for a file that cannot be read, without the path that err contains.
func readFailure(err error) string {
	if inner := (*os.PathError)(nil); errors.As(err, &inner) {
		err = inner.Err
	}
	return "cannot be read: " + err.Error()
}

// Parse is like Read but parses text. The file name appears in errors, and names the experiment if the text does not.
func Parse(file string, text []byte) (*Experiment, error) {
	src := &sourceFile{file: file, text: text, lines: map[string]int{}}
	if len(text) > maxFileBytes {
		return nil, &Error{File: file, Message: fmt.Sprintf("is over %d bytes long", maxFileBytes)}
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, &Error{File: file, Message: "is empty"}
	}
	for at := 0; at < len(text); {
		r, n := utf8.DecodeRune(text[at:])
		if r == utf8.RuneError && n == 1 {
			return nil, &Error{File: file, Line: src.lineAt(at), Message: "is not UTF-8 text"}
		}
		at += n
	}
	if err := src.scanKeys(); err != nil {
		return nil, err
	}
	if err := toml.Unmarshal(text, &map[string]any{}); err != nil { // finds syntax errors and duplicate keys
		return nil, src.syntaxError(err)
	}
	e := &Experiment{source: src}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(e); err != nil {
		return nil, src.syntaxError(err)
	}
	e.applyDefaults()
	if !src.hasKey("name") {
		e.Name = strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	}
	if err := e.validate(); err != nil {
		return nil, err
	}
	e.expandCopies()
	return e, nil
}

// Errorf returns an *Error for the key, a path such as memory_mb or service[3].rate, with its line in the file.
func (e *Experiment) Errorf(key, format string, args ...any) error {
	src := e.source
	if src == nil {
		src = &sourceFile{file: e.Name}
	}
	return &Error{File: src.file, Line: src.nearestLine(key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// listIndexPattern matches the list indexes in a path.
var listIndexPattern = regexp.MustCompile(`\[\d+\]`)

// sourceFile is an experiment file with the line of each of its keys.
type sourceFile struct {
	file  string
	text  []byte
	lines map[string]int // first line of each table and key, by path
}

// lineAt returns the line number, from 1, of a byte offset.
func (s *sourceFile) lineAt(offset int) int { return 1 + bytes.Count(s.text[:offset], []byte("\n")) }

// hasKey reports whether the file contains the key.
func (s *sourceFile) hasKey(key string) bool { return s.lines[key] > 0 }

// nearestLine returns the line of the key, or of the innermost enclosing table in the file, or 1 if there is neither.
func (s *sourceFile) nearestLine(key string) int {
	for key != "" && !s.hasKey(key) {
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return max(1, s.lines[key])
}

// syntaxError converts an error of the TOML library to an *Error.
func (s *sourceFile) syntaxError(err error) error {
	var decodeErr *toml.DecodeError
	if strict := (*toml.StrictMissingError)(nil); errors.As(err, &strict) {
		decodeErr = &strict.Errors[0]
	} else if !errors.As(err, &decodeErr) {
		return &Error{File: s.file, Message: err.Error()}
	}
	line, _ := decodeErr.Position()
	return &Error{File: s.file, Line: line, Key: s.keyAtLine(line), Message: strings.TrimPrefix(decodeErr.Error(), "toml: ")}
}

// keyAtLine returns the longest path that begins on the line.
func (s *sourceFile) keyAtLine(line int) string {
	longest := ""
	for key, keyLine := range s.lines {
		if keyLine == line && (len(key) > len(longest) || len(key) == len(longest) && key < longest) {
			longest = key
		}
	}
	return longest
}

// scanKeys records the line of each key, and returns an error for an unknown key or a value of the wrong type.
func (s *sourceFile) scanKeys() error {
	var p unstable.Parser
	p.Reset(s.text)
	counts := map[string]int{} // tables seen so far in each list
	prefix, tableType := "", reflect.TypeFor[Experiment]()
	for p.NextExpression() {
		n := p.Expression()
		var err error
		switch n.Kind {
		case unstable.KeyValue:
			err = s.checkKeyValue(n, prefix, tableType)
		default:
			prefix, tableType, err = s.enterTable(n, counts)
		}
		if err != nil {
			return err
		}
	}
	return nil // a syntax error ends the loop early and is reported by the decoder
}

// enterTable processes the header [a.b] or [[a.b]] and returns the path and type of the table.
func (s *sourceFile) enterTable(n *unstable.Node, counts map[string]int) (string, reflect.Type, error) {
	path, t := "", reflect.TypeFor[Experiment]()
	for it := n.Key(); it.Next(); {
		line := s.lineAt(int(it.Node().Raw.Offset))
		var err error
		if path, t, err = s.lookupField(path, t, it.Node()); err != nil {
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
			return fail("is a list of tables, each of which begins with [[" + listIndexPattern.ReplaceAllString(path, "") + "]]")
		case t.Kind() != reflect.Struct:
			return fail("is " + expectedType(t) + ", not a table")
		case last && n.Kind == unstable.ArrayTable:
			return fail("is one table, not a list of them: [" + path + "]")
		}
		if !s.hasKey(path) {
			s.lines[path] = line
		}
	}
	return path, t, nil
}

// lookupField extends path by one part of a key and returns the new path and the type of the field.
func (s *sourceFile) lookupField(path string, t reflect.Type, keyPart *unstable.Node) (string, reflect.Type, error) {
	name := string(keyPart.Data)
	keyPath := name
	if strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") != "" || name == "" {
		keyPath = strconv.Quote(name)
	}
	if path != "" {
		keyPath = path + "." + keyPath
	}
	line := s.lineAt(int(keyPart.Raw.Offset))
	if t.Kind() != reflect.Struct {
		return keyPath, nil, &Error{File: s.file, Line: line, Key: path, Message: "is " + expectedType(t) + ", not a table"}
	}
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("toml"); tag != "" && tag == name {
			return keyPath, t.Field(i).Type, nil
		}
	}
	return keyPath, nil, &Error{File: s.file, Line: line, Key: keyPath, Message: "is not a key that is known here"}
}

// checkKeyValue records and checks an assignment such as a.b = value.
func (s *sourceFile) checkKeyValue(n *unstable.Node, path string, t reflect.Type) error {
	line := 0
	for it := n.Key(); it.Next(); {
		line = s.lineAt(int(it.Node().Raw.Offset))
		var err error
		if path, t, err = s.lookupField(path, t, it.Node()); err != nil {
			return err
		}
		if !s.hasKey(path) {
			s.lines[path] = line
		}
	}
	return s.checkValue(n.Value(), path, t, line)
}

// checkValue checks the type of a value and, recursively, of its elements.
func (s *sourceFile) checkValue(v *unstable.Node, path string, t reflect.Type, line int) error {
	if !s.hasKey(path) {
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
			if err := s.checkKeyValue(it.Node(), path, t); err != nil {
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
			elementLine := line
			if it.Node().Kind == unstable.InlineTable {
				elementLine = s.lineAt(int(it.Node().Raw.Offset))
			}
			if err := s.checkValue(it.Node(), fmt.Sprintf("%s[%d]", path, i), t.Elem(), elementLine); err != nil {
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
		return fail("is %s, not %s", nodeKindNames[v.Kind], expectedType(t))
	}
	return nil
}

// expectedType describes the values that a key of type t accepts.
func expectedType(t reflect.Type) string {
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

// nodeKindNames describes the kinds of values in a file.
var nodeKindNames = map[unstable.Kind]string{
	unstable.String: "text", unstable.Bool: "true or false", unstable.Float: "a number with a fraction",
	unstable.Integer: "a whole number", unstable.Array: "a list", unstable.InlineTable: "a table",
	unstable.LocalDate: "a date", unstable.LocalTime: "a time of day", unstable.LocalDateTime: "a date",
	unstable.DateTime: "a date",
}
