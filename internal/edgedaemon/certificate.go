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

// newIdentity creates a key and a self-signed certificate for the instance. Others trust it because it is in the store under
// the instance's key.
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

// Trust replaces the accepted certificates (PEM). The instance's own certificate is always accepted.
func (n *trustingNetwork) Trust(certificates []byte) error {
	return n.Reload(withTrusted(n.own, certificates))
}

// withTrusted returns the instance's own credentials with the certificates of the peers added to the accepted ones.
func withTrusted(own peer.PEM, certificates []byte) peer.PEM {
	own.CA = append(append([]byte(nil), own.Certificate...), certificates...)
	return own
}
