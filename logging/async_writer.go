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
	batchDelay = 50 * time.Millisecond
	// closeLimit bounds the wait for a reader that does not read at the end.
	closeTimeout = 200 * time.Millisecond
)

// countingWriter hands lines through a bounded ring to one goroutine that writes
// them, many at once. A line that finds the ring full is dropped and counted.
type asyncWriter struct {
	dropped   atomic.Uint64
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	stop      chan struct{}
}

func newAsyncWriter(output io.Writer, maxQueuedLines int) *asyncWriter {
	w := &asyncWriter{
		lines: make(chan []byte, maxQueuedLines),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go w.run(bufio.NewWriterSize(output, writeBufferBytes))
	return w
}

// Write implements io.Writer. It never blocks.
func (w *asyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close implements io.Closer. It writes what waits, if the reader takes it.
func (w *asyncWriter) Close() error {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (w *asyncWriter) run(output *bufio.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(output, line)
			time.Sleep(batchDelay)
			w.drain(output)
		case <-w.stop:
			w.drain(output)
			return
		}
	}
}

// flush writes all lines that wait.
func (w *asyncWriter) drain(output *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(output, line)
		default:
			if err := output.Flush(); err != nil {
				w.dropped.Add(1)
			}
			return
		}
	}
}

// put adds a line to the buffer, which holds whole lines only. A line that cannot be
// written is counted: there is no other place to tell it.
func (w *asyncWriter) writeLine(output *bufio.Writer, line []byte) {
	if output.Available() < len(line) {
		if err := output.Flush(); err != nil {
			w.dropped.Add(1)
		}
	}
	if _, err := output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
