// Package site runs a whole deployment in one process over loopback: stand-ins of the platform and the endpoints, and
// entry instances, with injected latency and faults. The demo, the experiments and the integration tests use it.
package site

import (
	"fmt"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// Options describe a deployment.
type Options struct {
	Name    string
	Regions []Region
	// StoreRegion is where the platform's services are.
	StoreRegion   string
	Model         string
	Service       string
	Latency       Latency
	Engine        standin.EngineOptions
	ServiceDelay  time.Duration
	ListLag       time.Duration
	Organisations []Organisation
	RemovalFinal  bool
	LogLevel      string
	StopDelay     time.Duration
	// Direct leaves out the relay that delays and cuts the instances' connections, which costs time and 84 KiB a connection.
	Direct bool
	// Chooser replaces the choice of endpoints. Nil: the product's.
	Chooser routing.Chooser
}

// Region is a region of a deployment.
type Region struct {
	Name        string
	DataCentres []string
	Instances   int
	Runners     int
	Services    int
}

// Organisation is a customer of a deployment. A key is issued for each.
type Organisation struct {
	Name  string
	Rate  float64 // tokens per second
	Burst float64 // tokens
	Home  string
}

// Veletas returns the deployment of the workshops' platform: four instances, twelve runners, three plain services.
func Veletas() Options {
	return Options{
		Name: "veletas",
		Regions: []Region{
			{Name: "lima", DataCentres: []string{"lima-a", "lima-b"}, Instances: 2, Runners: 6, Services: 1},
			{Name: "arequipa", DataCentres: []string{"arequipa-a"}, Instances: 1, Runners: 4, Services: 1},
			{Name: "cusco", DataCentres: []string{"cusco-a"}, Instances: 1, Runners: 2, Services: 1},
		},
		StoreRegion: "lima",
		Model:       "taller-lm",
		Service:     "libro-pedidos",
		Latency:     Latency{DataCentres: 500 * time.Microsecond, Regions: 80 * time.Millisecond, Clients: time.Millisecond},
		Organisations: []Organisation{
			{Name: "taller-quispe", Rate: 30000, Burst: 120000},
			{Name: "taller-mamani", Rate: 30000, Burst: 120000},
			{Name: "herreria-condori", Rate: 12000, Burst: 60000},
			{Name: "veletas-del-sur", Rate: 8000, Burst: 40000, Home: "arequipa"},
			{Name: "patronos", Rate: 5000, Burst: 30000},
		},
	}.withDefaults()
}

// Urmarol returns the deployment of the roll-tracing firm: four instances, ten runners, three plain services.
func Urmarol() Options {
	return Options{
		Name: "urmarol",
		Regions: []Region{
			{Name: "ro-nord", DataCentres: []string{"ro-nord-1", "ro-nord-2"}, Instances: 2, Runners: 5, Services: 1},
			{Name: "ro-centru", DataCentres: []string{"ro-centru-1"}, Instances: 1, Runners: 3, Services: 1},
			{Name: "ro-sud", DataCentres: []string{"ro-sud-1"}, Instances: 1, Runners: 2, Services: 1},
		},
		StoreRegion: "ro-nord",
		Model:       "knot-serve",
		Service:     "trace-app",
		Latency:     Latency{DataCentres: 1400 * time.Microsecond, Regions: 80 * time.Millisecond, Clients: time.Millisecond},
		Organisations: []Organisation{
			{Name: "moara-alba", Rate: 30000, Burst: 120000},
			{Name: "folii-carpati", Rate: 25000, Burst: 100000},
			{Name: "etichete-dunarea", Rate: 10000, Burst: 50000},
			{Name: "auditori", Rate: 10000, Burst: 80000, Home: "ro-nord"},
			{Name: "convertor-sud", Rate: 5000, Burst: 30000},
		},
	}.withDefaults()
}

func (o Options) withDefaults() Options {
	o.ServiceDelay = 5 * time.Millisecond
	o.ListLag = time.Second
	o.LogLevel = "warn"
	o.StopDelay = time.Second
	o.RemovalFinal = true
	return o
}

func (r Region) place(i int) Place {
	return Place{Region: r.Name, DataCentre: r.DataCentres[i%len(r.DataCentres)]}
}

func (r Region) instance(i int) string { return fmt.Sprintf("%s-%d", r.Name, i+1) }
