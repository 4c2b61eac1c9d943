// Package configsync brings accepted configurations to every instance and keeps the view in force.
package configsync

import (
	"dogwoodknot.example/dogwoodknot/internal/config"
)

// KeyStatus is the result of checking a caller's key against a view.
type KeyStatus int

// Results of View.Authenticate.
const (
	// KeyUnknown means that no such key exists at the view's revision.
	KeyUnknown KeyStatus = iota
	// KeyValid means that the key belongs to the returned organisation.
	KeyValid
	// KeyWithdrawn means that the key was withdrawn.
	KeyWithdrawn
	// KeyNewer means that the key was issued at a revision this instance has not seen yet: the caller may retry.
	KeyNewer
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

// Source gives the view in force.
type Source interface {
	// View returns the current snapshot; it is never nil.
	View() View
	// Subscribe calls f after each change with the new view, on one goroutine, in order. The returned function ends it.
	Subscribe(f func(View)) (cancel func())
}
