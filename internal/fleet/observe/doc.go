// Package observe decides from connections and pings what the control plane knows of each host: whether it is up, unreachable or
// unknown, and whether its process has restarted, after which its cache is empty.
//
// The package does no I/O. The caller carries out the actions of a Monitor (it connects and pings) and reports what came of them, with
// the time in milliseconds since the Unix epoch.
package observe
