package capacity

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// Event is something that a Buyer or a Placer learns.
type Event interface{ isEvent() }

// TickEvent lets time pass.
type TickEvent struct{}

// LeaseEvent says whether the lease of the duty is held, and its number.
type LeaseEvent struct {
	Held   bool
	Number uint64
}

// GroupsEvent sets what is needed.
type GroupsEvent struct{ Groups []Group }

// ListEvent is the cloud's list as asked for at RequestedAt.
type ListEvent struct {
	RequestedAt time.Time
	Hosts       []cloud.Host
}

// ListFailedEvent reports a list that could not be read.
type ListFailedEvent struct{}

// NoticesEvent are the reclaims that are to come.
type NoticesEvent struct{ Notices []cloud.Notice }

// StartedEvent reports a started Host.
type StartedEvent struct {
	Token string
	Host  cloud.Host
}

// StartFailedEvent reports a start that failed; Cause is one of the cloud API's
// typed errors.
type StartFailedEvent struct {
	Token string
	Cause error
}

// IdleEvent reports that a draining Host has no work left.
type IdleEvent struct{ HostID string }

// DrainingEvent names Hosts whose BackendServers take no new work, so that a new
// holder of the lease goes on with a drain.
type DrainingEvent struct{ HostIDs []string }

// EnginesEvent sets the engines and what they should load.
type EnginesEvent struct{ Engines []Engine }

// OrderReadEvent is the order in force at an engine.
type OrderReadEvent struct {
	Name  string
	Order engine.Order
}

// OrderDoneEvent reports that an order was answered. Stale is set when the
// engine refused it for a number that is higher than the order's.
type OrderDoneEvent struct {
	Name  string
	Stale bool
}

// OrderFailedEvent reports an order or a read without a usable answer.
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

// Action is something that the driver has to do, if the lease is still held.
type Action interface{ isAction() }

// ListAction asks for a ListEvent and a NoticesEvent.
type ListAction struct{}

// StartAction starts a Host.
type StartAction struct {
	Request cloud.StartRequest
	Pool    string
	// Alternatives and Reason are for the decision log.
	Alternatives []decision.Alternative
	Reason       string
}

// DrainAction takes a Host out of use for new work; an IdleEvent follows.
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

// StepDownAction reports that another holder has a higher number.
type StepDownAction struct{ Reason string }

func (ListAction) isAction()     {}
func (StartAction) isAction()    {}
func (DrainAction) isAction()    {}
func (StopAction) isAction()     {}
func (OrderAction) isAction()    {}
func (ReadAction) isAction()     {}
func (StepDownAction) isAction() {}
