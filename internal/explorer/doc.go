// Package explorer is a bounded, exhaustive model checker for the core's register, duty and voter
// set. It runs the real controller cores without I/O and tries every order of deliveries, losses,
// crashes, emptied disks, cuts and steps of time that a scenario allows, up to a depth, a number of
// states, and a budget of each fault.
//
// The search is stateless: a core cannot be copied, so a state is the sequence of actions that leads
// to it, and each is run again from the scenario's start. States whose fingerprints are equal are
// expanded once. The search is breadth first, so the first violation that it finds is a shortest one.
package explorer
