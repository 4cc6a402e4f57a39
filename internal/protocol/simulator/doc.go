// Package simulator implements the protocol of the simulator: it hosts Routers of package decision,
// passes them the events that it reads, and writes their actions. It makes no decisions itself.
//
// The protocol consists of lines of words that are separated by single spaces. The simulator sends
// batches: a line "clock" with the time, a line for each event, and a line "go". The reply consists
// of a line for each action, in order, and a line "finished". Times are milliseconds with fractions
// down to a microsecond; "-" stands for an absent value. If a line cannot be parsed, the server stops
// with an error that gives the line number.
//
// The protocol and the settings use other names than package decision. This package maps them, except
// for the values of the string types of package decision (Readiness, Status, Idempotency and others),
// which are the values of the protocol:
//
//	events.go     messages from the simulator to events
//	endpoints.go  endpoint lists, which are defined once and referred to by number
//	actions.go    actions to messages to the simulator
//	timer.go      timers, which the protocol encodes as a single word
//	load.go       names of load values
//	settings.go   keys of the settings, which are also used by directors that serve network traffic
//
// A server must be used by only one goroutine. The functions for settings and load values are
// stateless.
package simulator
