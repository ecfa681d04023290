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

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// TestBlockedOutput logs more lines than the queue holds while the output
// blocks: logging must not block, and the queue must stay within its limit.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{open: make(chan struct{})}
		l := New(out, slog.LevelInfo)
		for i := range 3 * maxQueuedLines {
			l.Logger().Info(fmt.Sprint("event ", i%maxLimiters))
		}
		require.Positive(t, l.DroppedLines())
		close(out.open)
		l.Close()
		require.LessOrEqual(t, strings.Count(out.String(), "\n"), maxQueuedLines+1)
	})
}

// TestBurstIsRateLimited logs a burst of refusals with two reasons. The first
// lines of each reason must be written, then lines of sampled requests up to
// their own limit, and the number of dropped lines must be logged.
func TestBurstIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, slog.LevelInfo)
		for i := range 1000 {
			l.Logger().Info("request refused", "id", i, "reason", "overloaded")
		}
		l.Logger().Info("request refused", "id", "rare", "reason", "noRoute")
		time.Sleep(2 * reportInterval)
		l.Close()
		require.Equal(t, lineBurst+sampledLineBurst, strings.Count(out.String(), "reason=overloaded"))
		require.Contains(t, out.String(), "id=0 reason=overloaded")
		require.Contains(t, out.String(), "id=rare reason=noRoute")
		require.Contains(t, out.String(), fmt.Sprintf(`msg="lines left out" count=%d`, 1000-lineBurst-sampledLineBurst))
	})
}

func TestLineFormat(t *testing.T) {
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

// failingWriter fails every write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("write failed") }

func TestOutputError(t *testing.T) {
	l := New(failingWriter{}, slog.LevelInfo)
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

// TestNodesSampleTheSameRequests logs the same requests, with different events,
// on two nodes that both exceed their rate limits. Both must keep the lines of
// the same requests.
func TestNodesSampleTheSameRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := map[string]map[string]bool{}
		for event, lines := range map[string]int{EventAttemptRefused: lineBurst, EventAttemptEnded: 3 * lineBurst} {
			var out bytes.Buffer
			l := New(&out, slog.LevelInfo)
			for i := range lines {
				l.Logger().Info(event, "id", fmt.Sprint("before-", i), "reason", "overloaded")
			}
			time.Sleep(reportInterval)
			l.Logger().Info(event, "id", "fill", "reason", "overloaded")
			for i := range sampleOneIn * sampledLineBurst / 2 {
				l.Logger().Info(event, "id", fmt.Sprint("request-", i), "reason", "overloaded")
			}
			l.Close()
			kept[event] = map[string]bool{}
			for i := range sampleOneIn * sampledLineBurst / 2 {
				id := fmt.Sprint("request-", i)
				kept[event][id] = isSampled(id) && strings.Contains(out.String(), "id="+id+" ")
			}
		}
		require.Equal(t, kept[EventAttemptRefused], kept[EventAttemptEnded])
		require.Contains(t, kept[EventAttemptEnded], "request-0")
		sampled := 0
		for _, ok := range kept[EventAttemptEnded] {
			if ok {
				sampled++
			}
		}
		require.Positive(t, sampled)
	})
}
