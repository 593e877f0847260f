// Package program starts a long-running program the same way everywhere:
// command line, settings, logs, signals and exit codes.
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
	// ExitOK means that the program did what it was asked to.
	ExitOK = 0
	// ExitFailed means that the work failed or was rejected.
	ExitFailed = 1
	// ExitUsage means that the command line, the settings, the key files or
	// the addresses are wrong: codes 2100 to 2199.
	ExitUsage = 2
)

// Codes of settings and start.
const (
	firstStartCode = 2100
	lastStartCode  = 2199
)

// CommandLine is the command line of a program with settings.
type CommandLine struct {
	Settings string           `required:"" type:"path" placeholder:"FILE" help:"YAML settings file."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// verbose is implemented by settings with a log level.
type verbose interface{ Verbosity() int }

// Main runs a program to its end and exits the process. The context ends on
// the first SIGTERM or interrupt, which asks for a graceful stop; a second one
// ends the process at once.
func Main[T any](name, description string, run func(context.Context, *T) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	code := Run(ctx, name, description, os.Args[1:], os.Stderr, run)
	klog.Flush()
	os.Exit(code)
}

// Run is Main without the process: it returns the exit code and writes one
// line to stderr when it is not ExitOK.
func Run[T any](ctx context.Context, name, description string, args []string, stderr io.Writer, run func(context.Context, *T) error) int {
	var line CommandLine
	if _, done, code := Parse(&line, name, description, args, os.Stdout, stderr); done {
		return code
	}
	var s T
	if err := settings.Load(line.Settings, &s); err != nil {
		return ReportError(name, err, stderr)
	}
	if v, ok := any(&s).(verbose); ok {
		SetVerbosity(v.Verbosity())
	}
	return ReportError(name, run(ctx, &s), stderr)
}

// Parse reads a command line into grammar. It reports whether the program is
// done, because of a flag such as --help or a fault, and the exit code; else
// the command to run.
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

// Report writes an error's one line and gives the exit code.
func ReportError(name string, err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	e := result.From(err)
	fmt.Fprintf(stderr, "%s: %v\n", name, e)
	return ExitCode(e.Code)
}

// ExitCode gives the exit code for a result code.
func ExitCode(c result.Code) int {
	if c >= firstStartCode && c <= lastStartCode {
		return ExitUsage
	}
	return ExitFailed
}

// SetVerbosity sets the level of klog.
func SetVerbosity(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(level)); err != nil {
		klog.Warningf("program: log level %d was not set: %v", level, err)
	}
}

// Version is the version of the build, from its version control data.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
