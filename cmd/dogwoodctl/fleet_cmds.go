package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/operator"
)

type statusCmd struct{}

// Help gives examples.
func (statusCmd) Help() string {
	return `Shows every listed instance. The exit code is 5 if one is unreachable, not ready or behind the store.

Examples:

    dogwoodctl status

    dogwoodctl status -o json`
}

type statusOutput struct {
	StoreRevision int64    `json:"store_revision"`
	StoreFailure  string   `json:"store_unreachable,omitempty"`
	Instances     []report `json:"instances"`
}

// Run shows the instances.
func (c *statusCmd) Run(a *app) error {
	reports, err := a.reports(a.ctx)
	if err != nil {
		return err
	}
	out := statusOutput{Instances: reports}
	if a.Store != "" {
		out.StoreRevision, err = a.storeRevision()
		if err != nil {
			out.StoreFailure = err.Error()
		}
	}
	if a.json() {
		err = a.printJSON(out)
	} else {
		err = a.table([]string{"instance", "region", "data centre", "revision", "state"}, statusRows(reports, out.StoreRevision))
		a.printStoreLine(out)
	}
	if err != nil {
		return err
	}
	return statusError(out)
}

func (a *app) storeRevision() (int64, error) {
	s, err := a.configurations()
	if err != nil {
		return 0, err
	}
	head, _, err := s.Head(a.ctx)
	if errors.Is(err, configstore.ErrNoConfiguration) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return head.Revision, nil
}

func (a *app) printStoreLine(out statusOutput) {
	switch {
	case out.StoreFailure != "":
		a.warnf("store: %s", out.StoreFailure)
	case a.Store != "":
		a.printf("store: revision %d\n", out.StoreRevision)
	}
}

// stateOf says in a few words how an instance is doing.
func stateOf(r *report, storeRevision int64) string {
	switch {
	case !r.reached():
		return "unreachable: " + r.Failure
	case !r.Ready:
		return "not ready: " + r.Reason
	case r.Revision < storeRevision:
		return "behind the store"
	case r.Revision > storeRevision && storeRevision > 0:
		return "above the store, which was restored from older data"
	case r.Applied < r.Revision:
		return "applying, loans under revision " + strconv.FormatInt(r.Applied, 10) + " still run"
	case r.Leaving:
		return "leaving"
	}
	return "ready"
}

func statusRows(reports []report, storeRevision int64) [][]string {
	rows := make([][]string, len(reports))
	for i := range reports {
		r := &reports[i]
		rows[i] = []string{r.Name, r.Region, r.DataCentre, strconv.FormatInt(r.Revision, 10), stateOf(r, storeRevision)}
	}
	return rows
}

func statusError(out statusOutput) error {
	bad := 0
	for i := range out.Instances {
		r := &out.Instances[i]
		if !r.reached() || !r.Ready || out.StoreRevision > 0 && (r.Revision != out.StoreRevision || r.Applied != r.Revision) {
			bad++
		}
	}
	switch {
	case bad > 0:
		return withCode(codeIncomplete, "%d of %d instances are unreachable, not ready or differ from the store", bad, len(out.Instances))
	case out.StoreFailure != "":
		return withCode(codeStore, "the store cannot be read: %s", out.StoreFailure)
	}
	return nil
}

type organisationCmd struct {
	List organisationListCmd `cmd:"" help:"List organisations with their live use over all instances."`
}

type organisationListCmd struct {
	Name string `arg:"" optional:"" help:"Only this organisation."`
}

// Help gives examples.
func (organisationListCmd) Help() string {
	return `Rates and tokens are sums over the instances that could be asked. The exit code is 5 if some could not.

Examples:

    dogwoodctl organisation list

    dogwoodctl organisation list rosa -o json`
}

type organisationRow struct {
	Name          string  `json:"name"`
	Home          string  `json:"home,omitempty"`
	Rate          float64 `json:"rate"`  // tokens/s
	Burst         float64 `json:"burst"` // tokens
	RateShare     float64 `json:"rate_share"`
	BurstShare    float64 `json:"burst_share"`
	Level         float64 `json:"level"`
	UsedPerSecond float64 `json:"used_per_second"`
	Instances     int     `json:"instances"` // that hold a share
	Keys          int     `json:"keys"`      // live
	Declared      bool    `json:"declared"`
}

type organisationOutput struct {
	Organisations []*organisationRow `json:"organisations"`
	Unreachable   []string           `json:"unreachable,omitempty"`
}

// Run lists organisations.
func (c *organisationListCmd) Run(a *app) error {
	rows := make(map[string]*organisationRow)
	if err := c.declared(a, rows); err != nil {
		return err
	}
	out := organisationOutput{Organisations: []*organisationRow{}}
	if a.knowsInstances() {
		if err := a.addUse(rows, &out); err != nil {
			return err
		}
	} else {
		a.warnf("no instances are known, so live use is not shown")
	}
	for _, r := range rows {
		if c.Name == "" || r.Name == c.Name {
			out.Organisations = append(out.Organisations, r)
		}
	}
	slices.SortFunc(out.Organisations, func(x, y *organisationRow) int { return strings.Compare(x.Name, y.Name) })
	if c.Name != "" && len(out.Organisations) == 0 {
		return withCode(codeFailed, "organisation %q is neither declared nor in use", c.Name)
	}
	if err := printOrganisations(a, out); err != nil {
		return err
	}
	if len(out.Unreachable) > 0 {
		return withCode(codeIncomplete, "the use at these instances is missing: %s", strings.Join(out.Unreachable, ", "))
	}
	return nil
}

func (c *organisationListCmd) declared(a *app, rows map[string]*organisationRow) error {
	snapshot, err := a.latest()
	if err != nil {
		return err
	}
	for _, o := range snapshot.Declared().Organisations {
		rows[o.Name] = &organisationRow{Name: o.Name, Home: o.Home, Rate: o.Rate, Burst: o.Burst, Declared: true}
	}
	for _, k := range snapshot.Keys("") {
		if r := rows[k.Organisation]; r != nil && !k.Withdrawn {
			r.Keys++
		}
	}
	return nil
}

func (a *app) addUse(rows map[string]*organisationRow, out *organisationOutput) error {
	list, err := a.listInstances(a.ctx)
	if err != nil {
		return err
	}
	type usage struct {
		Organisations []operator.Usage `json:"organisations"`
	}
	answers, failures := make([]usage, len(list)), make([]error, len(list))
	forEach(len(list), func(i int) {
		failures[i] = a.call(a.ctx, list[i].Addr, http.MethodGet, "/v1/usage", nil, &answers[i])
	})
	for i, in := range list {
		if failures[i] != nil {
			out.Unreachable = append(out.Unreachable, in.Name)
			a.warnf("%s: %v", in.Name, failures[i])
		}
		for _, u := range answers[i].Organisations {
			addUsage(rows, u)
		}
	}
	return nil
}

func addUsage(rows map[string]*organisationRow, u operator.Usage) {
	r := rows[u.Name]
	if r == nil {
		r = &organisationRow{Name: u.Name}
		rows[u.Name] = r
	}
	r.RateShare += u.RateShare
	r.BurstShare += u.BurstShare
	r.Level += u.Level
	r.UsedPerSecond += u.UsedPerSecond
	r.Instances++
}

func printOrganisations(a *app, out organisationOutput) error {
	if a.json() {
		return a.printJSON(out)
	}
	rows := make([][]string, len(out.Organisations))
	for i, r := range out.Organisations {
		use := "-"
		if r.Rate > 0 {
			use = fmt.Sprintf("%.0f%%", 100*r.UsedPerSecond/r.Rate)
		}
		rows[i] = []string{
			r.Name, r.Home, number(r.Rate), number(r.UsedPerSecond), use, number(r.Burst), number(r.Level), strconv.Itoa(r.Keys),
		}
	}
	return a.table([]string{"organisation", "home", "rate/s", "used/s", "use", "burst", "level", "keys"}, rows)
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

type endpointsCmd struct {
	List  endpointsListCmd  `cmd:"" help:"List endpoints."`
	Drain endpointsDrainCmd `cmd:"" help:"Stop new work to an endpoint."`
}

type endpointsListCmd struct{}

// Help gives examples.
func (endpointsListCmd) Help() string {
	return `Example:

    dogwoodctl endpoints list`
}

// Run lists endpoints.
func (c *endpointsListCmd) Run(a *app) error {
	snapshot, err := a.latest()
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(append([]config.Endpoint{}, snapshot.General.Endpoints...))
	}
	var rows [][]string
	for _, e := range snapshot.General.Endpoints {
		serves, state := strings.Join(e.Models, ","), "in use"
		if e.Kind == config.KindService {
			serves = e.Service
		}
		switch {
		case e.Drain:
			state = "drain"
		case snapshot.General.DataCentreDrained(e.DataCentre):
			state = "data centre drain"
		}
		rows = append(rows, []string{e.Name, string(e.Kind), e.Addr, e.Region, e.DataCentre, serves, state})
	}
	return a.table([]string{"endpoint", "kind", "address", "region", "data centre", "serves", "state"}, rows)
}

type endpointsDrainCmd struct {
	Name string `arg:"" help:"Endpoint to drain."`
	Undo bool   `help:"Send new work again."`
	waitFlags
	Note string `help:"Why, for the history." placeholder:"TEXT"`
}

// Help gives examples.
func (endpointsDrainCmd) Help() string {
	return `Writes a new revision in which the endpoint takes no new work; requests in flight finish. Declare "drain: true" in the
files too if it shall last: the next apply puts the files in force.

Examples:

    dogwoodctl endpoints drain taller-07 --wait

    dogwoodctl endpoints drain taller-07 --undo`
}

// Run drains an endpoint.
func (c *endpointsDrainCmd) Run(a *app) error {
	kv, err := a.kv()
	if err != nil {
		return err
	}
	r, err := a.configurationsIn(kv).SetDrain(a.ctx, c.Name, !c.Undo, a.change(kv, c.Note))
	if err != nil {
		return err
	}
	return a.reportDrain(r, c.waitFlags)
}

func (a *app) reportDrain(r *configstore.Result, w waitFlags) error {
	if len(r.Changes) == 0 && !a.json() {
		a.printf("nothing to change in revision %d\n", r.Head.Revision)
		return nil
	}
	return a.reportWritten(r, w)
}

type dataCentreCmd struct {
	Drain dataCentreDrainCmd `cmd:"" help:"Stop new work to a data centre."`
}

type dataCentreDrainCmd struct {
	Name string `arg:"" help:"Data centre to drain."`
	Undo bool   `help:"Send new work again."`
	waitFlags
	Note string `help:"Why, for the history." placeholder:"TEXT"`
}

// Help gives examples.
func (dataCentreDrainCmd) Help() string {
	return `Writes a new revision in which the endpoints of the data centre take no new work and its entry instances are left out of
the entries; requests in flight finish. Instances there go on serving callers that still come, at other data centres'
endpoints. Declare the data centre in "drain_data_centres" of its region too if it shall last: the next apply puts the files
in force.

Examples:

    dogwoodctl data-centre drain lima-a --wait

    dogwoodctl data-centre drain lima-a --undo`
}

// Run drains a data centre.
func (c *dataCentreDrainCmd) Run(a *app) error {
	kv, err := a.kv()
	if err != nil {
		return err
	}
	r, err := a.configurationsIn(kv).SetDataCentreDrain(a.ctx, c.Name, !c.Undo, a.change(kv, c.Note))
	if err != nil {
		return err
	}
	return a.reportDrain(r, c.waitFlags)
}

type slotsCmd struct {
	Release slotsReleaseCmd `cmd:"" help:"Declare an incarnation dead."`
}

type slotsReleaseCmd struct {
	Incarnation uint64 `arg:"" help:"Incarnation, as status shows it with -o json."`
	Yes         bool   `help:"Confirm that the process has ended for good."`
}

// Help gives examples.
func (slotsReleaseCmd) Help() string {
	return `A slot whose owner vanished gives its rate to nobody until the end of that process is certain. This command says that it
is. If the process is alive after all, organisations can get more than their rate until it notices.

Example:

    dogwoodctl slots release 9241706512345678901 --yes`
}

type releasedOutput struct {
	Incarnation uint64 `json:"incarnation,string"`
	Released    int    `json:"released"`
}

// Run releases the slots of an incarnation that does not answer.
func (c *slotsReleaseCmd) Run(a *app) error {
	if !c.Yes {
		return withCode(codeUsage, "make sure that the process of incarnation %d has ended for good, then repeat with --yes", c.Incarnation)
	}
	kv, err := a.kv()
	if err != nil {
		return err
	}
	if a.knowsInstances() {
		reports, err := a.reports(a.ctx)
		if err != nil {
			return err
		}
		for _, r := range reports {
			if r.reached() && r.Incarnation == c.Incarnation {
				return withCode(codeConflict, "incarnation %d is alive: %s answers with it", c.Incarnation, r.Name)
			}
		}
	}
	n, err := limits.Release(a.ctx, kv, c.Incarnation)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(releasedOutput{c.Incarnation, n})
	}
	a.printf("%d slots released\n", n)
	return nil
}
