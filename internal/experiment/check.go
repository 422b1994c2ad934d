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

// MaxDepth is the maximum number of services in a chain of calls.
const MaxDepth = 24

// Limits on values that are derived from several keys.
const (
	maxServices    = 10_000
	maxInstances   = 1_000_000 // endpoints and front sidecars
	maxZones       = 256       // the decision module stores a zone in one byte
	maxRate        = 1e8       // calls per second over all services
	shareTolerance = 1e-3      // allowed deviation of the sum of class shares from 1
)

// rule holds the inclusive bounds of a key's value and its default. Times are in seconds.
type rule struct {
	lower, upper, defaultValue float64
	required                   bool
}

const hour = 3600.0

var required = rule{required: true}

// rules has an entry for every key that is a number or a time, and for every required string. The map keys are paths of
// TOML names without list indexes.
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
	"fault.count":  {1, maxInstances, 0, false},
	"fault.factor": {0, 1000, 0, false},
}

// faultKinds maps each kind of fault to the form of its target and the other keys that it accepts.
var faultKinds = map[string]struct {
	target        string // "", "service", "region", "zone" or "rack"
	count, factor bool
}{
	"machine": {target: "service", count: true}, "rack": {target: "rack"}, "zone": {target: "zone"},
	"split": {target: "region"}, "down": {}, "silent": {}, "refusing": {},
	"restart": {target: "service", count: true}, "changes": {target: "service", count: true},
	"burst": {target: "service", factor: true},
}

// applyDefaults sets the default of every key that the file omits. Count defaults to 1 and Factor to 2 for the kinds of
// fault that accept them.
func (e *Experiment) applyDefaults() {
	if len(e.Regions) == 0 {
		e.Regions = []Region{{Name: "r-0"}}
	}
	if len(e.Classes) == 0 {
		e.Classes = []Class{{Name: "read"}}
	}
	e.visitRuledKeys(func(path string, r rule, v reflect.Value) {
		if !e.source.hasKey(path) && v.Kind() != reflect.String {
			setNumber(v, r.defaultValue)
		}
	})
	if len(e.Classes) == 1 && !e.source.hasKey("class[0].share") {
		e.Classes[0].Share = 1
	}
	for i := range e.Classes {
		if !e.source.hasKey(fmt.Sprintf("class[%d].effect", i)) {
			e.Classes[i].Effect = "safe"
		}
	}
	for i := range e.Faults {
		f, kind := &e.Faults[i], faultKinds[e.Faults[i].Kind]
		if kind.count && !e.source.hasKey(fmt.Sprintf("fault[%d].count", i)) {
			f.Count = 1
		}
		if kind.factor && !e.source.hasKey(fmt.Sprintf("fault[%d].factor", i)) {
			f.Factor = 2
		}
	}
}

// visitRuledKeys calls visit for every value that has a rule.
func (e *Experiment) visitRuledKeys(visit func(path string, r rule, v reflect.Value)) {
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

// setNumber sets v, a number or a Duration, to x. For a Duration x is in seconds.
func setNumber(v reflect.Value, x float64) {
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

// validate returns the error that comes first in the file, or nil.
func (e *Experiment) validate() error {
	c := &checker{e: e}
	e.visitRuledKeys(c.checkBounds)
	if c.checkNames() && len(c.errs) == 0 { // the checks below rely on valid values
		c.serviceRefs = e.serviceRefs()
		c.checkCallGraph()
		c.checkClasses()
		c.checkFaults()
	}
	if len(c.errs) == 0 {
		return nil
	}
	return slices.MinFunc(c.errs, func(a, b *Error) int { return a.Line - b.Line })
}

// checker collects the errors of an experiment.
type checker struct {
	e           *Experiment
	errs        []*Error
	serviceRefs map[string]serviceRef
}

func (c *checker) addErrorf(key, format string, args ...any) {
	c.errs = append(c.errs, c.e.Errorf(key, format, args...).(*Error))
}

// checkBounds checks one value against its rule.
func (c *checker) checkBounds(path string, r rule, v reflect.Value) {
	if !c.e.source.hasKey(path) {
		if r.required && v.IsZero() { // the value may be set where the file omits the whole table
			c.addErrorf(path, "is missing")
		}
		return
	}
	var x, unit float64 = 0, 1
	format := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	switch v.Kind() {
	case reflect.String:
		if v.Len() == 0 {
			c.addErrorf(path, "is empty")
		}
		return
	case reflect.Float64:
		x = v.Float()
	case reflect.Uint64:
		return // every uint64 is valid
	case reflect.Int64:
		unit = float64(time.Second)
		x = float64(v.Int())
		format = func(x float64) string { return formatDuration(Duration(math.Round(x))) }
	default:
		x = float64(v.Int())
	}
	lo, hi := math.Round(r.lower*unit), math.Round(r.upper*unit)
	if unit == 1 {
		lo, hi = r.lower, r.upper
	}
	switch {
	case math.IsNaN(x):
		c.addErrorf(path, "is not a number")
	case math.IsInf(x, 0):
		c.addErrorf(path, "is infinite")
	case x < 0:
		c.addErrorf(path, "%s is negative", format(x))
	case x < lo:
		c.addErrorf(path, "%s is under %s", format(x), format(lo))
	case x > hi:
		c.addErrorf(path, "%s is over %s", format(x), format(hi))
	}
}

// formatDuration formats d without trailing zero parts: "1h" instead of "1h0m0s".
func formatDuration(d Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checkNames checks that all names have valid characters and are unique within their kind. It returns false if the
// experiment has too many services or instances to check it further.
func (c *checker) checkNames() bool {
	seen := map[string]bool{}
	checkName := func(kind, path, text string) {
		switch {
		case text == "": // already reported
		case !namePattern.MatchString(text):
			c.addErrorf(path, "%s is not a name: up to 64 letters, digits, \"-\", \"_\" or \".\"", quoteShort(text))
		case seen[kind+text]:
			c.addErrorf(path, "%s is a %s already", text, kind)
		}
		seen[kind+text] = true
	}
	if checkName("", "name", c.e.Name); c.e.Name == "" {
		c.addErrorf("name", "is empty")
	}
	zones := 0
	for i, r := range c.e.Regions {
		checkName("region", fmt.Sprintf("region[%d].name", i), r.Name)
		if zones += min(max(r.Zones, 0), maxZones+1); zones > maxZones {
			c.addErrorf(fmt.Sprintf("region[%d].zones", i), "makes %d zones in sum, %d at most", zones, maxZones)
			break
		}
	}
	for i, class := range c.e.Classes {
		checkName("class", fmt.Sprintf("class[%d].name", i), class.Name)
	}
	services, instances := 0, 0 // cannot overflow, as each summand is clamped first
	for i, s := range c.e.Services {
		path := fmt.Sprintf("service[%d]", i)
		checkName("service", path+".name", s.Name)
		copies := min(max(s.Copies, 1), maxServices)
		if services += copies; services > maxServices {
			c.addErrorf(path+".copies", "makes %d services in sum, %d at most", services, maxServices)
			return false
		}
		if copies > 1 && s.Name != "" {
			for k := range copies {
				checkName("service", path+".name", fmt.Sprintf("%s-%d", s.Name, k))
			}
		}
		perCopy := min(max(s.Endpoints, 0), maxInstances) + min(max(s.FrontSidecars, 0), maxInstances)
		if instances += copies * perCopy; instances > maxInstances {
			c.addErrorf(path+".endpoints", "makes %d endpoints and sidecars at the front in sum, %d at most", instances, maxInstances)
			return false
		}
	}
	return true
}

// quoteShort quotes text for an error message, cut to 80 characters.
func quoteShort(text string) string {
	if r := []rune(text); len(r) > 80 {
		text = string(r[:80]) + "..."
	}
	return strconv.Quote(text)
}

// serviceRef refers to a service by its index and to one of its copies; copy is -1 for all of them.
type serviceRef struct{ service, copy int }

// serviceRefs maps the names of services, and of their copies, to what they refer to.
func (e *Experiment) serviceRefs() map[string]serviceRef {
	refs := map[string]serviceRef{}
	for i, s := range e.Services {
		for k := range s.Copies {
			if s.Copies > 1 {
				refs[fmt.Sprintf("%s-%d", s.Name, k)] = serviceRef{i, k}
			}
		}
		refs[s.Name] = serviceRef{i, -1}
	}
	return refs
}

// checkCallGraph checks that all called services exist, that there are no cycles, and the depth and the total rate of calls.
func (c *checker) checkCallGraph() {
	services := c.e.Services
	if len(services) == 0 {
		c.addErrorf("service", "there is none: an experiment needs one [[service]] at least")
		return
	}
	for i, s := range services {
		path := fmt.Sprintf("service[%d]", i)
		if s.ClientRate > 0 && s.FrontSidecars == 0 {
			c.addErrorf(path+".rate", "clients come through sidecars at the front, and there are none: set front")
		}
		callIndex := map[string]int{}
		for k, call := range s.Calls {
			to := fmt.Sprintf("%s.call[%d].to", path, k)
			if call.To == "" { // already reported
			} else if _, ok := c.serviceRefs[call.To]; !ok {
				c.addErrorf(to, "there is no service %s", quoteShort(call.To))
			} else if first, duplicate := callIndex[call.To]; duplicate {
				c.addErrorf(to, "%s is called by call[%d] already: set its times", call.To, first)
			}
			callIndex[call.To] = k
		}
	}
	// Depth-first search from each service: meeting a service that is on the stack means a cycle.
	longest := make([][]int, len(services)) // longest call chain from each service, nil until computed
	var stack []int
	var visit func(i int, callPath string) bool
	visit = func(i int, callPath string) bool {
		if from := slices.Index(stack, i); from >= 0 {
			c.addErrorf(callPath, "services call each other in a circle: %s", c.formatChain(append(stack[from:], i)))
			return false
		}
		if longest[i] != nil {
			return true
		}
		stack = append(stack, i)
		chain := []int{i}
		for k, call := range services[i].Calls {
			path := fmt.Sprintf("service[%d].call[%d].to", i, k)
			to, ok := c.serviceRefs[call.To]
			if !ok {
				continue
			}
			if !visit(to.service, path) {
				return false
			}
			if next := longest[to.service]; len(next)+1 > len(chain) {
				chain = append([]int{i}, next...)
			}
		}
		stack = stack[:len(stack)-1]
		if longest[i] = chain; len(chain) == MaxDepth+1 {
			c.addErrorf(fmt.Sprintf("service[%d]", i), "calls go %d deep, %d at most: %s", len(chain), MaxDepth, c.formatChain(chain))
		}
		return true
	}
	for i := range services {
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
		c.addErrorf("service", "%.3g calls a second in sum, %.3g at most", total, maxRate)
	}
}

// formatChain formats a chain of calls as "a -> b -> c".
func (c *checker) formatChain(services []int) string {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = c.e.Services[s].Name
	}
	return strings.Join(names, " -> ")
}

// callersFirst returns the indexes of all services in topological order, callers before the services that they call. The
// call graph must have no cycles.
func (e *Experiment) callersFirst() []int {
	refs := e.serviceRefs()
	var order []int
	seen := make([]bool, len(e.Services))
	var visit func(i int)
	visit = func(i int) {
		if seen[i] {
			return
		}
		seen[i] = true
		for _, call := range e.Services[i].Calls {
			if to, ok := refs[call.To]; ok {
				visit(to.service)
			}
		}
		order = append(order, i)
	}
	for i := range e.Services {
		visit(i)
	}
	slices.Reverse(order)
	return order
}

// Rates returns the calls per second that each service receives without retries and faults: all of them, and those that
// are simulated. Only simulated calls make simulated calls, so a service's simulated share is at most that of its callers.
func (e *Experiment) Rates() (all, simulated []float64) {
	all, simulated = make([]float64, len(e.Services)), make([]float64, len(e.Services))
	refs := e.serviceRefs()
	for _, i := range e.callersFirst() {
		s := e.Services[i]
		clients := s.ClientRate * float64(max(s.Copies, 1))
		all[i] += clients
		simulated[i] += clients * s.SimulatedShare
		for _, call := range s.Calls {
			if to, ok := refs[call.To]; ok {
				all[to.service] += all[i] * call.Times
				simulated[to.service] += min(simulated[i], all[i]*e.Services[to.service].SimulatedShare) * call.Times
			}
		}
	}
	return all, simulated
}

// Depth returns the number of services in the longest chain of calls.
func (e *Experiment) Depth() int {
	depth, deepest := make([]int, len(e.Services)), 0
	refs := e.serviceRefs()
	for _, i := range e.callersFirst() {
		depth[i]++
		deepest = max(deepest, depth[i])
		for _, call := range e.Services[i].Calls {
			if to, ok := refs[call.To]; ok {
				depth[to.service] = max(depth[to.service], depth[i])
			}
		}
	}
	return deepest
}

// checkClasses checks the effects and timeouts of the classes, and that their shares add up to 1.
func (c *checker) checkClasses() {
	sum := 0.0
	for i, class := range c.e.Classes {
		path := fmt.Sprintf("class[%d]", i)
		sum += class.Share
		if !slices.Contains([]string{"safe", "keyed", "unsafe"}, class.Effect) {
			c.addErrorf(path+".effect", "%s is none of \"safe\", \"keyed\" and \"unsafe\"", quoteShort(class.Effect))
		}
		if class.TargetLatency > class.Timeout {
			c.addErrorf(path+".aim", "%s is over give_up, %s", formatDuration(class.TargetLatency), formatDuration(class.Timeout))
		}
	}
	if !(math.Abs(sum-1) <= shareTolerance) {
		c.addErrorf(fmt.Sprintf("class[%d].share", len(c.e.Classes)-1), "the shares of all classes add up to %.4g, not to 1", sum)
	}
}

// checkFaults checks the kind, the times and the target of each fault, and that it has no keys that its kind does not accept.
func (c *checker) checkFaults() {
	for i, f := range c.e.Faults {
		path := fmt.Sprintf("fault[%d]", i)
		kind, ok := faultKinds[f.Kind]
		if !ok {
			if f.Kind != "" {
				c.addErrorf(path+".kind", "%s is none of machine, rack, zone, split, down, silent, refusing, restart, changes and burst",
					quoteShort(f.Kind))
			}
			continue
		}
		if f.At >= c.e.Duration {
			c.addErrorf(path+".at", "%s is after the run, which lasts %s", formatDuration(f.At), formatDuration(c.e.Duration))
		} else if end := f.At + f.Duration; end > c.e.Duration {
			key := path + ".for"
			if !c.e.source.hasKey(key) {
				key = path + ".at"
			}
			c.addErrorf(key, "it ends at %s, after the run, which lasts %s", formatDuration(end), formatDuration(c.e.Duration))
		}
		if !kind.count && c.e.source.hasKey(path+".count") {
			c.addErrorf(path+".count", "a fault of kind %s takes none", f.Kind)
		}
		if !kind.factor && c.e.source.hasKey(path+".factor") {
			c.addErrorf(path+".factor", "a fault of kind %s takes none", f.Kind)
		}
		c.checkFaultTarget(path, f, kind.target)
	}
}

// checkFaultTarget checks that the target of a fault exists.
func (c *checker) checkFaultTarget(path string, f Fault, targetKind string) {
	key := path + ".target"
	if targetKind == "" {
		if c.e.source.hasKey(key) {
			c.addErrorf(key, "a fault of kind %s takes none", f.Kind)
		}
		return
	}
	if targetKind == "service" {
		endpoints, rate := 0, 0.0
		for _, s := range c.e.Services {
			endpoints += max(s.Copies, 1) * s.Endpoints
			rate += s.ClientRate
		}
		if f.Target != "" {
			ref, ok := c.serviceRefs[f.Target]
			if !ok {
				c.addErrorf(key, "there is no service %s", quoteShort(f.Target))
				return
			}
			s := c.e.Services[ref.service]
			if s.Copies > 1 && ref.copy < 0 {
				c.addErrorf(key, "%s has %d copies: name one, such as %s-0", s.Name, s.Copies, s.Name)
				return
			}
			endpoints, rate = s.Endpoints, s.ClientRate
		} else {
			key = path
		}
		if (f.Kind == "machine" || f.Kind == "restart") && f.Count > endpoints {
			c.addErrorf(path+".count", "%d is over the %d endpoints that there are", f.Count, endpoints)
		}
		if f.Kind == "burst" && rate == 0 {
			c.addErrorf(key, "clients make no calls there, so there is nothing to burst")
		}
		return
	}
	parts := strings.Split(f.Target, "/")
	forms := map[string]string{"region": "region", "zone": "region/zone", "rack": "region/zone/rack"}
	if len(parts) != strings.Count(forms[targetKind], "/")+1 || f.Target == "" {
		c.addErrorf(key, "%s is not of the form %q", quoteShort(f.Target), forms[targetKind])
		return
	}
	i := c.e.regionIndex(parts[0])
	if i < 0 {
		c.addErrorf(key, "there is no region %s", quoteShort(parts[0]))
		return
	}
	if targetKind == "region" && len(c.e.Regions) == 1 {
		c.addErrorf(key, "%s is the only region, so there is nothing to be split from", parts[0])
	}
	r := c.e.Regions[i]
	for k, count := range []int{r.Zones, r.Racks}[:len(parts)-1] {
		if n, err := strconv.Atoi(parts[k+1]); err != nil || n < 0 || n >= count || parts[k+1] != strconv.Itoa(n) {
			c.addErrorf(key, "there is no %s %s in region %s: they go from 0 to %d",
				[]string{"zone", "rack"}[k], quoteShort(parts[k+1]), r.Name, count-1)
			return
		}
	}
}

// regionIndex returns the index of the region with the given name or number, or -1 if there is none.
func (e *Experiment) regionIndex(text string) int {
	if i := slices.IndexFunc(e.Regions, func(r Region) bool { return r.Name == text }); i >= 0 {
		return i
	}
	if i, err := strconv.Atoi(text); err == nil && i >= 0 && i < len(e.Regions) && text == strconv.Itoa(i) {
		return i
	}
	return -1
}

// expandCopies replaces each service that has copies by one service for each copy, and region names in the targets of
// faults by region numbers.
func (e *Experiment) expandCopies() {
	for i := range e.Faults {
		f := &e.Faults[i]
		if kind := faultKinds[f.Kind].target; kind == "region" || kind == "zone" || kind == "rack" {
			name, rest, _ := strings.Cut(f.Target, "/")
			f.Target = strings.TrimSuffix(fmt.Sprintf("%d/%s", e.regionIndex(name), rest), "/")
		}
	}
	var services []Service
	refs := e.serviceRefs()
	for _, s := range e.Services {
		for k := range s.Copies {
			expanded := s
			expanded.Copies, expanded.Calls = 1, slices.Clone(s.Calls)
			if s.Copies > 1 {
				expanded.Name = fmt.Sprintf("%s-%d", s.Name, k)
			}
			for n, call := range expanded.Calls {
				if to := refs[call.To]; to.copy < 0 && e.Services[to.service].Copies > 1 {
					expanded.Calls[n].To = fmt.Sprintf("%s-%d", call.To, k%e.Services[to.service].Copies)
				}
			}
			services = append(services, expanded)
		}
	}
	e.Services = services
}

// NumEndpoints returns the number of endpoints of all services.
func (e *Experiment) NumEndpoints() int {
	n := 0
	for _, s := range e.Services {
		n += max(s.Copies, 1) * s.Endpoints
	}
	return n
}

// NumSidecars returns the number of sidecars: all front sidecars, and one for each endpoint of a service that calls others.
func (e *Experiment) NumSidecars() int {
	n := 0
	for _, s := range e.Services {
		perCopy := s.FrontSidecars
		if len(s.Calls) > 0 {
			perCopy += s.Endpoints
		}
		n += max(s.Copies, 1) * perCopy
	}
	return n
}
