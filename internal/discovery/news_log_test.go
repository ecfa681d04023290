package discovery

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestLogsTellNodesWithoutNewsFromCalmOnes guards against a fleet that learns nothing
// new of the platform and logs the same as one to which nothing happens.
func TestLogsTellNodesWithoutNewsFromCalmOnes(t *testing.T) {
	tests := map[string]struct {
		change func(s *fakeStore, sources []*fakeSource)
		event  string
	}{
		"calm":      {func(*fakeStore, []*fakeSource) {}, ""},
		"change":    {func(s *fakeStore, _ []*fakeSource) { s.write("new", false) }, ""},
		"went back": {func(s *fakeStore, _ []*fakeSource) { s.revision = 2 }, logging.EventRevisionFell},
		"went back, watches lose their history": {func(s *fakeStore, sources []*fakeSource) {
			s.revision = 2
			for _, source := range sources {
				source.historyLost = true
			}
		}, logging.EventRevisionFell},
		"watches without a response": {func(_ *fakeStore, sources []*fakeSource) {
			for _, source := range sources {
				source.watchesSilent = true
			}
		}, logging.EventWatchUnanswered},
	}
	events := []string{logging.EventRevisionFell, logging.EventWatchUnanswered, logging.EventItemRejected}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				s := &fakeStore{values: map[string]string{}}
				for _, key := range []string{"k1", "k2", "k3", "k4"} {
					s.write(key, false)
				}
				nodes := startLoggingFleet(t, s, &fakeRelay{}, []string{"a1", "a2", "b1"}, slog.New(slog.NewTextHandler(&out, nil)))
				time.Sleep(10 * time.Second)
				var sources []*fakeSource
				for _, n := range nodes {
					sources = append(sources, n.source)
				}
				sources[0].set(func() { tt.change(s, sources) })
				time.Sleep(8 * time.Second)
				stopNodes(nodes)
				for _, event := range events {
					require.Equal(t, event == tt.event, strings.Contains(out.String(), "msg=\""+event+"\""), event)
				}
			})
		})
	}
}

// TestRejectedItemsAreCounted guards against a configuration that a whole fleet refuses
// without a metric that shows it.
func TestRejectedItemsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	f := NewFollower(Config{
		Table: NewTable("a1", valueOrder{}), Members: membership.New("a1", "a", 1), Compiler: &rejectingCompiler{}, Logger: slog.New(slog.DiscardHandler),
		Scope: scope, FleetSize: 3, ReadBudget: 100,
	})
	now := time.Now()
	for i, value := range []string{"good", "bad", "good", "bad"} {
		f.Table.Merge(&vanillabarrow.Delta{AsOf: vanillabarrow.Version(i + 1), Items: []vanillabarrow.Item{item("config", value, vanillabarrow.Version(i+1))}}, now)
		f.apply(now)
	}
	require.EqualValues(t, 2, scope.Snapshot().Counters()["discovery.itemsRejected+"].Value())
}
