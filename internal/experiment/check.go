package experiment

import (
	"fmt"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxDepth is the most services that a request may pass through, one calling the next.
const MaxDepth = 24

// Bounds on what an experiment makes of its keys.
const (
	maxServices = 10_000
	maxSize     = 1_000_000 // endpoints and sidecars at the front
	maxZones    = 256       // the decision module counts them in a byte
	maxRate     = 1e8       // calls a second over all services
	shareError  = 1e-3      // that the sum of shares may be off
)

// rule bounds the value of a key, inclusively, and says what it is where the file leaves it out. Times are in seconds.
type rule struct {
	least, most, absent float64
	required            bool
}

const hour = 3600.0

var required = rule{required: true}

// rules names every key that is a number or a time, and the texts that must be given.
var rules = map[string]rule{
	"seed":      {0, math.MaxUint64, 1, false},
	"duration":  {0.001, 168 * hour, 60, false},
	"warmup":    {0, 24 * hour, 10, false},
	"memory_mb": {1, 1 << 24, 4096, false},

	"region.name":  required,
	"region.zones": {1, maxZones, 1, false},
	"region.racks": {1, 10_000, 1, false},

	"service.name":       required,
	"service.copies":     {1, 1000, 1, false},
	"service.endpoints":  {1, 100_000, 0, true},
	"service.front":      {0, 100_000, 0, false},
	"service.rate":       {0, 1e7, 0, false},
	"service.cores":      {0.01, 10_000, 4, false},
	"service.work":       {1e-6, 600, 0.005, false},
	"service.slots":      {1, 1_000_000, 64, false},
	"service.thin":       {1e-6, 1, 1, false},
	"service.call.to":    required,
	"service.call.times": {1e-6, 1000, 1, false},

	"class.name":    required,
	"class.share":   {0, 1, 0, true},
	"class.aim":     {0.001, hour, 0.3, false},
	"class.give_up": {0.001, hour, 1, false},
	"class.worth":   {0, 1e6, 1, false},

	"sidecar.max_attempts":  {1, 16, 3, false},
	"sidecar.drain_grace":   {0, hour, 0.5, false},
	"sidecar.cold_from":     {0.001, 1, 0.2, false},
	"sidecar.ramp":          {0, 24 * hour, 20, false},
	"sidecar.fall_multiple": {1, 1000, 3, false},
	"sidecar.fall_after":    {0.001, hour, 1.5, false},
	"sidecar.ask_every":     {0.01, 24 * hour, 10, false},
	"sidecar.conn_idle":     {0.001, 24 * hour, 60, false},

	"discovery.instances":   {1, 1000, 1, false},
	"discovery.call_time":   {1e-6, 60, 0.002, false},
	"discovery.write_time":  {0, 60, 20e-6, false},
	"discovery.max_wait":    {0.001, hour, 2, false},
	"discovery.lag":         {0, hour, 0.1, false},
	"discovery.entry_bytes": {1, 65536, 150, false},

	"network.same_zone":       {0, 60, 250e-6, false},
	"network.same_region":     {0, 60, 1e-3, false},
	"network.between_regions": {0, 60, 30e-3, false},
	"network.loss":            {0, 0.9, 0, false},
	"network.retransmit":      {0.001, 60, 0.2, false},

	"fault.kind":   required,
	"fault.at":     {0, 168 * hour, 0, false},
	"fault.for":    {0.001, 168 * hour, 10, false},
	"fault.count":  {1, maxSize, 0, false},
	"fault.factor": {0, 1000, 0, false},
}

// kinds are those of faults: what their target is, and what besides it they take.
var kinds = map[string]struct {
	target        string // "", "service", "region", "zone" or "rack"
	count, factor bool
}{
	"machine": {target: "service", count: true}, "rack": {target: "rack"}, "zone": {target: "zone"},
	"split": {target: "region"}, "down": {}, "silent": {}, "refusing": {},
	"restart": {target: "service", count: true}, "changes": {target: "service", count: true},
	"burst": {target: "service", factor: true},
}

// fillIn gives what the file leaves out its default. Faults take Count 1 and Factor 2 where their kind has them.
func (e *Experiment) fillIn() {
	if len(e.Regions) == 0 {
		e.Regions = []Region{{Name: "r-0"}}
	}
	if len(e.Classes) == 0 {
		e.Classes = []Class{{Name: "read"}}
	}
	e.each(func(path string, r rule, v reflect.Value) {
		if !e.source.has(path) && v.Kind() != reflect.String {
			set(v, r.absent)
		}
	})
	if len(e.Classes) == 1 && !e.source.has("class[0].share") {
		e.Classes[0].Share = 1
	}
	for i := range e.Classes {
		if !e.source.has(fmt.Sprintf("class[%d].effect", i)) {
			e.Classes[i].Effect = "safe"
		}
	}
	for i := range e.Faults {
		f, takes := &e.Faults[i], kinds[e.Faults[i].Kind]
		if takes.count && !e.source.has(fmt.Sprintf("fault[%d].count", i)) {
			f.Count = 1
		}
		if takes.factor && !e.source.has(fmt.Sprintf("fault[%d].factor", i)) {
			f.Factor = 2
		}
	}
}

// each visits every value that a rule is about.
func (e *Experiment) each(visit func(path string, r rule, v reflect.Value)) {
	var walk func(path, pattern string, v reflect.Value)
	walk = func(path, pattern string, v reflect.Value) {
		switch {
		case v.Kind() == reflect.Slice:
			for i := range v.Len() {
				walk(fmt.Sprintf("%s[%d]", path, i), pattern, v.Index(i))
			}
		case v.Kind() == reflect.Struct:
			for i := range v.NumField() {
				if tag := v.Type().Field(i).Tag.Get("toml"); tag != "" {
					walk(strings.TrimPrefix(path+"."+tag, "."), strings.TrimPrefix(pattern+"."+tag, "."), v.Field(i))
				}
			}
		default:
			if r, ok := rules[pattern]; ok {
				visit(path, r, v)
			}
		}
	}
	walk("", "", reflect.ValueOf(e).Elem())
}

// set gives a number or time, in seconds, its value.
func set(v reflect.Value, x float64) {
	switch v.Kind() {
	case reflect.Float64:
		v.SetFloat(x)
	case reflect.Uint64:
		v.SetUint(uint64(x))
	case reflect.Int64: // a Duration
		v.SetInt(int64(math.Round(x * float64(time.Second))))
	default:
		v.SetInt(int64(x))
	}
}

// check names the fault that comes first in the file.
func (e *Experiment) check() error {
	c := &checker{e: e}
	e.each(c.bounds)
	if c.names() && len(c.found) == 0 { // what follows takes each value for sound
		c.places = e.places()
		c.graph()
		c.shares()
		c.faults()
	}
	if len(c.found) == 0 {
		return nil
	}
	return slices.MinFunc(c.found, func(a, b *Error) int { return a.Line - b.Line })
}

// checker gathers what is wrong with an experiment.
type checker struct {
	e      *Experiment
	found  []*Error
	places map[string]place
}

func (c *checker) errorf(key, format string, args ...any) {
	c.found = append(c.found, c.e.Errorf(key, format, args...).(*Error))
}

// bounds holds one value against its rule.
func (c *checker) bounds(path string, r rule, v reflect.Value) {
	if !c.e.source.has(path) {
		if r.required && v.IsZero() { // it may have a default where the whole table is left out
			c.errorf(path, "is missing")
		}
		return
	}
	var x, unit float64 = 0, 1
	text := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	switch v.Kind() {
	case reflect.String:
		if v.Len() == 0 {
			c.errorf(path, "is empty")
		}
		return
	case reflect.Float64:
		x = v.Float()
	case reflect.Uint64:
		return // all of them serve
	case reflect.Int64:
		unit = float64(time.Second)
		x = float64(v.Int())
		text = func(x float64) string { return show(Duration(math.Round(x))) }
	default:
		x = float64(v.Int())
	}
	least, most := math.Round(r.least*unit), math.Round(r.most*unit)
	if unit == 1 {
		least, most = r.least, r.most
	}
	switch {
	case math.IsNaN(x):
		c.errorf(path, "is not a number")
	case math.IsInf(x, 0):
		c.errorf(path, "is infinite")
	case x < 0:
		c.errorf(path, "%s is negative", text(x))
	case x < least:
		c.errorf(path, "%s is under %s", text(x), text(least))
	case x > most:
		c.errorf(path, "%s is over %s", text(x), text(most))
	}
}

// show is a time without the parts that are nought at its end.
func show(d Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

var plain = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// names checks that all are plain, and none of a kind is given twice. It tells whether there are few enough to go on.
func (c *checker) names() bool {
	seen := map[string]bool{}
	name := func(kind, path, text string) {
		switch {
		case text == "": // told already
		case !plain.MatchString(text):
			c.errorf(path, "%s is not a name: up to 64 letters, digits, \"-\", \"_\" or \".\"", quoted(text))
		case seen[kind+text]:
			c.errorf(path, "%s is a %s already", text, kind)
		}
		seen[kind+text] = true
	}
	if name("", "name", c.e.Name); c.e.Name == "" {
		c.errorf("name", "is empty")
	}
	zones := 0
	for i, r := range c.e.Regions {
		name("region", fmt.Sprintf("region[%d].name", i), r.Name)
		if zones += min(max(r.Zones, 0), maxZones+1); zones > maxZones {
			c.errorf(fmt.Sprintf("region[%d].zones", i), "makes %d zones in sum, %d at most", zones, maxZones)
			break
		}
	}
	for i, class := range c.e.Classes {
		name("class", fmt.Sprintf("class[%d].name", i), class.Name)
	}
	services, size := 0, 0 // far from an overflow, as each is cut to its bound first
	for i, s := range c.e.Services {
		path := fmt.Sprintf("service[%d]", i)
		name("service", path+".name", s.Name)
		copies := min(max(s.Copies, 1), maxServices)
		if services += copies; services > maxServices {
			c.errorf(path+".copies", "makes %d services in sum, %d at most", services, maxServices)
			return false
		}
		if copies > 1 && s.Name != "" {
			for k := range copies {
				name("service", path+".name", fmt.Sprintf("%s-%d", s.Name, k))
			}
		}
		each := min(max(s.Endpoints, 0), maxSize) + min(max(s.Front, 0), maxSize)
		if size += copies * each; size > maxSize {
			c.errorf(path+".endpoints", "makes %d endpoints and sidecars at the front in sum, %d at most", size, maxSize)
			return false
		}
	}
	return true
}

// quoted is a text that may be long or odd, for an error.
func quoted(text string) string {
	if r := []rune(text); len(r) > 80 {
		text = string(r[:80]) + "..."
	}
	return strconv.Quote(text)
}

// place is a service by its index, and which of its copies is meant, or -1 for all of them.
type place struct{ service, copy int }

// places finds what a name means.
func (e *Experiment) places() map[string]place {
	at := map[string]place{}
	for i, s := range e.Services {
		for k := range s.Copies {
			if s.Copies > 1 {
				at[fmt.Sprintf("%s-%d", s.Name, k)] = place{i, k}
			}
		}
		at[s.Name] = place{i, -1}
	}
	return at
}

// graph checks who calls whom, how deep, and how often.
func (c *checker) graph() {
	all := c.e.Services
	if len(all) == 0 {
		c.errorf("service", "there is none: an experiment needs one [[service]] at least")
		return
	}
	for i, s := range all {
		path := fmt.Sprintf("service[%d]", i)
		if s.Rate > 0 && s.Front == 0 {
			c.errorf(path+".rate", "clients come through sidecars at the front, and there are none: set front")
		}
		called := map[string]int{}
		for k, call := range s.Calls {
			to := fmt.Sprintf("%s.call[%d].to", path, k)
			if call.To == "" { // told already
			} else if _, ok := c.places[call.To]; !ok {
				c.errorf(to, "there is no service %s", quoted(call.To))
			} else if first, twice := called[call.To]; twice {
				c.errorf(to, "%s is called by call[%d] already: set its times", call.To, first)
			}
			called[call.To] = k
		}
	}
	// From each service, depth first: a service that is met on the way to itself closes a circle.
	chains := make([][]int, len(all)) // the longest from each, once known
	var way []int
	var visit func(i int, at string) bool
	visit = func(i int, at string) bool {
		if from := slices.Index(way, i); from >= 0 {
			c.errorf(at, "services call each other in a circle: %s", c.chain(append(way[from:], i)))
			return false
		}
		if chains[i] != nil {
			return true
		}
		way = append(way, i)
		chain := []int{i}
		for k, call := range all[i].Calls {
			path := fmt.Sprintf("service[%d].call[%d].to", i, k)
			to, ok := c.places[call.To]
			if !ok {
				continue
			}
			if !visit(to.service, path) {
				return false
			}
			if next := chains[to.service]; len(next)+1 > len(chain) {
				chain = append([]int{i}, next...)
			}
		}
		way = way[:len(way)-1]
		if chains[i] = chain; len(chain) == MaxDepth+1 {
			c.errorf(fmt.Sprintf("service[%d]", i), "calls go %d deep, %d at most: %s", len(chain), MaxDepth, c.chain(chain))
		}
		return true
	}
	for i := range all {
		if !visit(i, "") {
			return
		}
	}
	rates, _ := c.e.Rates()
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	if total > maxRate {
		c.errorf("service", "%.3g calls a second in sum, %.3g at most", total, maxRate)
	}
}

// chain writes services one calling the next.
func (c *checker) chain(services []int) string {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = c.e.Services[s].Name
	}
	return strings.Join(names, " -> ")
}

// order lists services, callers ahead of those that they call. No service may call itself in a circle.
func (e *Experiment) order() []int {
	places := e.places()
	var out []int
	seen := make([]bool, len(e.Services))
	var visit func(i int)
	visit = func(i int) {
		if seen[i] {
			return
		}
		seen[i] = true
		for _, call := range e.Services[i].Calls {
			if to, ok := places[call.To]; ok {
				visit(to.service)
			}
		}
		out = append(out, i)
	}
	for i := range e.Services {
		visit(i)
	}
	slices.Reverse(out)
	return out
}

// Rates is the calls a second that each service gets, in sum and those that are played, as the clients' calls make
// them without retries and faults. Played calls come from played ones only: no more of a service's calls are played than
// of those that call it.
func (e *Experiment) Rates() (all, played []float64) {
	all, played = make([]float64, len(e.Services)), make([]float64, len(e.Services))
	places := e.places()
	for _, i := range e.order() {
		s := e.Services[i]
		clients := s.Rate * float64(max(s.Copies, 1))
		all[i] += clients
		played[i] += clients * s.Thin
		for _, call := range s.Calls {
			if to, ok := places[call.To]; ok {
				all[to.service] += all[i] * call.Times
				played[to.service] += min(played[i], all[i]*e.Services[to.service].Thin) * call.Times
			}
		}
	}
	return all, played
}

// Depth is the most services that a request passes through, one calling the next.
func (e *Experiment) Depth() int {
	depth, most := make([]int, len(e.Services)), 0
	places := e.places()
	for _, i := range e.order() {
		depth[i]++
		most = max(most, depth[i])
		for _, call := range e.Services[i].Calls {
			if to, ok := places[call.To]; ok {
				depth[to.service] = max(depth[to.service], depth[i])
			}
		}
	}
	return most
}

// shares checks the classes.
func (c *checker) shares() {
	sum := 0.0
	for i, class := range c.e.Classes {
		path := fmt.Sprintf("class[%d]", i)
		sum += class.Share
		if !slices.Contains([]string{"safe", "keyed", "unsafe"}, class.Effect) {
			c.errorf(path+".effect", "%s is none of \"safe\", \"keyed\" and \"unsafe\"", quoted(class.Effect))
		}
		if class.Aim > class.GiveUp {
			c.errorf(path+".aim", "%s is over give_up, %s", show(class.Aim), show(class.GiveUp))
		}
	}
	if !(math.Abs(sum-1) <= shareError) {
		c.errorf(fmt.Sprintf("class[%d].share", len(c.e.Classes)-1), "the shares of all classes add up to %.4g, not to 1", sum)
	}
}

// faults checks each fault's kind, its time, its target and what its kind takes.
func (c *checker) faults() {
	for i, f := range c.e.Faults {
		path := fmt.Sprintf("fault[%d]", i)
		takes, known := kinds[f.Kind]
		if !known {
			if f.Kind != "" {
				c.errorf(path+".kind", "%s is none of machine, rack, zone, split, down, silent, refusing, restart, changes and burst",
					quoted(f.Kind))
			}
			continue
		}
		if f.At >= c.e.Duration {
			c.errorf(path+".at", "%s is after the run, which lasts %s", show(f.At), show(c.e.Duration))
		} else if end := f.At + f.For; end > c.e.Duration {
			key := path + ".for"
			if !c.e.source.has(key) {
				key = path + ".at"
			}
			c.errorf(key, "it ends at %s, after the run, which lasts %s", show(end), show(c.e.Duration))
		}
		if !takes.count && c.e.source.has(path+".count") {
			c.errorf(path+".count", "a fault of kind %s takes none", f.Kind)
		}
		if !takes.factor && c.e.source.has(path+".factor") {
			c.errorf(path+".factor", "a fault of kind %s takes none", f.Kind)
		}
		c.faultTarget(path, f, takes.target)
	}
}

// faultTarget checks that what a fault is about exists.
func (c *checker) faultTarget(path string, f Fault, kind string) {
	key := path + ".target"
	if kind == "" {
		if c.e.source.has(key) {
			c.errorf(key, "a fault of kind %s takes none", f.Kind)
		}
		return
	}
	if kind == "service" {
		endpoints, rate := 0, 0.0
		for _, s := range c.e.Services {
			endpoints += max(s.Copies, 1) * s.Endpoints
			rate += s.Rate
		}
		if f.Target != "" {
			at, ok := c.places[f.Target]
			if !ok {
				c.errorf(key, "there is no service %s", quoted(f.Target))
				return
			}
			s := c.e.Services[at.service]
			if s.Copies > 1 && at.copy < 0 {
				c.errorf(key, "%s has %d copies: name one, such as %s-0", s.Name, s.Copies, s.Name)
				return
			}
			endpoints, rate = s.Endpoints, s.Rate
		} else {
			key = path
		}
		if (f.Kind == "machine" || f.Kind == "restart") && f.Count > endpoints {
			c.errorf(path+".count", "%d is over the %d endpoints that there are", f.Count, endpoints)
		}
		if f.Kind == "burst" && rate == 0 {
			c.errorf(key, "clients make no calls there, so there is nothing to burst")
		}
		return
	}
	parts := strings.Split(f.Target, "/")
	forms := map[string]string{"region": "region", "zone": "region/zone", "rack": "region/zone/rack"}
	if len(parts) != strings.Count(forms[kind], "/")+1 || f.Target == "" {
		c.errorf(key, "%s is not of the form %q", quoted(f.Target), forms[kind])
		return
	}
	i := c.e.region(parts[0])
	if i < 0 {
		c.errorf(key, "there is no region %s", quoted(parts[0]))
		return
	}
	if kind == "region" && len(c.e.Regions) == 1 {
		c.errorf(key, "%s is the only region, so there is nothing to be split from", parts[0])
	}
	r := c.e.Regions[i]
	for k, most := range []int{r.Zones, r.Racks}[:len(parts)-1] {
		if n, err := strconv.Atoi(parts[k+1]); err != nil || n < 0 || n >= most || parts[k+1] != strconv.Itoa(n) {
			c.errorf(key, "there is no %s %s in region %s: they go from 0 to %d",
				[]string{"zone", "rack"}[k], quoted(parts[k+1]), r.Name, most-1)
			return
		}
	}
}

// region finds one by its name or its number from 0; -1 if there is none.
func (e *Experiment) region(text string) int {
	if i := slices.IndexFunc(e.Regions, func(r Region) bool { return r.Name == text }); i >= 0 {
		return i
	}
	if i, err := strconv.Atoi(text); err == nil && i >= 0 && i < len(e.Regions) && text == strconv.Itoa(i) {
		return i
	}
	return -1
}

// dealOut writes services with copies one by one, and regions in targets by their numbers.
func (e *Experiment) dealOut() {
	for i := range e.Faults {
		f := &e.Faults[i]
		if kind := kinds[f.Kind].target; kind == "region" || kind == "zone" || kind == "rack" {
			name, rest, _ := strings.Cut(f.Target, "/")
			f.Target = strings.TrimSuffix(fmt.Sprintf("%d/%s", e.region(name), rest), "/")
		}
	}
	var out []Service
	places := e.places()
	for _, s := range e.Services {
		for k := range s.Copies {
			one := s
			one.Copies, one.Calls = 1, slices.Clone(s.Calls)
			if s.Copies > 1 {
				one.Name = fmt.Sprintf("%s-%d", s.Name, k)
			}
			for n, call := range one.Calls {
				if to := places[call.To]; to.copy < 0 && e.Services[to.service].Copies > 1 {
					one.Calls[n].To = fmt.Sprintf("%s-%d", call.To, k%e.Services[to.service].Copies)
				}
			}
			out = append(out, one)
		}
	}
	e.Services = out
}

// Endpoints counts those of all services.
func (e *Experiment) Endpoints() int {
	n := 0
	for _, s := range e.Services {
		n += max(s.Copies, 1) * s.Endpoints
	}
	return n
}

// Processes counts the sidecars: those at the front, and one for each endpoint of a service that calls others.
func (e *Experiment) Processes() int {
	n := 0
	for _, s := range e.Services {
		each := s.Front
		if len(s.Calls) > 0 {
			each += s.Endpoints
		}
		n += max(s.Copies, 1) * each
	}
	return n
}
