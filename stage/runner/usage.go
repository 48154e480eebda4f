package runner

import "jacinthstage/stage/adapter"

// Usage is the current usage of a runner, for load hints and metrics.
type Usage struct {
	Waiting  int           // requests queued at the owner
	Running  int           // requests admitted and not ended
	Slots    int           // adapter slots
	Batch    int           // batch slots
	Resident []adapter.Ref // adapters that requests can be admitted to
	// Inherited reports whether requests of a previous owner may still run.
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
