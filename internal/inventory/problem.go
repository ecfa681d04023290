package inventory

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Problem is one fault in a document.
type Problem struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error implements error in the form file:line: field: text.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		b.WriteString(":" + strconv.Itoa(p.Line))
	}
	if p.Field != "" {
		b.WriteString(": " + p.Field)
	}
	b.WriteString(": " + p.Text)
	return b.String()
}

// Problems is every fault found in a version.
type Problems []Problem

// Error implements error, one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

var lineInError = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// problemsFrom converts an error of the YAML decoder.
func problemsFrom(file string, err error) Problems {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return Problems{problemFrom(file, err.Error())}
	}
	problems := make(Problems, len(typeError.Errors))
	for i, text := range typeError.Errors {
		problems[i] = problemFrom(file, text)
	}
	return problems
}

func problemFrom(file, text string) Problem {
	match := lineInError.FindStringSubmatch(text)
	if match == nil {
		return Problem{File: file, Text: strings.TrimPrefix(text, "yaml: ")}
	}
	line, _ := strconv.Atoi(match[1])
	return Problem{File: file, Line: line, Text: match[2]}
}

// lineOf returns the line of list[index].field in a document, 0 when absent.
// It parses the document again, so it is meant for documents with problems.
func lineOf(root *yaml.Node, list string, index int, field string) int {
	node := root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := 0
	for name := range strings.SplitSeq(list, ".") {
		next := mapValue(node, name)
		if next == nil {
			return line
		}
		node, line = next, next.Line
	}
	if node.Kind != yaml.SequenceNode || index >= len(node.Content) {
		return line
	}
	node = node.Content[index]
	if value := mapValue(node, field); value != nil {
		return value.Line
	}
	return node.Line
}

func mapValue(node *yaml.Node, key string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

// place is where an element stands, to be resolved to a line on demand.
type place struct {
	doc   *parsed
	list  string
	index int
}

func (p place) problem(field, format string, args ...any) Problem {
	name := fmt.Sprintf("%s[%d]", p.list, p.index)
	if field != "" {
		name += "." + field
	}
	return Problem{
		File:  p.doc.name,
		Line:  lineOf(p.doc.node(), p.list, p.index, field),
		Field: name,
		Text:  fmt.Sprintf(format, args...),
	}
}
