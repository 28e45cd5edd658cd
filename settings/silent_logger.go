package settings

import (
	"io"

	"github.com/phuslu/log"
)

func silentLogger() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
