package operations

import (
	"io"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// partBytes is the part of a body in one message between instances. Their limit is 4 MiB.
	partBytes = 1 << 20
	// maxForwardedBody bounds the body that an owner takes from another instance.
	maxForwardedBody = 64 << 20
)

// firstPart returns the part of a body that goes with the message itself.
func firstPart(body []byte) []byte { return body[:min(len(body), partBytes)] }

// sendRest sends what firstPart has left over.
func sendRest(stream peer.Stream, body []byte) error {
	for rest := body[len(firstPart(body)):]; len(rest) > 0; {
		n := min(len(rest), partBytes)
		if err := stream.Send(&wire.OperationBodyPart{Data: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// receiveRest returns the body of the given length that starts with first. It grows with what arrives, not with what
// the peer announces.
func receiveRest(stream peer.Stream, first []byte, size int64) ([]byte, error) {
	body := first
	for int64(len(body)) < size {
		part := &wire.OperationBodyPart{}
		if err := stream.Recv(part); err != nil {
			if errors.Is(err, io.EOF) {
				return nil, errors.Newf("body ended after %d of %d bytes", len(body), size)
			}
			return nil, err
		}
		if len(part.GetData()) == 0 {
			return nil, errors.New("empty part of a body")
		}
		body = append(body, part.GetData()...)
	}
	if int64(len(body)) > size {
		return nil, errors.Newf("body has %d instead of %d bytes", len(body), size)
	}
	return body, nil
}
