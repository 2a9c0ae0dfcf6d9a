package routing

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerServer is the number of points of a server on the ring. With 32
// points, the largest share among 16 servers stays below about 1.5 times the
// mean.
const pointsPerServer = 32

type ringPoint struct {
	hash   uint64
	server *server
}

// ring is a consistent-hashing ring of the servers of a group. All daemons build
// the same ring from the same server names.
type ring struct {
	points []ringPoint
	// starts makes a search take constant time. The hash space is divided into
	// len(points) equal parts; starts[i] is the index of the first point at or
	// after the start of part i.
	starts []int32
}

// ringHashes returns the hashes of a server's points on the ring.
func ringHashes(name string) []uint64 {
	hashes := make([]uint64, pointsPerServer)
	for i := range hashes {
		hashes[i] = xxhash.Sum64String(name + "#" + strconv.Itoa(i))
	}
	return hashes
}

func comparePoints(a, b ringPoint) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return compareNames(a.server, b.server)
}

// update returns a copy of the ring with servers removed and added. It sorts
// only the points of the added servers, so that a change of one server among
// thousands does not delay decisions.
func (r *ring) update(removed, added []*server) ring {
	removedSet := make(map[*server]bool, len(removed))
	for _, s := range removed {
		removedSet[s] = true
	}
	addedPoints := make([]ringPoint, 0, len(added)*pointsPerServer)
	for _, s := range added {
		for _, hash := range s.ringHashes {
			addedPoints = append(addedPoints, ringPoint{hash: hash, server: s})
		}
	}
	slices.SortFunc(addedPoints, comparePoints)
	points := make([]ringPoint, 0, max(len(r.points)+len(addedPoints)-len(removed)*pointsPerServer, 0))
	for _, p := range r.points {
		if len(removedSet) > 0 && removedSet[p.server] {
			continue
		}
		for len(addedPoints) > 0 && comparePoints(addedPoints[0], p) < 0 {
			points, addedPoints = append(points, addedPoints[0]), addedPoints[1:]
		}
		points = append(points, p)
	}
	updated := ring{points: append(points, addedPoints...)}
	updated.index()
	return updated
}

// index computes starts.
func (r *ring) index() {
	r.starts = make([]int32, len(r.points))
	next := 0
	for part := range r.starts {
		for next < len(r.points) && r.part(r.points[next].hash) < part {
			next++
		}
		r.starts[part] = int32(next)
	}
}

// diffServers returns the servers that are only in before and those that are
// only in after. Both lists must be sorted by name.
func diffServers(before, after []*server) (removed, added []*server) {
	for len(before) > 0 && len(after) > 0 {
		switch c := compareNames(before[0], after[0]); {
		case before[0] == after[0]:
			before, after = before[1:], after[1:]
		case c <= 0:
			removed, before = append(removed, before[0]), before[1:]
		default:
			added, after = append(added, after[0]), after[1:]
		}
	}
	return append(removed, before...), append(added, after...)
}

// part returns the index of the part of the hash space that contains a hash.
func (r *ring) part(hash uint64) int {
	high, _ := bits.Mul64(hash, uint64(len(r.points)))
	return int(high)
}

// search returns the index of the first point at or after hash, wrapping around
// at the end.
func (r *ring) search(hash uint64) int {
	i := int(r.starts[r.part(hash)])
	for i < len(r.points) && r.points[i].hash < hash {
		i++
	}
	if i == len(r.points) {
		return 0
	}
	return i
}

// at returns the server of the point at index i, modulo the number of points.
func (r *ring) at(i int) *server { return r.points[i%len(r.points)].server }
