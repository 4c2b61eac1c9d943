package edgedaemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// Validity of an instance's certificate. It lives as long as its process; the wide span keeps clocks out of it, which may be
// stepped or differ between instances.
var (
	validFrom  = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// identityPEM is a certificate and its key.
type identityPEM struct{ certificate, key []byte }

// newIdentity makes a key and a self-signed certificate for the instance. Others trust it because it stands under the
// instance's key in the store.
func newIdentity(id peer.Identity) (identityPEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return identityPEM{}, errors.Wrap(err, "make instance key")
	}
	template := &x509.Certificate{
		SerialNumber: new(big.Int).SetUint64(id.Incarnation),
		NotBefore:    validFrom,
		NotAfter:     validUntil,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:         []*url.URL{peer.InstanceURI(id.Instance, id.Region, id.DataCentre)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return identityPEM{}, errors.Wrap(err, "make instance certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return identityPEM{}, errors.Wrap(err, "encode instance key")
	}
	return identityPEM{
		certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// trustingNetwork is a transport that accepts the certificates of the known instances.
type trustingNetwork struct {
	*peer.Transport
	own identityPEM
}

// Trust replaces the accepted certificates (PEM). The own one is always among them.
func (n *trustingNetwork) Trust(certificates []byte) error {
	return n.Reload(n.own.withPeers(certificates))
}

func (i identityPEM) withPeers(certificates []byte) peer.PEM {
	ca := append(append([]byte(nil), i.certificate...), certificates...)
	return peer.PEM{Certificate: i.certificate, Key: i.key, CA: ca}
}
