package cmdutil

import (
	"context"
	"errors"
	"fmt"
)

// Exit codes of the program.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
	ExitCancel = 130
)

// FlagError is an error in how a command was called.
type FlagError struct {
	err error
}

// FlagErrorf returns a FlagError.
func FlagErrorf(format string, args ...any) error {
	return &FlagError{fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *FlagError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *FlagError) Unwrap() error { return e.err }

// ErrSilent fails a command that has already said why.
var ErrSilent = errors.New("failed")

// ExecGroup is the action of a command that only has subcommands.
func ExecGroup(_ context.Context, args []string) error {
	if len(args) > 0 {
		return FlagErrorf("unknown command %q", args[0])
	}
	return FlagErrorf("a command is required")
}

// ExactArgs returns a FlagError unless there are n arguments.
func ExactArgs(args []string, n int, what string) error {
	if len(args) != n {
		return FlagErrorf("want %s, got %d arguments", what, len(args))
	}
	return nil
}

// MinArgs returns a FlagError when there are fewer than n arguments.
func MinArgs(args []string, n int, what string) error {
	if len(args) < n {
		return FlagErrorf("want %s", what)
	}
	return nil
}
