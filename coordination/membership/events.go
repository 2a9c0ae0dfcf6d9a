package membership

import "time"

// Event is an input of a Core.
type Event interface{ isEvent() }

// TickEvent advances the time of a Core. The driver sends it every
// Options.TickInterval. The Core returns SendActions only for this event.
type TickEvent struct{}

// MessageEvent is a message from another daemon. Heartbeat is set if the message
// is a heartbeat, which needs a reply.
type MessageEvent struct {
	Message   *Message
	Heartbeat bool
}

// PeerFailedEvent reports a daemon that did not answer, even on a new
// connection.
type PeerFailedEvent struct{ Name string }

// HostListEvent is the result of a poll of the host list. An empty list is
// ignored, because a fault of the list is more likely than the loss of every
// Host.
type HostListEvent struct{ Entries []ListEntry }

// ListEntry is one entry of the host list.
type ListEntry struct {
	Member
	Leaving bool
}

// LeavingEvent reports that a BackendServer is leaving. It is used for every
// source of that information.
type LeavingEvent struct {
	Name        string
	Incarnation uint64
	// CurrentIncarnation is set instead of Incarnation when the source gives only
	// the name, as a reclaim notice does. The event then applies to the
	// incarnation that runs now, even if this daemon discovers it only later.
	CurrentIncarnation bool
}

// AnnounceEvent starts an announcement to all daemons.
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

// LoadEvent reports the load of this daemon.
type LoadEvent struct{ Running, Waiting uint32 }

// LeaveEvent reports that this daemon is about to stop.
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

// Action is an operation that the driver must execute.
type Action interface{ isAction() }

// SendAction sends a message to a daemon. Name is empty for an address from the
// settings or the host list whose daemon is not known yet. An urgent message is
// sent as an announcement. Any other message is a heartbeat whose reply the driver
// returns to the Core.
type SendAction struct {
	Name    string
	Address string
	Urgent  bool
	Message *Message
}

// ReplyAction is the reply to the heartbeat of a MessageEvent.
type ReplyAction struct{ Message *Message }

// DeliverAction delivers an announcement to the handlers of this daemon. Each
// announcement is delivered once.
type DeliverAction struct{ Announcement Announcement }

// RevisionAction reports that a peer has confirmed a higher revision.
type RevisionAction struct {
	Revision uint64
	BodyHash string
	Hops     uint8
	// From and Address are the name and address of the daemon that sent the
	// revision.
	From    string
	Address string
}

// ChangeAction reports the new state of a member.
type ChangeAction struct {
	Member Member
	State  State
	At     time.Time
}

// PollAction makes the driver poll the host list now. Poller is set if this
// daemon is one of the few that poll frequently.
type PollAction struct{ Poller bool }

func (SendAction) isAction()     {}
func (ReplyAction) isAction()    {}
func (DeliverAction) isAction()  {}
func (RevisionAction) isAction() {}
func (ChangeAction) isAction()   {}
func (PollAction) isAction()     {}
