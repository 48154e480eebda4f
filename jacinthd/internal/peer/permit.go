package peer

import "jacinthstage/stage/load"

// PermitRequest asks the grantor for permits to load adapters. The response is a
// PermitResponse or a Refusal.
type PermitRequest struct {
	Request load.Request `cbor:"1,keyasint"`
}

// PermitResponse answers a PermitRequest.
type PermitResponse struct {
	Reply load.Reply `cbor:"1,keyasint"`
}

func (PermitRequest) message()  {}
func (PermitResponse) message() {}
