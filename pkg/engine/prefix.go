package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// PrefixBlockTokens is the number of tokens in one block of the prefix cache.
const PrefixBlockTokens = 16

// PromptTokens splits messages into tokens as the engines count them: one token
// for the role and one for each word of the content.
func PromptTokens(messages []api.Message) []string {
	var tokens []string
	for _, m := range messages {
		tokens = append(tokens, m.Role)
		tokens = append(tokens, strings.Fields(m.Content)...)
	}
	return tokens
}

// PrefixHashes returns one hash for each complete block of tokens. A hash covers
// the model and all tokens up to the end of its block, so equal hashes mean
// equal prefixes.
func PrefixHashes(model string, tokens []string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	hashes := make([]uint64, 0, len(tokens)/PrefixBlockTokens)
	for i, token := range tokens {
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(token)
		if (i+1)%PrefixBlockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
