// Package patch compresses content, if possible with older content that the
// receiver holds as the dictionary.
package patch

import (
	"github.com/klauspost/compress/zstd"
)

// dictionaryID is the zstd dictionary ID of content that is compressed with a
// base as its dictionary.
const dictionaryID = 1

// fastestMaxBytes is the size in bytes of content and base together up to which
// the fastest encoder is used. Its table is too small to find matches in a
// larger base.
const fastestMaxBytes = 512 << 10

// Compress compresses content with the base, if there is one, as its
// dictionary. The options keep the encoder's memory small.
func Compress(content, base []byte) ([]byte, error) {
	level := zstd.SpeedFastest
	if len(content)+len(base) > fastestMaxBytes {
		level = zstd.SpeedDefault
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(level),
		zstd.WithWindowSize(windowSize(len(content) + len(base))),
		zstd.WithLowerEncoderMem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(content, nil), nil
}

// windowSize returns the smallest zstd window size of at least n bytes. The
// encoder's tables grow with the window.
func windowSize(n int) int {
	size := zstd.MinWindowSize
	for size < n {
		size *= 2
	}
	return size
}

// Decompress returns the content that was compressed with the given base. It
// fails if the content has more than maxBytes bytes, or does not match its
// checksum.
func Decompress(compressed, base []byte, maxBytes int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(maxBytes) + 1),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(compressed, nil)
}
