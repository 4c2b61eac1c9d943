// Package mutation switches off the mechanism behind each condition of section 2 of docs/design.md, one at a time, and checks that
// the condition's test fails without it. A test that still passes does not prove its condition.
package mutation

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Conditions are the names of the conditions by their number in section 2 of docs/design.md.
var Conditions = map[int]string{
	1:  "Data never leaves the region it must stay in.",
	2:  "A request never loops between regions or instances.",
	3:  "A region isolated by a network partition keeps serving.",
	4:  "Except on routes that are open to all, a request runs only for the organisation whose key came with it.",
	5:  "No endpoint ever sees a caller's key.",
	6:  "A withdrawn key stops working within seconds, even on open connections.",
	7:  "No organisation gets more than its rate and burst across all instances together.",
	8:  "A caller receives the complete answer to its own request, even when answers arrive late or out of order.",
	9:  "A refusal that says \"not run\" is true.",
	10: "A non-idempotent request runs at most once.",
	11: "A leaving endpoint receives no new work after a few seconds.",
	12: "A planned stop is a graceful shutdown: it cuts no request in flight.",
	13: "An accepted configuration is in force everywhere within seconds and never reverts.",
}

// Entries are the mechanisms that are switched off.
var Entries = slices.Concat(processEntries, edgeEntries)

// Entry is a change of the source that switches one mechanism off, and the test that must fail then.
type Entry struct {
	// Condition is the number in section 2 of docs/design.md.
	Condition int
	// Mechanism says what is switched off.
	Mechanism string
	// File is the path from the root of the module, with slashes.
	File string
	// Original occurs exactly once in File and is replaced by Replacement.
	Original, Replacement string
	// Package and Run are the arguments of go test: a package path such as ./internal/gateway and a pattern for -run.
	Package, Run string
}

// Apply returns the changed content of the entry's file below the root of the module.
func (e Entry) Apply(root string) (string, error) {
	content, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(e.File)))
	if err != nil {
		return "", errors.Wrapf(err, "condition %d, %s", e.Condition, e.Mechanism)
	}
	if n := strings.Count(string(content), e.Original); n != 1 {
		return "", errors.Newf("condition %d, %s: the original text occurs %d times in %s, not once", e.Condition, e.Mechanism, n, e.File)
	}
	if e.Original == e.Replacement {
		return "", errors.Newf("condition %d, %s: the replacement is the original text", e.Condition, e.Mechanism)
	}
	return strings.Replace(string(content), e.Original, e.Replacement, 1), nil
}
