// Command cmd writes docs/FAULTS.md from the JSON files that the fault matrix tests leave in a directory.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/faultmatrix"
)

type options struct {
	Dir string `arg:"" type:"existingdir" help:"Directory with the JSON files of a test run."`
	Out string `default:"docs/FAULTS.md" help:"Page to write."`
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Description("Writes the page of fault matrices from test results."))
	ctx.FatalIfErrorf(run(o))
}

func run(o options) error {
	files, err := faultmatrix.Read(o.Dir)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return errors.Newf("%s holds no fault matrix; run the tests with %s set to it", o.Dir, faultmatrix.DirVariable)
	}
	return errors.Wrap(os.WriteFile(o.Out, []byte(faultmatrix.Page(faultmatrix.WithGaps(files, faultmatrix.Gaps()))), 0o644), "write page")
}
