// Command cornelyard-gateway is the daemon that runs on every host of the users'
// platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/gateway"
	"github.com/cornelyard/cornelyard/internal/exitstatus"
	"github.com/cornelyard/cornelyard/platform"
)

func main() {
	app := kingpin.New("cornelyard-gateway", "The request scheduler on the users' platform. SIGTERM is a graceful stop.")
	path := app.Flag("settings", "The host's settings file (JSON).").Envar(platform.SettingsVariable).Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	host, err := config.LoadGateway(*path)
	if err != nil {
		exitstatus.Fail(exitstatus.Settings, err)
	}
	limitProcessors(host)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	g := gateway.New(gateway.Options{Config: *host})
	go reloadOnSignal(ctx, g, *path)
	if err := g.Run(ctx); err != nil {
		exitstatus.Fail(exitstatus.Failure, err)
	}
}

// limitProcessors applies the host's number of processors, unless the variable GOMAXPROCS sets one.
func limitProcessors(host *config.Gateway) {
	if n := host.UsedProcessors(); n > 0 && os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(n)
	}
}

// reloadOnSignal reloads the settings file on each SIGHUP.
func reloadOnSignal(ctx context.Context, g *gateway.Gateway, path string) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			g.Reload(config.LoadGateway(path))
		}
	}
}
