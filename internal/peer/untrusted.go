package peer

import (
	"crypto/x509"
	"net"

	"github.com/cockroachdb/errors"
)

// errNotAnnounced reports a certificate that is not one of the accepted ones.
var errNotAnnounced = errors.New("peer's certificate is not one of those announced")

// IsUntrusted reports whether a session could not be opened because one side does not accept the other's certificate. The peer's process
// answers: while instances start, one of them may not have read the other's certificate yet.
func IsUntrusted(err error) bool {
	var unknown x509.UnknownAuthorityError
	if errors.As(err, &unknown) || errors.Is(err, errNotAnnounced) {
		return true
	}
	var alert *net.OpError // crypto/tls reports an alert of the other side so
	return errors.As(err, &alert) && alert.Op == "remote error"
}
