// Package measure simulates a deployment on a virtual clock and compares
// monsooncrank's policy with baseline policies. The routing, admission and
// reclaim-planning code is the production code; the engines are simulated by a
// small fake.
//
// Neither the network nor the coordination between daemons is modelled: daemons
// and engines exchange events without delay. Only load reports, cache events,
// reclaim notices and the host list are delayed. Every run is deterministic for
// a seed.
package measure
