package membership

import (
	"slices"
	"strings"
	"time"
)

type reportedLoad struct {
	LoadEvent
	at time.Time
}

type zoneState struct {
	ZoneLoad
	sendCount int
}

const (
	// zonesPerMessage limits the number of zone aggregates in a heartbeat.
	zonesPerMessage = 4
	// loadMaxAgeIntervals is the number of zone intervals after which the reported
	// load of a daemon is discarded.
	loadMaxAgeIntervals = 3
	// maxZones limits the number of zone aggregates in memory.
	maxZones = 256
)

func (c *Core) reporterSalt() string { return "reporter " + c.self.AvailabilityZone }

// zoneReporter returns the daemon that aggregates the load of the zone of this
// daemon, or nil if this daemon does so itself.
func (c *Core) zoneReporter() *daemon {
	salt := c.reporterSalt()
	var reporter *daemon
	lowest := score(salt, c.self.Name)
	for _, d := range c.livePeers() {
		if d.AvailabilityZone != c.self.AvailabilityZone {
			continue
		}
		if s := score(salt, d.Name); s < lowest {
			reporter, lowest = d, s
		}
	}
	return reporter
}

func (c *Core) zoneReportDue() bool {
	if c.now.Before(c.nextZoneReport) {
		return false
	}
	c.nextZoneReport = c.now.Add(c.options.ZoneInterval)
	return true
}

// reportZone aggregates the load of the zone if this daemon is its reporter.
func (c *Core) reportZone() {
	if c.zoneReporter() != nil || !c.zoneReportDue() {
		return
	}
	sum := ZoneLoad{AvailabilityZone: c.self.AvailabilityZone, Version: c.now.UnixMilli(),
		Daemons: 1, Running: uint64(c.load.Running), Waiting: uint64(c.load.Waiting)}
	for name, l := range c.daemonLoads {
		if c.now.Sub(l.at) > loadMaxAgeIntervals*c.options.ZoneInterval {
			delete(c.daemonLoads, name)
			continue
		}
		sum.Daemons++
		sum.Running += uint64(l.Running)
		sum.Waiting += uint64(l.Waiting)
	}
	c.mergeZoneLoad(sum)
}

func (c *Core) handleZoneLoads(m *Message) {
	if m.Sender.AvailabilityZone == c.self.AvailabilityZone && c.daemons[m.Sender.Name] != nil {
		c.daemonLoads[m.Sender.Name] = reportedLoad{LoadEvent{m.Running, m.Waiting}, c.now}
	}
	for _, z := range m.Zones {
		c.mergeZoneLoad(z)
	}
}

func (c *Core) mergeZoneLoad(z ZoneLoad) {
	known := c.zoneLoads[z.AvailabilityZone]
	if known == nil && len(c.zoneLoads) >= maxZones {
		return
	}
	if known == nil || z.Version > known.Version {
		c.zoneLoads[z.AvailabilityZone] = &zoneState{ZoneLoad: z}
	}
}

// addZones adds the zone aggregates that were sent least often to m.
func (c *Core) addZones(m *Message) {
	states := make([]*zoneState, 0, len(c.zoneLoads))
	limit := c.sendLimit()
	for _, z := range c.zoneLoads {
		if z.sendCount < limit {
			states = append(states, z)
		}
	}
	slices.SortFunc(states, func(a, b *zoneState) int {
		if a.sendCount != b.sendCount {
			return a.sendCount - b.sendCount
		}
		return strings.Compare(a.AvailabilityZone, b.AvailabilityZone)
	})
	for _, z := range states[:min(len(states), zonesPerMessage)] {
		z.sendCount += c.options.Fanout
		m.Zones = append(m.Zones, z.ZoneLoad)
	}
}

// ZoneLoads returns the load aggregates of all zones, sorted by zone.
func (c *Core) ZoneLoads() []ZoneLoad {
	loads := make([]ZoneLoad, 0, len(c.zoneLoads))
	for _, zone := range sortedNames(c.zoneLoads) {
		loads = append(loads, c.zoneLoads[zone].ZoneLoad)
	}
	return loads
}
