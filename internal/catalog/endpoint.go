package catalog

import "dogwoodknot.example/dogwoodknot/internal/clock"

// Incarnation names one start of an endpoint. An endpoint that starts again may keep its id, but not the time of its start.
type Incarnation struct {
	ID              string
	StartedAtMillis int64 // Unix milliseconds, as the endpoint says
}

// Endpoint is a process that runs requests of a service, as it describes itself.
type Endpoint struct {
	Incarnation
	Service    string
	Addr       string // ip:port
	DataCentre string
	Slots      int
	Draining   bool          // takes no new work
	ColdUntil  clock.Instant // 0: it is not cold
}
