// Package observe sets up logs, metrics and traces of a process.
package observe

import (
	"os"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/term"
)

// Log formats.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
	// FormatAuto is console on a terminal and JSON elsewhere.
	FormatAuto = "auto"
)

// NewLogger returns a logger that writes to standard error. level is debug, info, warn or error.
// Callers must not log keys, prompts, answers or bodies.
func NewLogger(format, level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionConfig()
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	switch format {
	case FormatJSON:
	case FormatConsole:
		useConsole(&cfg)
	case FormatAuto, "":
		if term.IsTerminal(int(os.Stderr.Fd())) {
			useConsole(&cfg)
		}
	default:
		return nil, errors.Newf("log format %q is not one of json, console, auto", format)
	}
	cfg.Level = zap.NewAtomicLevelAt(lvl)
	return cfg.Build(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return plainErrors{c} }))
}

func useConsole(cfg *zap.Config) {
	cfg.Encoding = FormatConsole
	cfg.EncoderConfig.EncodeLevel = zapcore.CapitalLevelEncoder
}
