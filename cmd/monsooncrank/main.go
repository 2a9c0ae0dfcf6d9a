// Command monsooncrank is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/monsooncrank/monsooncrank/pkg/command"
	"github.com/monsooncrank/monsooncrank/pkg/demo"
	"github.com/monsooncrank/monsooncrank/pkg/measure"
	"github.com/monsooncrank/monsooncrank/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr,
		command.RegisterCheckCatalog(platform.Reader{}), demo.RegisterDemo, demo.RegisterStandin, demo.RegisterLoad, measure.Register)
	stop()
	os.Exit(code)
}
