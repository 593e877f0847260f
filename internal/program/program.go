// Package program contains the startup code that all programs share: command
// line, settings, logs, signals and exit codes.
package program

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
)

// Exit codes of all programs.
const (
	// ExitOK means that the program succeeded.
	ExitOK = 0
	// ExitFailed means that the operation failed or was rejected.
	ExitFailed = 1
	// ExitUsage means that the command line, the settings or the key files are
	// invalid, or that a listen address can't be used: result codes 2100 to 2199.
	ExitUsage = 2
)

// Range of the result codes of settings and startup.
const (
	minStartupCode = 2100
	maxStartupCode = 2199
)

// CommandLine is the command line of a program that has a settings file.
type CommandLine struct {
	Settings string           `required:"" type:"path" placeholder:"FILE" help:"YAML settings file."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// verbosityProvider is implemented by settings that have a log level.
type verbosityProvider interface{ Verbosity() int }

// Main runs a program and exits the process. The first SIGTERM or interrupt
// cancels the context to request a graceful stop. A second one terminates the
// process at once.
func Main[T any](name, description string, run func(context.Context, *T) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	code := Run(ctx, name, description, os.Args[1:], os.Stderr, run)
	klog.Flush()
	os.Exit(code)
}

// Run is like Main but returns the exit code and does not handle signals. It
// writes one line to stderr if the exit code is not ExitOK.
func Run[T any](ctx context.Context, name, description string, args []string, stderr io.Writer, run func(context.Context, *T) error) int {
	var commandLine CommandLine
	if _, done, code := Parse(&commandLine, name, description, args, os.Stdout, stderr); done {
		return code
	}
	var s T
	if err := settings.Load(commandLine.Settings, &s); err != nil {
		return ReportError(name, err, stderr)
	}
	if v, ok := any(&s).(verbosityProvider); ok {
		SetVerbosity(v.Verbosity())
	}
	return ReportError(name, run(ctx, &s), stderr)
}

// Parse parses a command line into grammar and returns the command to run. If a
// flag such as --help or an error ends the program, it returns true and the exit
// code instead.
func Parse(grammar any, name, description string, args []string, out, stderr io.Writer) (*kong.Context, bool, int) {
	done, code := false, ExitOK
	parser, err := kong.New(grammar,
		kong.Name(name),
		kong.Description(description),
		kong.Vars{"version": name + " " + Version()},
		kong.Writers(out, stderr),
		kong.Exit(func(c int) { done, code = true, c }),
	)
	if err != nil {
		panic("program: " + err.Error())
	}
	parsed, err := parser.Parse(args)
	if done {
		return nil, true, code
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return nil, true, ExitUsage
	}
	return parsed, false, ExitOK
}

// ReportError writes err to stderr as one line and returns the exit code.
func ReportError(name string, err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	e := result.From(err)
	fmt.Fprintf(stderr, "%s: %v\n", name, e)
	return ExitCode(e.Code)
}

// ExitCode returns the exit code for a result code.
func ExitCode(c result.Code) int {
	if c >= minStartupCode && c <= maxStartupCode {
		return ExitUsage
	}
	return ExitFailed
}

// SetVerbosity sets the level of klog.
func SetVerbosity(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(level)); err != nil {
		klog.Warningf("program: cannot set log level %d: %v", level, err)
	}
}

// Version returns the version of the build, which comes from version control.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
