// Package observe derives the observed state of each host from connections and pings: whether it is up, unreachable or unknown, and
// whether its process has restarted, after which its cache is empty.
//
// The package does no I/O. The caller carries out the actions of a Monitor (it connects and pings) and reports the results, with
// the time in milliseconds since the Unix epoch.
package observe
