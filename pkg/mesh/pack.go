package mesh

import (
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// maxDecompressedBytes bounds a configuration that a peer sends; platforms accept
// some megabytes.
const maxDecompressedBytes = 16 << 20

// The coders keep their buffers: one packs or unpacks at a time.
var (
	sharedEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	})
	sharedDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	})
)

// Pack compresses a configuration for Message.Catalog.
func Compress(source []byte) ([]byte, error) {
	encoder, err := sharedEncoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return encoder.EncodeAll(source, nil), nil
}

// Unpack returns the configuration that Pack has compressed.
func Decompress(compressed []byte) ([]byte, error) {
	decoder, err := sharedDecoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	source, err := decoder.DecodeAll(compressed, nil)
	return source, errors.Annotate(err, "unpack configuration")
}
