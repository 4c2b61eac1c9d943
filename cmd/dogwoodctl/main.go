// Command dogwoodctl is the operators' command: it checks configuration files, puts them in force, issues and withdraws keys,
// and shows the state of the fleet.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands is the command line. Every setting has a flag and an environment variable.
type commands struct {
	settings

	Check        checkCmd        `cmd:"" help:"Check configuration files and report every fault."`
	Render       renderCmd       `cmd:"" help:"Print the merged configuration."`
	Diff         diffCmd         `cmd:"" help:"Show what applying files would change."`
	Apply        applyCmd        `cmd:"" help:"Put files in force as a new revision."`
	History      historyCmd      `cmd:"" help:"List the latest revisions."`
	Rollback     rollbackCmd     `cmd:"" help:"Put the declarations of an earlier revision in force again."`
	Prune        pruneCmd        `cmd:"" help:"Remove old revisions from the store."`
	Key          keyCmd          `cmd:"" help:"Issue, withdraw and list callers' keys."`
	Organisation organisationCmd `cmd:"" help:"Show organisations and their live use."`
	Endpoints    endpointsCmd    `cmd:"" help:"List and drain endpoints."`
	DataCentre   dataCentreCmd   `cmd:"" help:"Drain data centres."`
	Status       statusCmd       `cmd:"" help:"Show the instances and the revision that each has in force."`
	Orders       ordersCmd       `cmd:"" help:"Show who sends orders to the endpoints, and which changes wait."`
	Slots        slotsCmd        `cmd:"" help:"Declare an instance dead, so that its slots can be used."`
	Completion   completionCmd   `cmd:"" help:"Print a completion script for a shell."`
}

const description = `Operators' command of dogwoodknot.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 faults in configuration files, 4 refused because of another change, 5 done in
part (see the message), 6 store unavailable or outcome unknown, 7 differences found (diff --exit-code).`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var cli commands
	parser, err := kong.New(&cli,
		kong.Name("dogwoodctl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true, WrapUpperBound: 100}),
	)
	if err != nil {
		fmt.Fprintln(stderr, "dogwoodctl:", err)
		return codeFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "dogwoodctl: %v\nTry: dogwoodctl --help\n", err)
		return codeUsage
	}
	a := newApp(ctx, &cli.settings, parser.Model, stdout, stderr)
	defer a.close()
	return a.finish(parsed.Run(a))
}
