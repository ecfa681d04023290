package logging

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the lines of one event with one
	// reason, so that a burst of refusals does not suppress the first lines of
	// another cause.
	linesPerSecond = 10
	lineBurst      = 40
	// One in sampleOneIn requests is sampled. Lines of sampled requests have an
	// additional rate limit of their own. All nodes sample by a
	// hash of the request id, so every node that handles a request keeps the
	// lines of the same requests.
	sampleOneIn = 16
	// sampledLinesPerSecond and sampledLineBurst limit the additional lines of
	// sampled requests, for one event with one reason.
	sampledLinesPerSecond = 10
	sampledLineBurst      = 20
	// maxLimiters limits the combinations of event and reason that have a rate
	// limiter of their own. All others share one.
	maxLimiters = 256

	// reasonKey is the key of the field that holds the reason, idKey the key of
	// the field that holds the request id.
	reasonKey = "reason"
	idKey     = "id"
)

// lineLimiters holds a rate limiter for each combination of event and reason.
type lineLimiters struct {
	mu sync.Mutex
	// events maps the name of an event, followed by the reason if there is one,
	// to its limiter.
	events map[string]*lineLimiter
}

// lineLimiter limits the lines of one event with one reason.
type lineLimiter struct {
	all     *rate.Limiter
	sampled *rate.Limiter
}

func newLineLimiter() *lineLimiter {
	return &lineLimiter{
		all:     rate.NewLimiter(linesPerSecond, lineBurst),
		sampled: rate.NewLimiter(sampledLinesPerSecond, sampledLineBurst),
	}
}

func (l *lineLimiters) get(event string) *lineLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, ok := l.events[event]
	if !ok && len(l.events) >= maxLimiters {
		event = ""
		limiter, ok = l.events[event]
	}
	if !ok {
		limiter = newLineLimiter()
		l.events[event] = limiter
	}
	return limiter
}

// allow reports whether a line of the event may be written, and counts it
// against the rate limit.
func (l *lineLimiters) allow(event, id string) bool {
	limiter := l.get(event)
	if limiter.all.Allow() {
		return true
	}
	return isSampled(id) && limiter.sampled.Allow()
}

// isSampled reports whether the request is sampled. The result is the same on
// all nodes.
func isSampled(id string) bool {
	return id != "" && xxhash.Sum64String(id)%sampleOneIn == 0
}

// handler drops lines that exceed the rate limit of their event and reason.
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
	event, id := r.Message, ""
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case reasonKey:
			event += " " + a.Value.String()
		case idKey:
			id = a.Value.String()
		}
		return true
	})
	if !h.log.limiters.allow(event, id) {
		h.log.dropped.Add(1)
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
