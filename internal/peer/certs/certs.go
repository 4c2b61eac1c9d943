// Package certs makes the certificates of a cluster: for tests, as files for the demo, and self-signed ones for instances that pin
// each other's. A production site with an authority issues them with its own.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// clockSkew is how far before its making a certificate is valid, for machines whose clock is behind.
const clockSkew = 5 * time.Minute

// serialBits is the size of the random serial numbers. RFC 5280 allows up to 159 bits.
const serialBits = 128

// Authority is a certificate authority whose key is held in memory.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// NewAuthority makes a self-signed authority.
func NewAuthority(name string, validFor time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make CA key")
	}
	template, err := newTemplate(name, time.Now().Add(-clockSkew), time.Now().Add(validFor))
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse CA certificate")
	}
	return &Authority{certificate: certificate, key: key, pem: encode("CERTIFICATE", der)}, nil
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() []byte { return a.pem }

// KeyID returns the authority's subject key id, which the certificates that it issues carry.
func (a *Authority) KeyID() []byte { return a.certificate.SubjectKeyId }

// Subject is what a certificate states of an instance.
type Subject struct {
	Instance   string
	Region     string // with DataCentre part of the URI name; empty: any
	DataCentre string
	DNSOnly    bool // name the instance in a DNS name instead of a URI
	NotBefore  time.Time
	NotAfter   time.Time
}

// Issue makes a key and a certificate for an instance. The CA content of the result is this authority's certificate.
func (a *Authority) Issue(s Subject) (peer.PEM, error) {
	issued, err := issue(s, a)
	issued.CA = a.pem
	return issued, err
}

// SelfSigned makes a key and a certificate for an instance that is signed by that key. Peers that trust it take it as a CA.
func SelfSigned(s Subject) (peer.PEM, error) {
	issued, err := issue(s, nil)
	issued.CA = issued.Certificate
	return issued, err
}

// issue makes a key and a certificate that the authority signs, or the key itself without one.
func issue(s Subject, a *Authority) (peer.PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return peer.PEM{}, errors.Wrap(err, "make instance key")
	}
	if s.NotBefore.IsZero() {
		s.NotBefore = time.Now().Add(-clockSkew)
	}
	template, err := newTemplate(s.Instance, s.NotBefore, s.NotAfter)
	if err != nil {
		return peer.PEM{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if s.DNSOnly {
		template.DNSNames = []string{s.Instance}
	} else {
		template.URIs = []*url.URL{peer.InstanceURI(s.Instance, s.Region, s.DataCentre)}
	}
	parent, signer := template, key
	if a != nil {
		parent, signer = a.certificate, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return peer.PEM{}, errors.Wrap(err, "sign instance certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return peer.PEM{}, errors.Wrap(err, "encode instance key")
	}
	return peer.PEM{
		Certificate: encode("CERTIFICATE", der),
		Key:         encode("PRIVATE KEY", keyDER),
	}, nil
}

func newTemplate(name string, notBefore, notAfter time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "make serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    notBefore,
		NotAfter:     notAfter,
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
