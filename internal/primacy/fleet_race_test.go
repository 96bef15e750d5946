//go:build race

package primacy

// maxFleet is the largest fleet that runs under the race detector of Go 1.26.8. With 64
// instances in one bubble the detector itself ends the process ("CHECK failed:
// tsan_rtl.cpp:346"), so "make test" runs the larger ones without it.
const maxFleet = 7
