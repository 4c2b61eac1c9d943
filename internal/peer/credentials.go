package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// PEM holds an instance's certificate chain, its private key and the cluster's CA certificates, all PEM-encoded.
// CA may hold several certificates: during a rotation of the CA, both the old and the new one.
type PEM struct {
	Certificate []byte
	Key         []byte
	CA          []byte
	// Pinned are the only certificates that are accepted, by their fingerprint, if it is not nil. CA is not used then.
	Pinned []Fingerprint
}

// Fingerprint is the SHA-256 of a certificate's DER encoding.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a single certificate in PEM.
func FingerprintOf(certificate []byte) (Fingerprint, error) {
	block, _ := pem.Decode(certificate)
	if block == nil || block.Type != "CERTIFICATE" {
		return Fingerprint{}, errors.New("content holds no certificate")
	}
	return sha256.Sum256(block.Bytes), nil
}

// Credentials are the certificate and CAs in force. They can be replaced while sessions run.
type Credentials struct {
	current atomic.Pointer[credentialSet]
}

type credentialSet struct {
	certificate tls.Certificate
	roots       *x509.CertPool       // nil if certificates are pinned
	pinned      map[Fingerprint]bool // nil if a CA is trusted
}

// NewCredentials checks the PEM content and returns credentials with it.
func NewCredentials(p PEM) (*Credentials, error) {
	c := &Credentials{}
	if err := c.Reload(p); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload replaces the certificate and the CAs for all handshakes that follow. On an error, the former ones stay in force.
func (c *Credentials) Reload(p PEM) error {
	certificate, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return errors.Wrap(err, "load instance certificate")
	}
	set := &credentialSet{certificate: certificate}
	if p.Pinned != nil {
		set.pinned = make(map[Fingerprint]bool, len(p.Pinned))
		for _, f := range p.Pinned {
			set.pinned[f] = true
		}
		c.current.Store(set)
		return nil
	}
	set.roots = x509.NewCertPool()
	if !set.roots.AppendCertsFromPEM(p.CA) {
		return errors.New("CA content holds no certificate")
	}
	c.current.Store(set)
	return nil
}

// checkOwnName reports whether the own certificate names the instance.
func (c *Credentials) checkOwnName(self Identity) error {
	leaf := c.current.Load().certificate.Leaf
	return checkName(leaf, helloOf(self))
}

// serverConfig returns the TLS configuration of the accepting side, with the credentials in force at each handshake.
func (c *Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			set := c.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{set.certificate},
				// VerifyConnection checks the certificate. With ClientCAs, the server would name all of them in each handshake.
				ClientAuth:             tls.RequireAnyClientCert,
				SessionTicketsDisabled: true, // a resumed session would skip the check against the current CAs
				VerifyConnection: func(state tls.ConnectionState) error {
					return set.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth)
				},
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration of the dialling side.
func (c *Credentials) clientConfig() *tls.Config {
	set := c.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{set.certificate},
		SessionTicketsDisabled: true,
		// The name may be in a URI, which crypto/tls does not check. VerifyConnection checks the chain,
		// and the handshake of the session checks the name against the Hello.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return set.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
		},
	}
}

// stillValid reports whether the credentials in force would accept a session's certificates now.
func (c *Credentials) stillValid(certificates []*x509.Certificate) bool {
	return c.current.Load().verify(certificates, x509.ExtKeyUsageAny) == nil
}

// verify checks the certificates of a peer for a usage: the first one must be pinned or, if none are, its chain must lead to a trusted
// CA.
func (s *credentialSet) verify(certificates []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(certificates) == 0 {
		return errors.New("peer has sent no certificate")
	}
	roots := s.roots
	if s.pinned != nil {
		if !s.pinned[sha256.Sum256(certificates[0].Raw)] {
			return errNotAnnounced
		}
		// As its own root, the certificate is still checked for its dates and usage.
		roots, certificates = x509.NewCertPool(), certificates[:1]
		roots.AddCert(certificates[0])
	}
	return verifyChain(certificates, roots, usage)
}

func verifyChain(certificates []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range certificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := certificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		CurrentTime:   time.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "verify the peer's certificate")
}

// uriScheme and uriHost start the URI name of an instance certificate.
const (
	uriScheme = "spiffe"
	uriHost   = "dogwoodknot"
)

// InstanceURI returns the URI name of an instance's certificate. Region and data centre may be empty; if they
// are set, the handshake checks them too.
func InstanceURI(instance, region, dataCentre string) *url.URL {
	path := "/instance/" + instance
	if region != "" {
		path = "/region/" + region + "/data-centre/" + dataCentre + path
	}
	return &url.URL{Scheme: uriScheme, Host: uriHost, Path: path}
}

// checkName reports whether a certificate was issued to the instance that the Hello names.
func checkName(leaf *x509.Certificate, hello *wire.Hello) error {
	bare := InstanceURI(hello.GetInstance(), "", "").String()
	full := InstanceURI(hello.GetInstance(), hello.GetRegion(), hello.GetDataCentre()).String()
	namesPlace := false
	for _, uri := range leaf.URIs {
		switch uri.String() {
		case full, bare:
			return nil
		}
		namesPlace = namesPlace || strings.HasPrefix(uri.Path, "/region/")
	}
	// A certificate that names a region is not accepted for another one by its DNS name.
	if !namesPlace && slices.Contains(leaf.DNSNames, hello.GetInstance()) {
		return nil
	}
	return errors.Newf("certificate is not for instance %q in region %q, data centre %q",
		hello.GetInstance(), hello.GetRegion(), hello.GetDataCentre())
}
