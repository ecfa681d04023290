package logging

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// TestBlockedOutput logs more than the queue holds to an output that is stuck.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{open: make(chan struct{})}
		l := New(out, slog.LevelInfo)
		for i := range 3 * queueLines {
			l.Logger().Info(fmt.Sprint("event ", i%maxEvents))
		}
		require.Positive(t, l.DroppedLines())
		close(out.open)
		l.Close()
		require.LessOrEqual(t, strings.Count(out.String(), "\n"), queueLines+1)
	})
}

// TestBurst logs a burst of refusals of two causes: the first lines of each are
// kept, of the rest those of sampled requests up to their own bound, and what is
// left out is told.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, slog.LevelInfo)
		for i := range 1000 {
			l.Logger().Info("request refused", "id", i, "reason", "overloaded")
		}
		l.Logger().Info("request refused", "id", "rare", "reason", "noRoute")
		time.Sleep(2 * reportInterval)
		l.Close()
		require.Equal(t, eventBurst+sampleBurst, strings.Count(out.String(), "reason=overloaded"))
		require.Contains(t, out.String(), "id=0 reason=overloaded")
		require.Contains(t, out.String(), "id=rare reason=noRoute")
		require.Contains(t, out.String(), fmt.Sprintf(`msg="lines left out" count=%d`, 1000-eventBurst-sampleBurst))
	})
}

func TestLines(t *testing.T) {
	tests := map[string]struct {
		level slog.Level
		log   func(logger *slog.Logger)
		want  string
	}{
		"fields":      {slog.LevelInfo, func(l *slog.Logger) { l.Info("start", "n", 1) }, "level=INFO msg=start n=1\n"},
		"with":        {slog.LevelInfo, func(l *slog.Logger) { l.With("vm", "a").Info("start") }, "msg=start vm=a\n"},
		"group":       {slog.LevelInfo, func(l *slog.Logger) { l.WithGroup("g").Info("start", "n", 1) }, "msg=start g.n=1\n"},
		"below level": {slog.LevelWarn, func(l *slog.Logger) { l.Info("start") }, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			l := New(&out, tt.level)
			tt.log(l.Logger())
			l.Close()
			require.True(t, strings.HasSuffix(out.String(), tt.want), out.String())
			require.Equal(t, tt.want == "", out.Len() == 0)
		})
	}
}

// broken is an output that is gone.
type broken struct{}

func (broken) Write([]byte) (int, error) { return 0, errors.New("gone") }

func TestBrokenOutput(t *testing.T) {
	l := New(broken{}, slog.LevelInfo)
	l.Logger().Info("start")
	l.Close()
	require.Equal(t, uint64(1), l.DroppedLines())
}

func BenchmarkLine(b *testing.B) {
	l := New(io.Discard, slog.LevelInfo)
	defer l.Close()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Logger().Info("request refused", "id", i, "reason", "overloaded")
	}
}

// TestSampledRequestsAreKeptEverywhere logs the same requests at two nodes that
// are both over their bounds, at different events: the same requests are kept.
func TestSampledRequestsAreKeptEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := map[string]map[string]bool{}
		for event, busy := range map[string]int{EventAttemptRefused: eventBurst, EventAttemptEnded: 3 * eventBurst} {
			var out bytes.Buffer
			l := New(&out, slog.LevelInfo)
			for i := range busy {
				l.Logger().Info(event, "id", fmt.Sprint("before-", i), "reason", "overloaded")
			}
			time.Sleep(reportInterval)
			l.Logger().Info(event, "id", "fill", "reason", "overloaded")
			for i := range sampleShare * sampleBurst / 2 {
				l.Logger().Info(event, "id", fmt.Sprint("request-", i), "reason", "overloaded")
			}
			l.Close()
			kept[event] = map[string]bool{}
			for i := range sampleShare * sampleBurst / 2 {
				id := fmt.Sprint("request-", i)
				kept[event][id] = isSampled(id) && strings.Contains(out.String(), "id="+id+" ")
			}
		}
		require.Equal(t, kept[EventAttemptRefused], kept[EventAttemptEnded])
		require.Contains(t, kept[EventAttemptEnded], "request-0")
		n := 0
		for _, ok := range kept[EventAttemptEnded] {
			if ok {
				n++
			}
		}
		require.Positive(t, n)
	})
}
