package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// DefaultMaxTokens is the length limit of an answer whose request sets none.
const DefaultMaxTokens = 64

// The finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// syllables are the parts of the generated tokens.
var syllables = []string{
	"ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
}

// syllablesPerToken gives 65,536 different tokens. A token of another answer or
// offset is therefore rarely equal by chance, so that tests detect misplaced tokens.
const syllablesPerToken = 4

// ExpectedTokens returns the complete answer to messages. Its length is between
// half of maxTokens and maxTokens.
func ExpectedTokens(model string, messages []api.Message, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	seed := answerSeed(model, messages)
	length := maxTokens - int(seed%uint64(maxTokens/2+1))
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = answerToken(seed, i)
	}
	return tokens
}

// ExpectedText returns the complete answer as one string.
func ExpectedText(model string, messages []api.Message, maxTokens int) string {
	return strings.Join(ExpectedTokens(model, messages, maxTokens), "")
}

// ExpectedFinish returns the finish reason of the answer.
func ExpectedFinish(model string, messages []api.Message, maxTokens int) string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	if len(ExpectedTokens(model, messages, maxTokens)) == maxTokens {
		return FinishLength
	}
	return FinishStop
}

// answerSeed returns a hash of the model and messages that determines the answer.
func answerSeed(model string, messages []api.Message) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	for _, m := range messages {
		_, _ = digest.WriteString("\x00" + m.Role + "\x00" + m.Content)
	}
	return digest.Sum64()
}

// answerToken returns the token of an answer at an offset.
func answerToken(seed uint64, offset int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(offset))
	h := xxhash.Sum64(key[:])
	var b strings.Builder
	for range syllablesPerToken {
		b.WriteString(syllables[h%uint64(len(syllables))])
		h /= uint64(len(syllables))
	}
	b.WriteByte(' ')
	return b.String()
}
