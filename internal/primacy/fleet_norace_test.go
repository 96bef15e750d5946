//go:build !race

package primacy

// maxFleet is the largest fleet that runs.
const maxFleet = 300
