package plainservice

import (
	"fmt"
	"sync"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// Group holds the servers of one service, which share a ledger. It implements
// membership.Directory for them.
type Group struct {
	Ledger  *Ledger
	Servers []*Server
	pool    string

	mu sync.Mutex
	// leaving holds the names of the servers that were reported as leaving.
	leaving map[string]bool
}

var _ membership.Directory = (*Group)(nil)

// NewGroup starts n servers in a pool. They share options.Ledger, or a new ledger if
// it is nil.
func NewGroup(pool string, n int, options Options) (*Group, error) {
	if options.Ledger == nil {
		options.Ledger = NewLedger()
	}
	g := &Group{Ledger: options.Ledger, pool: pool, leaving: make(map[string]bool)}
	for range n {
		server, err := New(options)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.Servers = append(g.Servers, server)
	}
	return g, nil
}

// SetFault injects a fault into every call to every server.
func (g *Group) SetFault(fault Fault) {
	for _, server := range g.Servers {
		server.SetFault(func(Call) Fault { return fault })
	}
}

// Close stops the servers and waits until their goroutines have ended.
func (g *Group) Close() {
	for _, server := range g.Servers {
		server.Close()
	}
}

// Available implements membership.Directory. It omits servers that were reported
// as leaving.
func (g *Group) Available(pool string) []membership.BackendServer {
	if pool != g.pool {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var members []membership.BackendServer
	for i, server := range g.Servers {
		name := fmt.Sprintf("%s-%d", g.pool, i)
		if !g.leaving[name] {
			members = append(members, membership.BackendServer{
				Name: name, Kind: membership.KindService, Pool: g.pool, Address: server.Address(),
			})
		}
	}
	return members
}

// ReportLeaving implements membership.Directory.
func (g *Group) ReportLeaving(name string, _ uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving[name] = true
}

// Leaving returns how many servers were reported as leaving.
func (g *Group) Leaving() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.leaving)
}

// ClearLeaving makes all servers available again, as after a restart.
func (g *Group) ClearLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.leaving)
}
