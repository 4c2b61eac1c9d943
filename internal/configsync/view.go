// Package configsync brings accepted configurations to every instance and keeps the view in force.
//
// In each data centre the instance that is first in rendezvous-hash order, the relay, watches the head in the store and pushes
// revisions to the others. All instances compare their state with the relay every few seconds, which repairs
// gaps. An instance whose relay is silent polls the store.
package configsync

import (
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
)

// KeyStatus is the result of checking a caller's key against a view.
type KeyStatus = configview.KeyStatus

// Results of View.Authenticate.
const (
	// KeyUnknown means that no such key exists at the view's revision.
	KeyUnknown = configview.KeyUnknown
	// KeyValid means that the key belongs to the returned organisation.
	KeyValid = configview.KeyValid
	// KeyWithdrawn means that the key was withdrawn.
	KeyWithdrawn = configview.KeyWithdrawn
	// KeyNewer means that the key was issued at a revision this instance has not seen yet: the caller may retry.
	KeyNewer = configview.KeyNewer
)

// View is an immutable snapshot of the configuration in force. Its methods take no lock.
type View interface {
	// Revision is the revision in force, 0 before the first.
	Revision() int64
	// General returns regions, models, endpoints, services and routes; its Organisations field is empty.
	General() *config.Config
	// Organisation returns an organisation by name, or nil.
	Organisation(name string) *config.Organisation
	// Organisations calls f for each organisation until f returns false.
	Organisations(f func(*config.Organisation) bool)
	// Authenticate checks a presented key (dk_<id>_<secret>) in constant time with respect to the secret.
	// id is the key's id, and org is nil unless the status is KeyValid.
	Authenticate(key string) (org *config.Organisation, id string, status KeyStatus)
	// KeyWithdrawn reports whether the key id is withdrawn, for connections that were authenticated earlier.
	KeyWithdrawn(id string) bool
}

var _ View = (*configview.View)(nil)

// Source gives the view in force.
type Source interface {
	// View returns the current snapshot; it is never nil.
	View() View
	// Subscribe calls f after each change with the new view, on one goroutine, in order. The returned function ends it.
	Subscribe(f func(View)) (cancel func())
}
