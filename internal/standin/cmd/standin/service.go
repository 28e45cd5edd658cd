package main

import (
	"context"
	"net"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/internal/standin/service"
)

type serviceCommand struct {
	options service.Options
}

func registerService(app *kingpin.Application, commands map[string]command) {
	c := &serviceCommand{options: service.Options{Crash: crash}}
	clause := app.Command("service", "A plain service.")
	clause.Flag("delay", "How long each call takes.").Default("0s").DurationVar(&c.options.Delay)
	commands[clause.FullCommand()] = c
}

func (c *serviceCommand) serve(ctx context.Context, listener, control net.Listener) error {
	return service.New(c.options).Serve(ctx, listener, control)
}
