// Package steering holds the decisions about where requests go: queue
// discipline, target choice, shift caps, credits between regions, link limits,
// comparison of completion times, slow start, outlier ejection and what the
// age of an input allows. All of it is free of I/O, goroutines and locks: the
// caller passes the time in and serialises the calls.
package steering
