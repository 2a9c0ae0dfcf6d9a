package plainservice

import (
	"fmt"
	"sync"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// Group is the servers of one service, which share a ledger. It lists them as a
// membership.Directory.
type Group struct {
	Ledger  *Ledger
	Servers []*Server
	pool    string

	mu      sync.Mutex
	leaving map[string]bool
}

var _ membership.Directory = (*Group)(nil)

// NewGroup starts n servers in a pool. Options.Ledger is shared; its nil value
// makes a new one.
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

// SetFault makes every call at every server suffer a fault.
func (g *Group) SetFault(fault Fault) {
	for _, server := range g.Servers {
		server.SetFault(func(Call) Fault { return fault })
	}
}

// Close stops the servers and waits for their goroutines.
func (g *Group) Close() {
	for _, server := range g.Servers {
		server.Close()
	}
}

// Available implements membership.Directory. A server that is reported as
// leaving is not listed any more.
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

// Return lists all servers again, as after a restart.
func (g *Group) ClearLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.leaving)
}
