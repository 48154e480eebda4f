package relay

import (
	"jacinthstage/stage/admission"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/speed"
)

// Extra is what a host tells another beside a Digest, where the configuration calls for it.
// Hosts of builds before it ignore it.
type Extra struct {
	_          struct{} `cbor:",toarray"`
	Quotas     []quota.Report
	Speeds     []speed.Report
	Admissions []admission.Report
}

// IsZero reports whether there is nothing to tell.
func (x Extra) IsZero() bool {
	return len(x.Quotas) == 0 && len(x.Speeds) == 0 && len(x.Admissions) == 0
}
