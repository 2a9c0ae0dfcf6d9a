package routing

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerServer is the number of points of a server on the ring. With 32
// points the largest share of 16 servers stays below about 1.5 of the mean.
const pointsPerServer = 32

type ringPoint struct {
	hash   uint64
	server *server
}

// ring is a consistent-hashing ring over the servers of a group. All daemons
// build the same ring from the same names.
type ring struct {
	points []ringPoint
	// starts holds for each of as many equal parts of the hash space as there
	// are points the index of the first point at or after the part's start, so
	// that a search takes constant time.
	starts []int32
}

func newRing(servers []*server) ring {
	points := make([]ringPoint, 0, len(servers)*pointsPerServer)
	for _, s := range servers {
		for i := range pointsPerServer {
			points = append(points, ringPoint{hash: xxhash.Sum64String(s.Name + "#" + strconv.Itoa(i)), server: s})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.server.Name, b.server.Name)
	})
	r := ring{points: points, starts: make([]int32, len(points))}
	next := 0
	for part := range r.starts {
		for next < len(points) && r.part(points[next].hash) < part {
			next++
		}
		r.starts[part] = int32(next)
	}
	return r
}

// part returns the part of the hash space that a hash is in.
func (r *ring) part(hash uint64) int {
	high, _ := bits.Mul64(hash, uint64(len(r.points)))
	return int(high)
}

// search returns the index of the first point at or after hash.
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

// at returns the server of a point, counted on around the ring.
func (r *ring) at(i int) *server { return r.points[i%len(r.points)].server }
