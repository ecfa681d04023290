// Package logging writes a node's log: one line of key=value pairs for each
// event, in bounded number, without ever blocking the node.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// eventRate and eventBurst bound the lines a second of one event with one
	// reason, so that a burst of refusals keeps the first line of each cause.
	eventRate  = 20
	eventBurst = 40
	// queueLines is the number of lines that wait for a slow output.
	queueLines = 1024
	// reportInterval is the least time between two reports of lines left out.
	reportInterval = time.Second
	// maxEvents bounds the events told apart. The rest share one bound.
	maxEvents = 256
	// reasonKey is the field that tells causes of one event apart.
	reasonKey = "reason"
)

// Log owns the writer of the lines.
type Log struct {
	logger  *slog.Logger
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	leftOut atomic.Uint64

	mu     sync.Mutex
	events map[string]*rate.Limiter
}

// New returns a log at a level: debug, info, warn or error.
func New(w io.Writer, level slog.Level) *Log {
	l := &Log{
		out:    w,
		lines:  make(chan []byte, queueLines),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		events: map[string]*rate.Limiter{},
	}
	l.logger = slog.New(&handler{log: l, next: slog.NewTextHandler(l, &slog.HandlerOptions{Level: level})})
	go l.loop()
	return l
}

// Logger returns the logger that writes to the log.
func (l *Log) Logger() *slog.Logger { return l.logger }

// LeftOut returns the number of lines that were not written.
func (l *Log) LeftOut() uint64 { return l.leftOut.Load() }

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
		case <-ticker.C:
			if n := l.leftOut.Load(); n > reported {
				l.logger.Warn("lines left out", "count", n-reported)
				reported = n
			}
		case <-l.stop:
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			l.put(line)
		default:
			return
		}
	}
}

// put writes a line. There is nowhere to report that the output is gone, so
// the line counts as left out.
func (l *Log) put(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.leftOut.Add(1)
	}
}

// allow takes one line of an event from its bound.
func (l *Log) allow(event string) bool {
	l.mu.Lock()
	limiter, ok := l.events[event]
	if !ok && len(l.events) >= maxEvents {
		event = ""
		limiter, ok = l.events[event]
	}
	if !ok {
		limiter = rate.NewLimiter(eventRate, eventBurst)
		l.events[event] = limiter
	}
	l.mu.Unlock()
	if limiter.Allow() {
		return true
	}
	l.leftOut.Add(1)
	return false
}

// handler bounds the lines of each event.
type handler struct {
	log  *Log
	next slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	event := r.Message
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == reasonKey {
			event += " " + a.Value.String()
			return false
		}
		return true
	})
	if !h.log.allow(event) {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, next: h.next.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{log: h.log, next: h.next.WithGroup(name)}
}
