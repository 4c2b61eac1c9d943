package operations_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/site"
)

// boundOrganisation is bound to arequipa.
const boundOrganisation = "veletas-del-sur"

// booking is an answer to a keyed request.
type booking struct {
	status    int
	execution string
	code      string
	body      string
}

func post(ctx context.Context, t *testing.T, s *site.Site, at *site.Instance, path, organisation, key, body string) booking {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, at.URL()+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.Keys[organisation])
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := s.Client(at.Place.Region).Do(req)
	if err != nil {
		return booking{execution: string(operations.Unknown), code: err.Error()}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return booking{execution: string(operations.Unknown), code: err.Error()}
	}
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(b, &e) // an answer of the service has other fields
	return booking{resp.StatusCode, resp.Header.Get("Dogwoodknot-Execution"), e.Error.Code, string(b)}
}

// settle repeats a booking while it is advised.
func settle(ctx context.Context, t *testing.T, s *site.Site, at *site.Instance, organisation, key, body string) booking {
	t.Helper()
	var b booking
	for range 200 {
		b = post(ctx, t, s, at, "/bookings", organisation, key, body)
		// A slot starts without tokens, so that early requests may be over the rate.
		retry := b.status == http.StatusServiceUnavailable || b.status == http.StatusTooManyRequests
		if !retry && b.code != operations.CodeInProgress {
			return b
		}
		time.Sleep(100 * time.Millisecond)
	}
	return b
}

// executions returns how often the services have executed a body.
func executions(s *site.Site, body string) int64 {
	sum := sha256.Sum256([]byte(body))
	n := int64(0)
	for _, svc := range s.Services {
		n += svc.Service.Executions().ByBodyDigest[hex.EncodeToString(sum[:])]
	}
	return n
}

// withRecordsIn makes a deployment small and adds an organisation whose records are in the region.
func withRecordsIn(o site.Options, region string) (site.Options, string) {
	// Bookings need no engines beyond one a region, and the test no wide-area latency.
	o.Latency, o.StopDelay, o.ListLag = site.Latency{}, 100*time.Millisecond, 100*time.Millisecond
	general := &config.Config{}
	for i, r := range o.Regions {
		o.Regions[i].Runners = 1
		general.Regions = append(general.Regions, config.Region{Name: r.Name, Slots: r.Instances})
	}
	for i := 0; ; i++ {
		org := config.Organisation{Name: fmt.Sprintf("taller-%d", i)}
		if operations.RecordRegion(general, &org) == region {
			o.Organisations = append(o.Organisations, site.Organisation{Name: org.Name, Rate: 30000, Burst: 120000})
			return o, org.Name
		}
	}
}

// startVeletas starts a deployment with an organisation whose records are in lima. The deployment and ctx end with the test.
func startVeletas(t *testing.T) (ctx context.Context, s *site.Site, organisation string) {
	t.Helper()
	options, organisation := withRecordsIn(site.Veletas(), "lima")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	s, err := site.Start(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// The last instance of a region has nobody to hand the record of an issued id to, which is no fault of its stop.
		if err := s.Stop(ctx); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	return ctx, s, organisation
}

// Guards against faults between the daemon's parts that the package's own tests cannot see: keys over HTTP at instances
// of all regions, the stop of an instance that owns slots and has issued ids.
func TestBookingsOfADeployment(t *testing.T) {
	t.Parallel()
	ctx, s, organisation := startVeletas(t)
	keys := map[string]string{} // by body
	for i, at := range s.Instances {
		body := `{"deposit":"` + at.Name + `"}`
		keys[body] = uuid.Must(uuid.NewV7()).String()
		if b := settle(ctx, t, s, at, organisation, keys[body], body); b.execution != "ran" || b.status != http.StatusOK {
			t.Fatalf("%s: booking got %+v", at.Name, b)
		}
		other := s.Instances[(i+1)%len(s.Instances)]
		// Slots move between instances that start one after the other, and answers stay with the former owner.
		b := settle(ctx, t, s, other, organisation, keys[body], body)
		if b.execution != "ran" || b.status != http.StatusOK && b.code != operations.CodeAnswerGone {
			t.Errorf("%s: repeat at %s got %+v", at.Name, other.Name, b)
		}
		third := s.Instances[(i+2)%len(s.Instances)]
		if b := settle(ctx, t, s, third, organisation, keys[body], `{"deposit":"other"}`); b.status != http.StatusUnprocessableEntity {
			t.Errorf("%s: other body at %s got %+v", at.Name, third.Name, b)
		}
	}
	bound := `{"deposit":"bound"}`
	keys[bound] = uuid.Must(uuid.NewV7()).String()
	if b := settle(ctx, t, s, s.Instance("arequipa-1"), boundOrganisation, keys[bound], bound); b.execution != "ran" {
		t.Errorf("booking of a bound organisation got %+v", b)
	}
	issued := post(ctx, t, s, s.Instance("lima-1"), "/v1/operations", organisation, "", "")
	var id struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(issued.body), &id); err != nil || id.ID == "" {
		t.Fatalf("issue got %+v", issued)
	}
	byID := `{"deposit":"by id"}`
	keys[byID] = id.ID
	for _, at := range s.Instances {
		if b := settle(ctx, t, s, at, organisation, id.ID, byID); b.execution != "ran" {
			t.Errorf("issued id at %s got %+v", at.Name, b)
		}
	}
	if err := s.Instance("lima-1").Stop(ctx); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	for body, key := range keys {
		if body == bound {
			continue
		}
		if b := settle(ctx, t, s, s.Instance("lima-2"), organisation, key, body); b.execution != "ran" {
			t.Errorf("%s after the planned stop got %+v", body, b)
		}
	}
	for body := range keys {
		if n := executions(s, body); n != 1 {
			t.Errorf("%s was executed %d times", body, n)
		}
	}
}

// Guards against a second execution after the owner of keys was killed, before and after its lease lapses.
func TestKilledOwnerOfADeployment(t *testing.T) {
	t.Parallel()
	ctx, s, organisation := startVeletas(t)
	keys := map[string]string{} // by body
	for i := range 8 {
		body := fmt.Sprintf(`{"deposit":%d}`, i)
		keys[body] = uuid.Must(uuid.NewV7()).String()
		if b := settle(ctx, t, s, s.Instance("cusco-1"), organisation, keys[body], body); b.execution != "ran" {
			t.Fatalf("booking got %+v", b)
		}
	}
	if err := s.Instance("lima-1").Kill(ctx); err != nil {
		t.Logf("kill: %v", err) // its listeners are closed already
	}
	for body, key := range keys {
		b := settle(ctx, t, s, s.Instance("lima-2"), organisation, key, body)
		if b.execution != "ran" && b.execution != "unknown" {
			t.Errorf("%s after the kill got %+v", body, b)
		}
		if n := executions(s, body); n != 1 {
			t.Errorf("%s was executed %d times", body, n)
		}
	}
}
