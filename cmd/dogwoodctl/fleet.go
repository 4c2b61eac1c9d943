package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/operator"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// callParallelism bounds the calls to instances that are open at once.
const callParallelism = 32

// maxAnswerBytes bounds the answer of an instance: the use of a few hundred organisations.
const maxAnswerBytes = 8 << 20

// instance is an entry instance that operators can call.
type instance struct {
	Name       string `json:"instance"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"-"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// report is what an instance says of itself, or why it could not be asked.
type report struct {
	instance
	Incarnation uint64 `json:"incarnation,string,omitempty"`
	Revision    int64  `json:"revision"`
	Applied     int64  `json:"applied"` // in force in all parts of the instance
	Ready       bool   `json:"ready"`
	Reason      string `json:"reason,omitempty"`
	Slots       []int  `json:"slots,omitempty"`
	Waiting     []int  `json:"waiting,omitempty"` // slots that a predecessor may still use
	Failure     string `json:"unreachable,omitempty"`
}

func (r *report) reached() bool { return r.Failure == "" }

// knowsInstances reports whether instances can be found at all.
func (a *app) knowsInstances() bool { return a.Instances != "" || len(a.Operators) > 0 }

// listInstances returns the entry instances that are named by flags, or else listed by the platform.
func (a *app) listInstances(ctx context.Context) ([]instance, error) {
	if len(a.Operators) > 0 {
		var list []instance
		for _, addr := range a.Operators {
			list = append(list, instance{Name: addr, Addr: addr})
		}
		return list, nil
	}
	if a.Instances == "" {
		return nil, withCode(codeUsage, "no instances are known: use --instances or --operators, or DOGWOODKNOT_INSTANCES or DOGWOODKNOT_OPERATORS")
	}
	client, err := platform.NewInstanceListClient(platform.ClientOptions{URL: a.Instances, Timeout: a.Timeout})
	if err != nil {
		return nil, &codedError{codeUsage, err}
	}
	defer client.Close()
	rows, _, err := client.Instances(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the instance list")
	}
	var list []instance
	for _, r := range rows {
		if r.Kind == platform.KindEntry {
			list = append(list, instance{
				Name: r.Name, Region: r.Region, DataCentre: r.DataCentre, Addr: r.OperatorAddr, Leaving: r.State == platform.StateLeaving,
			})
		}
	}
	return list, nil
}

// call sends a request to an instance's operators' port. in and out may be nil.
func (a *app) call(ctx context.Context, addr, method, path string, in, out any) error {
	if addr == "" {
		return errors.New("the instance list has no operators' address")
	}
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, addr+path, body)
	if err != nil {
		return err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if a.Token != "" {
		req.Header.Set("Authorization", "Bearer "+a.Token)
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return errors.Newf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}

// forEach calls f for each index below n, some at a time, and waits.
func forEach(n int, f func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, callParallelism)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	wg.Wait()
}

// reports asks every listed instance for its state.
func (a *app) reports(ctx context.Context) ([]report, error) {
	list, err := a.listInstances(ctx)
	if err != nil {
		return nil, err
	}
	reports := make([]report, len(list))
	forEach(len(list), func(i int) {
		reports[i] = a.ask(ctx, list[i])
	})
	return reports, nil
}

func (a *app) ask(ctx context.Context, in instance) report {
	r := report{instance: in}
	var s operator.Status
	if err := a.call(ctx, in.Addr, http.MethodGet, "/v1/status", nil, &s); err != nil {
		r.Failure = err.Error()
		return r
	}
	r.Name, r.Region, r.DataCentre = s.Instance, s.Region, s.DataCentre
	r.Incarnation, r.Revision, r.Applied = s.Incarnation, s.Revision, s.Applied
	r.Ready, r.Reason, r.Slots, r.Waiting = s.Ready, s.Reason, s.Slots, s.Waiting
	return r
}
