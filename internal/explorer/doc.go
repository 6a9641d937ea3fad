// Package explorer is a bounded, exhaustive model checker for the controllers' replicated register,
// their leadership lease and their voter set. It runs the real controller cores without I/O
// and tries every interleaving of message deliveries and losses, crashes, wiped disks, network
// isolation and clock ticks that a scenario allows, up to a depth, a number of states, and a budget for
// each kind of fault.
//
// The search is stateless: a controller core cannot be copied, so a state is identified by the sequence
// of actions that leads to it, and is reached by replaying these actions from the scenario's initial
// state. States with equal fingerprints are expanded once. The search is breadth first, so the first
// violation that it finds has a run of minimal length.
package explorer
