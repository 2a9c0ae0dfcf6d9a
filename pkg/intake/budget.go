package intake

import (
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// Reasons for which a holder was refused or closed, in metrics and logs.
const (
	reasonConnections = "connections"
	reasonMemory      = "memory"
	reasonHead        = "head"
	reasonDescriptors = "descriptors"
)

// listenerOther stands for requests that came through no listener of the budget.
const listenerOther = "other"

const (
	// waitInterval is how often a holder that waits for memory asks again.
	waitInterval = 50 * time.Millisecond
	// logInterval is the least time between two log lines on one listener for one reason.
	logInterval = time.Second
)

// Budget bounds what the clients of all listeners of a process hold together. It is safe for concurrent
// use.
type Budget struct {
	metrics *budgetMetrics

	mu   sync.Mutex
	core *Core
	// conns holds the open connections.
	conns map[ID]*Conn
	// logged holds when a line was last logged, by listener and reason, and unlogged how many were not.
	logged   map[[2]string]time.Time
	unlogged map[[2]string]int
}

// NewBudget returns a Budget and registers its metrics.
func NewBudget(limits Limits, registry prometheus.Registerer) *Budget {
	b := &Budget{core: NewCore(limits), conns: make(map[ID]*Conn), logged: make(map[[2]string]time.Time), unlogged: make(map[[2]string]int)}
	b.metrics = newBudgetMetrics(b)
	b.metrics.register(registry)
	return b
}

// open adds a connection, and closes those that yield for it. It returns false if none yields.
func (b *Budget) open(c *Conn) bool {
	now := time.Now()
	b.mu.Lock()
	id, evicted, verdict := b.core.Open(now, c.listener, clientOf(c.RemoteAddr()))
	if verdict == Granted {
		c.id = id
		b.conns[id] = c
	}
	b.mu.Unlock()
	b.closeAll(evicted, reasonConnections)
	if verdict != Granted {
		b.record(c, "refused", PhaseIdle, reasonConnections, 0)
	}
	return verdict == Granted
}

// grow asks for n bytes for a connection, and closes those that yield for it.
func (b *Budget) grow(c *Conn, n int64) Verdict {
	return b.ask(func(now time.Time) ([]Eviction, Verdict) { return b.core.Grow(now, c.id, n) })
}

// growNow is grow for bytes that have arrived.
func (b *Budget) growNow(c *Conn, n int64) Verdict {
	return b.ask(func(now time.Time) ([]Eviction, Verdict) { return b.core.GrowNow(now, c.id, n) })
}

func (b *Budget) ask(grow func(now time.Time) ([]Eviction, Verdict)) Verdict {
	b.mu.Lock()
	evicted, verdict := grow(time.Now())
	b.mu.Unlock()
	b.closeAll(evicted, reasonMemory)
	return verdict
}

// shortOfDescriptors records that a connection could not be accepted.
func (b *Budget) shortOfDescriptors(listener string, err error) {
	b.metrics.yielded.WithLabelValues(listener, "refused", PhaseIdle.String(), reasonDescriptors).Inc()
	if skipped, ok := b.mayLog(listener, reasonDescriptors); ok {
		klog.ErrorS(err, "connections cannot be accepted", "listener", listener, "notLogged", skipped)
	}
}

// mayLog reports whether a line on a listener may be logged now, and how many were not before it.
func (b *Budget) mayLog(listener, reason string) (skipped int, ok bool) {
	key, now := [2]string{listener, reason}, time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.logged[key]) < logInterval {
		b.unlogged[key]++
		return 0, false
	}
	skipped = b.unlogged[key]
	b.logged[key], b.unlogged[key] = now, 0
	return skipped, true
}

// closeAll closes connections that yield.
func (b *Budget) closeAll(evicted []Eviction, reason string) {
	for _, e := range evicted {
		b.mu.Lock()
		c := b.conns[e.ID]
		delete(b.conns, e.ID)
		b.mu.Unlock()
		if c != nil {
			c.abort()
			b.record(c, "closed", e.Phase, reason, e.Bytes)
		}
	}
}

// record counts a connection that was refused or closed, and logs it.
func (b *Budget) record(c *Conn, action string, phase Phase, reason string, bytes int64) {
	b.metrics.yielded.WithLabelValues(c.listener, action, phase.String(), reason).Inc()
	skipped, ok := b.mayLog(c.listener, action+" "+reason)
	if !ok {
		return
	}
	b.mu.Lock()
	held, connections := b.core.Bytes(), b.core.Connections()
	b.mu.Unlock()
	klog.InfoS("client yields", "action", action, "reason", reason, "listener", c.listener, "client", c.clientName(), "remote", c.RemoteAddr().String(), "phase", phase.String(), "bytes", bytes,
		"held", held, "limit", b.core.limits.Bytes, "connections", connections, "notLogged", skipped)
}

// close removes a connection.
func (b *Budget) close(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Close(c.id)
	delete(b.conns, c.id)
}

// clientOf returns the host of an address.
func clientOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// budgetMetrics shows what clients hold.
type budgetMetrics struct {
	budget      *Budget
	held        *prometheus.Desc
	connections *prometheus.Desc
	limit       *prometheus.Desc
	yielded     *prometheus.CounterVec
}

func newBudgetMetrics(b *Budget) *budgetMetrics {
	return &budgetMetrics{
		budget:      b,
		held:        prometheus.NewDesc("monsooncrank_intake_bytes", "Bytes that clients make this process hold, by what their connections wait for.", []string{"phase"}, nil),
		connections: prometheus.NewDesc("monsooncrank_intake_connections", "Open connections of clients, by what they wait for.", []string{"phase"}, nil),
		limit:       prometheus.NewDesc("monsooncrank_intake_limit", "Bounds over all clients, by resource: bytes, and connections by listener.", []string{"resource"}, nil),
		yielded: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_intake_yielded_total",
			Help: "Connections and requests of clients that were refused or closed, by listener, phase and reason."}, []string{"listener", "action", "phase", "reason"}),
	}
}

func (m *budgetMetrics) register(registry prometheus.Registerer) { registry.MustRegister(m, m.yielded) }

// Describe implements prometheus.Collector.
func (m *budgetMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.held
	descriptions <- m.connections
	descriptions <- m.limit
}

// Collect implements prometheus.Collector.
func (m *budgetMetrics) Collect(metrics chan<- prometheus.Metric) {
	m.budget.mu.Lock()
	bytes, connections := m.budget.core.Held()
	m.budget.mu.Unlock()
	for phase := range phases {
		metrics <- prometheus.MustNewConstMetric(m.held, prometheus.GaugeValue, float64(bytes[phase]), phase.String())
		metrics <- prometheus.MustNewConstMetric(m.connections, prometheus.GaugeValue, float64(connections[phase]), phase.String())
	}
	limits := m.budget.core.limits
	metrics <- prometheus.MustNewConstMetric(m.limit, prometheus.GaugeValue, float64(limits.Bytes), "bytes")
	for listener, n := range limits.Connections {
		metrics <- prometheus.MustNewConstMetric(m.limit, prometheus.GaugeValue, float64(n), "connections "+listener)
	}
}
