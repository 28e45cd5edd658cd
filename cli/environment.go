package cli

import "io"

// Environment is what the tool gets from its process.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}
