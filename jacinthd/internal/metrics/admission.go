package metrics

import (
	"strconv"

	"jacinthstage/stage/admission"
)

// AdmissionRefused counts a request that was refused since others go first.
func (m *Host) AdmissionRefused(service, pool string, priority int) {
	m.admissionRefused.WithLabelValues(service, pool, strconv.Itoa(min(max(priority, 0), admission.LowestRank))).Inc()
}

// SetAdmission sets the part of the demand that has room. What isn't among all isn't asked for.
func (m *Host) SetAdmission(all []admission.Level) {
	m.admissionRoom.Reset()
	for _, l := range all {
		m.admissionRoom.WithLabelValues(l.Service, l.Pool.String()).Set(l.Room)
	}
}
