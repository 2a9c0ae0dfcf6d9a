package quarantine

// ServerState is the result of a probe.
type ServerState int

// Results of a probe.
const (
	// ServerRuns means that the server accepted a new connection.
	ServerRuns ServerState = iota + 1
	// ServerDown means that no process accepts connections at the address.
	ServerDown
	// ServerSilent means that there was no answer, which may be due to the
	// network.
	ServerSilent
)

// Source says how a daemon learned of a change.
type Source string

// Sources of changes.
const (
	SourceCrash   Source = "crash"
	SourceSuccess Source = "success"
	SourceSettled Source = "settled"
	SourceRelease Source = "release"
	SourcePeer    Source = "peer"
	SourceStore   Source = "store"
)

// Change is a change of an entry.
type Change struct {
	Entry  Entry
	Source Source
	// From is the daemon that sent the change, and Request the request whose
	// server crashed; both may be empty.
	From, Request string
	// Urgent is set if other daemons need the change to decide about the request.
	Urgent bool
}

// Local reports whether the change was made by this daemon.
func (c *Change) Local() bool { return c.Source != SourcePeer && c.Source != SourceStore }

// Crash is a crash of a server that this daemon has discovered.
type Crash struct {
	Server string
	// Evidence says what showed the crash.
	Evidence Evidence
	Suspects int
}

// Evidence says how a crash was discovered.
type Evidence string

// Kinds of evidence.
const (
	EvidenceRefusedConnection Evidence = "refused connection"
	EvidenceRemovedEntry      Evidence = "removed entry"
	EvidenceNewIncarnation    Evidence = "new incarnation"
	EvidenceAddressReused     Evidence = "address reused"
)
