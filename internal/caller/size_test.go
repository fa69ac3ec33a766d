//go:build !race

package caller

// downloadSize is the size in bytes of the download in the memory test.
const downloadSize = 1 << 30
