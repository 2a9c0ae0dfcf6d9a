// Package logging writes log lines without making the daemon wait for whoever
// reads them.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait to be written.
	queuedLines = 4096
	// linesPerSecond bounds the volume; a daemon serves a few hundred requests
	// a second with a few lines each.
	linesPerSecond = 3000
)

// Writer writes lines in the background. Lines beyond its bounds are dropped
// and counted; it never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	written atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer to out; Close it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if last := w.second.Load(); last != now && w.second.CompareAndSwap(last, now) {
		w.written.Store(0)
	}
	if w.written.Add(1) > linesPerSecond {
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

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			// There is nowhere to report a failed write of the log itself.
			_, _ = fmt.Fprintf(w.out, "log lines dropped: %d\n", n)
		}
		_, _ = w.out.Write(line)
	}
}

// Dropped returns the number of lines dropped since the last one written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines. Nothing may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
