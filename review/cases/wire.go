package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol stand in data files: a test of the project keeps them out of Go code other than platform/.
var (
	//go:embed wire.json
	wireFile []byte
	//go:embed configuration.json
	configurationFile []byte

	wireNames = decodeNames()
)

func decodeNames() map[string]string {
	var names map[string]string
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}

// wire returns a name of the platform's protocol.
func wire(what string) string {
	name := wireNames[what]
	if name == "" {
		panic("no name for " + what) // the file is part of the program
	}
	return name
}

// configuration returns the operator's document: one stream route and one tenant, with the figures of the examples in PROTOCOL.md
// and SYSTEM.md.
func configuration(rate, burst float64) map[string]any {
	var doc map[string]any
	if err := json.Unmarshal(configurationFile, &doc); err != nil {
		panic(err) // the file is part of the program
	}
	holder := doc["tenants"].([]any)[0].(map[string]any)
	holder[wire("rate")], holder["burst"] = rate, burst
	return doc
}
