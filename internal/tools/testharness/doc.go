// Package testharness starts several processes of the program on one machine: the replicas of a control plane, relays and directors.
// Each has a folder that stands for its machine's disk, and all connections between them go through proxies, so that a test can kill and
// pause processes, cut and slow connections, and make disks fail. It serves tests, measurements and scale runs.
//
// A Cluster and what it starts are used by one test at a time; methods that may be called concurrently say so. Close ends all processes.
package testharness
