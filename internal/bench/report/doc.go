// Package report turns results of the steering scenarios into plots and one
// HTML page that needs no scripts. It neither runs scenarios nor decides which
// promises hold: that is package bench.
package report
