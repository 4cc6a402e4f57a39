// Package capacity works out what each role of a deployment costs at a given size: processor time, memory and bytes a second. It
// compares each cost with the budget that the operators state, and renders the tables of docs/CAPACITY.md.
//
// A Law is a constant and a slope, fitted to points that were measured at several sizes. A Row is one size of a scale run, where
// real processes were measured. A formula combines values of laws with rates of the Size (what the operators expect) and of the
// Design (what the program fixes by its constants); Table evaluates all formulas and returns a Figure for each.
//
// The package is pure: sizes and laws come in, figures and text go out. The package measure makes the measurements. No type of this
// package may be changed while another goroutine uses it.
package capacity
