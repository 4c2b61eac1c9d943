// Package peertest helps tests of packages that talk to other instances: certificates made in memory, and an in-memory
// Network with faults.
package peertest

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
)

// certificateLife is the validity of test certificates.
const certificateLife = time.Hour

// NewAuthority makes an authority and fails the test on an error.
func NewAuthority(t testing.TB) *certs.Authority {
	t.Helper()
	authority, err := certs.NewAuthority("test CA", certificateLife)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// Issue makes a valid certificate for the identity.
func Issue(t testing.TB, authority *certs.Authority, id peer.Identity) peer.PEM {
	t.Helper()
	return IssueSubject(t, authority, certs.Subject{
		Instance:   id.Instance,
		Region:     id.Region,
		DataCentre: id.DataCentre,
		NotAfter:   time.Now().Add(certificateLife),
	})
}

// IssueSubject makes a certificate with the given content.
func IssueSubject(t testing.TB, authority *certs.Authority, s certs.Subject) peer.PEM {
	t.Helper()
	issued, err := authority.Issue(s)
	if err != nil {
		t.Fatal(err)
	}
	return issued
}

// Credentials makes credentials for the identity.
func Credentials(t testing.TB, authority *certs.Authority, id peer.Identity) *peer.Credentials {
	t.Helper()
	credentials, err := peer.NewCredentials(Issue(t, authority, id))
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}
