package capacity

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// Event is an input of a Buyer or a Placer.
type Event interface{ isEvent() }

// TickEvent reports that time has passed, and makes the state machine act.
type TickEvent struct{}

// LeaseEvent reports whether the lease is held.
type LeaseEvent struct {
	Held bool
	// Number is the fencing number.
	Number uint64
}

// GroupsEvent sets the demand for capacity.
type GroupsEvent struct{ Groups []Group }

// ListEvent contains the cloud's list of Hosts that was requested at RequestedAt.
type ListEvent struct {
	RequestedAt time.Time
	Hosts       []cloud.Host
}

// ListFailedEvent reports that the cloud's list could not be read.
type ListFailedEvent struct{}

// NoticesEvent contains the cloud's notices of coming reclaims.
type NoticesEvent struct{ Notices []cloud.Notice }

// StartedEvent reports a started Host.
type StartedEvent struct {
	Token string
	Host  cloud.Host
}

// StartFailedEvent reports a failed start. Cause is one of the typed errors of the
// cloud API, which show whether the start can still be applied.
type StartFailedEvent struct {
	Token string
	Cause error
}

// IdleEvent reports that a draining Host has no work left.
type IdleEvent struct{ HostID string }

// DrainingEvent lists the Hosts whose BackendServers take no new work, so that a
// new holder of the lease continues the drains of an earlier one.
type DrainingEvent struct{ HostIDs []string }

// EnginesEvent sets the engines and the models that they should load.
type EnginesEvent struct{ Engines []Engine }

// OrderReadEvent contains the order in force at an engine.
type OrderReadEvent struct {
	Name  string
	Order engine.Order
}

// OrderDoneEvent reports that an engine has answered an order. Stale is set if the
// engine refused it because it has seen a higher fencing number.
type OrderDoneEvent struct {
	Name  string
	Stale bool
}

// OrderFailedEvent reports that an order or a read got no usable answer.
type OrderFailedEvent struct{ Name string }

func (TickEvent) isEvent()        {}
func (LeaseEvent) isEvent()       {}
func (GroupsEvent) isEvent()      {}
func (ListEvent) isEvent()        {}
func (ListFailedEvent) isEvent()  {}
func (NoticesEvent) isEvent()     {}
func (StartedEvent) isEvent()     {}
func (StartFailedEvent) isEvent() {}
func (IdleEvent) isEvent()        {}
func (DrainingEvent) isEvent()    {}
func (EnginesEvent) isEvent()     {}
func (OrderReadEvent) isEvent()   {}
func (OrderDoneEvent) isEvent()   {}
func (OrderFailedEvent) isEvent() {}

// Action is an output of a Buyer or a Placer, which the driver performs if the
// lease is still held.
type Action interface{ isAction() }

// ListAction requests the Hosts and the reclaim notices of the cloud. A ListEvent
// and a NoticesEvent follow.
type ListAction struct{}

// StartAction starts a Host.
type StartAction struct {
	Request cloud.StartRequest
	Pool    string
	// Alternatives and Reason are written to the decision log.
	Alternatives []decision.Alternative
	Reason       string
}

// DrainAction takes a Host out of use for new work. An IdleEvent follows when its
// work has ended.
type DrainAction struct {
	Host   cloud.Host
	Reason string
}

// StopAction stops a Host that has no work left.
type StopAction struct {
	HostID string
	Reason string
}

// OrderAction sends an order to an engine.
type OrderAction struct {
	Name    string
	Address string
	Order   engine.Order
	Reason  string
}

// ReadAction reads the order in force at an engine.
type ReadAction struct {
	Name    string
	Address string
}

// StepDownAction reports that another holder has a higher fencing number, so no
// further orders are sent under this lease.
type StepDownAction struct{ Reason string }

func (ListAction) isAction()     {}
func (StartAction) isAction()    {}
func (DrainAction) isAction()    {}
func (StopAction) isAction()     {}
func (OrderAction) isAction()    {}
func (ReadAction) isAction()     {}
func (StepDownAction) isAction() {}
