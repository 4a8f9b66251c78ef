// Package e2e tests the program as users run it: each daemon is a process of
// its own, and is paused, stopped and killed by signals.
package e2e
