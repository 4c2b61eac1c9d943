package capacity

import (
	"fmt"
	"math"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// regionWeights divides the fleet: capacity differs tenfold between regions.
var regionWeights = []float64{10, 6, 4, 2, 1}

// dataCentresPerRegion makes 15 of 5 regions.
const dataCentresPerRegion = 3

// keysPerOrganisation is the planned mean.
const keysPerOrganisation = 2

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

func dataCentreName(region, i int) string { return fmt.Sprintf("region-%d-dc-%d", region, i) }

// divide splits n by the weights of the regions; every region gets one at least if n allows.
func divide(n int) []int {
	total := 0.0
	for _, w := range regionWeights {
		total += w
	}
	out := make([]int, len(regionWeights))
	left := n
	for i := len(out) - 1; i > 0; i-- {
		out[i] = min(left, max(1, int(math.Round(float64(n)*regionWeights[i]/total))))
		left -= out[i]
	}
	out[0] = left
	return out
}

// rowsOf returns the entry instances of a fleet, spread evenly over the data centres of their regions.
func rowsOf(n int) []membership.Row {
	var rows []membership.Row
	for region, count := range divide(n) {
		for i := range count {
			number := len(rows)
			rows = append(rows, membership.Row{
				Name: fmt.Sprintf("entry-%d-%03d", region, i), Kind: platform.KindEntry, Region: regionName(region),
				DataCentre: dataCentreName(region, i%dataCentresPerRegion), Incarnation: 0x9e3779b97f4a7c15 * uint64(number+1),
				CallerAddr:  fmt.Sprintf("10.%d.%d.%d:8080", region, i/250, i%250),
				PeerAddr:    fmt.Sprintf("10.%d.%d.%d:8081", region, i/250, i%250),
				OperatorAddr: fmt.Sprintf("10.%d.%d.%d:8082", region, i/250, i%250),
				State:       platform.StateLive,
			})
		}
	}
	return rows
}

// endpointRows returns the rows that the platform lists for endpoints.
func endpointRows(n int) []platform.ListedInstance {
	var rows []platform.ListedInstance
	for _, e := range endpointsOf(n) {
		rows = append(rows, platform.ListedInstance{
			Name: e.Name, Kind: platform.KindEndpoint, Region: e.Region, DataCentre: e.DataCentre, CallerAddr: e.Addr,
			State: platform.StateLive,
		})
	}
	return rows
}

// modelCount is the planned number of models.
const modelCount = 6

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

func endpointsOf(n int) []config.Endpoint {
	var out []config.Endpoint
	for region, count := range divide(n) {
		for i := range count {
			out = append(out, config.Endpoint{
				Name: fmt.Sprintf("runner-%d-%03d", region, i), Kind: config.KindEngine, Region: regionName(region),
				DataCentre: dataCentreName(region, i%dataCentresPerRegion), Addr: fmt.Sprintf("10.%d.%d.%d:9000", region, i/250, 100+i%150),
				Models: []string{modelName(i % modelCount)}, Slots: 64,
			})
		}
	}
	return out
}

// configOf declares a fleet of daemons, endpoints and organisations.
func configOf(daemons, endpoints, organisations int) *config.Config {
	c := generalOf(daemons, endpoints)
	for i := range organisations {
		c.Organisations = append(c.Organisations, organisation(i))
	}
	return c
}

func generalOf(daemons, endpoints int) *config.Config {
	c := &config.Config{Endpoints: endpointsOf(endpoints)}
	for region, count := range divide(daemons) {
		r := config.Region{Name: regionName(region), Slots: count}
		for i := range dataCentresPerRegion {
			r.DataCentres = append(r.DataCentres, dataCentreName(region, i))
		}
		c.Regions = append(c.Regions, r)
	}
	for i := range modelCount {
		c.Models = append(c.Models, config.Model{Name: modelName(i), Version: "2026-12", ContextTokens: 32768, DefaultMaxTokens: 512, LongPromptTokens: 2000})
	}
	return c
}

// homeBoundEvery makes 12% of the organisations bound to a home region.
const homeBoundEvery = 8

// Shape of the rates: most organisations are small, one in a hundred needs several slots of a region.
const (
	smallRate  = 100.0    // tokens/s
	largeRate  = 20_000.0 // tokens/s
	largeEvery = 100
	burstTime  = 50 // seconds of the rate
)

func organisationName(i int) string { return fmt.Sprintf("organisation-%05d", i) }

// organisation declares one customer with its keys.
func organisation(i int) config.Organisation {
	o := config.Organisation{Name: organisationName(i), Rate: smallRate, Weight: 1}
	if i%largeEvery == 0 {
		o.Rate = largeRate
	}
	o.Burst = burstTime * o.Rate
	if i%homeBoundEvery == 0 {
		o.Home = regionName(i / homeBoundEvery % len(regionWeights))
	}
	for k := range keysPerOrganisation {
		id, secret := keyOf(i, k)
		o.Keys = append(o.Keys, config.Key{ID: id, SHA256: configview.HashSecret(secret)})
	}
	return o
}

// keyOf returns the id and secret of a key, as long as issued ones.
func keyOf(organisation, k int) (id, secret string) {
	seed := fmt.Sprintf("%d/%d", organisation, k)
	return configview.FormatKeyID(1, configview.HashSecret("id" + seed)[:16]), configview.HashSecret(seed)[:43]
}

func identityOf(r membership.Row) peer.Identity {
	return peer.Identity{Instance: r.Name, Region: r.Region, DataCentre: r.DataCentre, Incarnation: r.Incarnation}
}
