package operator

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// KeysCommand is pierctl keys.
type KeysCommand struct {
	Init KeysInitCommand `cmd:"" help:"Create the fleet's certificate authority and certificates; existing files are kept."`
	Hash KeysHashCommand `cmd:"" help:"Print the digest of a bearer key, for key_hashes in the document."`
}

// KeysInitCommand is pierctl keys init; it creates certificates.
type KeysInitCommand struct {
	Dir   string   `arg:"" type:"path" help:"Directory to write the files to."`
	Fleet string   `required:"" help:"Name of the fleet."`
	VM    []string `help:"Comma-separated names of the VMs."`
}

// Run implements the command.
func (c *KeysInitCommand) Run(e *Env) error {
	written, err := pki.Create(c.Dir, c.Fleet, c.VM, time.Now())
	for _, name := range written {
		fmt.Fprintln(e.Out, "created", name)
	}
	return trace.Wrap(err)
}

// KeysHashCommand is pierctl keys hash; it prints the digest of a bearer key.
type KeysHashCommand struct {
	Key string `arg:"" optional:"" help:"The key. If omitted, the first line of standard input is read, which keeps the key out of the shell's history."`
}

// Run implements the command.
func (c *KeysHashCommand) Run(e *Env) error {
	key := c.Key
	if key == "" {
		if _, err := fmt.Fscanln(os.Stdin, &key); err != nil {
			return trace.Wrap(result.New(result.SettingsInvalid, "no key: expected it as an argument or on standard input"))
		}
	}
	fmt.Fprintln(e.Out, document.HashKey(key))
	return nil
}
