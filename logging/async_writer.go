package logging

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeBufferBytes is the largest write. A pipe accepts that much atomically.
	writeBufferBytes = 4 << 10
	// batchDelay is how long a line may be delayed so that further lines are written
	// with it.
	batchDelay = 50 * time.Millisecond
	// closeTimeout limits how long Close waits for an output that blocks.
	closeTimeout = 200 * time.Millisecond
)

// asyncWriter queues lines for a goroutine that writes them in batches. Lines that do
// not fit into the bounded queue are dropped and counted.
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

// Close implements io.Closer. It writes the queued lines, but gives up after
// closeTimeout if the output blocks.
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

// drain writes all queued lines.
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

// writeLine appends a line to the buffer, which holds only whole lines. A failed write
// is only counted as a dropped line, because there is no other place to report it.
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
