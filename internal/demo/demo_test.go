package demo

import (
	"bytes"
	"context"
	"testing"
	"time"
)

// Guards against a README command that no longer shows what it claims: every scene checks its own result.
func TestDemoPlaysAllScenes(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var out bytes.Buffer
	if err := Run(ctx, &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, s := range scenes {
		if !bytes.Contains(out.Bytes(), []byte("== "+s.title)) {
			t.Errorf("scene %q is missing", s.title)
		}
	}
}
