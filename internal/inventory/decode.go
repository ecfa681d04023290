package inventory

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"gopkg.in/yaml.v3"
)

// Digest returns the digest by which manifests name a part.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// parsed is a decoded document with its origin.
type parsed struct {
	name  string
	bytes []byte
	doc   Document
	tree  *yaml.Node
}

func (p *parsed) node() *yaml.Node {
	if p.tree == nil {
		p.tree = &yaml.Node{}
		_ = yaml.Unmarshal(p.bytes, p.tree)
	}
	return p.tree
}

// decodeStrict decodes exactly one YAML document without unknown fields.
func decodeStrict(name string, b []byte, into any) error {
	if len(b) > MaxValueBytes {
		return Problems{{File: name, Text: fmt.Sprintf("value of %d bytes is larger than %d", len(b), MaxValueBytes)}}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(b))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		if errors.Is(err, io.EOF) {
			return Problems{{File: name, Text: "document is empty"}}
		}
		return problemsFrom(name, err)
	}
	var rest yaml.Node
	if err := decoder.Decode(&rest); !errors.Is(err, io.EOF) {
		return Problems{{File: name, Line: rest.Line, Text: "more than one document"}}
	}
	return nil
}

func checkHead(name, kind, wantKind string, schema int) error {
	if kind != wantKind {
		return Problems{{File: name, Field: "kind", Text: fmt.Sprintf("is %q, want %q", kind, wantKind)}}
	}
	if schema != SchemaVersion {
		return Problems{{File: name, Field: "schema", Text: fmt.Sprintf("is %d, this build reads %d", schema, SchemaVersion)}}
	}
	return nil
}

// DecodeDocument decodes one configuration document strictly. The error is of
// type Problems.
func DecodeDocument(name string, b []byte) (*Document, error) {
	p, err := parse(name, b)
	if err != nil {
		return nil, err
	}
	return &p.doc, nil
}

func parse(name string, b []byte) (*parsed, error) {
	p := &parsed{name: name, bytes: b}
	if err := decodeStrict(name, b, &p.doc); err != nil {
		return nil, err
	}
	if err := checkHead(name, p.doc.Kind, KindConfig, p.doc.Schema); err != nil {
		return nil, err
	}
	return p, nil
}

// DecodeManifest decodes a manifest strictly. The error is of type Problems.
func DecodeManifest(name string, b []byte) (*Manifest, error) {
	m := &Manifest{}
	if err := decodeStrict(name, b, m); err != nil {
		return nil, err
	}
	if err := checkHead(name, m.Kind, KindManifest, m.Schema); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, part := range m.Parts {
		field := fmt.Sprintf("parts[%d]", i)
		switch {
		case part.Name == "":
			return nil, Problems{{File: name, Field: field + ".name", Text: "is empty"}}
		case seen[part.Name]:
			return nil, Problems{{File: name, Field: field + ".name", Text: fmt.Sprintf("%q is listed twice", part.Name)}}
		case len(part.Digest) != hex.EncodedLen(sha256.Size) || strings.Trim(part.Digest, "0123456789abcdef") != "":
			return nil, Problems{{File: name, Field: field + ".digest", Text: "is not a sha256 in lower-case hex"}}
		}
		seen[part.Name] = true
	}
	return m, nil
}

// IsManifest reports whether the value is a manifest rather than a document.
func IsManifest(b []byte) bool {
	var head struct {
		Kind string `yaml:"kind"`
	}
	// The head is near the start, so a large document is not decoded twice.
	const headBytes = 256
	if len(b) > headBytes {
		b = b[:headBytes]
		if i := bytes.LastIndexByte(b, '\n'); i > 0 {
			b = b[:i]
		}
	}
	for line := range bytes.Lines(b) {
		if bytes.HasPrefix(line, []byte("kind:")) {
			return yaml.Unmarshal(line, &head) == nil && head.Kind == KindManifest
		}
	}
	return false
}
