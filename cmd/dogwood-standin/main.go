// Command dogwood-standin runs stand-ins of the platform's services and of the endpoints, for tests and demos.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
)

// envPrefix is the prefix of the environment variables: --token-interval is DOGWOODKNOT_STANDIN_TOKEN_INTERVAL.
const envPrefix = "DOGWOODKNOT_STANDIN"

type cli struct {
	ReadyFile string `help:"File to write the listening addresses to, one JSON object a line, once all stand-ins listen." type:"path"`

	Store     storeCmd      `cmd:"" help:"Run the key-value store."`
	Directory directoryCmd  `cmd:"" help:"Run the directory for clients."`
	Instances instancesCmd  `cmd:"" help:"Run the lagging instance list."`
	Weights   weightsCmd    `cmd:"" help:"Run the weight store."`
	Engine    engineCmd     `cmd:"" help:"Run a model engine."`
	Service   serviceCmd    `cmd:"" help:"Run a plain service."`
	Certs     certs.Command `cmd:"" help:"Write a certificate authority and the certificates of instances, for trials on one machine."`
	All       allCmd        `cmd:"" help:"Run all stand-ins in one process, each on a free port."`
}

func main() {
	var c cli
	k := kong.Parse(&c,
		kong.Name("dogwood-standin"),
		kong.Description("Stand-ins of the platform's services and of the endpoints. Addresses are printed as JSON lines."),
		kong.DefaultEnvars(envPrefix),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run(&c))
}
