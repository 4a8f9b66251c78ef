// Package faultmatrix checks docs/FAULTS.md against the code: every step of
// every state machine has a cell for every fault, and every test that a cell
// names exists.
package faultmatrix
