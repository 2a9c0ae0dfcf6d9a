package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

const (
	// MaxPrefixes is the maximum number of prefixes tracked for a prompt. Of a
	// longer conversation, the first ones (shared with other requests) and the
	// last ones (shared with its own earlier turns) are kept.
	MaxPrefixes           = 8
	retainedFirstPrefixes = 3
	// bytesPerToken is the usual mean length of a token in prose.
	bytesPerToken = 4
	// tokensPerMessage accounts for the role and the separators of a message.
	tokensPerMessage = 4
)

// EstimateTokens returns the estimated number of tokens of a text.
func EstimateTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// ChainHash returns the hash of a prefix extended by a message. The hash before
// the first message is xxhash.Sum64String of the model's name. Cache events of
// engines that hash prefixes in the same way match the prefixes of a Query.
func ChainHash(previous uint64, m api.Message) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], previous)
	_, _ = d.Write(buffer[:])
	_, _ = d.WriteString(m.Role)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(m.Content)
	return d.Sum64()
}

// AppendPrefixes appends the prefixes of a chat to prefixes, one ending at each
// message, at most MaxPrefixes in all. It also returns the estimated length of
// the prompt in tokens.
func AppendPrefixes(prefixes []Prefix, model string, messages []api.Message) ([]Prefix, int) {
	hash, tokens, first := xxhash.Sum64String(model), 0, len(prefixes)
	for _, m := range messages {
		hash = ChainHash(hash, m)
		tokens += tokensPerMessage + EstimateTokens(m.Content)
		prefixes = appendBounded(prefixes, first, Prefix{Hash: hash, Tokens: tokens})
	}
	return prefixes, tokens
}

// appendBounded appends a prefix. When there are MaxPrefixes already, it drops
// the oldest one after the first retainedFirstPrefixes.
func appendBounded(prefixes []Prefix, first int, p Prefix) []Prefix {
	if len(prefixes)-first < MaxPrefixes {
		return append(prefixes, p)
	}
	tail := prefixes[first+retainedFirstPrefixes:]
	copy(tail, tail[1:])
	tail[len(tail)-1] = p
	return prefixes
}
