package config

import (
	"os"
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzLoad guards against files that crash the command, that pass with findings lost, or whose findings have no place. What
// passes must read back to the same configuration.
func FuzzLoad(f *testing.F) {
	overlay := "organisations:\n  - {name: bound, remove: true}\n  - {name: acme, rate: 2000, split: null}\n"
	f.Add(goodBase, overlay)
	f.Add(goodBase, "")
	f.Add("", "regions: [")
	f.Add("a: &x [*x]", "? {}\n: 1")
	f.Add("regions: {name: 1}\nroutes: [1, null, {}]\norganisations: [[]]", "regions: [null]\norganisations: [{name: [x]}]")
	f.Add("organisations: [{name: a, split: {x: 1, 2: 3}, keys: [{}]}]", "platform: []\norganisations: {}")
	for _, name := range []string{"base", "veletas", "urmarol"} {
		text, err := os.ReadFile("../../examples/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text), overlay)
		f.Add(goodBase, string(text))
	}
	f.Fuzz(func(t *testing.T, base, overlay string) {
		cfg, err := Load(File{"base.yaml", []byte(base)}, File{"overlay.yaml", []byte(overlay)})
		if err != nil {
			checkFindings(t, err)
			return
		}
		text, err := Render(cfg)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Load(File{"rendered.yaml", text})
		if err != nil {
			t.Fatalf("rendered file has findings:\n%v\n%s", err, text)
		}
		if changes := Diff(cfg, again); len(changes) > 0 {
			t.Fatalf("rendered file differs: %v", changes)
		}
	})
}

func checkFindings(t *testing.T, err error) {
	var findings Findings
	if !errors.As(err, &findings) || len(findings) == 0 {
		t.Fatalf("not a list of findings: %v", err)
	}
	for _, f := range findings {
		if f.File == "" || f.Line < 1 || f.Column < 1 || f.Message == "" {
			t.Fatalf("finding without a place: %+v", f)
		}
	}
}
