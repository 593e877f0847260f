package operator

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/explain"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// ExplainCommand is pierctl explain.
type ExplainCommand struct {
	Request string   `arg:"" help:"ID of the request."`
	Logs    []string `arg:"" optional:"" type:"path" help:"Log files of the entry VMs; default is standard input."`
}

// Run implements the command.
func (c *ExplainCommand) Run(e *Env) error {
	collect, explanation := explain.NewCollector(c.Request)
	if len(c.Logs) == 0 {
		if err := explain.Read(os.Stdin, "stdin", collect); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, path := range c.Logs {
		if err := readLog(path, collect); err != nil {
			return trace.Wrap(err)
		}
	}
	return explanation().Print(e.Out)
}

func readLog(path string, collect func(explain.Line)) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.Wrap(result.New(result.BadRequest, "cannot open the log file: %v", err))
	}
	defer func() { _ = f.Close() }() // opened only for reading
	return trace.Wrap(explain.Read(f, path, collect))
}
