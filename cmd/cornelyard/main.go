// Command cornelyard is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cornelyard/cornelyard/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	environment := cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	commands := append(cli.Commands(), &devCommand{})
	os.Exit(int(cli.Main(ctx, os.Args[1:], environment, commands)))
}
