package config

import (
	"os"
	"reflect"
)

// File is a configuration file in memory.
type File struct {
	Name string // used in positions
	Data []byte
}

// LoadFiles reads a base file and its overlays. See Load.
func LoadFiles(names ...string) (*Config, error) {
	files := make([]File, 0, len(names))
	var unreadable Findings
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			unreadable = append(unreadable, Finding{Position: Position{File: name}, Message: "cannot be read: " + err.Error()})
			continue
		}
		files = append(files, File{Name: name, Data: data})
	}
	if err := unreadable.err(); err != nil {
		return nil, err
	}
	return Load(files...)
}

// Load merges overlays into the base, which is the first file, and checks the result. The error is Findings with every fault
// that was found.
func Load(files ...File) (*Config, error) {
	c := newCollector()
	t := reflect.TypeFor[Config]()
	var root *node
	for _, f := range files {
		c.addFile(f.Name)
		tree := parseTree(f.Name, f.Data, c)
		if tree == nil {
			continue
		}
		checkDuplicates(t, tree, c)
		if root == nil {
			root = tree
			continue
		}
		root = mergeMapping(t, root, tree, c)
	}
	if root == nil {
		if len(c.findings) == 0 {
			c.add(Position{}, "no configuration file was given")
		}
		return nil, c.sorted()
	}
	cfg := new(Config)
	decodeStruct(root, reflect.ValueOf(cfg).Elem(), c)
	check(cfg, root.at, c)
	if err := c.sorted().err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// Check reports the faults of a configuration that was not read from a file, so without positions.
func Check(cfg *Config) error {
	c := newCollector()
	check(cfg, func(...any) Position { return Position{} }, c)
	return c.sorted().err()
}
