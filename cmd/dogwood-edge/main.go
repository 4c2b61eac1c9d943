// Command dogwood-edge is the entry daemon for platforms that list their endpoints in their store. It takes callers' requests
// and passes them to the endpoints of its region or to an instance of another one.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/fx"

	"dogwoodknot.example/dogwoodknot/internal/edgedaemon"
)

// startTimeout bounds the start, which waits for nothing outside the process.
const startTimeout = 10 * time.Second

func main() {
	var settings edgedaemon.Settings
	kong.Parse(&settings,
		kong.Name("dogwood-edge"),
		kong.Description("Entry daemon for platforms that list their endpoints. Every flag can be set in the environment."))
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "dogwood-edge:", err)
		os.Exit(1)
	}
}

func run(settings edgedaemon.Settings) error {
	d, err := edgedaemon.New(settings)
	if err != nil {
		return err
	}
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(time.Duration(settings.Grace*float64(time.Second))),
		fx.Invoke(func(l fx.Lifecycle) {
			l.Append(fx.Hook{
				OnStart: func(context.Context) error { return d.Start() },
				OnStop:  d.Stop,
			})
		}),
	)
	if err := app.Err(); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	<-app.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(stopCtx)
}
