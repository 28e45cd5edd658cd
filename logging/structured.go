package logging

import (
	"io"
	"os"

	"github.com/phuslu/log"
)

// structuredLines bounds the lines that wait to be written.
const maxQueuedLines = 4096

// StructuredFactory is the logger of one process that writes JSON lines. Writing never
// blocks: while the reader does not keep up, lines are dropped and counted.
type StructuredFactory struct {
	factory *Factory
	writer  *asyncWriter
}

// NewStructured returns loggers that write JSON lines. Without an output they write
// to standard output.
func NewStructured(options Options) *StructuredFactory {
	if options.Output == nil {
		options.Output = os.Stdout
	}
	level := log.InfoLevel
	if options.Level != "" {
		level = log.ParseLevel(options.Level)
	}
	writer := newAsyncWriter(options.Output, maxQueuedLines)
	return &StructuredFactory{
		factory: &Factory{level: level, writer: log.IOWriter{Writer: writer}, host: options.Host},
		writer:  writer,
	}
}

// For returns the logger of a part.
func (f *StructuredFactory) For(component string) *log.Logger { return f.factory.For(component) }

// Dropped returns the number of lines that were not written.
func (f *StructuredFactory) Dropped() uint64 { return f.writer.dropped.Load() }

// Close writes the lines that wait, and stops.
func (f *StructuredFactory) Close() error { return f.writer.Close() }

var _ io.WriteCloser = (*asyncWriter)(nil)
