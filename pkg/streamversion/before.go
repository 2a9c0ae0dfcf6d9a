package streamversion

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// maxStoreWait is how long a version that the store is not known to hold begins no streams that
// callers may take up. A write takes a small part of that; when it is over, the store is slow or
// away, and the service goes on without.
const maxStoreWait = 2 * time.Second

// MarkStored records that the store holds versions.
func (c *Core) MarkStored(now time.Time, stored InUse) {
	for service, versions := range stored {
		for _, version := range versions {
			if use := c.versions.use(Origin{Service: service, Version: version}); now.After(use.storedAt) {
				use.storedAt = now
			}
		}
	}
}

// MarkUnstored records that the store holds no other versions than the given ones, since it has
// returned from an older copy.
func (c *Core) MarkUnstored(stored InUse) {
	for service, versions := range c.versions.services {
		for version, use := range versions {
			if !stored.Contains(service, version) {
				use.storedAt = time.Time{}
			}
		}
	}
}

// InService returns the versions that have servers: those that the store is known to hold, and the
// others.
func (c *Core) InService() (stored, others InUse) {
	stored, others = make(InUse), make(InUse)
	for service, versions := range c.versions.services {
		for version, use := range versions {
			switch {
			case use.servers == 0:
			case use.storedAt.IsZero():
				others.add(service, version)
			default:
				stored.add(service, version)
			}
		}
	}
	return stored, others
}

// MayBegin reports whether a server may begin a stream that callers may take up: all daemons may
// be lost and the servers of its version may leave right after, so that only the store can tell
// that it did.
func (c *Core) MayBegin(now time.Time, server *fleet.Server) bool {
	origin := originOf(server)
	use, known := c.versions.services[origin.Service][origin.Version]
	return known && (!use.storedAt.IsZero() || now.Sub(use.seenAt) >= maxStoreWait)
}
