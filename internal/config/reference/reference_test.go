package reference

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// Guards against a reference page that is older than the model.
func TestPageIsCurrent(t *testing.T) {
	want, err := Page("../model.go")
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("../../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("docs/configuration.md is not current: run go generate ./internal/config")
	}
}

// Guards against a field that operators can set but not look up.
func TestEveryFieldHasAMeaning(t *testing.T) {
	page, err := Page("../model.go")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") && strings.HasSuffix(strings.TrimSpace(line), "|  |") {
			t.Errorf("field without a doc comment: %s", line)
		}
	}
}
