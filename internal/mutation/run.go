package mutation

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what became of a test.
type Outcome string

// Outcomes of a test.
const (
	// Failed means that the test ran and failed.
	Failed Outcome = "failed"
	// Passed means that the test ran and passed.
	Passed Outcome = "passed"
	// Invalid means that the run says nothing: it did not compile, ran out of time, or ran no test.
	Invalid Outcome = "error"
)

// Result is the outcome of one run of a test.
type Result struct {
	Outcome Outcome
	// Detail is the first error of a failed test, or the reason why the run is invalid.
	Detail string
	Took   time.Duration
	// Output is everything that go test has printed.
	Output string
}

// buildTime is added to the timeout of a test for the build of its package.
const buildTime = 3 * time.Minute

// Runner runs tests of the module.
type Runner struct {
	// Root is the directory of go.mod.
	Root string
	// Timeout bounds each test, without its build.
	Timeout time.Duration
}

// Mutant runs the test of an entry with its mechanism switched off.
func (r Runner) Mutant(ctx context.Context, e Entry) (Result, error) {
	dir, err := os.MkdirTemp("", "dogwoodknot-mutation-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	overlay, err := writeOverlay(r.Root, dir, e)
	if err != nil {
		return Result{}, err
	}
	return r.test(ctx, e, overlay), nil
}

// Baseline runs the test of an entry on the unchanged source. A test that fails there proves nothing.
func (r Runner) Baseline(ctx context.Context, e Entry) Result { return r.test(ctx, e, "") }

// writeOverlay writes the changed file and the overlay for the go command, and returns the path of the latter.
func writeOverlay(root, dir string, e Entry) (string, error) {
	changed, err := e.Apply(root)
	if err != nil {
		return "", err
	}
	original, err := filepath.Abs(filepath.Join(root, filepath.FromSlash(e.File)))
	if err != nil {
		return "", err
	}
	replacement := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(replacement, []byte(changed), 0o600); err != nil {
		return "", err
	}
	content, err := json.Marshal(map[string]map[string]string{"Replace": {original: replacement}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, content, 0o600)
}

func (r Runner) test(ctx context.Context, e Entry, overlay string) Result {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+buildTime)
	defer cancel()
	// vet would refuse unreachable code of some replacements.
	cmd := exec.CommandContext(ctx, "go", "test", "-json", "-count=1", "-vet=off", "-timeout", r.Timeout.String(), "-run", e.Run, e.Package)
	cmd.Dir = r.Root
	if overlay != "" {
		// The integration tests build the binaries themselves. GOFLAGS reaches that build too, unlike an argument of go test.
		cmd.Env = append(os.Environ(), strings.TrimSpace("GOFLAGS="+os.Getenv("GOFLAGS")+" -overlay="+overlay))
	}
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	// The test's processes end with the group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = 10 * time.Second
	begun := time.Now()
	err := cmd.Run()
	result := classify(out.Bytes(), err)
	if ctx.Err() != nil {
		result.Outcome, result.Detail = Invalid, "the run was ended: "+ctx.Err().Error()
	}
	result.Took = time.Since(begun)
	return result
}

// testEvent is a line of go test -json.
type testEvent struct{ Action, Test, Output string }

// notTheTest are outputs of runs that fail for another reason than the condition. The integration tests report a failed build of
// the binaries, which is a fault of the entry, as a deployment that did not start.
var notTheTest = []string{"panic: test timed out", "[build failed]", "[setup failed]", "deployment did not start"}

// classify tells a failed test from a run that says nothing.
func classify(output []byte, err error) Result {
	var text strings.Builder
	ran, failed, panicked, detail := false, false, false, ""
	lines := bufio.NewScanner(bytes.NewReader(output))
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e testEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			text.Write(lines.Bytes())
			text.WriteByte('\n')
			continue
		}
		text.WriteString(e.Output)
		ran = ran || e.Action == "run"
		failed = failed || e.Action == "fail" && e.Test != ""
		panicked = panicked || strings.HasPrefix(e.Output, "panic: ")
		if detail == "" && strings.Contains(e.Output, "_test.go:") {
			detail = strings.TrimSpace(e.Output)
		}
	}
	result := Result{Outcome: Invalid, Output: text.String()}
	for _, reason := range notTheTest {
		if strings.Contains(result.Output, reason) {
			result.Detail = reason
			return result
		}
	}
	switch {
	case lines.Err() != nil:
		result.Detail = lines.Err().Error()
	case panicked:
		result.Detail = "the test process panicked"
	case !ran:
		result.Detail = "no test ran"
	case failed && err != nil:
		result.Outcome, result.Detail = Failed, detail
	case err != nil:
		result.Detail = fmt.Sprint(errors.Wrap(err, "go test"))
	default:
		result.Outcome = Passed
	}
	return result
}
