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

// deploymentNames are the names in the settings of a deployment.
type deploymentNames struct {
	classes, tenants, zones, kinds []string
	escaped                        bool // class names in paths are percent-encoded
}

// randomNames returns distinct names of random letters from an alphabet.
func randomNames(r *rand.Rand, count int, alphabet string) []string {
	letters := []rune(alphabet)
	names := make([]string, count)
	for i := range names {
		for range 1 + r.IntN(20) {
			names[i] += string(letters[r.IntN(len(letters))])
		}
		names[i] += fmt.Sprint("-", i) // makes the names distinct
	}
	return names
}

// checkTraffic sends a request of each class for each tenant through a sidecar with the given names. Every request must be
// served, including those for a tenant that is not in the settings and those sent to servers whose zone or kind is not. A
// request of a class that is not in the settings must get 404.
func checkTraffic(t *testing.T, n deploymentNames) {
	effects, methods := []string{"read_like", "non_idempotent", "idempotency_key"}, []string{"GET", "POST", "POST"}
	var classes, tenants []map[string]any
	for i, c := range n.classes {
		classes = append(classes, map[string]any{"name": c, "aim": 5000, "giveUp": 20000, "effect": effects[i%3], "dedupWindow": 10000})
	}
	for _, tenant := range n.tenants {
		tenants = append(tenants, map[string]any{"name": tenant, "quotaPerS": 1000})
	}
	text, err := json.Marshal(map[string]any{
		"balancers": 1, "stages": []string{"a"}, "zones": n.zones, "kinds": n.kinds, "classes": classes, "parties": tenants,
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t)
	if cfg.Site, err = wire.ParseSite(text); err != nil {
		t.Fatal(err)
	}
	zones, kinds := append(slices.Clone(n.zones), "unnamed"), append(slices.Clone(n.kinds), "unnamed")
	for i := range max(len(zones), len(kinds)) {
		cfg.InitialList.Targets = append(cfg.InitialList.Targets, Target{
			UID: fmt.Sprint("s-", i), Endpoint: startServer(t, echo).Addr().String(),
			Zone: zones[i%len(zones)], Kind: kinds[i%len(kinds)], State: "Ready",
		})
	}
	s := startSidecar(t, cfg)
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
			if res, body := c.readResponse(t); res.StatusCode != 200 || body != fmt.Sprint(methods[i%3], " ", path, " ", id, " k") {
				t.Fatalf("class %q, tenant %q: status %d, body %q", class, tenant, res.StatusCode, body)
			}
		}
	}
	c.send("GET", "unnamed", "")
	if res, _ := c.readResponse(t); res.StatusCode != 404 {
		t.Errorf("status %d of an unknown class, want 404", res.StatusCode)
	}
}

// A deployment may have any number of classes, tenants, zones and kinds, with any names. All must be served.
func TestAnyNamesAreServed(t *testing.T) {
	const plain = "abcdefghijklmnopqrstuvwxyz"
	const odd = plain + "ABC0189-._~!$&'()*+,;=:@" // all characters that are not escaped in a path
	const foreign = odd + "äß漢🙂 %?#/\"<>[]^`{|}"   // all kinds of characters that a header may contain
	r := rand.New(rand.NewPCG(1, 2))
	for name, n := range map[string]deploymentNames{
		"plain":                {classes: randomNames(r, 3, plain), tenants: randomNames(r, 3, plain), zones: randomNames(r, 3, plain), kinds: randomNames(r, 2, plain)},
		"odd":                  {classes: randomNames(r, 6, odd), tenants: randomNames(r, 3, foreign), zones: randomNames(r, 3, foreign), kinds: randomNames(r, 2, foreign)},
		"escaped":              {classes: randomNames(r, 12, foreign), tenants: randomNames(r, 3, foreign), escaped: true},
		"one class alone":      {classes: randomNames(r, 1, plain)},
		"many of all":          {classes: randomNames(r, 60, plain), tenants: randomNames(r, 8, plain), zones: randomNames(r, 40, plain), kinds: randomNames(r, 40, plain)},
		"no zones":             {classes: randomNames(r, 3, plain), tenants: randomNames(r, 2, plain), kinds: randomNames(r, 2, plain)},
		"no tenants":           {classes: randomNames(r, 3, plain), zones: randomNames(r, 3, plain), kinds: randomNames(r, 2, plain)},
		"words of the program": {classes: []string{"-", "all", "x"}, tenants: []string{"", "default"}, zones: []string{"", "0"}, kinds: []string{""}},
	} {
		t.Run(name, func(t *testing.T) { checkTraffic(t, n) })
	}
}

// literals returns the string and character literals of a Go file, one per line, because its identifiers are not names of
// a deployment. It returns the full text of any other file.
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

// No file of the program that the deployment file lists may contain a name of a deployment. These names must come from the
// settings only.
func TestProgramContainsNoDeploymentNames(t *testing.T) {
	root := filepath.Join("..", "..")
	sites, err := filepath.Glob(filepath.Join(root, "deploy", "sites", "*", "*.toml"))
	if err != nil || len(sites) == 0 {
		t.Fatalf("%d site files, error %v", len(sites), err)
	}
	nameKey, nameLists := regexp.MustCompile(`(?m)^name = "(.+)"$`), regexp.MustCompile(`(?m)^(?:zones|tenants) = \[(.+)\]$`)
	var names []string
	for _, path := range sites {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range nameKey.FindAllStringSubmatch(string(text), -1) {
			names = append(names, m[1])
		}
		for _, m := range nameLists.FindAllStringSubmatch(string(text), -1) {
			for name := range strings.SplitSeq(m[1], ",") {
				names = append(names, strings.Trim(name, ` "`))
			}
		}
	}
	if len(names) < 2*len(sites) {
		t.Fatalf("found only the names %q", names)
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
		t.Fatalf("the deployment file lists only %q", program)
	}
	for _, part := range program {
		err = filepath.WalkDir(filepath.Join(root, part), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || strings.HasSuffix(path, "_test.go") || !strings.HasSuffix(path, ".go") && d.Name() != "balancer.toml" {
				return err
			}
			text, err := literals(path)
			for _, name := range names {
				if regexp.MustCompile(`\b` + regexp.QuoteMeta(name) + `\b`).MatchString(text) {
					t.Errorf("%s contains the name %q", path, name)
				}
			}
			return err
		})
		if err != nil {
			t.Error(err)
		}
	}
}
