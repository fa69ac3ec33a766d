//go:build race

package caller

// downloadSize is smaller here because the race detector slows copying down.
const downloadSize = 128 << 20
