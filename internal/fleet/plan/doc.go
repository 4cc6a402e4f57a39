// Package plan makes plans: the difference between an observed state and a desired state as a graph of steps, in an order that satisfies
// every constraint of package fleet at every moment, even if any one host fails. It also encodes and decodes plan files.
//
// A plan is made in three stages. The differ collects the changes. Changes that can affect the same constraint are put into one group,
// based on the locations and sources that they share. The scheduler then assigns the changes of each group to waves: the steps of a wave
// may take effect at the same time, in any order. A ledger tracks the quantities that the constraints limit, and assumes the worst order
// of the steps of a wave.
//
// The package does no I/O and has no state; Make returns equal plans for equal arguments. Package fleet/apply carries plans out.
package plan
