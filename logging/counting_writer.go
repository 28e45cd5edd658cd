package logging

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeBufferBytes is how much is written at once: what a pipe takes as a whole.
	writeBufferBytes = 4 << 10
	// writeDelay is how long a line may wait for others to be written with it.
	writeDelay = 50 * time.Millisecond
	// closeLimit bounds the wait for a reader that does not read at the end.
	closeLimit = 200 * time.Millisecond
)

// countingWriter hands lines through a bounded ring to one goroutine that writes
// them, many at once. A line that finds the ring full is dropped and counted.
type countingWriter struct {
	dropped atomic.Uint64
	lines   chan []byte
	ended   chan struct{}
	once    sync.Once
	stop    chan struct{}
}

func newCountingWriter(to io.Writer, lines int) *countingWriter {
	w := &countingWriter{
		lines: make(chan []byte, lines),
		ended: make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go w.run(bufio.NewWriterSize(to, writeBufferBytes))
	return w
}

// Write implements io.Writer. It never blocks.
func (w *countingWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close implements io.Closer. It writes what waits, if the reader takes it.
func (w *countingWriter) Close() error {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.ended:
	case <-time.After(closeLimit):
	}
	return nil
}

func (w *countingWriter) run(to *bufio.Writer) {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.put(to, line)
			time.Sleep(writeDelay)
			w.flush(to)
		case <-w.stop:
			w.flush(to)
			return
		}
	}
}

// flush writes all lines that wait.
func (w *countingWriter) flush(to *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.put(to, line)
		default:
			if err := to.Flush(); err != nil {
				w.dropped.Add(1)
			}
			return
		}
	}
}

// put adds a line to the buffer, which holds whole lines only. A line that cannot be
// written is counted: there is no other place to tell it.
func (w *countingWriter) put(to *bufio.Writer, line []byte) {
	if to.Available() < len(line) {
		if err := to.Flush(); err != nil {
			w.dropped.Add(1)
		}
	}
	if _, err := to.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
