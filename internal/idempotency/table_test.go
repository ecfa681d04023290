package idempotency

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const window = time.Minute

func use(key string) KeyUse { return KeyUse{Key: key, Fingerprint: 1, Window: window} }

func TestBeginAt(t *testing.T) {
	tests := map[string]struct {
		age     time.Duration
		key     func() string
		verdict vanillabarrow.Verdict
	}{
		"opaque key at a young gate":       {time.Second, func() string { return "k" }, vanillabarrow.VerdictMayHaveRun},
		"opaque key at an old gate":        {window, func() string { return "k" }, 0},
		"UUIDv7 made after the start":      {10 * time.Second, func() string { return uuid.Must(uuid.NewV7()).String() }, 0},
		"UUIDv7 made within the clockskew": {MaxClockSkew / 2, func() string { return uuid.Must(uuid.NewV7()).String() }, vanillabarrow.VerdictMayHaveRun},
		"UUIDv4 at a young gate":           {10 * time.Second, uuid.NewString, vanillabarrow.VerdictMayHaveRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := New(time.Now())
				time.Sleep(tt.age)
				_, err := table.Begin(t.Context(), use(tt.key()), time.Now())
				if tt.verdict == 0 {
					require.NoError(t, err)
					return
				}
				require.Equal(t, tt.verdict, vanillabarrow.AsRefusal(err).Verdict)
			})
		})
	}
}

// waiter makes the second use of a key.
type waiter struct {
	table    *Table
	response *vanillabarrow.Response
	err      error
	done     chan struct{}
}

func (w *waiter) run(ctx context.Context) {
	defer close(w.done)
	w.response, w.err = w.table.Begin(ctx, use("k"), time.Now())
}

func TestSecondUse(t *testing.T) {
	first := &vanillabarrow.Response{Status: 201}
	tests := map[string]struct {
		response *vanillabarrow.Response
		refusal  *vanillabarrow.Refusal
		runs     bool
		reason   vanillabarrow.Reason
	}{
		"first answers":      {first, nil, false, ""},
		"first did not run":  {nil, vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, ""), true, ""},
		"first may have run": {nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonDeadline, ""), false, vanillabarrow.ReasonDeadline},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := New(time.Now())
				time.Sleep(window)
				response, err := table.Begin(t.Context(), use("k"), time.Now())
				require.NoError(t, err)
				require.Nil(t, response)
				w := &waiter{table: table, done: make(chan struct{})}
				go w.run(t.Context())
				synctest.Wait()
				table.End("k", tt.response, tt.refusal)
				<-w.done
				require.Equal(t, tt.response, w.response)
				if tt.reason != "" {
					require.Equal(t, tt.reason, vanillabarrow.AsRefusal(w.err).Reason)
					return
				}
				require.NoError(t, w.err)
				require.Equal(t, tt.runs, w.response == nil)
			})
		})
	}
}

func TestSurrender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(time.Now())
		time.Sleep(window)
		require.Equal(t, vanillabarrow.AttemptFenced, table.Release(use("k"), 5, time.Now()).State)
		_, err := table.Begin(t.Context(), use("k"), time.Now())
		require.Equal(t, vanillabarrow.ReasonWrongTarget, vanillabarrow.AsRefusal(err).Reason)
		table.Reclaim("k", 5)
		_, err = table.Begin(t.Context(), use("k"), time.Now())
		require.Error(t, err, "the version that moved the key can't bring it back")
		table.Reclaim("k", 6)
		_, err = table.Begin(t.Context(), use("k"), time.Now())
		require.NoError(t, err)
		require.Equal(t, vanillabarrow.AttemptRunning, table.Release(use("k"), 7, time.Now()).State)
		table.End("k", &vanillabarrow.Response{Status: 200}, nil)
		require.Equal(t, vanillabarrow.AttemptFinished, table.Release(use("k"), 7, time.Now()).State)
		other := use("k")
		other.Fingerprint = 2
		require.Equal(t, vanillabarrow.AttemptFailed, table.Release(other, 7, time.Now()).State)
	})
}

func TestKeysAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewSized(time.Now(), 3)
		time.Sleep(window)
		for i := range 3 {
			_, err := table.Begin(t.Context(), use(fmt.Sprint(i)), time.Now())
			require.NoError(t, err)
			table.End(fmt.Sprint(i), &vanillabarrow.Response{}, nil)
		}
		_, err := table.Begin(t.Context(), use("more"), time.Now())
		require.Equal(t, vanillabarrow.ReasonTableFull, vanillabarrow.AsRefusal(err).Reason)
		time.Sleep(window)
		_, err = table.Begin(t.Context(), use("more"), time.Now())
		require.NoError(t, err)
		require.Equal(t, 1, table.Stats().Keys)
	})
}

func TestClaim(t *testing.T) {
	now := time.Now()
	key := "k"
	order := RankTargets(key, []string{"a", "b", "c"})
	homes := NewOwnerHistory()
	require.False(t, homes.Lookup(key, order[0], window, now).IsOwner)
	homes.Update([]string{"a", "b", "c"}, 1, now)
	require.Equal(t, Ownership{IsOwner: true, Version: 1}, homes.Lookup(key, order[0], window, now))
	require.False(t, homes.Lookup(key, order[1], window, now).IsOwner)
	rest := RankTargets("any", order[1:])
	homes.Update(rest, 2, now)
	claim := homes.Lookup(key, order[1], window, now)
	require.Equal(t, Ownership{IsOwner: true, Version: 2, PreviousOwners: []string{order[0]}}, claim)
	require.Empty(t, homes.Lookup(key, order[1], window, now.Add(window)).PreviousOwners)
}
