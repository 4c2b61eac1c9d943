package main

import (
	"testing"
	"time"

	"github.com/alecthomas/kong"
)

// Guards against flags of the subcommand that do not reach the experiment: the page names its command lines.
func TestCapacityCommand(t *testing.T) {
	var c command
	parser, err := kong.New(&c)
	if err != nil {
		t.Fatal(err)
	}
	args := []string{"capacity", "--organisations", "200", "--daemons", "24", "--endpoints", "24", "--records", "100",
		"--rate-time", "50ms", "--section", "ledger", "--output", "json"}
	if _, err := parser.Parse(args); err != nil {
		t.Fatal(err)
	}
	if c.Capacity.Output != "json" || c.Capacity.Timeout != 3*time.Minute {
		t.Errorf("parsed: %+v", c.Capacity)
	}
	if err := c.Capacity.Run(t.Context()); err != nil {
		t.Error(err)
	}
	c.Capacity.Section = []string{"no-such-section"}
	if err := c.Capacity.Run(t.Context()); err == nil {
		t.Error("a section that does not exist gives no error")
	}
}
