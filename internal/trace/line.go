// Package trace reconstructs the timeline of one request from the logs of
// several nodes, and counts the refusals in them.
package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// linePrefix starts every log line. Any text before it was added by a log
	// collector.
	linePrefix = "time="
	// maxLineBytes is the maximum length of a line. The lines of nodes are
	// shorter.
	maxLineBytes = 1 << 20
)

// Field is a key-value pair of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is a line of a node's log.
type Line struct {
	Time  time.Time `json:"time"`
	Level string    `json:"level"`
	Event string    `json:"event"`
	VM    string    `json:"vm"`
	// Fields holds the other fields, in the order of the line.
	Fields []Field `json:"fields"`
}

// Get returns the value of a field, or an empty string if the line does not
// have it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String returns Fields as key=value pairs.
func (l *Line) String() string {
	pairs := make([]string, 0, len(l.Fields))
	for _, f := range l.Fields {
		value := f.Value
		if strings.ContainsAny(value, " \"=") {
			value = strconv.Quote(value)
		}
		pairs = append(pairs, f.Key+"="+value)
	}
	return strings.Join(pairs, " ")
}

// Read calls visit for each log line of a node in r. It returns the number of
// other lines, which are skipped, and fails on a line over the maximum length.
func Read(r io.Reader, visit func(*Line)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		visit(line)
	}
	return skipped, scanner.Err()
}

// ReadFiles calls visit for each log line of a node in the named files, whose
// content read returns.
func ReadFiles(names []string, read func(name string) ([]byte, error), visit func(*Line)) error {
	for _, name := range names {
		b, err := read(name)
		if err != nil {
			return err
		}
		if _, err := Read(bytes.NewReader(b), visit); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// parse decodes a line. It returns false if the text is not a log line of a
// node.
func parse(text string) (*Line, bool) {
	i := strings.Index(text, linePrefix)
	if i < 0 {
		return nil, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[i:]))
	line := &Line{}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			if err := line.setField(string(decoder.Key()), string(decoder.Value())); err != nil {
				return nil, false
			}
		}
	}
	return line, decoder.Err() == nil && line.Event != ""
}

func (l *Line) setField(key, value string) error {
	switch key {
	case "time":
		parsed, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return fmt.Errorf("time %q is not in RFC 3339 format: %w", value, err)
		}
		l.Time = parsed
	case "level":
		l.Level = value
	case "msg":
		l.Event = value
	case "vm":
		l.VM = value
	default:
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
	}
	return nil
}
