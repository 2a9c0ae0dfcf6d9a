// Package config defines the objects that operators publish, parses them
// strictly and checks the whole set together.
package config

// CallMode says whether a call may be repeated.
type CallMode string

// The call modes.
const (
	CallRepeatable CallMode = "repeatable"
	CallOnceOnly   CallMode = "once_only"
)

// Model is a model that engines serve.
type Model struct {
	Name          string `json:"name"`
	ContextTokens int    `json:"context_tokens"`
	WeightsBytes  int64  `json:"weights_bytes"`
}

// Adapter is a variant of a Model or of another Adapter; callers name it like
// a model.
type Adapter struct {
	Name  string `json:"name"`
	Model string `json:"model"`
}

// Pool is a group of BackendServers of one AvailabilityZone and machine class.
type Pool struct {
	Name             string  `json:"name"`
	AvailabilityZone string  `json:"availability_zone"`
	MachineClass     string  `json:"machine_class"`
	Purchase         string  `json:"purchase"`
	PricePerHour     float64 `json:"price_per_hour"`
	// Models lists what engines of the pool serve; empty for a pool of plain
	// services.
	Models []string `json:"models,omitempty"`
	// MaxHosts bounds how many Hosts may be bought.
	MaxHosts int `json:"max_hosts"`
	// SequencesPerHost is how many requests one engine runs in a batch, or how
	// many calls one Host of a plain service takes at once. A pool of plain
	// services that leaves it out counts for one call per Host.
	SequencesPerHost int `json:"sequences_per_host,omitempty"`
	// ChecksFencing says whether its BackendServers refuse an order with an
	// old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
}

// BackendServer overrides the Pool's settings for one server.
type BackendServer struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	ChecksFencing bool   `json:"checks_fencing"`
}

// Call is one call of a Service.
type Call struct {
	Name           string   `json:"name"`
	Path           string   `json:"path"`
	Mode           CallMode `json:"mode"`
	TimeoutSeconds float64  `json:"timeout_seconds"`
	// LookupPath answers what became of an attempt; empty if there is none.
	LookupPath string `json:"lookup_path,omitempty"`
	// DeduplicatesByKey says that the service itself runs a key at most once.
	DeduplicatesByKey bool `json:"deduplicates_by_key,omitempty"`
	// RequiresKey refuses a once-only call that comes without a key.
	RequiresKey bool `json:"requires_key,omitempty"`
}

// Service is a plain service.
type Service struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools"`
	Calls []Call   `json:"calls"`
}

// ClientAccount is a customer with its limits and its share of the capacity.
type ClientAccount struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes of its API keys, in hexadecimal.
	KeyHashes         []string `json:"key_hashes"`
	Weight            float64  `json:"weight"`
	MaxInFlight       int      `json:"max_in_flight"`
	RequestsPerSecond float64  `json:"requests_per_second"`
	// Routes and Services are what the account may use; empty means all.
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
	// ShedByTarget refuses requests at once whose first token would miss the
	// LatencyTarget, so that the others meet it. Without it requests are
	// refused only when they cannot end before their own deadline.
	ShedByTarget bool `json:"shed_by_target,omitempty"`
	// Fallback is the Route that is tried when the Pools have no server.
	Fallback string `json:"fallback,omitempty"`
	// Deferred marks a Route for requests that may wait.
	Deferred bool `json:"deferred,omitempty"`
}

// LatencyTarget is met when Share of the answers keep within its times.
type LatencyTarget struct {
	Name                 string  `json:"name"`
	FirstTokenSeconds    float64 `json:"first_token_seconds"`
	BetweenTokensSeconds float64 `json:"between_tokens_seconds"`
	Share                float64 `json:"share"`
}

// Set is a whole set of objects.
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

// Snapshot is a checked Set in force under a revision. It is immutable.
type Snapshot struct {
	Revision uint64
	// BodyHash is the SHA-256 of the published body, in hexadecimal.
	BodyHash string
	Set      *Set

	index *index
}
