// Command cornelyardd is the daemon that runs on every entry host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/daemon"
	"github.com/cornelyard/cornelyard/internal/exitstatus"
)

func main() {
	app := kingpin.New("cornelyardd", "The request scheduler's daemon. SIGTERM is a graceful stop.")
	path := app.Flag("settings", "The host's settings file (JSON).").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	host, err := config.Load(*path)
	if err != nil {
		exitstatus.Fail(exitstatus.Settings, "cornelyardd:", err)
	}
	if err := serve(*host); err != nil {
		exitstatus.Fail(exitstatus.Failure, "cornelyardd:", err)
	}
}

func serve(host config.Host) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := daemon.New(daemon.Options{Config: host})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
