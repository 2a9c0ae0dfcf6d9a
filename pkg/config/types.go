// Package config defines the configuration objects that operators publish, parses
// them strictly and validates each set as a whole.
package config

// CallMode specifies whether a call may be executed more than once.
type CallMode string

// The call modes.
const (
	CallRepeatable CallMode = "repeatable"
	CallOnceOnly   CallMode = "once_only"
)

// Model is a language model that inference engines serve.
type Model struct {
	Name          string `json:"name"`
	ContextTokens int    `json:"context_tokens"`
	WeightsBytes  int64  `json:"weights_bytes"`
}

// Adapter is a variant of a Model or of another Adapter. Callers request it by
// name in the same way as a Model.
type Adapter struct {
	Name  string `json:"name"`
	Model string `json:"model"`
}

// Pool is a group of BackendServers in one AvailabilityZone and of one machine
// class.
type Pool struct {
	Name             string  `json:"name"`
	AvailabilityZone string  `json:"availability_zone"`
	MachineClass     string  `json:"machine_class"`
	Purchase         string  `json:"purchase"`
	PricePerHour     float64 `json:"price_per_hour"`
	// Models lists the Models and Adapters that the pool's engines serve. It is
	// empty for a pool of plain services.
	Models []string `json:"models,omitempty"`
	// MaxHosts is the largest number of Hosts that may be bought for the pool.
	MaxHosts int `json:"max_hosts"`
	// SequencesPerHost is the number of requests that one engine runs in a
	// batch, or the number of calls that one Host of a plain service runs at
	// once. If a pool of plain services omits it, one call per Host is assumed.
	SequencesPerHost int `json:"sequences_per_host,omitempty"`
	// ChecksFencing specifies whether the pool's BackendServers reject an order
	// with an outdated fencing number.
	ChecksFencing bool `json:"checks_fencing"`
}

// BackendServer overrides the settings of its Pool for one server.
type BackendServer struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	ChecksFencing bool   `json:"checks_fencing"`
}

// Call is an operation of a Service that callers can invoke.
type Call struct {
	Name           string   `json:"name"`
	Path           string   `json:"path"`
	Mode           CallMode `json:"mode"`
	TimeoutSeconds float64  `json:"timeout_seconds"`
	// LookupPath is the path at which the service returns the outcome of an
	// earlier attempt, or empty if it has none.
	LookupPath string `json:"lookup_path,omitempty"`
	// DeduplicatesByKey specifies that the service itself runs a call with the
	// same idempotency key at most once.
	DeduplicatesByKey bool `json:"deduplicates_by_key,omitempty"`
	// RequiresKey rejects a once-only call without an idempotency key.
	RequiresKey bool `json:"requires_key,omitempty"`
}

// Service is a plain service: its BackendServers handle HTTP calls and run no
// inference engine.
type Service struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools"`
	Calls []Call   `json:"calls"`
}

// ClientAccount is a customer with its limits and its share of the capacity.
type ClientAccount struct {
	Name string `json:"name"`
	// KeyHashes holds the SHA-256 hashes of the account's API keys, in
	// lower-case hexadecimal.
	KeyHashes         []string `json:"key_hashes"`
	Weight            float64  `json:"weight"`
	MaxInFlight       int      `json:"max_in_flight"`
	RequestsPerSecond float64  `json:"requests_per_second"`
	// Routes and Services name those that the account may use; an empty list
	// allows all.
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
}

// Route sends requests for a Model or Adapter to Pools.
type Route struct {
	Name                  string   `json:"name"`
	Model                 string   `json:"model"`
	Pools                 []string `json:"pools"`
	Priority              int      `json:"priority"`
	DefaultTimeoutSeconds float64  `json:"default_timeout_seconds"`
	LatencyTarget         string   `json:"latency_target,omitempty"`
	// ShedByTarget rejects a request immediately if its first token would miss
	// the LatencyTarget, so that the other requests meet the target. Without
	// it, a request is rejected only if it cannot finish before its own
	// deadline.
	ShedByTarget bool `json:"shed_by_target,omitempty"`
	// Fallback is the Route that is tried when the Pools have no available
	// server.
	Fallback string `json:"fallback,omitempty"`
	// Deferred marks a Route for deferred requests, which may wait for capacity.
	Deferred bool `json:"deferred,omitempty"`
}

// LatencyTarget is a latency objective. It is met when at least the fraction
// Share of the responses stays within both times.
type LatencyTarget struct {
	Name                 string  `json:"name"`
	FirstTokenSeconds    float64 `json:"first_token_seconds"`
	BetweenTokensSeconds float64 `json:"between_tokens_seconds"`
	Share                float64 `json:"share"`
}

// Set is a complete configuration.
type Set struct {
	Models         []Model         `json:"models,omitempty"`
	Adapters       []Adapter       `json:"adapters,omitempty"`
	Pools          []Pool          `json:"pools,omitempty"`
	BackendServers []BackendServer `json:"backend_servers,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	ClientAccounts []ClientAccount `json:"client_accounts,omitempty"`
	Routes         []Route         `json:"routes,omitempty"`
	LatencyTargets []LatencyTarget `json:"latency_targets,omitempty"`
}

// Snapshot is a checked Set with the revision under which it was published. It is
// immutable.
type Snapshot struct {
	Revision uint64
	// BodyHash is the SHA-256 hash of the published body, in hexadecimal.
	BodyHash string
	Set      *Set

	index *index
}
