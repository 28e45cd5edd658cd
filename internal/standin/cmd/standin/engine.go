package main

import (
	"context"
	"net"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/internal/standin/engine"
)

// crashExitCode is the exit code of a stand-in that crashes because of a fault.
const crashExitCode = 70

func crash() { os.Exit(crashExitCode) }

type engineCommand struct {
	options engine.Options
	journal string
}

func registerEngine(app *kingpin.Application, commands map[string]command) {
	c := &engineCommand{options: engine.Options{Crash: crash}}
	clause := app.Command("engine", "A model engine. A negative rate, duration or size means none.")
	o := &c.options
	clause.Flag("prefill-rate", "Prompt tokens per second.").Default(strconv.Itoa(engine.DefaultPrefillRate)).Float64Var(&o.PrefillRate)
	clause.Flag("decode-gap", "Time between tokens of a request that runs alone.").Default(engine.DefaultDecodeGap.String()).DurationVar(&o.DecodeGap)
	clause.Flag("gap-growth", "Fraction of the gap that each additional request adds.").Default(strconv.FormatFloat(engine.DefaultGapGrowth, 'g', -1, 64)).Float64Var(&o.GapGrowth)
	clause.Flag("max-batch", "Maximum number of concurrent requests.").Default(strconv.Itoa(engine.DefaultMaxBatch)).IntVar(&o.MaxBatch)
	clause.Flag("cache-blocks", "Size of the prefix cache in blocks.").Default(strconv.Itoa(engine.DefaultCacheBlocks)).IntVar(&o.CacheBlocks)
	clause.Flag("crash-marker", "Prompt text that crashes the engine.").Default(engine.DefaultCrashMarker).StringVar(&o.CrashMarker)
	clause.Flag("resume-window", "How long a stream continues without a reader.").Default(engine.DefaultResumeWindow.String()).DurationVar(&o.ResumeWindow)
	clause.Flag("load-lag", "Age of the load reports.").Default(engine.DefaultLoadLag.String()).DurationVar(&o.LoadLag)
	clause.Flag("journal", journalHelp).StringVar(&c.journal)
	commands[clause.FullCommand()] = c
}

func (c *engineCommand) serve(ctx context.Context, service, control net.Listener) error {
	journal, err := openJournal(c.journal)
	if err != nil {
		return err
	}
	c.options.Journal = journal
	return engine.New(c.options).Serve(ctx, service, control)
}
