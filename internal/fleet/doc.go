// Package fleet defines the state of the control plane: the hosts, locations, rules, purges and members that events declare, what was
// observed of the hosts, the desired state that operators write, and the constraints that must hold at every moment of a change.
//
// A Fleet is an immutable value: Apply returns the fleet after an event and leaves its receiver unchanged. Successive fleets share their
// unchanged parts, so Apply is cheap, and a Fleet is safe for concurrent use.
//
// The package does no I/O and reads no clock: times are arguments, in milliseconds since the Unix epoch. Shares, floors and loads
// are in the unit of capacity of the operator's file, commonly transfers at full pace. Package fleet/plan makes plans and package
// fleet/apply carries them out.
//
// The struct tags of events and dumps define the stored encoding and must not change.
package fleet
