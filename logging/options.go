package logging

import "io"

// Options configures the loggers of one process.
type Options struct {
	// Level is debug, info, warn or error; empty means info.
	Level string
	// Output receives the lines; if nil, they go to the default output of the
	// constructor.
	Output io.Writer
	// Host, if set, is added to every JSON line.
	Host string
}
