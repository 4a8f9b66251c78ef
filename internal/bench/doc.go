// Package bench holds the scenarios: each runs real daemons and stand-ins in
// one process on loopback, measures, and counts broken promises.
package bench
