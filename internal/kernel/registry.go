package kernel

import (
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Registry holds the services of a process by name. It is filled before the kernel runs and read-only afterwards.
type Registry struct {
	services map[string]Service
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{services: make(map[string]Service)}
}

// Register adds a service. It returns an error if the name is malformed or taken.
func (r *Registry) Register(s Service) error {
	name := s.Name()
	if err := checkName(name); err != nil {
		return err
	}
	if _, taken := r.services[name]; taken {
		return errors.Newf("service %q is registered twice", name)
	}
	r.services[name] = s
	return nil
}

// Names returns the registered names in order.
func (r *Registry) Names() []string {
	names := make([]string, 0, len(r.services))
	for name := range r.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Lookup returns the service with the name as a T. It returns an error if there is none or if it is not a T.
func Lookup[T any](r *Registry, name string) (T, error) {
	var none T
	s, ok := r.services[name]
	if !ok {
		return none, errors.Newf("service %q is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return none, errors.Newf("service %q is a %T, which is not the type asked for", name, s)
	}
	return t, nil
}

func checkName(name string) error {
	for part := range strings.SplitSeq(name, ".") {
		if part == "" || strings.ToLower(part) != part {
			return errors.Newf("service name %q is not made of lower-case words and dots", name)
		}
	}
	return nil
}
