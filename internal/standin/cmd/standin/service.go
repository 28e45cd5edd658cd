package main

import (
	"context"
	"net"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/internal/standin/service"
)

type serviceCommand struct {
	options service.Options
	journal string
}

func registerService(app *kingpin.Application, commands map[string]command) {
	c := &serviceCommand{options: service.Options{Crash: crash}}
	clause := app.Command("service", "A plain service.")
	clause.Flag("delay", "How long each call takes.").Default("0s").DurationVar(&c.options.Delay)
	clause.Flag("journal", journalHelp).StringVar(&c.journal)
	commands[clause.FullCommand()] = c
}

func (c *serviceCommand) serve(ctx context.Context, listener, control net.Listener) error {
	journal, err := openJournal(c.journal)
	if err != nil {
		return err
	}
	c.options.Journal = journal
	return service.New(c.options).Serve(ctx, listener, control)
}
