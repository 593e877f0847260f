// Command pierctl is the operators' command line tool. It checks and submits
// documents, shows the fleet and its timeline, drains VMs and creates keys.
//
// Exit codes: 0 success, 1 rejected or failed, 2 invalid command line or
// settings.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberrypier/cranberrypier/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := operator.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
