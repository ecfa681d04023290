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

// Digest returns the SHA-256 digest in hexadecimal that identifies a part.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// parsedDocument is a decoded document with its file name and content.
type parsedDocument struct {
	name  string
	bytes []byte
	doc   Document
	root  *yaml.Node
}

// rootNode returns the YAML nodes of the document, which hold the line numbers.
// They are only needed to report problems, and parsed on first use.
func (p *parsedDocument) rootNode() *yaml.Node {
	if p.root == nil {
		p.root = &yaml.Node{}
		_ = yaml.Unmarshal(p.bytes, p.root)
	}
	return p.root
}

// decodeStrict decodes a value that must consist of exactly one YAML document
// without unknown fields, in at most MaxValueBytes. The error is of type
// Problems.
func decodeStrict(name string, b []byte, into any) error {
	if len(b) > MaxValueBytes {
		return Problems{{File: name, Text: fmt.Sprintf("has %d bytes, must have at most %d", len(b), MaxValueBytes)}}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(b))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		if errors.Is(err, io.EOF) {
			return Problems{{File: name, Text: "document is empty"}}
		}
		return problemsFromYAMLError(name, err)
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return Problems{{File: name, Line: extra.Line, Text: "contains more than one YAML document, must be one"}}
	}
	return nil
}

func checkKindAndSchema(name, kind, wantKind string, schema int) error {
	if kind != wantKind {
		return Problems{{File: name, Field: "kind", Text: fmt.Sprintf("is %q, must be %q", kind, wantKind)}}
	}
	if schema != SchemaVersion {
		return Problems{{File: name, Field: "schema", Text: fmt.Sprintf("is %d, must be %d, the only version that this build supports", schema, SchemaVersion)}}
	}
	return nil
}

// DecodeDocument decodes a configuration document. Unknown fields are errors.
// The error is of type Problems.
func DecodeDocument(name string, b []byte) (*Document, error) {
	p, err := parse(name, b)
	if err != nil {
		return nil, err
	}
	return &p.doc, nil
}

func parse(name string, b []byte) (*parsedDocument, error) {
	p := &parsedDocument{name: name, bytes: b}
	if err := decodeStrict(name, b, &p.doc); err != nil {
		return nil, err
	}
	if err := checkKindAndSchema(name, p.doc.Kind, KindConfig, p.doc.Schema); err != nil {
		return nil, err
	}
	return p, nil
}

// DecodeManifest decodes a manifest. Unknown fields are errors. The error is of
// type Problems.
func DecodeManifest(name string, b []byte) (*Manifest, error) {
	m := &Manifest{}
	if err := decodeStrict(name, b, m); err != nil {
		return nil, err
	}
	if err := checkKindAndSchema(name, m.Kind, KindManifest, m.Schema); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, part := range m.Parts {
		field := fmt.Sprintf("parts[%d]", i)
		switch {
		case part.Name == "":
			return nil, Problems{{File: name, Field: field + ".name", Text: "must not be empty"}}
		case seen[part.Name]:
			return nil, Problems{{File: name, Field: field + ".name", Text: fmt.Sprintf("%q is listed twice", part.Name)}}
		case len(part.Digest) != hex.EncodedLen(sha256.Size) || strings.Trim(part.Digest, "0123456789abcdef") != "":
			return nil, Problems{{File: name, Field: field + ".digest", Text: fmt.Sprintf("is %q, must be a SHA-256 digest in lower-case hexadecimal", part.Digest)}}
		}
		seen[part.Name] = true
	}
	return m, nil
}

// IsManifest reports whether the value is a manifest rather than a
// configuration document. Only the first 256 bytes are searched for the field
// kind, so that a large document need not be decoded twice.
func IsManifest(b []byte) bool {
	var head struct {
		Kind string `yaml:"kind"`
	}
	const maxHeadBytes = 256
	if len(b) > maxHeadBytes {
		b = b[:maxHeadBytes]
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
