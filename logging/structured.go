package logging

import (
	"io"
	"os"

	"github.com/phuslu/log"
)

// maxQueuedLines limits the lines that are queued for writing.
const maxQueuedLines = 4096

// StructuredFactory creates the component loggers of one process that write JSON
// lines. Logging never blocks: if the reader of the output does not keep up, lines are
// dropped and counted.
type StructuredFactory struct {
	factory *Factory
	writer  *asyncWriter
}

// NewStructured returns a factory of loggers that write JSON lines. The default output
// is standard output.
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

// For returns the logger of a component.
func (f *StructuredFactory) For(component string) *log.Logger { return f.factory.For(component) }

// Dropped returns the number of lines that were not written.
func (f *StructuredFactory) Dropped() uint64 { return f.writer.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (f *StructuredFactory) Close() error { return f.writer.Close() }

var _ io.WriteCloser = (*asyncWriter)(nil)
