package main

import (
	"net/http"
	"strconv"

	"dogwoodknot.example/dogwoodknot/internal/operator"
)

type ordersCmd struct{}

// Help gives examples.
func (ordersCmd) Help() string {
	return `Shows the instance of each region that sends orders to load, swap or unload models, and the changes that
it holds back, with the reason. The exit code is 5 if an instance could not be asked.

Examples:

    dogwoodctl orders

    dogwoodctl orders -o json`
}

// ordersReport is an instance's answer, or why there is none.
type ordersReport struct {
	operator.Orders
	Failure string `json:"unreachable,omitempty"`
}

// Run asks all instances and shows the issuers.
func (c *ordersCmd) Run(a *app) error {
	instances, err := a.listInstances(a.ctx)
	if err != nil {
		return err
	}
	reports := make([]ordersReport, len(instances))
	forEach(len(instances), func(i int) {
		r := &reports[i]
		if err := a.call(a.ctx, instances[i].Addr, http.MethodGet, "/v1/orders", nil, &r.Orders); err != nil {
			r.Instance, r.Region, r.Failure = instances[i].Name, instances[i].Region, err.Error()
		}
	})
	var table [][]string
	failed := 0
	for _, r := range reports {
		if r.Failure != "" {
			failed++
			table = append(table, []string{r.Region, r.Instance, "", "", "", "unreachable: " + r.Failure})
			continue
		}
		if r.Issuer {
			table = append(table, issuerRows(r.Orders)...)
		}
	}
	if a.json() {
		err = a.printJSON(reports)
	} else {
		err = a.table([]string{"REGION", "ISSUER", "FENCING", "ENDPOINT", "MODEL", "STATE"}, table)
	}
	if err != nil {
		return err
	}
	if failed > 0 {
		return withCode(codeIncomplete, "%d of %d instances could not be asked", failed, len(instances))
	}
	return nil
}

func issuerRows(o operator.Orders) [][]string {
	fencing := strconv.FormatInt(o.Fencing, 10)
	if len(o.Blocked) == 0 {
		return [][]string{{o.Region, o.Instance, fencing, "", "", "nothing waits"}}
	}
	var rows [][]string
	for _, b := range o.Blocked {
		rows = append(rows, []string{o.Region, o.Instance, fencing, b.Endpoint, b.Model, "waits: " + b.Reason})
	}
	return rows
}
