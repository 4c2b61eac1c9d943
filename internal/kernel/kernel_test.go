package kernel

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"
)

type fake struct {
	name         string
	requires     []string
	invalid      []error
	provisionErr error
	startErr     error
	journal      *[]string
}

func (f *fake) Name() string       { return f.name }
func (f *fake) Requires() []string { return f.requires }
func (f *fake) Validate() []error  { return f.invalid }

func (f *fake) Provision(*Registry) error {
	return f.provisionErr
}

func (f *fake) Start(context.Context) error {
	if f.startErr == nil {
		*f.journal = append(*f.journal, "start "+f.name)
	}
	return f.startErr
}

func (f *fake) Stop(context.Context) error {
	*f.journal = append(*f.journal, "stop "+f.name)
	return nil
}

func registry(t *testing.T, services ...*fake) *Registry {
	t.Helper()
	r := NewRegistry()
	for _, s := range services {
		if err := r.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// Guards against a service that starts before one it uses, or stops after it.
func TestStartsInOrderAndStopsInReverse(t *testing.T) {
	var journal []string
	r := registry(t,
		&fake{name: "gateway", requires: []string{"limits", "peer"}, journal: &journal},
		&fake{name: "limits", requires: []string{"peer"}, journal: &journal},
		&fake{name: "peer", journal: &journal},
	)
	k, err := New(r, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	want := "start peer,start limits,start gateway,stop gateway,stop limits,stop peer"
	if got := strings.Join(journal, ","); got != want {
		t.Errorf("order is %s, want %s", got, want)
	}
}

// Guards against an operator who has to restart once per problem.
func TestReportsAllProblemsTogether(t *testing.T) {
	var journal []string
	r := registry(t,
		&fake{name: "a", invalid: []error{errors.New("port is 0"), errors.New("region is empty")}, journal: &journal},
		&fake{name: "b", invalid: []error{errors.New("no certificate")}, journal: &journal},
	)
	_, err := New(r, zap.NewNop())
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, part := range []string{"port is 0", "region is empty", "no certificate"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is missing from: %v", part, err)
		}
	}
}

// Guards against a half-started process after a failed start.
func TestFailedStartStopsWhatWasStarted(t *testing.T) {
	var journal []string
	r := registry(t,
		&fake{name: "a", journal: &journal},
		&fake{name: "b", requires: []string{"a"}, startErr: errors.New("address in use"), journal: &journal},
	)
	k, err := New(r, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err == nil {
		t.Fatal("start succeeded")
	}
	if got := strings.Join(journal, ","); got != "start a,stop a" {
		t.Errorf("journal is %s", got)
	}
}

// Guards against a hang or an arbitrary order when services require each other.
func TestCycleAndMissingServiceAreErrors(t *testing.T) {
	r := registry(t, &fake{name: "a", requires: []string{"b"}}, &fake{name: "b", requires: []string{"a"}}, &fake{name: "c", requires: []string{"d"}})
	_, err := New(r, zap.NewNop())
	if err == nil || !strings.Contains(err.Error(), "cycle") || !strings.Contains(err.Error(), `"d"`) {
		t.Errorf("error is %v", err)
	}
}

func TestModuleRunsSuppliedServices(t *testing.T) {
	var journal []string
	app := fxtest.New(t, fx.NopLogger, fx.Supply(zap.NewNop()), Module,
		Supply(&fake{name: "a", journal: &journal}),
		Supply(&fake{name: "b", requires: []string{"a"}, journal: &journal}))
	app.RequireStart().RequireStop()
	if got := strings.Join(journal, ","); got != "start a,start b,stop b,stop a" {
		t.Errorf("journal is %s", got)
	}
}

func TestLookupChecksNameAndType(t *testing.T) {
	r := registry(t, &fake{name: "a"})
	if _, err := Lookup[*fake](r, "a"); err != nil {
		t.Error(err)
	}
	if _, err := Lookup[*fake](r, "b"); err == nil {
		t.Error("a service that does not exist was found")
	}
	if _, err := Lookup[Cleaner](r, "a"); err == nil {
		t.Error("a service was returned as a type that it does not have")
	}
	if err := r.Register(&fake{name: "Not.Lower"}); err == nil {
		t.Error("a malformed name was accepted")
	}
}

// Guards against a panic or a misleading second problem in a service whose requirement could not be provisioned.
func TestServicesOfFailedOnesAreLeftOut(t *testing.T) {
	var journal []string
	_, err := New(registry(t,
		&fake{name: "a", provisionErr: errors.New("no certificate"), journal: &journal},
		&fake{name: "b", requires: []string{"a"}, provisionErr: errors.New("a is missing"), journal: &journal},
		&fake{name: "c", requires: []string{"b"}, invalid: []error{errors.New("b is missing")}, journal: &journal},
		&fake{name: "d", invalid: []error{errors.New("port is 0")}, journal: &journal},
	), zap.NewNop())
	if err == nil || !strings.Contains(err.Error(), "no certificate") || !strings.Contains(err.Error(), "port is 0") {
		t.Fatalf("error is %v", err)
	}
	if strings.Contains(err.Error(), "is missing") {
		t.Errorf("problems of services that require the failed one are reported: %v", err)
	}
}
