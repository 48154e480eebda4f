package runner

import "jacinthstage/stage/adapter"

// Usage is what a runner has to do, for load hints and metrics.
type Usage struct {
	Waiting  int           // requests queued at the owner
	Running  int           // requests admitted and not ended
	Slots    int           // adapter slots
	Batch    int           // places for requests
	Resident []adapter.Ref // adapters that requests can be admitted to
	// Inherited says that requests of an earlier owner may still run.
	Inherited bool
}

// IsResident reports whether ref is resident.
func (u Usage) IsResident(ref adapter.Ref) bool {
	for _, r := range u.Resident {
		if r == ref {
			return true
		}
	}
	return false
}
