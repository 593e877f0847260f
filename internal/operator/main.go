package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/cranberrypier/cranberrypier/internal/program"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	name        = "pierctl"
	description = "Validates and submits the document of a cranberrypier fleet, shows the fleet's status, drains VMs and creates keys."
)

// commandLine adds the flags that every program has.
type commandLine struct {
	Commands
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs pierctl and returns its exit code: 0 on success, 1 if the request
// was rejected or failed, 2 if the command line, settings or key files are
// invalid.
func Main(ctx context.Context, args []string, out, stderr io.Writer) int {
	var line commandLine
	parsed, done, code := program.Parse(&line, name, description, args, out, stderr)
	if done {
		return code
	}
	err := parsed.Run(&Env{Context: ctx, Out: out, SettingsPath: line.Settings})
	if err == nil {
		return program.ExitOK
	}
	fmt.Fprintf(stderr, "%s: %s\n", name, Describe(err))
	return program.ExitCode(result.From(err).Code)
}
