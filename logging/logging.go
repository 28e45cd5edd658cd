package logging

import (
	"fmt"
	"io"
	"os"

	"github.com/phuslu/log"
)

// partKey is the field that holds the prefix of a part's lines.
const componentKey = "part"

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
func New(options Options) *Factory {
	if options.Output == nil {
		options.Output = os.Stderr
	}
	level := log.InfoLevel
	if options.Level != "" {
		level = log.ParseLevel(options.Level)
	}
	return &Factory{
		level:  level,
		writer: &log.ConsoleWriter{Writer: options.Output, Formatter: formatLine},
	}
}

// Discard returns a root whose loggers write nothing.
func Discard() *Factory {
	return New(Options{Output: io.Discard, Level: log.ErrorLevel.String()})
}

// For returns the logger of a part, such as "peer". Its lines begin with the
// time, the level and "peer: ".
func (f *Factory) For(component string) *log.Logger {
	context := log.NewContext(nil)
	if f.host != "" {
		context = context.Str(hostKey, f.host)
	}
	return &log.Logger{
		Level:   f.level,
		Context: context.Str(componentKey, component).Value(),
		Writer:  f.writer,
	}
}

func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	line := fmt.Appendf(nil, "%s %-5s %s: %s", args.Time, args.Level, args.Get(componentKey), args.Message)
	for _, kv := range args.KeyValues {
		if kv.Key != componentKey {
			line = fmt.Appendf(line, " %s=%s", kv.Key, kv.Value)
		}
	}
	return w.Write(append(line, '\n'))
}
