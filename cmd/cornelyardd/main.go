// Command cornelyardd is the daemon that runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/daemon"
)

// Exit statuses.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("cornelyardd", "The request scheduler's daemon. SIGTERM is a graceful stop.")
	path := app.Flag("settings", "The host's settings file (JSON).").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	host, err := config.Load(*path)
	if err != nil {
		fail(exitSettings, err)
	}
	if err := serve(*host); err != nil {
		fail(exitFailure, err)
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

func fail(status int, err error) {
	fmt.Fprintln(os.Stderr, "cornelyardd:", err)
	os.Exit(status)
}
