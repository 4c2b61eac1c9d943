package rates

import (
	"os"
	"testing"
	"time"
)

func TestAll(t *testing.T) {
	if _, err := All(os.Stdout, 1, 20*time.Minute); err != nil {
		t.Fatal(err)
	}
}
