// Package logging writes a node's log: one line of key=value pairs for each
// event. Lines are rate-limited, and logging never blocks the caller.
package logging

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for the output,
	// including the batch that is being written.
	maxQueuedLines = 1024
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = time.Second
	// maxBatchLines is the maximum number of queued lines that are written in
	// one call.
	maxBatchLines = 64
)

// Log queues log lines and writes them to an output.
type Log struct {
	logger   *slog.Logger
	out      io.Writer
	lines    chan []byte
	stop     chan struct{}
	done     chan struct{}
	dropped  atomic.Uint64
	limiters lineLimiters
	// batch holds lines taken from the queue and not yet written, batchLines
	// their number.
	batch      []byte
	batchLines uint64
}

// New returns a log that writes lines of the given level and above to w.
func New(w io.Writer, level slog.Level) *Log {
	l := &Log{
		out:      w,
		lines:    make(chan []byte, maxQueuedLines-maxBatchLines),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		limiters: lineLimiters{events: map[string]*lineLimiter{}},
	}
	l.logger = slog.New(&handler{log: l, next: slog.NewTextHandler(l, &slog.HandlerOptions{Level: level})})
	go l.loop()
	return l
}

// Logger returns the logger that writes to the log.
func (l *Log) Logger() *slog.Logger { return l.logger }

// DroppedLines returns the number of lines that were not written, because of a
// rate limit, a full queue or a write error.
func (l *Log) DroppedLines() uint64 { return l.dropped.Load() }

// DroppedLines returns the number of lines dropped by the log behind the
// logger, or 0 if the logger does not write to a Log.
func DroppedLines(logger *slog.Logger) uint64 {
	if h, ok := logger.Handler().(*handler); ok {
		return h.log.DroppedLines()
	}
	return 0
}

// Write implements io.Writer for a single line. It never blocks: the line is
// dropped if the queue is full.
func (l *Log) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case l.lines <- queued:
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Later lines are not
// written, and count as dropped once the queue is full.
func (l *Log) Close() {
	close(l.stop)
	<-l.done
}

func (l *Log) loop() {
	defer close(l.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-l.lines:
			l.addToBatch(line)
			l.drain()
		case <-ticker.C:
			if n := l.dropped.Load(); n > reported {
				l.logger.Warn(EventLinesDropped, "count", n-reported)
				reported = n
			}
		case <-l.stop:
			l.drain()
			return
		}
	}
}

// drain writes all queued lines.
func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			l.addToBatch(line)
		default:
			l.flush()
			return
		}
	}
}

// addToBatch adds a line to the batch and writes the batch when it is full.
func (l *Log) addToBatch(line []byte) {
	l.batch = append(l.batch, line...)
	l.batchLines++
	if l.batchLines >= maxBatchLines {
		l.flush()
	}
}

// flush writes the batch. A write error can't be logged, so the lines of the
// batch count as dropped.
func (l *Log) flush() {
	if len(l.batch) == 0 {
		return
	}
	if _, err := l.out.Write(l.batch); err != nil {
		l.dropped.Add(l.batchLines)
	}
	l.batch, l.batchLines = l.batch[:0], 0
}
