package daemon

import (
	"context"

	"dogwoodknot.example/dogwoodknot/internal/kernel"
)

// Names of the services of an instance.
const (
	nameStore      = "platform.store"
	nameList       = "platform.list"
	nameDirectory  = "platform.directory"
	nameTransport  = "peer.transport"
	nameConfig     = "config.sync"
	nameRegions    = "members.regions"
	nameMembers    = "members"
	nameLimits     = "limits"
	nameDispatch   = "dispatch"
	nameOperations = "operations"
	nameGateway    = "gateway.http"
	nameOrders     = "orders"
	nameOperator   = "operator.http"
)

// service is a component of the instance in the kernel. Other services find the component by the service's name.
type service[T any] struct {
	name     string
	requires []string
	build    func(r *kernel.Registry) (T, error)
	start    func(ctx context.Context, component T) error
	stop     func(ctx context.Context, component T) error

	component T
}

var (
	_ kernel.Requirer    = (*service[any])(nil)
	_ kernel.Provisioner = (*service[any])(nil)
	_ kernel.Starter     = (*service[any])(nil)
	_ kernel.Stopper     = (*service[any])(nil)
)

// Name returns the dotted name.
func (s *service[T]) Name() string { return s.name }

// Requires returns the services that are provisioned and started before.
func (s *service[T]) Requires() []string { return s.requires }

// Component returns what the service offers to others.
func (s *service[T]) Component() T { return s.component }

// Provision makes the component.
func (s *service[T]) Provision(r *kernel.Registry) (err error) {
	s.component, err = s.build(r)
	return err
}

// Start starts the component.
func (s *service[T]) Start(ctx context.Context) error {
	if s.start == nil {
		return nil
	}
	return s.start(ctx, s.component)
}

// Stop stops the component.
func (s *service[T]) Stop(ctx context.Context) error {
	if s.stop == nil {
		return nil
	}
	return s.stop(ctx, s.component)
}

// find returns the component of the service with the name. It panics if there is none or if it has another type: the kernel
// has checked that required services are registered, so that would be an error in this package.
//
// A build function may find the services that it requires. Callbacks that run after the start may find any, which breaks
// the cycles: heartbeats carry the load of dispatch, and dispatch asks the members which endpoints are leaving.
func find[T any](r *kernel.Registry, name string) T {
	s, err := kernel.Lookup[interface{ Component() T }](r, name)
	if err != nil {
		panic(err)
	}
	return s.Component()
}

// plain adapts a start without context or error.
func plain[T any](f func(T)) func(context.Context, T) error {
	return func(_ context.Context, component T) error {
		f(component)
		return nil
	}
}
