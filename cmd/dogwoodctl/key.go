package main

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/configstore"
)

type keyCmd struct {
	Issue    keyIssueCmd    `cmd:"" help:"Issue a key to an organisation and show its secret once."`
	Withdraw keyWithdrawCmd `cmd:"" help:"Withdraw keys for good."`
	List     keyListCmd     `cmd:"" help:"List keys."`
}

type keyIssueCmd struct {
	Organisation string `arg:"" help:"Organisation that gets the key."`
	waitFlags
	Note string `help:"Why, for the history." placeholder:"TEXT"`
}

// Help gives examples.
func (keyIssueCmd) Help() string {
	return `The secret is shown once and kept nowhere: the store holds its hash.

Example:

    dogwoodctl key issue rosa --wait`
}

type issuedOutput struct {
	ID           string    `json:"id"`
	Key          string    `json:"key"`
	Organisation string    `json:"organisation"`
	Revision     int64     `json:"revision"`
	InForce      *progress `json:"in_force,omitempty"`
}

// Run issues a key.
func (c *keyIssueCmd) Run(a *app) error {
	kv, err := a.kv()
	if err != nil {
		return err
	}
	s := a.configurationsIn(kv)
	key, r, err := s.IssueKey(a.ctx, c.Organisation, a.change(kv, c.Note))
	if err != nil {
		return err
	}
	out := issuedOutput{ID: key.ID, Key: key.Key, Organisation: c.Organisation, Revision: r.Head.Revision}
	// The secret is printed before the wait, which may be interrupted.
	if !a.json() {
		a.printf("%s\n", key.Key)
		a.warnf("key %s of %s issued in revision %d; its secret is not shown again", key.ID, c.Organisation, r.Head.Revision)
	}
	var waitErr error
	if c.Wait {
		p, err := a.waitInForce(r.Head.Revision, c.WaitTimeout)
		out.InForce, waitErr = &p, err
	}
	if a.json() {
		if err := a.printJSON(out); err != nil {
			return err
		}
	}
	return waitErr
}

type keyWithdrawCmd struct {
	IDs       []string      `arg:"" name:"id" help:"Ids of the keys: the middle part of dk_<id>_<secret>."`
	Note      string        `help:"Why, for the history." placeholder:"TEXT"`
	RecordFor time.Duration `help:"How long the write to the store is repeated." default:"2m"`
}

// Help gives examples.
func (keyWithdrawCmd) Help() string {
	return `Sends the withdrawal straight to instances, which relay it to all others, and writes it to the store. The output says
which of both has been reached; if only one has, the exit code is 5. A withdrawal cannot be undone, not by rollback either.

Example:

    dogwoodctl key withdraw 41-3f9a0c12be77 --note "key found in a log"`
}

type withdrawnOutput struct {
	KeyIDs   []string `json:"key_ids"`
	Pushed   []string `json:"pushed_to"`             // instances that have it in force and relay it
	Failed   []string `json:"push_failed,omitempty"` // with the reason
	Recorded bool     `json:"recorded"`              // in the store
	Revision int64    `json:"revision,omitempty"`
	Failure  string   `json:"record_failure,omitempty"`
}

// Run withdraws keys. The push comes first, since it takes effect without the store.
func (c *keyWithdrawCmd) Run(a *app) error {
	ids, err := keyIDs(c.IDs)
	if err != nil {
		return err
	}
	out := withdrawnOutput{KeyIDs: ids, Pushed: []string{}}
	a.push(&out)
	if !a.json() && len(out.Pushed) > 0 {
		a.printf("withdrawn at %s, which relay it\n", strings.Join(out.Pushed, ", "))
	}
	kv, recordErr := a.kv()
	if recordErr == nil {
		change := configstore.Change{Author: a.Author, Note: c.Note}
		if a.knowsInstances() {
			change.Above = a.highest()
		}
		s := configstore.New(kv, configstore.Options{RetryFor: c.RecordFor})
		var r *configstore.Result
		r, recordErr = s.Withdraw(a.ctx, ids, change)
		if recordErr == nil {
			out.Recorded, out.Revision = true, r.Head.Revision
		}
	}
	if recordErr != nil {
		out.Failure = recordErr.Error()
	}
	return c.report(a, out, recordErr)
}

// keyIDs accepts ids, and refuses whole keys, whose secrets do not belong on a command line.
func keyIDs(args []string) ([]string, error) {
	for _, id := range args {
		if strings.Contains(id, "_") || id == "" {
			return nil, withCode(codeUsage, "give the id of the key only, the middle part of dk_<id>_<secret>")
		}
	}
	return args, nil
}

func (c *keyWithdrawCmd) report(a *app, out withdrawnOutput, recordErr error) error {
	if a.json() {
		if err := a.printJSON(out); err != nil {
			return err
		}
	} else {
		for _, f := range out.Failed {
			a.warnf("not sent to %s", f)
		}
		if out.Recorded {
			a.printf("recorded in revision %d\n", out.Revision)
		}
	}
	switch {
	case recordErr != nil && len(out.Pushed) > 0:
		return withCode(codeIncomplete, "the keys are withdrawn at running instances, but not recorded in the store; repeat the command: %v", recordErr)
	case recordErr != nil:
		return recordErr
	case len(out.Pushed) == 0 && len(out.Failed) > 0:
		return withCode(codeIncomplete, "the withdrawal is recorded, but no instance could be told directly; instances that reach the store or a peer learn of it from there")
	}
	return nil
}

// pushedPerDataCentre is how many instances of each data centre get a withdrawal directly. They relay it.
const pushedPerDataCentre = 2

// push sends key ids to some instances of each data centre, and to others there if these cannot be reached.
func (a *app) push(out *withdrawnOutput) {
	if !a.knowsInstances() {
		return
	}
	list, err := a.listInstances(a.ctx)
	if err != nil {
		out.Failed = append(out.Failed, "any instance: "+err.Error())
		return
	}
	groups := make(map[string][]instance)
	var order []string
	for _, in := range list {
		if groups[in.DataCentre] == nil {
			order = append(order, in.DataCentre)
		}
		groups[in.DataCentre] = append(groups[in.DataCentre], in)
	}
	var mu sync.Mutex
	forEach(len(order), func(i int) {
		reached := 0
		for _, in := range groups[order[i]] {
			if reached == pushedPerDataCentre && in.DataCentre != "" {
				return
			}
			err := a.call(a.ctx, in.Addr, http.MethodPost, "/v1/withdrawals", map[string][]string{"key_ids": out.KeyIDs}, nil)
			mu.Lock()
			if err != nil {
				out.Failed = append(out.Failed, in.Name+": "+err.Error())
			} else {
				reached++
				out.Pushed = append(out.Pushed, in.Name)
			}
			mu.Unlock()
		}
	})
	sort.Strings(out.Pushed)
	sort.Strings(out.Failed)
}

// highest returns the highest revision that a reachable instance has in force.
func (a *app) highest() int64 {
	ctx, cancel := context.WithTimeout(a.ctx, a.Timeout)
	defer cancel()
	reports, err := a.reports(ctx)
	if err != nil {
		return 0
	}
	highest := int64(0)
	for _, r := range reports {
		highest = max(highest, r.Revision)
	}
	return highest
}

type keyListCmd struct {
	Organisation string `arg:"" optional:"" help:"Only keys of this organisation."`
}

// Help gives examples.
func (keyListCmd) Help() string {
	return `Lists ids only; secrets are kept nowhere.

Examples:

    dogwoodctl key list

    dogwoodctl key list rosa -o json`
}

// Run lists keys.
func (c *keyListCmd) Run(a *app) error {
	snapshot, err := a.latest()
	if err != nil {
		return err
	}
	if c.Organisation != "" && snapshot.Organisation(c.Organisation) == nil {
		return withCode(codeFailed, "organisation %q is not in the configuration in force", c.Organisation)
	}
	keys := snapshot.Keys(c.Organisation)
	if a.json() {
		return a.printJSON(append([]configstore.KeyInfo{}, keys...))
	}
	rows := make([][]string, len(keys))
	for i, k := range keys {
		state := "live"
		if k.Withdrawn {
			state = "withdrawn"
		}
		rows[i] = []string{k.ID, k.Organisation, k.Source, state}
	}
	return a.table([]string{"id", "organisation", "source", "state"}, rows)
}
