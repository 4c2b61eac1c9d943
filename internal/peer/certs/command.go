package certs

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Modes of the written files. Only the owner may read a key.
const (
	dirMode  = 0o700
	certMode = 0o644
	keyMode  = 0o600
)

// Command writes the certificates of a demo cluster. It is a kong command.
type Command struct {
	Dir       string        `help:"Directory for ca.pem, <instance>.pem and <instance>-key.pem." required:"" type:"path"`
	ValidFor  time.Duration `help:"Validity of the certificates." default:"720h"`
	Instances []string      `arg:"" help:"Instances, as name or name@region/data-centre."`
}

// Run makes an authority, whose key is not kept, and a certificate for each instance.
func (c *Command) Run() error {
	authority, err := NewAuthority("dogwoodknot demo CA", c.ValidFor)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, dirMode); err != nil {
		return errors.Wrap(err, "make certificate directory")
	}
	if err := os.WriteFile(filepath.Join(c.Dir, "ca.pem"), authority.PEM(), certMode); err != nil {
		return errors.Wrap(err, "write CA certificate")
	}
	for _, text := range c.Instances {
		if err := c.write(authority, text); err != nil {
			return err
		}
	}
	return nil
}

func (c *Command) write(authority *Authority, text string) error {
	subject, err := parseSubject(text)
	if err != nil {
		return err
	}
	subject.NotAfter = time.Now().Add(c.ValidFor)
	issued, err := authority.Issue(subject)
	if err != nil {
		return err
	}
	base := filepath.Join(c.Dir, subject.Instance)
	if err := os.WriteFile(base+".pem", issued.Certificate, certMode); err != nil {
		return errors.Wrapf(err, "write certificate of %q", subject.Instance)
	}
	return errors.Wrapf(os.WriteFile(base+"-key.pem", issued.Key, keyMode), "write key of %q", subject.Instance)
}

// parseSubject reads name or name@region/data-centre.
func parseSubject(text string) (Subject, error) {
	name, place, placed := strings.Cut(text, "@")
	region, dataCentre, complete := strings.Cut(place, "/")
	if name == "" || strings.ContainsAny(name, "/\\") || (placed && (!complete || region == "" || dataCentre == "")) {
		return Subject{}, errors.Newf("instance %q is not of the form name or name@region/data-centre", text)
	}
	return Subject{Instance: name, Region: region, DataCentre: dataCentre}, nil
}
