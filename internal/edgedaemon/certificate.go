package edgedaemon

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
)

// Validity of an instance's certificate. It lives as long as its process; the wide span keeps clocks out of it, which may be
// stepped or differ between instances.
var (
	validFrom  = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// newIdentity makes a key and a self-signed certificate for the instance. Others trust it because it stands under the
// instance's key in the store.
func newIdentity(id peer.Identity) (peer.PEM, error) {
	return certs.SelfSigned(certs.Subject{
		Instance: id.Instance, Region: id.Region, DataCentre: id.DataCentre, NotBefore: validFrom, NotAfter: validUntil,
	})
}

// trustingNetwork is a transport that accepts the certificates of the known instances.
type trustingNetwork struct {
	*peer.Transport
	own peer.PEM
}

// Trust replaces the accepted certificates (PEM). The own one is always among them.
func (n *trustingNetwork) Trust(certificates []byte) error {
	return n.Reload(trusting(n.own, certificates))
}

// trusting returns the credentials with the certificates of the peers besides the own one.
func trusting(own peer.PEM, certificates []byte) peer.PEM {
	own.CA = append(append([]byte(nil), own.Certificate...), certificates...)
	return own
}
