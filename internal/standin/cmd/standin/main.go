// Command standin runs one stand-in as a process. When it listens, it prints its
// addresses as one line of JSON.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/run"
)

// ready is the line that is printed when the stand-in listens.
type ready struct {
	Event   string `json:"event"`
	Service string `json:"service,omitempty"`
	Control string `json:"control"`
}

// command is a kind of stand-in.
type command interface {
	// serve runs the stand-in on the listeners until ctx ends.
	serve(ctx context.Context, service, control net.Listener) error
}

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, the targets and the network, for tests.")
	serviceAddress := app.Flag("listen", "Address to serve on, as IP:port.").Default("127.0.0.1:0").String()
	controlAddress := app.Flag("control", "Address of the control listener, as IP:port.").Default("127.0.0.1:0").String()
	commands := map[string]command{}
	registerEngine(app, commands)
	registerService(app, commands)
	registerPlatform(app, commands)
	registerFaultproxy(app, commands)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := execute(commands[name], *serviceAddress, *controlAddress); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func execute(c command, serviceAddress, controlAddress string) error {
	service, err := net.Listen("tcp", serviceAddress)
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", controlAddress)
	if err != nil {
		return err
	}
	if err := printReady(service, control); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	group.Add(func() error { return c.serve(ctx, service, control) }, func(error) { cancel() })
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err = group.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

func printReady(service, control net.Listener) error {
	return json.NewEncoder(os.Stdout).Encode(ready{
		Event:   "listening",
		Service: service.Addr().String(),
		Control: control.Addr().String(),
	})
}
