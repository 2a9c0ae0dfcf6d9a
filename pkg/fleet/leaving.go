package fleet

import "time"

// maxSaidLeaving is the maximum number of servers of which it is kept that they have said to
// leave. It is more than leave a zone at the size that is designed for.
const maxSaidLeaving = 4096

// leavingStatements holds the runs of servers that have said in an answer that they leave,
// whatever their entries state. They are kept by ID, not with the entry: it may be missing
// when the answer arrives, be removed and return.
type leavingStatements struct {
	// startedUntilMilli holds, by ID, the latest start of a run that may have said so.
	startedUntilMilli map[string]int64
	// order holds the IDs, oldest first.
	order []string
}

func newLeavingStatements() leavingStatements {
	return leavingStatements{startedUntilMilli: make(map[string]int64)}
}

// add records the statement of a server in the answer to a request that was sent at a time. A
// server may have started again while its entry describes the run before, so that the statement
// is that of any run which began before the request was sent. The oldest statement is dropped if
// there are too many.
func (l *leavingStatements) add(s *Server, sentAt time.Time) {
	last, known := l.startedUntilMilli[s.ID]
	if !known {
		l.order = append(l.order, s.ID)
	}
	l.startedUntilMilli[s.ID] = max(last, s.StartedUnixMilli, sentAt.UnixMilli())
	if len(l.order) > maxSaidLeaving {
		delete(l.startedUntilMilli, l.order[0])
		l.order = l.order[1:]
	}
}

// covers reports whether a run of a server has said that it leaves.
func (l *leavingStatements) covers(s *Server) bool {
	startedUntilMilli, known := l.startedUntilMilli[s.ID]
	return known && s.StartedUnixMilli <= startedUntilMilli
}
