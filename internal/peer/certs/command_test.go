package certs_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
)

// Guards against demo files that an instance cannot load, and against keys that others can read.
func TestCommand(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "certs")
	command := certs.Command{Dir: dir, ValidFor: time.Hour, Instances: []string{"lima-1@lima/lima-a", "cusco-1"}}
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
	read := func(name string) []byte {
		content, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	for _, name := range []string{"lima-1", "cusco-1"} {
		content := peer.PEM{Certificate: read(name + ".pem"), Key: read(name + "-key.pem"), CA: read("ca.pem")}
		if _, err := peer.NewCredentials(content); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		info, err := os.Stat(filepath.Join(dir, name+"-key.pem"))
		if err != nil {
			t.Fatal(err)
		}
		if info.Mode().Perm() != 0o600 {
			t.Errorf("key of %s has mode %v", name, info.Mode())
		}
	}
}

// Guards against instance names that lead out of the directory or lack a part.
func TestCommandRefusesNames(t *testing.T) {
	for _, name := range []string{"", "../x", "a@lima", "a@/b", "a@lima/", `a\b`, "@lima/a"} {
		command := certs.Command{Dir: t.TempDir(), ValidFor: time.Hour, Instances: []string{name}}
		if err := command.Run(); err == nil {
			t.Errorf("name %q was accepted", name)
		}
	}
}
