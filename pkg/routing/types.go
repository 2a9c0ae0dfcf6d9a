package routing

import (
	"fmt"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

// MaxCandidates is the most servers that one decision scores.
const MaxCandidates = 8

// Server is a BackendServer with the settings of its Pool.
type Server struct {
	membership.BackendServer
	PricePerHour float64
	// Sequences is how many requests the server runs at once; 0 means the
	// default of Options.
	MaxSequences int
}

// Group is a set of servers that the same requests may use: the servers of a
// Route's pools, or those of a Service. A server may be in several groups.
type Group struct {
	Name    string
	Servers []Server
}

// Prefix is a leading part of a prompt.
type Prefix struct {
	Hash uint64
	// Tokens is the length of the whole leading part.
	Tokens int
}

// Query asks for a server.
type Query struct {
	Group string
	// Prefixes are the leading parts of the prompt, the shortest first; see
	// AppendPrefixes. They are empty, and PromptTokens is 0, for a call to a
	// plain service and for an attempt that brings its KV cache along.
	Prefixes []Prefix
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// ResumeTokens is the number of tokens that an earlier attempt emitted
	// and that the next server has to prefill after the prompt.
	ResumeTokens int
	// ExcludeNames are servers that must not be picked, such as those that
	// failed earlier attempts.
	ExcludeNames []string
	// Isolated asks for the server with the least work to lose, for a
	// request that has crashed a server.
	Isolated bool
}

// Reason says why a server was chosen.
type Reason string

// The reasons of a decision.
const (
	// ReasonPrefix: the server is expected to hold a prefix of the prompt.
	ReasonPrefix Reason = "prefix"
	// ReasonOwner: the server owns the prefix on the ring.
	ReasonOwner Reason = "owner"
	// ReasonLoad: the server has the best score of the sampled servers.
	ReasonLoad Reason = "load"
	// ReasonIsolated: the server has the least work to lose.
	ReasonIsolated Reason = "isolated"
	// ReasonOnly: the server was the only one found by a scan of the group.
	ReasonOnly Reason = "only"
)

// Decision is the chosen server with the alternatives that were weighed.
type Decision struct {
	Server membership.BackendServer
	Reason Reason
	// ExpectedCachedTokens is the expected prefix hit on the server.
	ExpectedCachedTokens int

	candidateCount int
	alternatives   [MaxCandidates]decision.Alternative
}

// Alternatives returns the weighed servers with their scores in seconds; a
// lower score is better. The chosen server is among them.
func (d *Decision) Alternatives() []decision.Alternative { return d.alternatives[:d.candidateCount] }

// Usage is what a server reports at the end of an answer.
type Usage struct {
	// PromptTokens is the length of the prefill and CachedTokens the part of
	// it that the prefix cache served.
	PromptTokens int
	CachedTokens int
	// Answer is the prefix that ends with the answer, with which the next turn
	// of the conversation begins; zero if it is not known.
	Answer Prefix
}

// NoServerError reports that no server of a group may be picked.
type NoServerError struct {
	Group string
	// Known is the number of servers of the group, Leaving and Excluded
	// those that may not be picked.
	Known    int
	Leaving  int
	Excluded int
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server available in group %q: %d known, %d leaving, %d excluded",
		e.Group, e.Known, e.Leaving, e.Excluded)
}

// UnknownGroupError reports a query for a group that Update has not named.
type UnknownGroupError struct{ Group string }

func (e *UnknownGroupError) Error() string { return fmt.Sprintf("unknown group %q", e.Group) }

// UnknownServerError reports an event for a server that the Router does not know.
type UnknownServerError struct{ Name string }

func (e *UnknownServerError) Error() string { return fmt.Sprintf("unknown server %q", e.Name) }

// DuplicateAttemptError reports an attempt that was started twice.
type DuplicateAttemptError struct{ AttemptID string }

func (e *DuplicateAttemptError) Error() string {
	return fmt.Sprintf("attempt %q is already outstanding", e.AttemptID)
}
