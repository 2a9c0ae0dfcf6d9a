package measure

import "time"

// admission decides whether a request is accepted, before it is routed.
type admission interface {
	admit(now time.Time, q *request) bool
}

// passThrough accepts every request.
type passThrough struct{}

func (passThrough) admit(time.Time, *request) bool { return true }
