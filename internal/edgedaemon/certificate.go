package edgedaemon

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
)

// Validity of an instance's certificate. The certificate is used only while its process lives. The wide range makes it
// independent of clocks, which may be stepped or differ between instances.
var (
	validFrom  = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// newIdentity creates a key and a self-signed certificate for the instance. Others trust it because its fingerprint is in the store
// under the instance's key.
func newIdentity(id peer.Identity) (peer.PEM, error) {
	identity, err := certs.SelfSigned(certs.Subject{
		Instance: id.Instance, Region: id.Region, DataCentre: id.DataCentre, NotBefore: validFrom, NotAfter: validUntil,
	})
	if err != nil {
		return peer.PEM{}, err
	}
	own, err := peer.FingerprintOf(identity.Certificate)
	identity.CA, identity.Pinned = nil, []peer.Fingerprint{own}
	return identity, err
}

// trustingNetwork is a transport that accepts the certificates of the known instances.
type trustingNetwork struct {
	*peer.Transport
	own peer.PEM // its own certificate is pinned
}

// Trust replaces the accepted certificates. The instance's own certificate is always accepted.
func (n *trustingNetwork) Trust(certificates []peer.Fingerprint) error {
	credentials := n.own
	credentials.Pinned = append(append([]peer.Fingerprint(nil), n.own.Pinned...), certificates...)
	return n.Reload(credentials)
}
