package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/cli"
	"github.com/cornelyard/cornelyard/dev"
)

// devCommand runs the sample system of package dev.
type devCommand struct{}

// Register implements cli.Command.
func (c *devCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("dev", "Run a whole small system in this process, to try things out. An interrupt is a graceful stop.")
}

// Run implements cli.Command.
func (c *devCommand) Run(ctx context.Context, s *cli.Session) error {
	return dev.Run(ctx, s.Stdout, s.Stderr)
}
