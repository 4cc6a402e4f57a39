// Package adoption records when each director applied each of the last events, and reports for one event how long that took over
// the fleet.
//
// The leader keeps the record. Directors report what they have applied with their calls, a relay for all of its directors. What
// happened before the record began is not known and not reported.
//
// The package does no I/O and reads no clock: times are passed in.
package adoption
