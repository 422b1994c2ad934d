package sidecar

import (
	"encoding/json"
	"fmt"
	"go/scanner"
	"go/token"
	"io/fs"
	"math/rand/v2"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"forkline/internal/wire"
)

// names are of one deployment.
type names struct {
	classes, tenants, zones, kinds []string
	escaped                        bool // classes in paths are percent-encoded
}

// drawn are so many names of random letters from an alphabet.
func drawn(r *rand.Rand, many int, alphabet string) []string {
	letters := []rune(alphabet)
	all := make([]string, many)
	for i := range all {
		for range 1 + r.IntN(20) {
			all[i] += string(letters[r.IntN(len(letters))])
		}
		all[i] += fmt.Sprint("-", i) // no two are the same
	}
	return all
}

// traffic sends a request of each class for each tenant through a sidecar of that deployment. All are served, also for
// a tenant that the settings don't name and by servers of such zones and kinds; a class that they don't name is not found.
func traffic(t *testing.T, n names) {
	effects, methods := []string{"read_like", "non_idempotent", "idempotency_key"}, []string{"GET", "POST", "POST"}
	var classes, parties []map[string]any
	for i, c := range n.classes {
		classes = append(classes, map[string]any{"name": c, "aim": 5000, "giveUp": 20000, "effect": effects[i%3], "dedupWindow": 10000})
	}
	for _, p := range n.tenants {
		parties = append(parties, map[string]any{"name": p, "quotaPerS": 1000})
	}
	text, err := json.Marshal(map[string]any{
		"balancers": 1, "stages": []string{"a"}, "zones": n.zones, "kinds": n.kinds, "classes": classes, "parties": parties,
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg := config(t)
	if cfg.Site, err = wire.ParseSite(text); err != nil {
		t.Fatal(err)
	}
	zones, kinds := append(slices.Clone(n.zones), "unnamed"), append(slices.Clone(n.kinds), "unnamed")
	for i := range max(len(zones), len(kinds)) {
		cfg.InitialList.Targets = append(cfg.InitialList.Targets, Target{
			UID: fmt.Sprint("s-", i), Endpoint: script(t, echo).Addr().String(),
			Zone: zones[i%len(zones)], Kind: kinds[i%len(kinds)], State: "Ready",
		})
	}
	s := start(t, cfg)
	c := dial(t, s)
	for i, class := range n.classes {
		for j, tenant := range append(slices.Clone(n.tenants), "unnamed") {
			path := "/" + class + "/x"
			if n.escaped {
				path = "/" + url.PathEscape(class) + "/x"
			}
			id := fmt.Sprint(i, "-", j)
			fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: b\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Request-Id: %s\r\n"+
				"Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n", methods[i%3], path, class, tenant, id)
			if res, body := c.answer(t); res.StatusCode != 200 || body != fmt.Sprint(methods[i%3], " ", path, " ", id, " k") {
				t.Fatalf("class %q, tenant %q: status %d, body %q", class, tenant, res.StatusCode, body)
			}
		}
	}
	c.send("GET", "unnamed", "")
	if res, _ := c.answer(t); res.StatusCode != 404 {
		t.Errorf("status %d for a class that is not named", res.StatusCode)
	}
}

// A deployment may give its classes, tenants, zones and kinds any names, and any number of them: all works the same.
func TestAnyNamesServe(t *testing.T) {
	const plain = "abcdefghijklmnopqrstuvwxyz"
	const odd = plain + "ABC0189-._~!$&'()*+,;=:@" // all that may stand in a path as it is
	const foreign = odd + "äß漢🙂 %?#/\"<>[]^`{|}"   // all that may stand in a header
	r := rand.New(rand.NewPCG(1, 2))
	for name, n := range map[string]names{
		"plain":                {classes: drawn(r, 3, plain), tenants: drawn(r, 3, plain), zones: drawn(r, 3, plain), kinds: drawn(r, 2, plain)},
		"odd":                  {classes: drawn(r, 6, odd), tenants: drawn(r, 3, foreign), zones: drawn(r, 3, foreign), kinds: drawn(r, 2, foreign)},
		"escaped":              {classes: drawn(r, 12, foreign), tenants: drawn(r, 3, foreign), escaped: true},
		"one class alone":      {classes: drawn(r, 1, plain)},
		"many of all":          {classes: drawn(r, 60, plain), tenants: drawn(r, 8, plain), zones: drawn(r, 40, plain), kinds: drawn(r, 40, plain)},
		"no zones":             {classes: drawn(r, 3, plain), tenants: drawn(r, 2, plain), kinds: drawn(r, 2, plain)},
		"no tenants":           {classes: drawn(r, 3, plain), zones: drawn(r, 3, plain), kinds: drawn(r, 2, plain)},
		"words of the program": {classes: []string{"-", "all", "x"}, tenants: []string{"", "default"}, zones: []string{"", "0"}, kinds: []string{""}},
	} {
		t.Run(name, func(t *testing.T) { traffic(t, n) })
	}
}

// literals are the strings and characters of a Go file, one a line, as the words of its code are no names; of another
// file it is all.
func literals(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil || !strings.HasSuffix(path, ".go") {
		return string(text), err
	}
	var all strings.Builder
	var s scanner.Scanner
	files := token.NewFileSet()
	s.Init(files.AddFile(path, files.Base(), len(text)), text, nil, 0)
	for {
		switch _, tok, lit := s.Scan(); tok {
		case token.EOF:
			return all.String(), nil
		case token.STRING, token.CHAR:
			fmt.Fprintln(&all, lit)
		}
	}
}

// No name of a deployment stands in the program, all that the deploy file names: what it is told comes from the
// settings alone.
func TestNoNamesOfADeploymentInTheProgram(t *testing.T) {
	root := filepath.Join("..", "..")
	sites, err := filepath.Glob(filepath.Join(root, "deploy", "sites", "*", "*.toml"))
	if err != nil || len(sites) == 0 {
		t.Fatalf("%d settings, error %v", len(sites), err)
	}
	named, listed := regexp.MustCompile(`(?m)^name = "(.+)"$`), regexp.MustCompile(`(?m)^(?:zones|tenants) = \[(.+)\]$`)
	var all []string
	for _, path := range sites {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range named.FindAllStringSubmatch(string(text), -1) {
			all = append(all, m[1])
		}
		for _, m := range listed.FindAllStringSubmatch(string(text), -1) {
			for name := range strings.SplitSeq(m[1], ",") {
				all = append(all, strings.Trim(name, ` "`))
			}
		}
	}
	if len(all) < 2*len(sites) {
		t.Fatalf("only the names %q were found", all)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	program := []string{"deploy/balancer.toml", "api.go", "settings.go", "cmd/forkline-sim"}
	for _, m := range regexp.MustCompile(`(?m)^(?:policy|node) = (\[.+\])$`).FindAllStringSubmatch(string(deploy), -1) {
		var paths []string
		if err := json.Unmarshal([]byte(m[1]), &paths); err != nil {
			t.Fatal(err)
		}
		program = append(program, paths...)
	}
	if len(program) < 5 {
		t.Fatalf("the deploy file names only %q", program)
	}
	for _, part := range program {
		err = filepath.WalkDir(filepath.Join(root, part), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || strings.HasSuffix(path, "_test.go") || !strings.HasSuffix(path, ".go") && d.Name() != "balancer.toml" {
				return err
			}
			text, err := literals(path)
			for _, name := range all {
				if regexp.MustCompile(`\b` + regexp.QuoteMeta(name) + `\b`).MatchString(text) {
					t.Errorf("%s has the name %q", path, name)
				}
			}
			return err
		})
		if err != nil {
			t.Error(err)
		}
	}
}
