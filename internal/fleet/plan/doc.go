// Package plan makes plans: the difference between an observed state and a desired state as a graph of steps, in an order that keeps every
// constraint of package fleet at every moment, with any one host dying. It also reads and writes plan files.
//
// A plan is made in three stages. The differ collects the changes. Changes that do not bear on each other are divided into groups, by
// the locations and sources that they share. The scheduler then places the changes of each group in waves: the steps of a wave may take
// effect at the same time, in any order. A ledger counts what the constraints are made of, with each change at its worst.
//
// The package does no I/O and has no state; Make gives equal plans for equal arguments. Package fleet/apply carries plans out.
package plan
