package inventory

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Problem is an error in a document. Line is 0 and Field is empty if they are not
// known.
type Problem struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error implements error. The format is "file:line: field: text", without a
// line or field that is not known.
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

// Problems lists all problems found in a version.
type Problems []Problem

// Error implements error. Each problem is on a line of its own.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

var yamlErrorLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// problemsFromYAMLError converts an error of the YAML decoder, which has the
// line in its text.
func problemsFromYAMLError(file string, err error) Problems {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return Problems{problemFromYAMLError(file, err.Error())}
	}
	problems := make(Problems, len(typeError.Errors))
	for i, text := range typeError.Errors {
		problems[i] = problemFromYAMLError(file, text)
	}
	return problems
}

func problemFromYAMLError(file, text string) Problem {
	match := yamlErrorLine.FindStringSubmatch(text)
	if match == nil {
		return Problem{File: file, Text: strings.TrimPrefix(text, "yaml: ")}
	}
	line, _ := strconv.Atoi(match[1])
	return Problem{File: file, Line: line, Text: match[2]}
}

// lineOf returns the line of list[index].field in a document, or of the closest
// enclosing element that is present, or 0 if there is none.
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

// location is the position of an element in a document. The line is looked up
// only when a problem is reported.
type location struct {
	doc   *parsedDocument
	list  string
	index int
}

func (p location) problem(field, format string, args ...any) Problem {
	name := fmt.Sprintf("%s[%d]", p.list, p.index)
	if field != "" {
		name += "." + field
	}
	return Problem{
		File:  p.doc.name,
		Line:  lineOf(p.doc.rootNode(), p.list, p.index, field),
		Field: name,
		Text:  fmt.Sprintf(format, args...),
	}
}
