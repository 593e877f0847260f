// Package logs writes structured log lines to standard output without ever
// blocking the caller. If the reader of the output is too slow, lines are
// dropped and counted.
package logs

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines is the capacity of the queue in front of a slow reader.
	maxQueuedLines = 512
	// flushTimeout limits each of the two waits in Close: for space in the queue
	// and for the queue to be written.
	flushTimeout = 200 * time.Millisecond
)

// Writer queues lines and writes them to another writer in the background.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks: it drops the line if the queue is
// full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	reported := uint64(0)
	for line := range w.lines {
		if line == nil { // sent by Close; all earlier lines are written
			return
		}
		if n := w.dropped.Load(); n > reported {
			_, _ = fmt.Fprintf(w.out, "logs: lines dropped total=%d\n", n) // a failure of the log itself cannot be reported
			reported = n
		}
		_, _ = w.out.Write(line)
	}
}

// Close writes the queued lines and stops the writer. If the reader is too slow,
// Close gives up, and the remaining lines may be lost.
func (w *Writer) Close() {
	select {
	case w.lines <- nil:
	case <-time.After(flushTimeout):
		return
	}
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// Err returns the message of err on one line, without its stack trace, or an
// empty string if err is nil.
func Err(err error) string {
	if err == nil {
		return ""
	}
	return trace.Unwrap(err).Error()
}

// RedirectKlog redirects klog's output to w.
func RedirectKlog(w *Writer) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
	} {
		if err := flags.Set(name, value); err != nil {
			panic(err) // these flags and values are fixed by klog
		}
	}
	klog.SetOutput(w)
}
