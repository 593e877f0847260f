// Command pier-agent runs the control plane of an entry VM.
package main

import (
	"github.com/cranberrypier/cranberrypier/internal/agent"
	"github.com/cranberrypier/cranberrypier/internal/program"
)

func main() {
	program.Main("pier-agent", "Runs the control plane of an entry VM.", agent.Run)
}
