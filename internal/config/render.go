package config

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Render returns the configuration as YAML that Load reads back to the same configuration.
func Render(cfg *Config) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(cfg); err != nil {
		return nil, errors.Wrap(err, "render configuration")
	}
	if err := enc.Close(); err != nil {
		return nil, errors.Wrap(err, "render configuration")
	}
	return b.Bytes(), nil
}
