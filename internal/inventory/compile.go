package inventory

import (
	"errors"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Compiler compiles bundles. It caches decoded parts by digest, so that a new
// version only decodes the parts that changed. A Compiler is not safe for
// concurrent use.
type Compiler struct {
	cache map[string]*parsedDocument
}

// New returns a compiler with an empty cache.
func New() *Compiler {
	return &Compiler{cache: map[string]*parsedDocument{}}
}

// Compile decodes, combines and validates all documents of a bundle. The error
// is of type Problems. It lists the problems of all documents that can't be
// decoded, or else all problems of their combination.
func (c *Compiler) Compile(b *vanillabarrow.Bundle) (*vanillabarrow.Snapshot, error) {
	parts := b.Parts
	if len(parts) == 0 {
		parts = []vanillabarrow.Part{{Name: string(b.Topic), Digest: Digest(b.Root), Bytes: b.Root}}
	}
	docs, err := c.decode(parts)
	if err != nil {
		return nil, err
	}
	return build(b.Version, docs)
}

func (c *Compiler) decode(parts []vanillabarrow.Part) ([]*parsedDocument, error) {
	var problems Problems
	docs := make([]*parsedDocument, 0, len(parts))
	decoded := make(map[string]*parsedDocument, len(parts))
	for _, part := range parts {
		doc, ok := c.cache[part.Digest]
		if !ok || doc.name != part.Name {
			var err error
			if doc, err = parse(part.Name, part.Bytes); err != nil {
				var docProblems Problems
				errors.As(err, &docProblems)
				problems = append(problems, docProblems...)
				continue
			}
		}
		decoded[part.Digest] = doc
		docs = append(docs, doc)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	c.cache = decoded
	return docs, nil
}

// File is a document and the name by which errors refer to it.
type File struct {
	Name  string
	Bytes []byte
}

// CompileFiles compiles documents from files, before they are published. The
// error is of type Problems.
func CompileFiles(version vanillabarrow.Version, files []File) (*vanillabarrow.Snapshot, error) {
	b := &vanillabarrow.Bundle{Topic: vanillabarrow.TopicConfig, Version: version}
	for _, f := range files {
		b.Parts = append(b.Parts, vanillabarrow.Part{Name: f.Name, Digest: Digest(f.Bytes), Bytes: f.Bytes})
	}
	return New().Compile(b)
}

// BuildManifest returns a manifest that lists the files, and the values to
// publish for its parts. The values have no revision, because the platform
// assigns it.
func BuildManifest(files []File) (*Manifest, []vanillabarrow.Value) {
	m := &Manifest{Kind: KindManifest, Schema: SchemaVersion}
	var values []vanillabarrow.Value
	for _, f := range files {
		digest := Digest(f.Bytes)
		m.Parts = append(m.Parts, ManifestPart{Name: f.Name, Digest: digest})
		values = append(values, vanillabarrow.Value{Key: vanillabarrow.PartKeyPrefix + digest, Bytes: f.Bytes})
	}
	return m, values
}
