package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/configcheck"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/vm"
	"github.com/cranberrypier/cranberrypier/platform"
)

// maxConfigBytes limits the size of a configuration that is read. It is well above what
// the platform's store accepts for one object.
const maxConfigBytes = 16 << 20

// CheckCommand is pierctl check.
type CheckCommand struct {
	File       string `arg:"" type:"path" help:"The platform's configuration as it is sent, in JSON."`
	Against    string `type:"path" placeholder:"FILE" help:"The configuration in force; differences from it are listed, and the version must be newer."`
	Output     string `enum:"text,json" default:"text" help:"Format of the output: text or json."`
	SmallestMB int    `name:"smallest-vm" placeholder:"MB" default:"144" help:"Memory of the smallest VM in MB; zero if unknown."`
}

// checkFinding and checkChange are what the command prints.
type checkFinding struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Path   string      `json:"path"`
	Detail string      `json:"detail"`
}

type checkChange struct {
	Change configcheck.ChangeKind `json:"change"`
	Path   string                 `json:"path"`
	Name   string                 `json:"name,omitempty"`
	Before string                 `json:"before,omitempty"`
	After  string                 `json:"after,omitempty"`
}

type checkReport struct {
	Findings []checkFinding `json:"findings"`
	// Changes is nil if there is nothing to compare with.
	Changes []checkChange `json:"changes,omitempty"`
}

// Run implements the command. It returns an error with the code ConfigFaulty if there are
// findings, and one with FileUnreadable if a file cannot be read or decoded.
func (c *CheckCommand) Run(e *Env) error {
	config, err := readConfig(c.File)
	if err != nil {
		return trace.Wrap(err)
	}
	findings := configcheck.Check(config, configcheck.Bounds{MaxBodyBytes: vm.Limits{MemoryMB: c.SmallestMB}.MaxBodyBytes()})
	var changes []configcheck.Change
	if c.Against != "" {
		before, err := readConfig(c.Against)
		if err != nil {
			return trace.Wrap(err)
		}
		findings = append(findings, configcheck.CheckVersion(before, config)...)
		changes = configcheck.Diff(before, config)
	}
	if err := c.print(e.Out, newCheckReport(findings, changes)); err != nil {
		return trace.Wrap(err)
	}
	if len(findings) > 0 {
		return trace.Wrap(result.New(result.ConfigFaulty, "%s has %d findings", c.File, len(findings)))
	}
	return nil
}

// readConfig reads and decodes a configuration with the code of the entry VMs.
func readConfig(path string) (*configcheck.Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, trace.Wrap(result.New(result.FileUnreadable, "cannot open the configuration: %v", err))
	}
	defer func() { _ = f.Close() }() // opened only for reading
	raw, err := io.ReadAll(io.LimitReader(f, maxConfigBytes+1))
	if err != nil || len(raw) > maxConfigBytes {
		return nil, trace.Wrap(result.New(result.FileUnreadable, "cannot read %s, at most %d bytes are expected: %s", path, maxConfigBytes, logs.Err(err)))
	}
	config, err := platform.Documents{}.DecodeForCheck(raw)
	if err != nil {
		return nil, trace.Wrap(result.New(result.FileUnreadable, "%s: %s", path, result.From(err).Detail))
	}
	return config, nil
}

func newCheckReport(findings []configcheck.Finding, changes []configcheck.Change) checkReport {
	r, docs := checkReport{Findings: make([]checkFinding, 0, len(findings))}, platform.Documents{}
	for _, f := range findings {
		r.Findings = append(r.Findings, checkFinding{f.Code, f.Code.Info().Name, docs.ConfigPath(f.Path), f.Detail})
	}
	for _, c := range changes {
		r.Changes = append(r.Changes, checkChange{c.Kind, docs.ConfigPath(c.Path), c.Name, c.Before, c.After})
	}
	return r
}

func (c *CheckCommand) print(out io.Writer, r checkReport) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(r))
	}
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%d %s %s: %s\n", f.Code, f.Name, f.Path, f.Detail)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&b, "%s %s", c.Change, c.Path)
		if c.Name != "" {
			fmt.Fprintf(&b, " (%s)", c.Name)
		}
		if c.Change == configcheck.Changed {
			fmt.Fprintf(&b, ": %s -> %s", c.Before, c.After)
		}
		b.WriteString("\n")
	}
	if b.Len() == 0 {
		b.WriteString("no findings\n")
	}
	_, err := io.WriteString(out, b.String())
	return trace.Wrap(err)
}
