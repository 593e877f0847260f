package operator

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/explain"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// ExplainCommand is pierctl explain.
type ExplainCommand struct {
	Request string   `arg:"" help:"The request's id."`
	Logs    []string `arg:"" optional:"" type:"path" help:"Log files of the entry VMs; standard input when there are none."`
}

// Run implements the command.
func (c *ExplainCommand) Run(e *Env) error {
	take, story := explain.NewCollector(c.Request)
	if len(c.Logs) == 0 {
		if err := explain.Read(os.Stdin, "stdin", take); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, path := range c.Logs {
		if err := readLog(path, take); err != nil {
			return trace.Wrap(err)
		}
	}
	return story().Print(e.Out)
}

func readLog(path string, take func(explain.Line)) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.Wrap(result.New(result.BadRequest, "cannot open the log: %v", err))
	}
	defer func() { _ = f.Close() }() // it was only read
	return trace.Wrap(explain.Read(f, path, take))
}
