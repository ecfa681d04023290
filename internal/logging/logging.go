// Package logging writes a node's log: one line of key=value pairs for each
// event, in bounded number, without ever blocking the node.
package logging

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that wait for a slow output, those that
	// are being written included.
	queueLines = 1024
	// reportInterval is the least time between two reports of lines left out.
	reportInterval = time.Second
	// batchLines is the number of lines that are written at once while more
	// wait.
	batchLines = 64
)

// Log owns the writer of the lines.
type Log struct {
	logger  *slog.Logger
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	leftOut atomic.Uint64
	bounds  bounds
	// batch is what the writer has taken and not written: inBatch lines.
	batch   []byte
	inBatch uint64
}

// New returns a log at a level: debug, info, warn or error.
func New(w io.Writer, level slog.Level) *Log {
	l := &Log{
		out:    w,
		lines:  make(chan []byte, queueLines-batchLines),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		bounds: bounds{events: map[string]*bound{}},
	}
	l.logger = slog.New(&handler{log: l, next: slog.NewTextHandler(l, &slog.HandlerOptions{Level: level})})
	go l.loop()
	return l
}

// Logger returns the logger that writes to the log.
func (l *Log) Logger() *slog.Logger { return l.logger }

// DroppedLines returns the number of lines that were not written.
func (l *Log) DroppedLines() uint64 { return l.leftOut.Load() }

// DroppedLines returns the number of lines that the log of the logger left out, 0
// for a logger of another kind.
func DroppedLines(logger *slog.Logger) uint64 {
	if h, ok := logger.Handler().(*handler); ok {
		return h.log.DroppedLines()
	}
	return 0
}

// Write implements io.Writer for one line. It never blocks.
func (l *Log) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case l.lines <- kept:
	default:
		l.leftOut.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the writer. Lines that come later are left
// out once the queue is full.
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
			l.put(line)
			l.drain()
		case <-ticker.C:
			if n := l.leftOut.Load(); n > reported {
				l.logger.Warn(EventLinesDropped, "count", n-reported)
				reported = n
			}
		case <-l.stop:
			l.drain()
			return
		}
	}
}

// drain writes the lines that wait.
func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			l.put(line)
		default:
			l.flush()
			return
		}
	}
}

// put adds a line to the batch and writes the batch when it is full.
func (l *Log) put(line []byte) {
	l.batch = append(l.batch, line...)
	l.inBatch++
	if l.inBatch >= batchLines {
		l.flush()
	}
}

// flush writes the batch. There is nowhere to report that the output is gone,
// so its lines count as left out.
func (l *Log) flush() {
	if len(l.batch) == 0 {
		return
	}
	if _, err := l.out.Write(l.batch); err != nil {
		l.leftOut.Add(l.inBatch)
	}
	l.batch, l.inBatch = l.batch[:0], 0
}
