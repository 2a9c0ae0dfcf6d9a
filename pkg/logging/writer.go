// Package logging provides a log writer that never blocks the daemon, even if
// the reader of the log is slow or stalled.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the size of the queue of lines to be written.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the rate of lines. A daemon serves a few hundred
	// requests per second and logs a few lines for each.
	maxLinesPerSecond = 3000
)

// Writer writes log lines in the background and never blocks its callers. Lines
// that exceed the queue size or the rate limit are dropped and counted. It is
// safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// currentSecond is the Unix time in seconds to which linesInSecond applies.
	currentSecond atomic.Int64
	linesInSecond atomic.Int64
	done          chan struct{}
}

// NewWriter returns a Writer to out. Its goroutine runs until Close is called.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it if a limit is exceeded. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if last := w.currentSecond.Load(); last != now && w.currentSecond.CompareAndSwap(last, now) {
		w.linesInSecond.Store(0)
	}
	if w.linesInSecond.Add(1) > maxLinesPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines and, before the next line, the number of lines
// dropped.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			// A failed write to the log itself cannot be reported anywhere.
			_, _ = fmt.Fprintf(w.out, "log lines dropped: %d\n", n)
		}
		_, _ = w.out.Write(line)
	}
}

// Dropped returns the number of lines dropped since that number was last
// written to the log.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the Writer. Write must not be called
// afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
