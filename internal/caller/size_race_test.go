//go:build race

package caller

// downloadSize is small because the race detector slows copying down.
const downloadSize = 128 << 20
