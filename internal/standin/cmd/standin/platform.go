package main

import (
	"context"
	"net"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/internal/standin/platform"
)

type platformCommand struct {
	options platform.Options
}

func registerPlatform(app *kingpin.Application, commands map[string]command) {
	c := &platformCommand{}
	clause := app.Command("platform", "The platform's table, objects and host list.")
	clause.Flag("host-lag", "Delay until a change of the host list becomes visible.").Default("0s").DurationVar(&c.options.HostLag)
	clause.Flag("reads", "Reads per second; 0 means no limit.").Default("0").Float64Var(&c.options.ReadsPerSecond)
	clause.Flag("writes", "Writes per second; 0 means no limit.").Default("0").Float64Var(&c.options.WritesPerSecond)
	commands[clause.FullCommand()] = c
}

func (c *platformCommand) serve(ctx context.Context, service, control net.Listener) error {
	return platform.New(c.options).Serve(ctx, service, control)
}
