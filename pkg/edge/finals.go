package edge

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// addFinals adds to a message what a neighbor is told of the final counts of usage windows.
func (s *state) addFinals(now time.Time, m *mesh.Message, neighbor *mesh.Peer) {
	s.noteEpoch(now)
	m.FinalWindows = s.usage.FinalWindows()
	finals := s.usage.FinalsFor(neighbor.Node, neighbor.FinalWindows)
	if format, known := s.peers.FormatOf(neighbor.Node); known && format < mesh.FormatCollectors {
		m.FinalCounts = make(usage.Windows)
		for window, f := range finals {
			m.FinalCounts[window] = f.Counts
		}
		return
	}
	statement := s.usage.Statement(now)
	m.FinalStatement, m.Finals = &statement, finals
	if !s.peers.IsFullMesh() && s.peers.RanksAsHub() && s.peers.IsRankedHub(neighbor.Node) {
		m.FinalStatements = s.usage.Forwarded(now)
	}
}

// applyFinals applies what a neighbor tells of the final counts of usage windows.
func (s *state) applyFinals(now time.Time, m *mesh.Message) {
	s.noteEpoch(now)
	if m.FinalStatement != nil {
		s.usage.Stated(now, m.FinalStatement, true)
	}
	for i := range m.FinalStatements {
		s.usage.Stated(now, &m.FinalStatements[i], false)
	}
	for window, f := range m.Finals {
		s.usage.Accept(now, window, f)
	}
	for window, counts := range m.FinalCounts {
		// A daemon of an earlier build does not say in which epoch they were stored.
		if _, known := s.usage.Final(window); !known {
			s.usage.Accept(now, window, usage.Final{Epoch: s.usage.Epoch(), Counts: counts})
		}
	}
}

// noteEpoch tells the core which epoch of the store, and how many daemons, this daemon knows.
func (s *state) noteEpoch(now time.Time) {
	s.usage.SetDaemons(now, s.peers.Size())
	if s.versionStore != nil && s.daemonsListed {
		s.usage.EpochSeen(now, s.versionStore.Epoch())
	}
}
