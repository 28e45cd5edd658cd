// Command cornelyard is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/dev"
)

func main() {
	app := kingpin.New("cornelyard", "Declarations, status and a sample system of cornelyard.")
	app.Command("dev", "Run a whole small system in this process.")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := dev.Run(ctx, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "cornelyard:", err)
		os.Exit(1)
	}
}
