// Package capacity estimates the cost of each role of a deployment at a given size: processor time, memory and network traffic. It
// compares each cost with the operators' budget and renders the tables of docs/CAPACITY.md.
//
// A Law is a linear model, a constant and a slope, fitted to points that were measured at several sizes. A Row holds the usage of
// real processes at one size of a scale run. A formula combines values of laws with rates of the Size (the load that the operators
// expect) and of the Design (constants of the program). Figures evaluates all formulas and returns a Figure for each.
//
// The package does no I/O except on the readers and writers that callers pass in. The package measure makes the measurements. The
// types of this package are not safe for concurrent modification.
package capacity
