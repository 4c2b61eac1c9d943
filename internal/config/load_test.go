package config

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const goodBase = `regions:
  - name: lima
    data_centres: [lima-a, lima-b]
    slots: 2
  - name: cusco
    data_centres: [cusco-a]
    slots: 1
models:
  - name: taller-lm
    version: "3"
    context_tokens: 32000
    default_max_tokens: 1024
endpoints:
  - name: e1
    kind: engine
    addr: 10.0.0.1:8000
    region: lima
    data_centre: lima-a
    models: [taller-lm]
  - name: p1
    kind: service
    addr: 10.0.0.2:8000
    region: cusco
    data_centre: cusco-a
    service: libro
services:
  - name: libro
routes:
  - name: deposit
    service: libro
    method: POST
    path: /deposits/{id}
    deadline: 5s
    body_limit: 64KiB
organisations:
  - name: acme
    rate: 1000
    burst: 5000
  - name: bound
    rate: 1000
    burst: 5000
    home: lima
`

func mustLoad(t *testing.T, files ...File) *Config {
	t.Helper()
	cfg, err := Load(files...)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards against defaults and units that are read wrongly.
func TestLoadFillsDefaultsAndUnits(t *testing.T) {
	cfg := mustLoad(t, File{"base.yaml", []byte(goodBase)})
	r := cfg.Routes[0]
	if r.Deadline != 5*time.Second || r.BodyLimit != 64<<10 || r.Tokens != 1 || r.Idempotent || r.Open {
		t.Errorf("route = %+v", r)
	}
	if cfg.Organisations[0].Weight != 1 || cfg.Endpoints[0].Slots != 8 || cfg.Models[0].LongPromptTokens != 2000 {
		t.Errorf("defaults are missing: %+v", cfg)
	}
}

// Guards against an overlay that replaces a list instead of the items it names.
func TestOverlayChangesAddsAndRemoves(t *testing.T) {
	overlay := `organisations:
  - name: acme
    burst: 9000
  - name: bound
    remove: true
  - name: late
    rate: 10
    burst: 2000
endpoints:
  - name: e1
    drain: true
routes:
  - name: deposit
    body_limit: null
`
	cfg := mustLoad(t, File{"base.yaml", []byte(goodBase)}, File{"site.yaml", []byte(overlay)})
	if len(cfg.Organisations) != 2 || cfg.Organisations[0].Burst != 9000 || cfg.Organisations[0].Rate != 1000 ||
		cfg.Organisations[1].Name != "late" {
		t.Errorf("organisations = %+v", cfg.Organisations)
	}
	if !cfg.Endpoints[0].Drain || cfg.Endpoints[0].Addr != "10.0.0.1:8000" || len(cfg.Endpoints) != 2 {
		t.Errorf("endpoints = %+v", cfg.Endpoints)
	}
	if cfg.Routes[0].BodyLimit != 1<<20 {
		t.Errorf("body_limit = %d, want the default after null", cfg.Routes[0].BodyLimit)
	}
}

// Each case changes one line of the good file. Guards against a fault that is accepted, or reported at the wrong place.
func TestFindings(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		want     string // position and part of the message
	}{
		"unknown field":         {"    burst: 5000\n    home: lima", "    burts: 5000\n    home: lima", `base.yaml:41:5: unknown field "burts", did you mean "burst"?`},
		"missing field":         {"    version: \"3\"\n", "", `base.yaml:9:5: field "version" is missing`},
		"duration without unit": {"deadline: 5s", "deadline: 5", "base.yaml:33:15: deadline has no unit: write 5s or 5ms"},
		"wrong duration unit":   {"deadline: 5s", "deadline: 5 seconds", "base.yaml:33:15: deadline must be a duration"},
		"rate with unit":        {"rate: 1000\n    burst: 5000\n    home", "rate: 1000/min\n    burst: 5000\n    home", `base.yaml:40:11: rate must be a plain finite number in tokens/s, found "1000/min"`},
		"bytes with wrong unit": {"64KiB", "64 minutes", "base.yaml:34:17: body_limit must be a number of bytes"},
		"number as text":        {`version: "3"`, "version: 3.10", "base.yaml:10:14: version must be a string, found the number 3.10"},
		"fraction of slots":     {"slots: 2", "slots: 2.5", "base.yaml:4:12: slots must be a whole number"},
		"dangling service":      {"    service: libro\n    method", "    service: libre\n    method", `base.yaml:30:14: service "libre" is not declared`},
		"dangling model":        {"models: [taller-lm]", "models: [taller]", `base.yaml:19:14: model "taller" is not declared`},
		"dangling region":       {"region: cusco", "region: puno", `base.yaml:23:13: region "puno" is not declared`},
		"foreign data centre":   {"data_centre: cusco-a", "data_centre: lima-a", `base.yaml:24:18: data centre "lima-a" belongs to region "lima", not "cusco"`},
		"duplicate name":        {"name: bound", "name: acme", `base.yaml:39:11: duplicate: name "acme" is already declared at base.yaml:36:11`},
		"duplicate field":       {"    slots: 1\n", "    slots: 1\n    slots: 2\n", `base.yaml:8:5: field "slots" is already set at base.yaml:7:5`},
		"duplicate address":     {"10.0.0.2:8000", "10.0.0.1:8000", `base.yaml:22:11: duplicate: addr 10.0.0.1:8000 already belongs to endpoint "e1" at base.yaml:16:11`},
		"host name":             {"10.0.0.2:8000", "libro.example:8000", "base.yaml:22:11: addr"},
		"no port":               {"10.0.0.2:8000", "10.0.0.2:0", "base.yaml:22:11: addr"},
		"wildcard address":      {"10.0.0.2:8000", "0.0.0.0:80", "is not the address of one machine"},
		"bad path":              {"/deposits/{id}", "deposits/{id}", "base.yaml:32:11: path"},
		"reserved path":         {"/deposits/{id}", "/v1/deposits", "which the instances serve themselves"},
		"bad method":            {"method: POST", "method: post", "base.yaml:31:13: method must be one of"},
		"home without slots":    {"    slots: 2\n", "    slots: 0\n", `home: region "lima" has no slots`},
		"unknown home":          {"home: lima", "home: puno", `base.yaml:42:11: home: region "puno" is not declared`},
		"zero rate":             {"rate: 1000\n    burst: 5000\n    home", "rate: 0\n    burst: 5000\n    home", "base.yaml:40:11: rate must be above 0"},
		"infinite rate":         {"rate: 1000\n    burst: 5000\n    home", "rate: .inf\n    burst: 5000\n    home", "base.yaml:40:11: rate must be a plain finite number"},
		"burst below a request": {"burst: 5000\n    home", "burst: 500\n    home", "base.yaml:41:12: burst 500 is below default_max_tokens 1024"},
		"split and home":        {"home: lima", "home: lima\n    split: {lima: 1}", "an organisation with a home has no split"},
		"split above 1":         {"home: lima", "split: {lima: 0.6, cusco: 0.6}", "base.yaml:42:12: the parts add up to 1.2, not 1"},
		"split to nowhere":      {"home: lima", "split: {lima: 0.6, puno: 0.4}", `base.yaml:42:30: split: region "puno" is not declared`},
		"records elsewhere":     {"home: lima", "home: lima\n    records_region: cusco", "records of an organisation with a home stay there"},
		"bad key hash":          {"home: lima", "keys: [{id: a, sha256: beef}]", "base.yaml:42:28: sha256 must be 64 hexadecimal digits"},
		"remove in base":        {"home: lima", "remove: true", `base.yaml:42:5: field "remove" is allowed only in an overlay`},
		"alias":                 {"home: lima", "home: *x", "YAML syntax: unknown anchor"},
		"syntax":                {"home: lima", "home: [lima", "base.yaml:42:1: YAML syntax"},
		"second document":       {"home: lima", "home: lima\n---\nregions: []", "a second YAML document"},
	} {
		t.Run(name, func(t *testing.T) {
			if strings.Count(goodBase, tc.old) == 0 {
				t.Fatalf("%q is not in the file", tc.old)
			}
			i := strings.LastIndex(goodBase, tc.old)
			text := goodBase[:i] + tc.new + goodBase[i+len(tc.old):]
			_, err := Load(File{"base.yaml", []byte(text)})
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("findings:\n%v\nwant: %s", err, tc.want)
			}
		})
	}
}

// Guards against a check that stops at the first fault, and against findings out of file order.
func TestFindingsAreReportedTogether(t *testing.T) {
	base := strings.Replace(goodBase, "slots: 1", "slots: one", 1)
	base = strings.Replace(base, "method: POST", "method: BREW", 1)
	_, err := Load(File{"base.yaml", []byte(base)}, File{"site.yaml", []byte("organisations:\n  - name: ghost\n    remove: true\n  - name: acme\n    rat: 5\n")})
	var findings Findings
	if !errors.As(err, &findings) || len(findings) != 4 {
		t.Fatalf("findings:\n%v\nwant 4", err)
	}
	for i, want := range []string{"base.yaml:7:12", "base.yaml:31:13", "site.yaml:2:5", "site.yaml:5:5"} {
		if findings[i].Position.String() != want {
			t.Errorf("finding %d is at %s, want %s", i, findings[i].Position, want)
		}
	}
}

// Guards against two routes of which the first in order would win.
func TestOverlappingRoutes(t *testing.T) {
	for _, tc := range []struct {
		a, b    string
		overlap bool
	}{
		{"/a/{x}", "/a/{y}", true},
		{"/a/{x}", "/a/b", true},
		{"/{x}/b", "/a/{y}", true},
		{"/a/b", "/a/c", false},
		{"/a/{x}", "/a/b/c", false},
	} {
		a, reason := splitPattern(tc.a)
		if reason != "" {
			t.Fatal(reason)
		}
		b, _ := splitPattern(tc.b)
		if got := overlap(a, b); got != tc.overlap {
			t.Errorf("overlap(%s, %s) = %v", tc.a, tc.b, got)
		}
	}
	two := strings.Replace(goodBase, "routes:\n", "routes:\n  - {name: other, service: libro, method: POST, path: \"/deposits/new\", deadline: 1s}\n", 1)
	_, err := Load(File{"base.yaml", []byte(two)})
	if err == nil || !strings.Contains(err.Error(), `route "deposit" overlaps route "other"`) {
		t.Errorf("findings: %v", err)
	}
}

// Guards against a rendered file that means something else than the files it was made from.
func TestRenderReadsBack(t *testing.T) {
	cfg := mustLoad(t, File{"base.yaml", []byte(goodBase)})
	text, err := Render(cfg)
	if err != nil {
		t.Fatal(err)
	}
	again := mustLoad(t, File{"rendered.yaml", text})
	if changes := Diff(cfg, again); len(changes) > 0 {
		t.Errorf("rendered file differs: %v\n%s", changes, text)
	}
}

// Guards against differences that are missed, or reported for a change of order only.
func TestDiff(t *testing.T) {
	old := mustLoad(t, File{"base.yaml", []byte(goodBase)})
	overlay := "organisations:\n  - {name: bound, remove: true}\n  - {name: acme, rate: 2000}\n  - {name: z, rate: 1, burst: 2000}\n"
	changed := mustLoad(t, File{"base.yaml", []byte(goodBase)}, File{"site.yaml", []byte(overlay)})
	var got []string
	for _, c := range Diff(old, changed) {
		got = append(got, c.String())
	}
	text := strings.Join(got, "\n")
	for _, want := range []string{"- organisations/bound", "~ organisations/acme/rate: 1000 -> 2000", "+ organisations/z {"} {
		if !strings.Contains(text, want) {
			t.Errorf("diff:\n%s\nlacks %q", text, want)
		}
	}
	if len(got) != 3 {
		t.Errorf("diff has %d changes, want 3:\n%s", len(got), text)
	}
	reordered := *old
	reordered.Organisations = []Organisation{old.Organisations[1], old.Organisations[0]}
	if changes := Diff(old, &reordered); len(changes) > 0 {
		t.Errorf("order counts as a change: %v", changes)
	}
}

// Guards against examples that operators copy and that do not pass the checks.
func TestExamples(t *testing.T) {
	for _, site := range []string{"veletas", "urmarol"} {
		cfg, err := LoadFiles("../../examples/base.yaml", "../../examples/"+site+".yaml")
		if err != nil {
			t.Errorf("%s:\n%v", site, err)
			continue
		}
		if len(cfg.Organisations) != 5 || len(cfg.Regions) != 3 || !cfg.Platform.RemovalFinal {
			t.Errorf("%s: %d organisations in %d regions, removal final %v", site, len(cfg.Organisations), len(cfg.Regions), cfg.Platform.RemovalFinal)
		}
	}
}
