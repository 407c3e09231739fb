// Package logging writes log lines in the background, so that a slow output never
// blocks the code that logs. It drops lines that exceed its buffer or its rate and
// logs how many were dropped.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// TimeLayout is the layout of the time of a log line: the time of day with
// milliseconds, as in "15:04:05.000".
const TimeLayout = "15:04:05.000"

const (
	// maxBufferedLines is the number of lines that can wait for the output. Further
	// lines are dropped.
	maxBufferedLines = 2048
	// maxLinesPerSecond limits the log volume of a process. A router under the
	// heaviest workload writes about 100 lines per second.
	maxLinesPerSecond = 400
)

// Writer is an io.Writer that writes lines to another writer in the background.
// It drops and counts lines beyond maxBufferedLines or maxLinesPerSecond. It is
// safe for concurrent use, except that Write must not be called after Close.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64  // Lines dropped since the last report.
	done    chan struct{} // Closed when run has ended.
	once    sync.Once     // Closes lines.

	mu     sync.Mutex
	second int64 // Second in which lines are counted, in Unix time.
	count  int   // Lines in that second, including dropped ones.
}

// NewWriter returns a Writer that writes to out until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), out: out, done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. Each call passes one line. It never blocks and never
// returns an error; a dropped line counts as written.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether the rate permits one more line in the given second (Unix
// time), and counts that line.
func (w *Writer) allow(second int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second, w.count = second, 0
	}
	w.count++
	return w.count <= maxLinesPerSecond
}

// run writes the lines to the output until Close, and reports dropped lines after
// the next line that is written.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line) // An error of the log output cannot be logged.
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
		}
	}
}

// Close writes the buffered lines and stops the writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}
