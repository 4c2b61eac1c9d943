// Package kernel assembles a process out of named services that look each other up.
//
// A service has a dotted name such as "gateway.http". The kernel sorts services by what they require, provisions
// and validates all of them, reports every problem it finds together, and then starts them in order and stops them in
// reverse order.
package kernel

import "context"

// Service is a named part of a process. It may implement the other interfaces of this file.
type Service interface {
	// Name returns the dotted name, unique within the process.
	Name() string
}

// Requirer is a service that uses others.
type Requirer interface {
	// Requires returns the names of services that must be provisioned and started before this one.
	Requires() []string
}

// Provisioner is a service that prepares itself without I/O: it looks up what it requires.
type Provisioner interface {
	Provision(r *Registry) error
}

// Validator is a service with settings to check.
type Validator interface {
	// Validate returns every problem, not only the first.
	Validate() []error
}

// Starter is a service with work of its own, such as a listener.
type Starter interface {
	// Start returns when the service works. ctx bounds the start, not the service's life.
	Start(ctx context.Context) error
}

// Stopper is a service that has to be stopped.
type Stopper interface {
	// Stop ends the service gracefully until ctx ends.
	Stop(ctx context.Context) error
}

// Cleaner is a service that holds resources from Provision on, started or not.
type Cleaner interface {
	// Cleanup releases what Provision took.
	Cleanup() error
}
