// Command bench runs the measurements. Each writes its report to standard output and
// its progress to standard error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/run"

	"github.com/cornelyard/cornelyard/bench/command"
	"github.com/cornelyard/cornelyard/bench/faults"
	"github.com/cornelyard/cornelyard/bench/overhead"
	"github.com/cornelyard/cornelyard/bench/policy"
	"github.com/cornelyard/cornelyard/bench/recovery"
	"github.com/cornelyard/cornelyard/bench/report"
	"github.com/cornelyard/cornelyard/bench/slopes"
	"github.com/cornelyard/cornelyard/bench/soak"
	"github.com/cornelyard/cornelyard/internal/former"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

func main() {
	app := kingpin.New("bench", "Measurements of cornelyard, each against its baseline in the same run.")
	output := app.Flag("output", "Form of the report.").Default(string(report.Text)).Enum(report.Formats...)
	commands := []command.Command{
		overhead.Register(app),
		faults.Register(app),
		soak.Register(app),
		recovery.Register(app),
		policy.Register(app),
		slopes.Register(app),
	}
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, c := range commands {
		if c.Name() == name {
			exit(measure(c, report.Format(*output)))
		}
	}
}

func exit(err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, "bench:", err)
	os.Exit(1)
}

// measure runs a measurement until it ends or a signal arrives, and writes its report.
func measure(c command.Command, format report.Format) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	group.Add(func() error {
		defer testbed.RemoveBinaries()
		defer former.RemoveAll()
		result, err := c.Run(ctx)
		if err != nil {
			return err
		}
		return report.Write(os.Stdout, format, result)
	}, func(error) { cancel() })
	group.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	err := group.Run()
	if errors.Is(err, run.ErrSignal) {
		return errors.New("interrupted")
	}
	return err
}
