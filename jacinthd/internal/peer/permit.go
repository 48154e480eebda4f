package peer

import "jacinthstage/stage/load"

// PermitRequest asks the host that grants loads for permits. The answer is Permits, or a Refusal.
type PermitRequest struct {
	Request load.Request `cbor:"1,keyasint"`
}

// PermitResponse answers Want.
type PermitResponse struct {
	Reply load.Reply `cbor:"1,keyasint"`
}

func (PermitRequest) message()  {}
func (PermitResponse) message() {}
