package pipeline

import (
	"context"
	"time"
)

// arrivalKey is the context key of the time at which a request arrived.
type arrivalKey struct{}

func withArrival(ctx context.Context, t time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, t)
}

// Arrival returns the time at which a pipelined request arrived, and false for a
// request that did not wait behind others.
func Arrival(ctx context.Context) (time.Time, bool) {
	t, ok := ctx.Value(arrivalKey{}).(time.Time)
	return t, ok
}

// maxMarks limits the marks of a connection. Beyond it, later bytes move the time
// of the last mark.
const maxMarks = 64

// mark is the time at which the bytes of a connection up to an offset arrived.
type mark struct {
	end int64
	at  time.Time
}

// marks holds the times of bytes that were read ahead, in the order of the stream.
type marks []mark

// add records the arrival of the bytes up to end.
func (m marks) add(end int64, at time.Time) marks {
	if len(m) == maxMarks {
		m[maxMarks-1] = mark{end, at}
		return m
	}
	return append(m, mark{end, at})
}

// find returns the time at which the byte before an offset arrived, the zero time
// if it is not known.
func (m marks) find(offset int64) time.Time {
	for _, k := range m {
		if k.end >= offset {
			return k.at
		}
	}
	return time.Time{}
}

// dropBefore removes the marks that end before an offset.
func (m marks) dropBefore(offset int64) marks {
	n := 0
	for n < len(m) && m[n].end < offset {
		n++
	}
	return append(m[:0], m[n:]...)
}
