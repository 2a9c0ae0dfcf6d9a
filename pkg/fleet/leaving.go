package fleet

// maxSaidLeaving is the maximum number of servers of which it is kept that they have said to
// leave. It is more than leave a zone at the size that is designed for.
const maxSaidLeaving = 4096

// leavingStatements holds the runs of servers that have said in an answer that they leave,
// whatever their entries state. They are kept by ID, not with the entry: it may be missing
// when the answer arrives, be removed and return.
type leavingStatements struct {
	// startedUnixMilli holds the start of the last run that has said so, by ID.
	startedUnixMilli map[string]int64
	// order holds the IDs, oldest first.
	order []string
}

func newLeavingStatements() leavingStatements {
	return leavingStatements{startedUnixMilli: make(map[string]int64)}
}

// add records the statement of a run. The oldest one is dropped if there are too many.
func (l *leavingStatements) add(s *Server) {
	last, known := l.startedUnixMilli[s.ID]
	if !known {
		l.order = append(l.order, s.ID)
	}
	l.startedUnixMilli[s.ID] = max(last, s.StartedUnixMilli)
	if len(l.order) > maxSaidLeaving {
		delete(l.startedUnixMilli, l.order[0])
		l.order = l.order[1:]
	}
}

// covers reports whether a run of a server, or a later one, has said that it leaves.
func (l *leavingStatements) covers(s *Server) bool {
	started, known := l.startedUnixMilli[s.ID]
	return known && s.StartedUnixMilli <= started
}
