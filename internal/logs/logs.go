// Package logs sends structured log lines to standard output without ever
// blocking the writer: lines that the reader does not take in time are dropped
// and counted.
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
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 512
	// flushTime bounds how long Close waits for the reader.
	flushTime = 200 * time.Millisecond
)

// Writer hands lines to a slower writer in the background.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter starts a writer that passes lines on to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	told := uint64(0)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Load(); n > told {
			_, _ = fmt.Fprintf(w.out, "logs: lines dropped total=%d\n", n) // nowhere to report a failure of the log itself
			told = n
		}
		_, _ = w.out.Write(line)
	}
}

// Close writes what is queued, as far as the reader takes it at once.
func (w *Writer) Close() {
	select {
	case w.lines <- nil:
	case <-time.After(flushTime):
		return
	}
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
}

// Err is the text of an error on one line, without its stack; empty for none.
func Err(err error) string {
	if err == nil {
		return ""
	}
	return trace.Unwrap(err).Error()
}

// Setup makes klog write through w.
func RedirectKlog(w *Writer) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
	} {
		if err := flags.Set(name, value); err != nil {
			panic(err) // the flags are klog's own
		}
	}
	klog.SetOutput(w)
}
