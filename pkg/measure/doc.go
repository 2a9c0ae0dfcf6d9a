// Package measure runs experiments on a virtual clock over the real cores and a
// small fake engine, and compares monsooncrank's policy with baselines.
//
// There is no model of the network and none of a cluster: daemons and engines
// exchange events without delay, and only load reports, cache events and the
// host list are delayed. All runs are deterministic for a seed.
package measure
