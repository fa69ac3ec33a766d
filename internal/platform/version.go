package platform

import "strconv"

// A store that comes back from an older copy gives revisions out again, so a revision
// alone neither identifies a state of an object nor orders two of them. A version is the
// pair of the store's era and the revision, with the era in the high bits: comparing two
// versions as numbers compares their eras first.

// revisionBits is the width of the revision in a version.
const revisionBits = 44

// NewVersion returns the version of a revision that was given out in an era. Both must
// be smaller than their parts of a version, 20 and 44 bits.
func NewVersion(era, revision uint64) uint64 { return era<<revisionBits | revision }

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version.
func RevisionOf(version uint64) uint64 { return version & (1<<revisionBits - 1) }

// FormatVersion returns a version as "era.revision".
func FormatVersion(version uint64) string {
	return strconv.FormatUint(EraOf(version), 10) + "." + strconv.FormatUint(RevisionOf(version), 10)
}
