package mesh

import (
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// maxDecompressedBytes is the maximum size of a decompressed configuration from a
// peer. Platforms accept configurations of a few megabytes.
const maxDecompressedBytes = 16 << 20

// The encoder and the decoder are shared and reuse their buffers. Each processes
// one configuration at a time.
var (
	sharedEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	})
	sharedDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	})
)

// Compress compresses the source of a configuration for Message.Catalog.
func Compress(source []byte) ([]byte, error) {
	encoder, err := sharedEncoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return encoder.EncodeAll(source, nil), nil
}

// Decompress returns the source of a configuration compressed by Compress.
func Decompress(compressed []byte) ([]byte, error) {
	decoder, err := sharedDecoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	source, err := decoder.DecodeAll(compressed, nil)
	return source, errors.Annotate(err, "decompress configuration")
}
