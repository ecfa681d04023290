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

// FlagError is an error in the flags or arguments of a command. The usage is
// printed after it.
type FlagError struct {
	err error
}

// FlagErrorf returns a FlagError with a formatted message.
func FlagErrorf(format string, args ...any) error {
	return &FlagError{fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *FlagError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *FlagError) Unwrap() error { return e.err }

// ErrSilent makes a command fail without a message, because it has already
// printed the reason.
var ErrSilent = errors.New("failed")

// ExecGroup is the action of a command that only has subcommands. It returns a
// FlagError, as the arguments name no subcommand.
func ExecGroup(_ context.Context, args []string) error {
	if len(args) > 0 {
		return FlagErrorf("unknown command %q", args[0])
	}
	return FlagErrorf("a command is required")
}

// ExactArgs returns a FlagError unless there are n arguments. The message says
// what was expected.
func ExactArgs(args []string, n int, what string) error {
	if len(args) != n {
		return FlagErrorf("expected %s, got %d arguments", what, len(args))
	}
	return nil
}

// MinArgs returns a FlagError if there are fewer than n arguments. The message
// says what was expected.
func MinArgs(args []string, n int, what string) error {
	if len(args) < n {
		return FlagErrorf("expected %s", what)
	}
	return nil
}
