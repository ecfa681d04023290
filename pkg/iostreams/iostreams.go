// Package iostreams holds the input and output streams of a command, so that
// tests can replace them.
package iostreams

import (
	"bytes"
	"io"
	"os"

	"golang.org/x/term"
)

// IOStreams are the streams of one command.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer

	terminal bool
}

// System returns the standard streams of the process.
func System() *IOStreams {
	return &IOStreams{
		In:       os.Stdin,
		Out:      os.Stdout,
		ErrOut:   os.Stderr,
		terminal: term.IsTerminal(int(os.Stdout.Fd())),
	}
}

// Test returns streams that read from and write to the returned buffers.
func Test() (streams *IOStreams, in, out, errOut *bytes.Buffer) {
	in, out, errOut = &bytes.Buffer{}, &bytes.Buffer{}, &bytes.Buffer{}
	return &IOStreams{In: in, Out: out, ErrOut: errOut}, in, out, errOut
}

// IsTerminal reports whether the output is a terminal.
func (s *IOStreams) IsTerminal() bool { return s.terminal }

// SetTerminal overrides whether the output is a terminal.
func (s *IOStreams) SetTerminal(terminal bool) { s.terminal = terminal }
