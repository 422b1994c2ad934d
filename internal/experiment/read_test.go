package experiment

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// baseFile is a valid file; the test cases edit it, and the expected errors refer to its lines.
const baseFile = `name = "x"
duration = "60s"
memory_mb = 64

[[region]]
name = "r-0"
zones = 2
racks = 3

[[service]]
name = "a"
endpoints = 4
front = 2
rate = 10

[[service.call]]
to = "b"

[[service]]
name = "b"
endpoints = 4

[[service.call]]
to = "c"
times = 2

[[service]]
name = "c"
copies = 2
endpoints = 4

[[class]]
name = "read"
share = 0.9

[[class]]
name = "write"
share = 0.1
effect = "unsafe"

[[fault]]
kind = "zone"
at = "5s"
target = "r-0/1"
`

// serviceChain returns a file with n services, each of which calls the next.
func serviceChain(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\nendpoints = 1\n", i)
		if i < n-1 {
			fmt.Fprintf(&b, "[[service.call]]\nto = \"s%d\"\n", i+1)
		}
	}
	return b.String()
}

// Each error in a file is reported in one line with the file, the line and the key.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	edit := func(old, new string) string {
		if strings.Count(baseFile, old) != 1 {
			t.Fatalf("%q is not in the file exactly once", old)
		}
		return strings.Replace(baseFile, old, new, 1)
	}
	var chain []string
	for i := range 25 {
		chain = append(chain, fmt.Sprintf("s%d", i))
	}
	for _, c := range []struct{ text, want string }{
		// The text as a whole.
		{"", "f.toml: is empty"},
		{" \n\t\n", "f.toml: is empty"},
		{"# nothing\n", "f.toml:1: service: there is none: an experiment needs one [[service]] at least"},
		{"name = \"x\"\nseed = 1 # \xff\n", "f.toml:2: is not UTF-8 text"},
		{strings.Repeat("#", 1<<20+1), "f.toml: is over 1048576 bytes long"},
		{"seed = 1\nseed =\n", "f.toml:2: unexpected character U+000A at start of value"},
		{"seed = 1\nseed = 2\n", "f.toml:2: key seed is already defined"},
		{"[[service]\nname = 1\n", "f.toml:1: expected ']]' to close array table name"},
		{"seed = 99999999999999999999\n", "f.toml:1: seed: decimal number is too large to fit in a 64-bit signed integer"},

		// Keys and types.
		{edit("rate = 10", "rats = 10"), `f.toml:14: service[0].rats: is not a key that is known here`},
		{edit("rate = 10", "Rate = 10"), `f.toml:14: service[0].Rate: is not a key that is known here`},
		{edit("rate = 10", `"ra\nte" = 10`), `f.toml:14: service[0]."ra\nte": is not a key that is known here`},
		{edit("[[class]]\nname = \"read\"", "[[clas]]\nname = \"read\""), `f.toml:32: clas: is not a key that is known here`},
		{edit(`name = "b"`, `name = 7`), `f.toml:20: service[1].name: is a whole number, not text`},
		{edit("rate = 10", `rate = "10"`), `f.toml:14: service[0].rate: is text, not a number`},
		{edit("front = 2", `front = 2.5`), `f.toml:13: service[0].front: is a number with a fraction, not a whole number`},
		{edit(`"60s"`, `60`), `f.toml:2: duration: is a whole number, not a time such as "250ms"`},
		{edit(`"60s"`, `"60"`), `f.toml:2: duration: "60" is not a time such as "250ms", "6s" or "24h"`},
		{edit(`"60s"`, `1979-05-27`), `f.toml:2: duration: is a date, not a time such as "250ms"`},
		{"region = 3\n", `f.toml:1: region: is a whole number, not a list of tables`},
		{"[region]\nname = \"x\"\n", `f.toml:1: region: is a list of tables, each of which begins with [[region]]`},
		{"[[service]]\n[service.call]\n", `f.toml:2: service[0].call: is a list of tables, each of which begins with [[service.call]]`},
		{"[[network]]\nloss = 0\n", `f.toml:1: network: is one table, not a list of them: [network]`},
		{"[seed]\nx = 0\n", `f.toml:1: seed: is a whole number, not a table`},
		{"seed.x = 0\n", `f.toml:1: seed: is a whole number, not a table`},
		{"network = { loss = 0,\n los = 1 }\n", `f.toml:2: network.los: is not a key that is known here`},
		{"service = [{ name = \"a\" },\n { name = 1 }]\n", `f.toml:2: service[1].name: is a whole number, not text`},

		// Ranges.
		{edit("rate = 10", "rate = -4"), `f.toml:14: service[0].rate: -4 is negative`},
		{edit("rate = 10", "rate = nan"), `f.toml:14: service[0].rate: is not a number`},
		{edit("rate = 10", "rate = inf"), `f.toml:14: service[0].rate: is infinite`},
		{edit("rate = 10", "rate = 2e7"), `f.toml:14: service[0].rate: 20000000 is over 10000000`},
		{edit(`"60s"`, `"0s"`), `f.toml:2: duration: 0s is under 1ms`},
		{edit(`"60s"`, `"-1m"`), `f.toml:2: duration: -1m is negative`},
		{edit(`"60s"`, `"2000000h"`), `f.toml:2: duration: 2000000h is over 168h`},
		{edit(`"60s"`, `"9000000000h"`), `f.toml:2: duration: "9000000000h" is not a time such as "250ms", "6s" or "24h"`},
		{edit("memory_mb = 64", "seed = -1"), `f.toml:3: seed: -1 is negative`},
		{edit("copies = 2\n", "thin = 0.0\n"), `f.toml:29: service[2].thin: 0 is under 0.000001`},
		{edit("copies = 2\n", "thin = 1.5\n"), `f.toml:29: service[2].thin: 1.5 is over 1`},
		{edit("zones = 2", "zones = 300"), `f.toml:7: region[0].zones: 300 is over 256`},
		{edit("copies = 2\nendpoints = 4", "copies = 1000\nendpoints = 2000"), `f.toml:30: service[2].endpoints: makes 2000010 endpoints and sidecars at the front in sum, 1000000 at most`},
		{edit("name = \"b\"\nendpoints = 4", "name = \"b\""), `f.toml:19: service[1].endpoints: is missing`},
		{edit("name = \"b\"\nendpoints = 4", "endpoints = 4"), `f.toml:19: service[1].name: is missing`},
		{edit("to = \"c\"\n", ""), `f.toml:23: service[1].call[0].to: is missing`},

		// References.
		{edit(`to = "c"`, `to = "d"`), `f.toml:24: service[1].call[0].to: there is no service "d"`},
		{edit(`to = "c"`, `to = "c-2"`), `f.toml:24: service[1].call[0].to: there is no service "c-2"`},
		{edit(`to = "c"`, `to = "a"`), `f.toml:24: service[1].call[0].to: services call each other in a circle: a -> b -> a`},
		{edit(`to = "c"`, `to = "b"`), `f.toml:24: service[1].call[0].to: services call each other in a circle: b -> b`},
		{edit("copies = 2\nendpoints = 4\n", "copies = 2\nendpoints = 4\ncall = [{ to = \"a\" }]\n"),
			`f.toml:31: service[2].call[0].to: services call each other in a circle: a -> b -> c -> a`},
		{edit("times = 2\n", "[[service.call]]\nto = \"c\"\n"), `f.toml:26: service[1].call[1].to: c is called by call[0] already: set its times`},
		{serviceChain(25), `f.toml:1: service[0]: calls go 25 deep, 24 at most: ` + strings.Join(chain, " -> ")},
		{edit(`name = "b"`, `name = "a"`), `f.toml:20: service[1].name: a is a service already`},
		{edit(`name = "b"`, `name = "c-1"`), `f.toml:28: service[2].name: c-1 is a service already`},
		{edit(`name = "b"`, `name = "a b"`), `f.toml:20: service[1].name: "a b" is not a name: up to 64 letters, digits, "-", "_" or "."`},
		{edit("front = 2\n", ""), `f.toml:13: service[0].rate: clients come through sidecars at the front, and there are none: set front`},

		// Classes.
		{edit("share = 0.1", "share = 0.2"), `f.toml:38: class[1].share: the shares of all classes add up to 1.1, not to 1`},
		{edit("share = 0.1\n", ""), `f.toml:36: class[1].share: is missing`},
		{edit(`"unsafe"`, `"harmful"`), `f.toml:39: class[1].effect: "harmful" is none of "safe", "keyed" and "unsafe"`},
		{edit("share = 0.1", "share = 0.1\naim = \"3s\""), `f.toml:39: class[1].aim: 3s is over give_up, 1s`},

		// Faults.
		{edit(`"zone"`, `"flood"`), `f.toml:42: fault[0].kind: "flood" is none of machine, rack, zone, split, down, silent, refusing, restart, changes and burst`},
		{edit(`"r-0/1"`, `"r-0/2"`), `f.toml:44: fault[0].target: there is no zone "2" in region r-0: they go from 0 to 1`},
		{edit(`"r-0/1"`, `"r-1/1"`), `f.toml:44: fault[0].target: there is no region "r-1"`},
		{edit(`"r-0/1"`, `"1/1"`), `f.toml:44: fault[0].target: there is no region "1"`},
		{edit(`"r-0/1"`, `"+0/1"`), `f.toml:44: fault[0].target: there is no region "+0"`},
		{edit(`"r-0/1"`, `"r-0/01"`), `f.toml:44: fault[0].target: there is no zone "01" in region r-0: they go from 0 to 1`},
		{edit(`"r-0/1"`, `"r-0"`), `f.toml:44: fault[0].target: "r-0" is not of the form "region/zone"`},
		{edit("target = \"r-0/1\"\n", ""), `f.toml:41: fault[0].target: "" is not of the form "region/zone"`},
		{edit("\"zone\"\nat = \"5s\"\ntarget = \"r-0/1\"", "\"rack\"\ntarget = \"r-0/1/3\""), `f.toml:43: fault[0].target: there is no rack "3" in region r-0: they go from 0 to 2`},
		{edit("\"zone\"\nat = \"5s\"\ntarget = \"r-0/1\"", "\"split\"\ntarget = \"r-0\""), `f.toml:43: fault[0].target: r-0 is the only region, so there is nothing to be split from`},
		{edit("\"zone\"\nat = \"5s\"\ntarget = \"r-0/1\"", "\"machine\"\ntarget = \"z\""), `f.toml:43: fault[0].target: there is no service "z"`},
		{edit("\"zone\"\nat = \"5s\"\ntarget = \"r-0/1\"", "\"machine\"\ntarget = \"c\""), `f.toml:43: fault[0].target: c has 2 copies: name one, such as c-0`},
		{edit("\"zone\"\nat = \"5s\"\ntarget = \"r-0/1\"", "\"restart\"\ncount = 17"), `f.toml:43: fault[0].count: 17 is over the 16 endpoints that there are`},
		{edit("\"zone\"\nat = \"5s\"\ntarget = \"r-0/1\"", "\"burst\"\ntarget = \"b\""), `f.toml:43: fault[0].target: clients make no calls there, so there is nothing to burst`},
		{edit(`"zone"`, `"down"`), `f.toml:44: fault[0].target: a fault of kind down takes none`},
		{baseFile + "count = 2\n", `f.toml:45: fault[0].count: a fault of kind zone takes none`},
		{baseFile + "factor = 2\n", `f.toml:45: fault[0].factor: a fault of kind zone takes none`},
		{edit(`"5s"`, `"60s"`), `f.toml:43: fault[0].at: 1m is after the run, which lasts 1m`},
		{edit(`"5s"`, `"55s"`), `f.toml:43: fault[0].at: it ends at 1m5s, after the run, which lasts 1m`},
		{baseFile + "for = \"1m\"\n", `f.toml:45: fault[0].for: it ends at 1m5s, after the run, which lasts 1m`},
	} {
		_, err := Parse("f.toml", []byte(c.text))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("got  %s\nwant %s", got, c.want)
		}
		if as := (*Error)(nil); err != nil && !errors.As(err, &as) {
			t.Errorf("%v is not an *Error", err)
		}
	}
	if _, err := Parse("f.toml", []byte(serviceChain(24))); err != nil {
		t.Errorf("a chain of 24 services: %v", err)
	}
}

// Read rejects paths that are not regular files, and names an experiment after its file if the text has no name.
func TestReadRejectsNonRegularFiles(t *testing.T) {
	dir := t.TempDir()
	for path, want := range map[string]string{
		filepath.Join(dir, "none"): "there is no such file",
		dir:                        "is a directory, not a file",
		os.DevNull:                 "is not a regular file",
	} {
		if _, err := Read(path); err == nil || err.Error() != path+": "+want {
			t.Errorf("%s: error %v", path, err)
		}
	}
	path := filepath.Join(dir, "first.toml")
	if err := os.WriteFile(path, []byte(serviceChain(2)), 0o600); err != nil {
		t.Fatal(err)
	}
	if e, err := Read(path); err != nil || e.Name != "first" {
		t.Errorf("%+v, error %v", e, err)
	}
}

// The defaults and ranges in the comments of the example are those that the code applies, and each key is documented there.
func TestExampleDocumentsDefaultsAndRanges(t *testing.T) {
	_, err := Parse("f.toml", []byte(serviceChain(2)+"[[fault]]\nkind = \"machine\"\n[[fault]]\nkind = \"burst\"\nfor = \"5s\"\ntarget = \"s0\"\n"))
	if err == nil || !strings.Contains(err.Error(), "nothing to burst") {
		t.Fatalf("error %v", err)
	}
	e, err := Parse("f.toml", []byte(serviceChain(2)+"[[fault]]\nkind = \"machine\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(e.Regions) != 1 || len(e.Classes) != 1 || e.Regions[0].Name != "r-0" || e.Classes[0] != (Class{Name: "read", Share: 1,
		Effect: "safe", TargetLatency: Duration(300 * time.Millisecond), Timeout: Duration(time.Second), Value: 1}) || e.Faults[0].Count != 1 {
		t.Errorf("regions %+v, classes %+v, faults %+v", e.Regions, e.Classes, e.Faults)
	}
	value := func(text string) float64 {
		if d, err := time.ParseDuration(text); err == nil {
			return d.Seconds()
		}
		x, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Errorf("the example contains %q, which is neither a time nor a number", text)
		}
		return x
	}
	almostEqual := func(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Abs(b) }
	assignment := regexp.MustCompile(`^(\w+) = .*?# (.*)$`)
	bounds := regexp.MustCompile(`([0-9][0-9.e]*[a-z]*) to ([0-9][0-9.e]*[a-z]*)`)
	defaultValue := regexp.MustCompile(`default ([0-9.]+[a-z]*)$`)
	section, documented, checked := "", map[string]bool{}, 0
	for line := range strings.Lines(Example) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]") + "."
		}
		m := assignment.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		pattern := section + m[1]
		r, ok := rules[pattern]
		documented[pattern] = true
		if !ok || r == required {
			continue
		}
		if b := bounds.FindStringSubmatch(m[2]); b != nil {
			checked++
			if !almostEqual(value(b[1]), r.lower) || !almostEqual(value(b[2]), r.upper) {
				t.Errorf("%s: the example says %q, the range is %v to %v", pattern, m[2], r.lower, r.upper)
			}
		}
		if d := defaultValue.FindStringSubmatch(m[2]); d != nil && pattern != "fault.count" && pattern != "fault.factor" {
			checked++
			if !almostEqual(value(d[1]), r.defaultValue) {
				t.Errorf("%s: the example says %q, the default is %v", pattern, m[2], r.defaultValue)
			}
		}
	}
	if checked < 50 {
		t.Errorf("only %d ranges and defaults were found in the example", checked)
	}
	for pattern := range rules {
		if !documented[pattern] {
			t.Errorf("the example does not document %s", pattern)
		}
	}
	withRule := map[string]bool{}
	e.visitRuledKeys(func(path string, _ rule, _ reflect.Value) {
		withRule[listIndexPattern.ReplaceAllString(path, "")] = true
	})
	if len(withRule) != len(rules) {
		t.Errorf("%d rules match no key", len(rules)-len(withRule))
	}
}

// Services with copies are expanded to one service for each copy, whose calls go to the copy with the same number.
func TestCopiesAreExpanded(t *testing.T) {
	e, err := Parse("f.toml", []byte(`
[[service]]
name = "a"
copies = 3
endpoints = 5
front = 1
rate = 10
call = [{ to = "b", times = 2 }, { to = "c" }, { to = "b-1" }]
[[service]]
name = "b"
copies = 2
endpoints = 1
[[service]]
name = "c"
endpoints = 1
thin = 0.5
`))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, s := range e.Services {
		got = append(got, fmt.Sprintf("%s%v", s.Name, s.Calls))
	}
	want := []string{"a-0[{b-0 2} {c 1} {b-1 1}]", "a-1[{b-1 2} {c 1} {b-1 1}]", "a-2[{b-0 2} {c 1} {b-1 1}]", "b-0[]", "b-1[]", "c[]"}
	if !slices.Equal(got, want) {
		t.Errorf("services %q", got)
	}
	if e.NumEndpoints() != 18 || e.NumSidecars() != 18 || e.Depth() != 2 {
		t.Errorf("%d endpoints, %d processes, %d deep", e.NumEndpoints(), e.NumSidecars(), e.Depth())
	}
	all, simulated := e.Rates()
	if !slices.Equal(all, []float64{10, 10, 10, 40, 50, 30}) || !slices.Equal(simulated, []float64{10, 10, 10, 40, 50, 15}) {
		t.Errorf("rates %v, simulated %v", all, simulated)
	}
}

// A target refers to a region by its name or its number, and Parse replaces a name by the number.
func TestFaultTargetsByRegionNameAndNumber(t *testing.T) {
	const regions = "[[region]]\nname = \"a\"\nzones = 2\nracks = 3\n[[region]]\nname = \"0\"\nzones = 2\nracks = 3\n"
	for target, want := range map[string]string{"a/1": "0/1", "0/1": "1/1", "1/0": "1/0", "a/1/2": "0/1/2", "a": "0", "1": "1"} {
		kind := []string{"split", "zone", "rack"}[strings.Count(target, "/")]
		e, err := Parse("f.toml", []byte(serviceChain(2)+regions+"[[fault]]\nkind = \""+kind+"\"\ntarget = \""+target+"\"\n"))
		if err != nil || e.Faults[0].Target != want {
			t.Errorf("%s %s: %+v, error %v", kind, target, e, err)
		}
	}
}

// The experiments in the repository are valid and have the sizes that their files state.
func TestExperimentsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, error %v", len(files), err)
	}
	for _, file := range files {
		e, err := Read(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if e.Name != strings.TrimSuffix(filepath.Base(file), ".toml") {
			t.Errorf("%s is named %s", file, e.Name)
		}
		sidecars := map[string]int{"small": 20, "deep": 72, "beside-real-20": 21, "beside-real-60": 61, "discovery-return-20": 20, "discovery-return-60": 60, "restart-wave": 60, "full-size": 2824}
		if want, ok := sidecars[e.Name]; !ok && e.NumSidecars() != 2800 || ok && e.NumSidecars() != want {
			t.Errorf("%s has %d sidecars", file, e.NumSidecars())
		}
		if e.Name != "full-size" {
			continue
		}
		zones, rate := 0, 0.0
		for _, r := range e.Regions {
			zones += r.Zones
		}
		all, _ := e.Rates()
		for _, r := range all {
			rate += r
		}
		if len(e.Services) != 98 || e.NumEndpoints() != 2800 || e.Depth() != 24 || len(e.Regions) != 4 || zones != 11 ||
			math.Abs(rate-470_000) > 100 || e.Discovery.Instances != 10 {
			t.Errorf("%d services, %d endpoints, %d deep, %d regions, %d zones, %.0f calls a second", len(e.Services),
				e.NumEndpoints(), e.Depth(), len(e.Regions), zones, rate)
		}
	}
}

// Any input either parses or yields a one-line *Error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(Example))
	f.Add([]byte(baseFile))
	f.Add([]byte("service = [{name = \"a\", endpoints = 1, call = [{to = \"a\"}]}]"))
	f.Add([]byte("[[service]]\n[[service.call]]\n[service.call.x]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Parse("f.toml", text)
		if err == nil {
			if e.NumEndpoints() < 1 || e.Depth() > MaxDepth {
				t.Errorf("%d endpoints, %d deep", e.NumEndpoints(), e.Depth())
			}
			return
		}
		as := (*Error)(nil)
		if !errors.As(err, &as) || !strings.HasPrefix(err.Error(), "f.toml:") || !utf8.ValidString(err.Error()) {
			t.Errorf("error %q", err)
		}
	})
}
