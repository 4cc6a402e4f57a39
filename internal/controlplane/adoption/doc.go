// Package adoption records when each director applied each of the most recent events, and reports how long one event took to reach
// the whole fleet.
//
// The leader keeps the record. Each director reports its applied revision with every call, and a relay reports on behalf of all of its
// directors. Nothing is known or reported about the time before the record was created.
//
// The package does no I/O and reads no clock; the caller passes in the time.
package adoption
