package logging

import (
	"fmt"
	"io"
	"os"

	"github.com/phuslu/log"
)

// partKey is the field that holds the prefix of a part's lines.
const partKey = "part"

// hostKey is the field that holds the host of a line.
const hostKey = "host"

// Options configures the loggers of one process.
type Options struct {
	// Level is debug, info, warn or error; empty means info.
	Level string
	// Output receives the lines; nil means standard error.
	Output io.Writer
	// Host, if set, stands in every line.
	Host string
}

// Factory makes the loggers of one process.
type Factory struct {
	level  log.Level
	writer log.Writer
	host   string
}

// New returns the root of a process's loggers.
func New(o Options) *Factory {
	if o.Output == nil {
		o.Output = os.Stderr
	}
	level := log.InfoLevel
	if o.Level != "" {
		level = log.ParseLevel(o.Level)
	}
	return &Factory{
		level:  level,
		writer: &log.ConsoleWriter{Writer: o.Output, Formatter: formatLine},
	}
}

// Discard returns a root whose loggers write nothing.
func Discard() *Factory {
	return New(Options{Output: io.Discard, Level: log.ErrorLevel.String()})
}

// For returns the logger of a part, such as "peer". Its lines begin with the
// time, the level and "peer: ".
func (r *Factory) For(part string) *log.Logger {
	context := log.NewContext(nil)
	if r.host != "" {
		context = context.Str(hostKey, r.host)
	}
	return &log.Logger{
		Level:   r.level,
		Context: context.Str(partKey, part).Value(),
		Writer:  r.writer,
	}
}

func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	line := fmt.Appendf(nil, "%s %-5s %s: %s", args.Time, args.Level, args.Get(partKey), args.Message)
	for _, kv := range args.KeyValues {
		if kv.Key != partKey {
			line = fmt.Appendf(line, " %s=%s", kv.Key, kv.Value)
		}
	}
	return w.Write(append(line, '\n'))
}
