package edge

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// Guards against a failure that is not told to the instance of the other region, since its reason quotes bytes of an endpoint's answer that
// are not UTF-8.
func TestFailureReasonsCanBeSent(t *testing.T) {
	if _, err := proto.Marshal(encodeFailure(&failure{kind: badAnswer, endpoint: "e", reason: "malformed header line: caf\xe9"})); err != nil {
		t.Error(err)
	}
}
