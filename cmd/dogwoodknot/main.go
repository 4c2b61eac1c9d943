// Command dogwoodknot is the entry daemon: it takes callers' requests and passes them to the endpoints of its region or
// to an instance of another one.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/daemon"
	"dogwoodknot.example/dogwoodknot/internal/kernel"
)

// startTimeout bounds the start: the first read of the configuration may have to wait for the store.
const startTimeout = 30 * time.Second

func main() {
	var settings daemon.Settings
	kong.Parse(&settings,
		kong.Name("dogwoodknot"),
		kong.Description("Entry daemon of the dogwoodknot inference gateway. Every flag can be set in the environment."))
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodknot:", err)
		os.Exit(1)
	}
}

func run(settings daemon.Settings) error {
	d, err := daemon.New(settings, daemon.Hooks{})
	if err != nil {
		return err
	}
	options := []fx.Option{
		fx.Supply(d.Log()),
		fx.WithLogger(func(log *zap.Logger) fxevent.Logger {
			l := &fxevent.ZapLogger{Logger: log}
			l.UseLogLevel(zap.DebugLevel)
			return l
		}),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.StopTimeout),
		kernel.Module,
		fx.Invoke(func(s fx.Shutdowner) {
			go func() {
				<-d.Drained()
				// Shutdown fails only if the application has stopped already.
				_ = s.Shutdown()
			}()
		}),
	}
	for _, s := range d.Services() {
		options = append(options, kernel.Supply(s))
	}
	app := fx.New(options...)
	if err := app.Err(); err != nil {
		return err
	}
	app.Run()
	closeCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return d.Close(closeCtx)
}
