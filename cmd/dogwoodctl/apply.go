package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// waitFlags make a command wait until its revision is in force.
type waitFlags struct {
	Wait        bool          `help:"Wait until the revision is in force on every listed instance."`
	WaitTimeout time.Duration `help:"How long to wait." default:"30s"`
}

// moveFlags allow a change that is refused otherwise.
type moveFlags struct {
	MoveRecords bool `help:"Allow a change that moves idempotency records to another region. Repeats of requests from before it may run again."`
}

// waitPoll is the pause between two looks at the instances.
const waitPoll = 250 * time.Millisecond

// change describes a write, with the revisions that the instances have in force.
func (a *app) change(kv platform.Store, note string) configstore.Change {
	c := configstore.Change{Author: a.Author, Note: note}
	if !a.knowsInstances() {
		a.warnf("no instances are known, so the new revision is only above the one in the store")
		return c
	}
	reports, err := a.reports(a.ctx)
	if err != nil {
		a.warnf("the new revision is only above the one in the store: %v", err)
		return c
	}
	for _, r := range reports {
		c.Above = max(c.Above, r.Revision)
	}
	c.InForce = a.inForce(kv, reports)
	return c
}

// inForce returns the lowest revision that is in force in all parts of every listed instance and every owner of a slot, or 0 if
// one of them cannot be asked or a slot waits for the end of a predecessor. An owner that is no longer listed may still be running.
func (a *app) inForce(kv platform.Store, reports []report) int64 {
	lowest := int64(0)
	byIncarnation := make(map[uint64]int64)
	for i, r := range reports {
		if !r.reached() || len(r.Waiting) > 0 {
			return 0
		}
		if i == 0 || r.Applied < lowest {
			lowest = r.Applied
		}
		byIncarnation[r.Incarnation] = r.Applied
	}
	owners, err := slotOwners(a.ctx, kv)
	if err != nil {
		return 0
	}
	for _, incarnation := range owners {
		if _, ok := byIncarnation[incarnation]; !ok {
			return 0
		}
	}
	return lowest
}

// slotRecords is the prefix of the records that internal/limits keeps of slots.
const slotRecords = "slots/"

// slotOwners returns the incarnations that own a slot or may still use one.
func slotOwners(ctx context.Context, kv platform.Store) ([]uint64, error) {
	const page = 1000
	var owners []uint64
	after := ""
	for {
		entries, err := kv.List(ctx, slotRecords, after, page)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			var r limits.Record
			if err := json.Unmarshal(e.Value, &r); err != nil {
				return nil, errors.Wrapf(err, "record of slot %s", e.Key)
			}
			for _, p := range append(r.Predecessors, r.Owner) {
				if p.Incarnation != 0 {
					owners = append(owners, p.Incarnation)
				}
			}
			after = e.Key
		}
		if len(entries) < page {
			return owners, nil
		}
	}
}

// written is the output of commands that write a revision.
type written struct {
	Revision int64           `json:"revision"`
	Parent   int64           `json:"parent"`
	Restores int64           `json:"restores,omitempty"`
	Changes  []config.Change `json:"changes"`
	Warnings []string        `json:"warnings,omitempty"`
	InForce  *progress       `json:"in_force,omitempty"`
}

// progress says on how many instances a revision is in force.
type progress struct {
	Instances int      `json:"instances"`
	Reached   int      `json:"reached"`
	Lagging   []string `json:"lagging,omitempty"`
}

func (p progress) done() bool { return p.Instances > 0 && p.Reached == p.Instances }

func (p progress) String() string {
	text := fmt.Sprintf("in force on %d of %d instances", p.Reached, p.Instances)
	if len(p.Lagging) > 0 {
		const shown = 5
		names := p.Lagging[:min(shown, len(p.Lagging))]
		text += ", waiting for " + strings.Join(names, ", ")
		if more := len(p.Lagging) - len(names); more > 0 {
			text += " and " + strconv.Itoa(more) + " more"
		}
	}
	return text
}

// report prints a written revision and waits for it if asked to.
func (a *app) reportWritten(r *configstore.Result, w waitFlags) error {
	out := written{Revision: r.Head.Revision, Parent: r.Head.Parent, Restores: r.Head.Restores, Changes: r.Changes, Warnings: r.Warnings}
	if out.Changes == nil {
		out.Changes = []config.Change{}
	}
	for _, warning := range r.Warnings {
		a.warnf("%s", warning)
	}
	if !a.json() {
		a.printChanges(r.Changes)
		a.printf("revision %d written\n", r.Head.Revision)
	}
	var waitErr error
	if w.Wait {
		p, err := a.waitInForce(r.Head.Revision, w.WaitTimeout)
		out.InForce, waitErr = &p, err
	}
	if a.json() {
		if err := a.printJSON(out); err != nil {
			return err
		}
	}
	return waitErr
}

// waitInForce waits until the revision is in force in all parts of every listed instance, and prints a progress line on each change.
func (a *app) waitInForce(revision int64, timeout time.Duration) (progress, error) {
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	var last progress
	shown := ""
	for {
		reports, err := a.reports(ctx)
		switch {
		case err == nil:
			last = progressOf(reports, revision)
		case codeOf(err) == codeUsage:
			return last, err
		}
		if text := last.String(); err == nil && text != shown {
			shown = text
			a.warnf("revision %d %s", revision, text)
		}
		if last.done() {
			return last, nil
		}
		select {
		case <-ctx.Done():
			if err != nil {
				a.warnf("%v", err)
			}
			return last, withCode(codeIncomplete, "revision %d is written, but after %s it is %s", revision, timeout, last)
		case <-time.After(waitPoll):
		}
	}
}

func progressOf(reports []report, revision int64) progress {
	p := progress{Instances: len(reports)}
	for _, r := range reports {
		if r.reached() && r.Applied >= revision {
			p.Reached++
		} else {
			p.Lagging = append(p.Lagging, r.Name)
		}
	}
	return p
}

type applyCmd struct {
	files
	waitFlags
	Note   string `help:"Why, for the history." placeholder:"TEXT"`
	Expect int64  `help:"Refuse unless this revision is in the store." placeholder:"N"`
	DryRun bool   `help:"Show the changes and write nothing."`
	moveFlags
}

// Help gives examples.
func (applyCmd) Help() string {
	return `Checks the files and writes them as one new revision. Keys issued with this command stay, and withdrawn keys stay
withdrawn. If another operator changes declarations at the same time, one of both wins; the other gets exit code 4 and both changes.

Examples:

    dogwoodctl apply --wait --note "take over Rosa" base.yaml veletas.yaml

    dogwoodctl apply --expect 41 base.yaml veletas.yaml

    dogwoodctl apply --dry-run base.yaml veletas.yaml`
}

// Run applies the files.
func (c *applyCmd) Run(a *app) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	kv, err := a.kv()
	if err != nil {
		return err
	}
	s := a.configurationsIn(kv)
	if c.DryRun {
		return c.dryRun(a, s, cfg)
	}
	change := a.change(kv, c.Note)
	change.Expect, change.MoveRecords = c.Expect, c.MoveRecords
	r, err := s.Apply(a.ctx, cfg, change)
	if err != nil {
		return err
	}
	return a.reportWritten(r, c.waitFlags)
}

func (c *applyCmd) dryRun(a *app, s *configstore.Store, cfg *config.Config) error {
	base, changes, err := s.DryRun(a.ctx, cfg)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(diffOutput{base.Revision(), append([]config.Change{}, changes...)})
	}
	a.printChanges(changes)
	a.printf("%d changes against revision %d, nothing written\n", len(changes), base.Revision())
	return nil
}

type rollbackCmd struct {
	Revision int64 `arg:"" help:"Revision whose declarations are put in force again."`
	waitFlags
	Note string `help:"Why, for the history." placeholder:"TEXT"`
	moveFlags
}

// Help gives examples.
func (rollbackCmd) Help() string {
	return `Writes a new revision with the declarations of an earlier one. Withdrawn keys stay withdrawn, and issued keys stay.

Example:

    dogwoodctl rollback 41 --wait --note "wrong rate for Rosa"`
}

// Run rolls back.
func (c *rollbackCmd) Run(a *app) error {
	kv, err := a.kv()
	if err != nil {
		return err
	}
	s := a.configurationsIn(kv)
	change := a.change(kv, c.Note)
	change.MoveRecords = c.MoveRecords
	r, err := s.Rollback(a.ctx, c.Revision, change)
	if err != nil {
		return err
	}
	return a.reportWritten(r, c.waitFlags)
}

type historyCmd struct {
	Limit int `help:"Largest number of revisions." default:"20" short:"n"`
}

// Help gives examples.
func (historyCmd) Help() string {
	return `Lists revisions from the latest back.

Example:

    dogwoodctl history -n 5`
}

type historyRow struct {
	Revision int64     `json:"revision"`
	Parent   int64     `json:"parent"`
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	Note     string    `json:"note,omitempty"`
	Restores int64     `json:"restores,omitempty"`
}

// Run lists revisions.
func (c *historyCmd) Run(a *app) error {
	s, err := a.configurations()
	if err != nil {
		return err
	}
	heads, err := s.History(a.ctx, max(c.Limit, 1))
	if err != nil {
		return err
	}
	list := make([]historyRow, len(heads))
	rows := make([][]string, len(heads))
	for i, h := range heads {
		list[i] = historyRow{h.Revision, h.Parent, h.Time, h.Author, h.Note, h.Restores}
		note := h.Note
		if h.Restores != 0 {
			note = strings.TrimSpace(fmt.Sprintf("rollback to %d %s", h.Restores, note))
		}
		rows[i] = []string{strconv.FormatInt(h.Revision, 10), h.Time.Format(time.RFC3339), h.Author, note}
	}
	if a.json() {
		return a.printJSON(list)
	}
	return a.table([]string{"revision", "time", "author", "note"}, rows)
}

type pruneCmd struct {
	Keep int `help:"Number of revisions that stay, for rollback." default:"1000"`
}

// Help gives examples.
func (pruneCmd) Help() string {
	return `Removes the oldest revisions and content that no kept revision names. It may run at any time; it writes a revision without
changes, so that a change that is being written meanwhile starts again. It reads all content: run it near the store.

Example:

    dogwoodctl prune --keep 2000`
}

// Run prunes the store.
func (c *pruneCmd) Run(a *app) error {
	if c.Keep < 1 {
		return withCode(codeUsage, "--keep must be at least 1")
	}
	kv, err := a.kv()
	if err != nil {
		return err
	}
	change := a.change(kv, "prune")
	r, err := a.configurationsIn(kv).Prune(a.ctx, c.Keep, change)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(r)
	}
	a.printf("revision %d written; removed %d old revisions and %d contents, kept %d revisions\n", r.Revision, r.Heads, r.Contents, r.Kept)
	return nil
}
