package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// settings are the flags that all commands share.
type settings struct {
	Store     string        `help:"URL of the platform's key-value store." env:"DOGWOODKNOT_STORE" placeholder:"URL"`
	Instances string        `help:"URL of the platform's instance list." env:"DOGWOODKNOT_INSTANCES" placeholder:"URL"`
	Operators []string      `help:"Operators' ports (ip:port) to use instead of the instance list." env:"DOGWOODKNOT_OPERATORS" placeholder:"ADDR"`
	Token     string        `help:"Bearer token of the operators' ports." env:"DOGWOODKNOT_OPERATOR_TOKEN" placeholder:"TOKEN"`
	Author    string        `help:"Name written into revisions." env:"DOGWOODKNOT_AUTHOR,USER" default:"unknown"`
	Output    string        `help:"Output format: ${enum}." enum:"text,json" default:"text" env:"DOGWOODKNOT_OUTPUT" short:"o"`
	Timeout   time.Duration `help:"Time for one call to the store or an instance." default:"5s" env:"DOGWOODKNOT_TIMEOUT"`
	RetryFor  time.Duration `help:"How long a write is repeated while the store is unavailable." default:"15s" env:"DOGWOODKNOT_RETRY_FOR"`
}

// Exit codes. Scripts depend on them.
const (
	codeDone        = 0
	codeFailed      = 1
	codeUsage       = 2
	codeFindings    = 3
	codeConflict    = 4
	codeIncomplete  = 5
	codeStore       = 6
	codeDifferences = 7
)

// codedError carries an exit code that does not follow from the error's type.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

func withCode(code int, format string, args ...any) error {
	return &codedError{code: code, err: errors.Newf(format, args...)}
}

// codeOf returns the exit code of an error.
func codeOf(err error) int {
	var (
		coded    *codedError
		findings config.Findings
		race     *configstore.RaceError
		slots    *configstore.SlotsError
		expect   *configstore.ExpectError
		moved    *configstore.MovedRecordsError
		unknown  *configstore.UnknownOutcomeError
	)
	switch {
	case err == nil:
		return codeDone
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &findings):
		return codeFindings
	case errors.As(err, &race), errors.As(err, &slots), errors.As(err, &expect), errors.As(err, &moved):
		return codeConflict
	case errors.As(err, &unknown), errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrUnknownOutcome),
		errors.Is(err, context.DeadlineExceeded):
		return codeStore
	}
	return codeFailed
}

// app is what commands work with.
type app struct {
	*settings
	ctx            context.Context
	model          *kong.Application
	stdout, stderr io.Writer
	http           *http.Client
	closers        []func()
}

func newApp(ctx context.Context, s *settings, model *kong.Application, stdout, stderr io.Writer) *app {
	return &app{
		settings: s,
		ctx:      ctx,
		model:    model,
		stdout:   stdout,
		stderr:   stderr,
		http:     &http.Client{Timeout: s.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

func (a *app) close() {
	a.http.CloseIdleConnections()
	for _, f := range a.closers {
		f()
	}
}

// kv returns a client of the platform's store.
func (a *app) kv() (platform.Store, error) {
	if a.Store == "" {
		return nil, withCode(codeUsage, "the store is not set: use --store or DOGWOODKNOT_STORE")
	}
	kv, err := platform.NewStoreClient(platform.ClientOptions{URL: a.Store, Timeout: a.Timeout})
	if err != nil {
		return nil, &codedError{codeUsage, err}
	}
	a.closers = append(a.closers, kv.Close)
	return kv, nil
}

// configurations returns the configurations in the store.
func (a *app) configurations() (*configstore.Store, error) {
	kv, err := a.kv()
	if err != nil {
		return nil, err
	}
	return a.configurationsIn(kv), nil
}

// latest reads the configuration in the store.
func (a *app) latest() (*configstore.Snapshot, error) {
	s, err := a.configurations()
	if err != nil {
		return nil, err
	}
	return s.Latest(a.ctx)
}

func (a *app) configurationsIn(kv platform.Store) *configstore.Store {
	return configstore.New(kv, configstore.Options{RetryFor: a.RetryFor, RecordRegion: operations.RecordRegion})
}

func (a *app) json() bool { return a.Output == "json" }

// printJSON writes a value as the command's whole output.
func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.stdout, format, args...)
}

// warnf writes a remark that is no part of the command's output.
func (a *app) warnf(format string, args ...any) {
	fmt.Fprintf(a.stderr, "dogwoodctl: "+format+"\n", args...)
}

// table prints rows of cells under a header.
func (a *app) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (a *app) printChanges(changes []config.Change) {
	for _, c := range changes {
		a.printf("%s\n", c)
	}
}

// failure is how an error is written with --output json.
type failure struct {
	Error    string          `json:"error"`
	ExitCode int             `json:"exit_code"`
	Findings config.Findings `json:"findings,omitempty"`
	Theirs   []config.Change `json:"their_changes,omitempty"`
	Mine     []config.Change `json:"my_changes,omitempty"`
}

// finish reports an error and returns the exit code.
func (a *app) finish(err error) int {
	if err == nil {
		return codeDone
	}
	code := codeOf(err)
	if !a.json() {
		var findings config.Findings
		if errors.As(err, &findings) {
			fmt.Fprintln(a.stderr, findings.Error())
			a.warnf("%d faults", len(findings))
		} else {
			a.warnf("%v", err)
		}
		return code
	}
	f := failure{Error: err.Error(), ExitCode: code}
	errors.As(err, &f.Findings)
	var race *configstore.RaceError
	if errors.As(err, &race) {
		f.Theirs, f.Mine = race.Theirs, race.Mine
	}
	enc := json.NewEncoder(a.stderr)
	enc.SetIndent("", "  ")
	_ = enc.Encode(f) // there is nowhere left to report a failure to
	return code
}
