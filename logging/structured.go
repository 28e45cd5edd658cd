package logging

import (
	"io"
	"os"

	"github.com/phuslu/log"
)

// structuredLines bounds the lines that wait to be written.
const structuredLines = 4096

// StructuredFactory is the logger of one process that writes JSON lines. Writing never
// blocks: while the reader does not keep up, lines are dropped and counted.
type StructuredFactory struct {
	root   *Factory
	writer *countingWriter
}

// NewStructured returns loggers that write JSON lines. Without an output they write
// to standard output.
func NewStructured(o Options) *StructuredFactory {
	if o.Output == nil {
		o.Output = os.Stdout
	}
	level := log.InfoLevel
	if o.Level != "" {
		level = log.ParseLevel(o.Level)
	}
	writer := newCountingWriter(o.Output, structuredLines)
	return &StructuredFactory{
		root:   &Factory{level: level, writer: log.IOWriter{Writer: writer}, host: o.Host},
		writer: writer,
	}
}

// For returns the logger of a part.
func (s *StructuredFactory) For(part string) *log.Logger { return s.root.For(part) }

// Dropped returns the number of lines that were not written.
func (s *StructuredFactory) Dropped() uint64 { return s.writer.dropped.Load() }

// Close writes the lines that wait, and stops.
func (s *StructuredFactory) Close() error { return s.writer.Close() }

var _ io.WriteCloser = (*countingWriter)(nil)
