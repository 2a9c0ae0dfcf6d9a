package routing

import (
	"fmt"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

// MaxCandidates is the maximum number of servers scored for one decision.
const MaxCandidates = 8

// Server is a BackendServer with the settings of its Pool.
type Server struct {
	membership.BackendServer
	PricePerHour float64
	// MaxSequences is the maximum number of requests that the server runs at
	// the same time; 0 selects Options.MaxSequences.
	MaxSequences int
}

// Group is a set of servers that can run the same requests: the servers of a
// Route's pools, or those of a Service. A server can be in several groups.
type Group struct {
	Name    string
	Servers []Server
}

// Prefix is a prefix of a prompt, identified by its hash.
type Prefix struct {
	Hash uint64
	// Tokens is the length of the prefix in tokens.
	Tokens int
}

// Query describes the request for which a server is chosen.
type Query struct {
	Group string
	// Prefixes are the prefixes of the prompt, shortest first; see
	// AppendPrefixes. They are empty, and PromptTokens is 0, for a call to a
	// plain service and for an attempt whose KV cache is transferred to the
	// server.
	Prefixes []Prefix
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int
	// ResumeTokens is the number of tokens that an earlier attempt emitted.
	// The next server has to prefill them after the prompt.
	ResumeTokens int
	// ExcludeNames are the names of servers that must not be picked, such as
	// those on which earlier attempts failed.
	ExcludeNames []string
	// Isolated selects a server with as few other requests as possible. It is
	// set for a request that has crashed a server, to limit the work that
	// another crash would lose.
	Isolated bool
}

// Reason is why a server was chosen.
type Reason string

// Reasons of a Decision.
const (
	// ReasonPrefix means that the server is expected to have a prefix of the
	// prompt in its cache.
	ReasonPrefix Reason = "prefix"
	// ReasonOwner means that the server owns the prefix on the ring, or is the
	// next one on the ring within the load bound.
	ReasonOwner Reason = "owner"
	// ReasonLoad means that the server was sampled and has the best score.
	ReasonLoad Reason = "load"
	// ReasonIsolated means that the server has nearly the least load, so that
	// a crash would lose little work.
	ReasonIsolated Reason = "isolated"
	// ReasonOnly means that there were no other candidates and a scan of the
	// group found this server.
	ReasonOnly Reason = "only"
)

// Decision is the chosen server with the alternatives that were scored.
type Decision struct {
	Server membership.BackendServer
	Reason Reason
	// ExpectedCachedTokens is the number of prompt tokens that the server is
	// expected to serve from its prefix cache.
	ExpectedCachedTokens int

	candidateCount int
	alternatives   [MaxCandidates]decision.Alternative
}

// Alternatives returns the scored servers, including the chosen one. A lower
// score is better. Scores are in seconds, for an isolated request in requests.
func (d *Decision) Alternatives() []decision.Alternative { return d.alternatives[:d.candidateCount] }

// Usage is the token usage that a server reports at the end of an answer.
type Usage struct {
	// PromptTokens is the length of the prefill, and CachedTokens the part of
	// it that was served from the prefix cache.
	PromptTokens int
	CachedTokens int
	// Answer is the prefix up to and including the answer. The next turn of
	// the conversation starts with it. It is zero if it is not known.
	Answer Prefix
}

// NoServerError reports that no server of a group is eligible for a request.
type NoServerError struct {
	Group string
	// Known is the number of servers in the group. Leaving and Excluded count
	// those of them that are not eligible.
	Known    int
	Leaving  int
	Excluded int
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server available in group %q: %d known, %d leaving, %d excluded",
		e.Group, e.Known, e.Leaving, e.Excluded)
}

// UnknownGroupError reports a query for a group that is not in the last Update.
type UnknownGroupError struct{ Group string }

func (e *UnknownGroupError) Error() string { return fmt.Sprintf("unknown group %q", e.Group) }

// UnknownServerError reports an event for a server that is not in the Router.
type UnknownServerError struct{ Name string }

func (e *UnknownServerError) Error() string { return fmt.Sprintf("unknown server %q", e.Name) }

// DuplicateAttemptError reports an attempt that was started twice.
type DuplicateAttemptError struct{ AttemptID string }

func (e *DuplicateAttemptError) Error() string {
	return fmt.Sprintf("attempt %q is already outstanding", e.AttemptID)
}
