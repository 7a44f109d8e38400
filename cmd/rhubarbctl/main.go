// Command rhubarbctl manages a deployment through the operator API of its
// control replicas. docs/operating.md lists its exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rhubarbhill/rhubarbhill/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
