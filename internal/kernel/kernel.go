package kernel

import (
	"context"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/zap"
)

// Kernel runs the services of a registry.
type Kernel struct {
	registry *Registry
	log      *zap.Logger
	order    []Service
	started  []Service
}

// New sorts, provisions and validates the services. The returned error lists every problem found. After an error,
// everything that was provisioned has been cleaned up.
func New(registry *Registry, log *zap.Logger) (*Kernel, error) {
	k := &Kernel{registry: registry, log: log}
	order, problems := sortServices(registry)
	if len(problems) > 0 {
		return nil, joinProblems(problems)
	}
	k.order = order
	if problems := k.prepare(); len(problems) > 0 {
		problems = append(problems, k.cleanup()...)
		return nil, joinProblems(problems)
	}
	return k, nil
}

// prepare provisions and validates every service, even after a problem, so that all are reported together. A service that
// requires one that failed is left out, since it could only repeat the problem.
func (k *Kernel) prepare() []error {
	var problems []error
	failed := make(map[string]bool)
	for _, s := range k.order {
		if slices.ContainsFunc(requirements(s), func(name string) bool { return failed[name] }) {
			failed[s.Name()] = true
			continue
		}
		if err := k.provision(s); err != nil {
			failed[s.Name()] = true
			problems = append(problems, errors.Wrapf(err, "%s: provision", s.Name()))
			continue
		}
		if v, ok := s.(Validator); ok {
			for _, err := range v.Validate() {
				problems = append(problems, errors.Wrapf(err, "%s", s.Name()))
			}
		}
	}
	return problems
}

func (k *Kernel) provision(s Service) error {
	if p, ok := s.(Provisioner); ok {
		return p.Provision(k.registry)
	}
	return nil
}

// Start starts the services in order. If one fails, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.order {
		starter, ok := s.(Starter)
		if ok {
			if err := starter.Start(ctx); err != nil {
				err = errors.Wrapf(err, "start %s", s.Name())
				return errors.CombineErrors(err, k.Stop(ctx))
			}
			k.log.Debug("service started", zap.String("service", s.Name()))
		}
		k.started = append(k.started, s)
	}
	return nil
}

// Stop stops the started services in reverse order and cleans all up. It goes on after an error and reports all errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var problems []error
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		stopper, ok := s.(Stopper)
		if !ok {
			continue
		}
		if err := stopper.Stop(ctx); err != nil {
			problems = append(problems, errors.Wrapf(err, "stop %s", s.Name()))
		}
		k.log.Debug("service stopped", zap.String("service", s.Name()))
	}
	k.started = nil
	return joinProblems(append(problems, k.cleanup()...))
}

func (k *Kernel) cleanup() []error {
	var problems []error
	for i := len(k.order) - 1; i >= 0; i-- {
		c, ok := k.order[i].(Cleaner)
		if !ok {
			continue
		}
		if err := c.Cleanup(); err != nil {
			problems = append(problems, errors.Wrapf(err, "clean up %s", k.order[i].Name()))
		}
	}
	return problems
}

// sortServices orders services so that each comes after those it requires. Ties are broken by name, so that every run
// has the same order.
func sortServices(r *Registry) ([]Service, []error) {
	var problems []error
	waiting := make(map[string]map[string]bool, len(r.services))
	for _, name := range r.Names() {
		needs := make(map[string]bool)
		for _, need := range requirements(r.services[name]) {
			if _, ok := r.services[need]; !ok {
				problems = append(problems, errors.Newf("%s requires %q, which is not registered", name, need))
				continue
			}
			needs[need] = true
		}
		waiting[name] = needs
	}
	var order []Service
	for len(waiting) > 0 {
		name, ok := firstReady(waiting)
		if !ok {
			return nil, append(problems, errors.Newf("services require each other in a cycle: %s", strings.Join(keys(waiting), ", ")))
		}
		delete(waiting, name)
		for _, needs := range waiting {
			delete(needs, name)
		}
		order = append(order, r.services[name])
	}
	return order, problems
}

func requirements(s Service) []string {
	if r, ok := s.(Requirer); ok {
		return r.Requires()
	}
	return nil
}

func firstReady(waiting map[string]map[string]bool) (string, bool) {
	for _, name := range keys(waiting) {
		if len(waiting[name]) == 0 {
			return name, true
		}
	}
	return "", false
}

func keys(m map[string]map[string]bool) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func joinProblems(problems []error) error {
	if len(problems) == 0 {
		return nil
	}
	if len(problems) == 1 {
		return problems[0]
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Error()
	}
	return errors.Newf("%d problems:\n  %s", len(problems), strings.Join(lines, "\n  "))
}

// Group is the fx value group that services are provided in.
const Group = `group:"services"`

// Module runs the services of the group "services" within an fx application.
var Module = fx.Module("kernel",
	fx.Provide(fx.Annotate(fromGroup, fx.ParamTags(Group))),
	fx.Invoke(func(lc fx.Lifecycle, k *Kernel) {
		lc.Append(fx.Hook{OnStart: k.Start, OnStop: k.Stop})
	}),
)

// Supply provides a service of the process to Module.
func Supply(s Service) fx.Option {
	return fx.Supply(fx.Annotate(s, fx.As(new(Service)), fx.ResultTags(Group)))
}

func fromGroup(services []Service, log *zap.Logger) (*Kernel, error) {
	r := NewRegistry()
	var problems []error
	for _, s := range services {
		if err := r.Register(s); err != nil {
			problems = append(problems, err)
		}
	}
	if len(problems) > 0 {
		return nil, joinProblems(problems)
	}
	return New(r, log)
}
