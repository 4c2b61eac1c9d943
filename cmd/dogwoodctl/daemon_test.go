package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/site"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// deployment is a whole site in this process, with the command's settings for it.
type deployment struct {
	t     *testing.T
	site  *site.Site
	flags []string
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s, err := site.Start(ctx, site.Veletas())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := s.Stop(ctx); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	listen := func(h http.Handler) string {
		l, err := standin.Listen(h)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		return l.URL()
	}
	return &deployment{t: t, site: s, flags: []string{
		"--store", listen(s.Store.Handler()), "--instances", listen(s.List.Handler()), "-o", "json", "--author", "ana",
	}}
}

// run executes a command, expects an exit code and decodes the output into out.
func (d *deployment) run(wantCode int, out any, args ...string) {
	d.t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(d.t.Context(), append(args, d.flags...), &stdout, &stderr)
	if code != wantCode {
		d.t.Fatalf("dogwoodctl %s: exit code %d, want %d\n%s%s", strings.Join(args, " "), code, wantCode, &stdout, &stderr)
	}
	if out == nil {
		return
	}
	if err := json.Unmarshal(stdout.Bytes(), out); err != nil {
		d.t.Fatalf("dogwoodctl %s: %v\n%s", strings.Join(args, " "), err, &stdout)
	}
}

// app returns what commands work with, for a wait that the command withdraw does not have.
func (d *deployment) app() *app {
	var out bytes.Buffer
	a := newApp(d.t.Context(), &settings{Instances: d.flags[3], Timeout: time.Second}, nil, &out, &out)
	d.t.Cleanup(a.close)
	return a
}

// lookup calls an idempotent route at each instance and returns the statuses.
func (d *deployment) lookup(key string) []int {
	d.t.Helper()
	var codes []int
	for _, i := range d.site.Instances {
		req, err := http.NewRequestWithContext(d.t.Context(), http.MethodGet, i.URL()+"/lookup/1", nil)
		if err != nil {
			d.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := d.site.Client(i.Place.Region).Do(req)
		if err != nil {
			d.t.Fatal(err)
		}
		_ = resp.Body.Close()
		codes = append(codes, resp.StatusCode)
	}
	return codes
}

func all(codes []int, want int) bool {
	for _, c := range codes {
		if c != want {
			return false
		}
	}
	return len(codes) > 0
}

// Guards against a command and daemons that differ in their protocol: files, keys and withdrawals go all the way from the
// operator to the answers that callers get.
func TestAgainstDaemons(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a whole site")
	}
	d := startDeployment(t)
	snapshot, err := d.site.Config.Latest(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	base, err := config.Render(snapshot.Declared())
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	baseFile, overlay := filepath.Join(dir, "base.yaml"), filepath.Join(dir, "overlay.yaml")
	writeFile(t, baseFile, string(base))
	writeFile(t, overlay, "organisations:\n  - {name: patronos, rate: 6000}\n")

	start := time.Now()
	var applied written
	d.run(codeDone, &applied, "apply", "--wait", baseFile, overlay)
	t.Logf("apply with --wait: %s", time.Since(start).Round(time.Millisecond))
	if applied.InForce == nil || applied.InForce.Reached != len(d.site.Instances) || len(applied.Changes) != 1 {
		t.Errorf("applied %+v", applied)
	}

	start = time.Now()
	var key issuedOutput
	d.run(codeDone, &key, "key", "issue", "patronos", "--wait")
	t.Logf("key issue with --wait: %s", time.Since(start).Round(time.Millisecond))
	if codes := d.lookup(key.Key); !all(codes, http.StatusOK) {
		t.Errorf("new key: %v", codes)
	}

	var organisations organisationOutput
	d.run(codeDone, &organisations, "organisation", "list", "patronos")
	if o := organisations.Organisations[0]; o.Rate != 6000 || o.Keys != 2 || o.Instances == 0 {
		t.Errorf("organisation %+v", o)
	}

	var withdrawal withdrawnOutput
	d.run(codeDone, &withdrawal, "key", "withdraw", key.ID)
	start = time.Now()
	for !all(d.lookup(key.Key), http.StatusUnauthorized) {
		if time.Since(start) > 7*time.Second {
			t.Fatalf("withdrawn key after 7 s: %v", d.lookup(key.Key))
		}
	}
	if !withdrawal.Recorded || len(withdrawal.Pushed) == 0 {
		t.Errorf("withdrawal %+v", withdrawal)
	}

	if _, err := d.app().waitInForce(withdrawal.Revision, 7*time.Second); err != nil {
		t.Error(err)
	}
	var status statusOutput
	d.run(codeDone, &status, "status")
	if len(status.Instances) != len(d.site.Instances) || status.StoreRevision != withdrawal.Revision {
		t.Errorf("status %+v", status)
	}
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
