package main

import (
	"context"
	"net"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
)

type faultproxyCommand struct{}

func registerFaultproxy(app *kingpin.Application, commands map[string]command) {
	clause := app.Command("faultproxy", "A TCP proxy with fault injection; links are managed over the control address.")
	commands[clause.FullCommand()] = &faultproxyCommand{}
}

// serve closes the service listener, because each link has its own listener.
func (*faultproxyCommand) serve(ctx context.Context, service, control net.Listener) error {
	if err := service.Close(); err != nil {
		return err
	}
	return faultproxy.New(ctx).Serve(ctx, control)
}
