package logging

import (
	"fmt"
	"io"
	"os"

	"github.com/phuslu/log"
)

// componentKey is the log field that names the component of a line.
const componentKey = "part"

// hostKey is the log field that names the host.
const hostKey = "host"

// Factory creates the component loggers of one process.
type Factory struct {
	level  log.Level
	writer log.Writer
	host   string
}

// New returns a factory of loggers that write text lines. The default output is
// standard error.
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

// Discard returns a factory of loggers whose output is discarded.
func Discard() *Factory {
	return New(Options{Output: io.Discard, Level: log.ErrorLevel.String()})
}

// For returns the logger of a component, such as "peer". Its text lines begin with the
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
