package store

// A store that comes back from a copy some seconds old begins a new era: changes of before
// are gone, and the store gives out their revisions again. So all revisions and versions
// that this program compares hold the era in their upper bits: one of a later era is newer,
// whatever its number. A store that knows no eras is in era 0.

// numberBits is the number of bits of a revision that hold the store's own number.
const numberBits = 40

// Revision returns the revision with the given number in an era.
func Revision(era, number uint64) uint64 { return era<<numberBits | number }

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> numberBits }

// Number returns the store's own number of a revision.
func Number(revision uint64) uint64 { return revision & (1<<numberBits - 1) }
