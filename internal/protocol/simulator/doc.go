// Package simulator speaks the simulator's protocol: it hosts Routers of package decision, passes
// them the events that it reads and writes their actions. It decides nothing.
//
// The protocol consists of lines of words that are separated by single spaces. The simulator sends
// batches: a line "clock" with the time, a line for each event, and a line "go". The answer is a
// line for each action, in order, and a line "finished". Times are milliseconds with fractions
// down to a microsecond; "-" stands for a value that is absent. A line that cannot be read ends the
// server with an error that names it.
//
// The protocol and the settings have names of their own for what the decision module calls by the
// terms of the field. They are mapped here, but for the values of the string types of package
// decision (Readiness, Status, Idempotency and others), which are those of the protocol:
//
//	events.go     messages of the simulator to events
//	endpoints.go  endpoint lists, which are defined once and referred to by number
//	actions.go    actions to messages to the simulator
//	timer.go      timers, which the simulator keeps as one word
//	load.go       names of load values
//	settings.go   keys of the settings, also for directors on sockets
//
// A server is used by one goroutine. The functions for settings and load values keep no state.
package simulator
