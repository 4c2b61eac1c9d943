// Command gendoc writes docs/configuration.md from the doc comments and tags of internal/config/model.go.
//
// It is run by go generate in internal/config.
package main

import (
	"fmt"
	"os"

	"dogwoodknot.example/dogwoodknot/internal/config/reference"
)

func main() {
	page, err := reference.Page("model.go")
	if err == nil {
		err = os.WriteFile("../../docs/configuration.md", page, 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gendoc:", err)
		os.Exit(1)
	}
}
