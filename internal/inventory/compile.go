package inventory

import (
	"errors"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Compiler compiles bundles. It keeps decoded parts by digest, so that a
// version costs only what it changes. A Compiler is not safe for concurrent
// use.
type Compiler struct {
	cache map[string]*parsed
}

// New returns an empty compiler.
func New() *Compiler {
	return &Compiler{cache: map[string]*parsed{}}
}

// Compile decodes, joins and checks all documents of a bundle. The error is of
// type Problems and lists every fault.
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

func (c *Compiler) decode(parts []vanillabarrow.Part) ([]*parsed, error) {
	var problems Problems
	docs := make([]*parsed, 0, len(parts))
	fresh := make(map[string]*parsed, len(parts))
	for _, part := range parts {
		doc, ok := c.cache[part.Digest]
		if !ok || doc.name != part.Name {
			var err error
			if doc, err = parse(part.Name, part.Bytes); err != nil {
				var found Problems
				errors.As(err, &found)
				problems = append(problems, found...)
				continue
			}
		}
		fresh[part.Digest] = doc
		docs = append(docs, doc)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	c.cache = fresh
	return docs, nil
}

// File is one document with the name to show in errors.
type File struct {
	Name  string
	Bytes []byte
}

// CompileFiles compiles documents that are not published yet.
func CompileFiles(version vanillabarrow.Version, files []File) (*vanillabarrow.Snapshot, error) {
	b := &vanillabarrow.Bundle{Topic: vanillabarrow.TopicConfig, Version: version}
	for _, f := range files {
		b.Parts = append(b.Parts, vanillabarrow.Part{Name: f.Name, Digest: Digest(f.Bytes), Bytes: f.Bytes})
	}
	return New().Compile(b)
}

// BuildManifest returns the manifest of the files and their values, without
// revisions.
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
