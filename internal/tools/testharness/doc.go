// Package testharness runs a cluster on one machine, each member as a process of its own: the replicas of a control plane, relays and
// directors. Each has a folder in place of its machine's disk, and all connections between them go through proxies, so that a test can
// kill and pause processes, block and delay connections, and make disks fail. Tests, measurements and scale runs use it.
//
// A Cluster and what it starts are used by one test at a time, except for methods that are documented as safe for concurrent use. Close
// ends all processes.
package testharness
