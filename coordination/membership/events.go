package membership

import "time"

// Event is something that a Core learns.
type Event interface{ isEvent() }

// TickEvent lets time pass. The driver sends it every Options.TickInterval; all
// sends happen at ticks.
type TickEvent struct{}

// MessageEvent is a message from another daemon. Heartbeat asks for a reply.
type MessageEvent struct {
	Message   *Message
	Heartbeat bool
}

// PeerFailedEvent reports a daemon that did not answer, on a new connection
// either.
type PeerFailedEvent struct{ Name string }

// HostListEvent is a poll of the host list. An empty list is ignored: it is
// more likely a fault of the list than the loss of every Host.
type HostListEvent struct{ Entries []ListEntry }

// ListEntry is one Host of the list.
type ListEntry struct {
	Member
	Leaving bool
}

// LeavingEvent reports that a BackendServer is leaving, whatever the source.
type LeavingEvent struct {
	Name        string
	Incarnation uint64
	// Current is set instead of Incarnation when the source names the server
	// without its incarnation, as a reclaim notice does: it means the one that
	// runs now, also if this daemon learns of it only later.
	CurrentIncarnation bool
}

// AnnounceEvent starts the spread of news.
type AnnounceEvent struct {
	ID      string
	Kind    AnnouncementKind
	Payload []byte
}

// RevisionEvent reports the highest revision that this daemon has confirmed.
type RevisionEvent struct {
	Revision uint64
	BodyHash string
}

// LoadEvent is this daemon's own load.
type LoadEvent struct{ Running, Waiting uint32 }

// LeaveEvent reports that this daemon is going to stop.
type LeaveEvent struct{}

func (TickEvent) isEvent()       {}
func (MessageEvent) isEvent()    {}
func (PeerFailedEvent) isEvent() {}
func (HostListEvent) isEvent()   {}
func (LeavingEvent) isEvent()    {}
func (AnnounceEvent) isEvent()   {}
func (RevisionEvent) isEvent()   {}
func (LoadEvent) isEvent()       {}
func (LeaveEvent) isEvent()      {}

// Action is something that the driver has to do.
type Action interface{ isAction() }

// SendAction sends a message to a daemon. Name is empty for an address from the
// settings or the host list whose daemon is not known yet. An urgent message is
// an announcement; any other is a heartbeat and its reply goes back to the Core.
type SendAction struct {
	Name    string
	Address string
	Urgent  bool
	Message *Message
}

// ReplyAction answers the heartbeat of a MessageEvent.
type ReplyAction struct{ Message *Message }

// DeliverAction hands news to this daemon's duties, once per announcement.
type DeliverAction struct{ Announcement Announcement }

// RevisionAction reports a higher confirmed revision at a peer.
type RevisionAction struct {
	Revision uint64
	BodyHash string
	Hops     uint8
	// From and Address name the daemon that the news came from.
	From    string
	Address string
}

// ChangeAction reports a member's new state.
type ChangeAction struct {
	Member Member
	State  State
	At     time.Time
}

// PollAction asks the driver to poll the host list now. Poller is set for one of
// the daemons that poll often.
type PollAction struct{ Poller bool }

func (SendAction) isAction()     {}
func (ReplyAction) isAction()    {}
func (DeliverAction) isAction()  {}
func (RevisionAction) isAction() {}
func (ChangeAction) isAction()   {}
func (PollAction) isAction()     {}
