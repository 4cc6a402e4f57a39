// Package fleet has the state of the control plane: the hosts, locations, rules, purges and members that events declare, what was
// observed of the hosts, the desired state that operators write, and the constraints that a change must keep at every moment.
//
// A Fleet is an immutable value: Apply returns the fleet after an event, and the one before it stays as it was. Fleets share what is
// alike, so that Apply is cheap, and may be used by several goroutines.
//
// The package does no I/O and reads no clock: times come in as arguments, in milliseconds since the Unix epoch. Shares, floors and loads
// are in the unit of capacity of the operator's file, commonly transfers at full pace. Plans are made in fleet/plan and carried out in
// fleet/apply.
//
// Struct tags of events and dumps are the stored form: they stay as they are.
package fleet
