package edge

import (
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// maxLinkMbps bounds the bandwidth that an instance announces: 100 Tbit/s. The instance with most becomes the root of its region.
const maxLinkMbps = 1e8

// maxCores and maxMemoryMB bound the machine that an instance announces. A stronger one would take the callers of all others.
const (
	maxCores    = 1e5
	maxMemoryMB = 1e9
)

// decodeAnnouncement decodes the announcement of an instance in one of the regions, and returns the fingerprint of its certificate, which
// it announces itself or with the whole certificate. An announcement that another writer may have left is an error.
func decodeAnnouncement(value []byte, regions map[string]string) (announcement, peer.Fingerprint, error) {
	var a announcement
	if err := json.Unmarshal(value, &a); err != nil {
		return a, peer.Fingerprint{}, errors.New("document is not valid")
	}
	fingerprint, err := a.fingerprint()
	switch {
	case a.Incarnation == 0:
		return a, fingerprint, errors.New("incarnation is missing")
	case !isAddress(a.PeerAddr) || !isAddress(a.CallerAddr):
		return a, fingerprint, errors.New("address of an instance is not an IP address and a port")
	case a.LinkMbps < 0 || a.LinkMbps > maxLinkMbps:
		return a, fingerprint, errors.New("bandwidth is out of range")
	case a.Cores < 0 || a.Cores > maxCores || a.MemoryMB < 0 || a.MemoryMB > maxMemoryMB:
		return a, fingerprint, errors.New("processor or memory is out of range")
	case len(regions) > 0 && !slices.Contains(slices.Collect(maps.Values(regions)), a.Region):
		return a, fingerprint, errors.New("region is not known")
	}
	return a, fingerprint, err
}

// fingerprint returns the fingerprint of the certificate that is announced in either form, zero if there is none.
func (a *announcement) fingerprint() (peer.Fingerprint, error) {
	var out peer.Fingerprint
	if len(a.Certificate) > 0 {
		if err := checkCertificate(a.Certificate); err != nil {
			return out, err
		}
		var err error
		if out, err = peer.FingerprintOf(a.Certificate); err != nil {
			return out, err
		}
	}
	if len(a.CertificateSHA256) == 0 {
		return out, nil
	}
	if len(a.CertificateSHA256) != len(out) {
		return out, errors.New("fingerprint of a certificate has another length")
	}
	announced := peer.Fingerprint(a.CertificateSHA256)
	if len(a.Certificate) > 0 && announced != out {
		return out, errors.New("fingerprint is not that of the certificate")
	}
	return announced, nil
}

// isAddress reports whether text has the form ip:port with a port above 0.
func isAddress(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() > 0
}

// checkCertificate checks that content is one certificate (PEM) and nothing else.
func checkCertificate(content []byte) error {
	block, rest := pem.Decode(content)
	if block == nil || block.Type != "CERTIFICATE" || len(rest) > 0 || !strings.HasPrefix(string(content), "-----BEGIN") ||
		content[len(content)-1] != '\n' {
		return errors.New("certificate is not a single PEM block")
	}
	if _, err := x509.ParseCertificate(block.Bytes); err != nil {
		return errors.New("certificate cannot be parsed")
	}
	return nil
}
