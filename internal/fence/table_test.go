package fence

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

var start = time.Unix(1000, 0)

func response(n int) *vanillabarrow.Response { return &vanillabarrow.Response{Body: make([]byte, n)} }

func TestAskAfter(t *testing.T) {
	tests := map[string]struct {
		do     func(table *Table, token vanillabarrow.Token)
		ask    time.Duration
		state  vanillabarrow.AttemptState
		stored bool
	}{
		"nothing arrived":      {func(*Table, vanillabarrow.Token) {}, 0, vanillabarrow.AttemptFenced, false},
		"it arrived":           {func(f *Table, k vanillabarrow.Token) { _ = f.Begin("a", k, true, start) }, 0, vanillabarrow.AttemptRunning, false},
		"it finished":          {end(response(3), nil), 0, vanillabarrow.AttemptFinished, true},
		"its answer was large": {end(response(MaxStoredBodyBytes+1), nil), 0, vanillabarrow.AttemptFinished, false},
		"it was refused":       {end(nil, vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "")), 0, vanillabarrow.AttemptFenced, false},
		"it may have run":      {end(nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonDeadline, "")), 0, vanillabarrow.AttemptFailed, false},
		"long after it ended":  {end(response(3), nil), (RetainedEpochs + 1) * EpochLength, vanillabarrow.AttemptUnknown, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := New("inc", start)
			token := table.Token(start)
			tt.do(table, token)
			report := table.Query("a", token, start.Add(tt.ask))
			require.Equal(t, tt.state, report.State)
			require.Equal(t, tt.stored, report.Response != nil)
		})
	}
}

func end(a *vanillabarrow.Response, r *vanillabarrow.Refusal) func(table *Table, token vanillabarrow.Token) {
	return func(table *Table, token vanillabarrow.Token) {
		_ = table.Begin("a", token, true, start)
		table.Finish("a", a, r)
	}
}

func TestBegin(t *testing.T) {
	token := vanillabarrow.Token{Incarnation: "inc"}
	tests := map[string]struct {
		before  func(table *Table)
		token   vanillabarrow.Token
		at      time.Duration
		verdict vanillabarrow.Verdict
		reason  vanillabarrow.Reason
	}{
		"second copy":         {func(f *Table) { _ = f.Begin("a", token, true, start) }, token, 0, vanillabarrow.VerdictMayHaveRun, vanillabarrow.ReasonDuplicate},
		"after a question":    {func(f *Table) { f.Query("a", token, start) }, token, 0, vanillabarrow.VerdictNotRun, vanillabarrow.ReasonFenced},
		"another incarnation": {func(*Table) {}, vanillabarrow.Token{Incarnation: "old"}, 0, vanillabarrow.VerdictNotRun, vanillabarrow.ReasonStaleToken},
		"old epoch":           {func(*Table) {}, token, RetainedEpochs * EpochLength, vanillabarrow.VerdictNotRun, vanillabarrow.ReasonStaleToken},
		"table is full": {func(f *Table) {
			for i := range 4 {
				_ = f.Begin(fmt.Sprint(i), token, true, start)
			}
		}, token, 0, vanillabarrow.VerdictMayHaveRun, vanillabarrow.ReasonTableFull},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewSized("inc", start, 4)
			tt.before(table)
			refusal := vanillabarrow.AsRefusal(table.Begin("a", tt.token, true, start.Add(tt.at)))
			require.Equal(t, tt.verdict, refusal.Verdict)
			require.Equal(t, tt.reason, refusal.Reason)
			if tt.reason == vanillabarrow.ReasonStaleToken {
				require.Equal(t, table.Token(start.Add(tt.at)), refusal.Token)
			}
		})
	}
}

func TestStoredAnswersAreBounded(t *testing.T) {
	table := New("inc", start)
	token := table.Token(start)
	for i := range 200 {
		id := fmt.Sprint(i)
		require.NoError(t, table.Begin(id, token, true, start))
		table.Finish(id, response(MaxStoredBodyBytes), nil)
		require.LessOrEqual(t, table.Stats(start).ResponseBytes, MaxStoredBytes)
	}
	require.Nil(t, table.Query("0", token, start).Response)
	require.NotNil(t, table.Query("199", token, start).Response)
	later := start.Add((RetainedEpochs + 1) * EpochLength)
	table.Query("x", token, later)
	require.Zero(t, table.Stats(later).Records)
	require.Zero(t, table.Stats(later).ResponseBytes)
}
