package cmdutil

// StandardInput is the name that stands for standard input in place of a file.
const StandardInput = "-"

// CheckInputs returns a FlagError if more than one of the names is
// StandardInput.
func CheckInputs(names []string) error {
	n := 0
	for _, name := range names {
		if name == StandardInput {
			n++
		}
	}
	if n > 1 {
		return FlagErrorf("the input %q is given %d times: standard input can be read only once", StandardInput, n)
	}
	return nil
}
