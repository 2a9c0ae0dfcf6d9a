package mesh

import (
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// maxUnpackedBytes bounds a configuration that a peer sends; platforms accept
// some megabytes.
const maxUnpackedBytes = 16 << 20

// The coders keep their buffers: one packs or unpacks at a time.
var (
	packer = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	})
	unpacker = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	})
)

// Pack compresses a configuration for Message.Catalog.
func Pack(source []byte) ([]byte, error) {
	encoder, err := packer()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return encoder.EncodeAll(source, nil), nil
}

// Unpack returns the configuration that Pack has compressed.
func Unpack(packed []byte) ([]byte, error) {
	decoder, err := unpacker()
	if err != nil {
		return nil, errors.Trace(err)
	}
	source, err := decoder.DecodeAll(packed, nil)
	return source, errors.Annotate(err, "unpack configuration")
}
