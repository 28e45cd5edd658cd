package cli

import "io"

// Environment holds the process's standard streams and environment variables.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}
