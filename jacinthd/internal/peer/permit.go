package peer

import "jacinthstage/stage/load"

// Want asks the host that grants loads for permits. The answer is Permits, or a Refusal.
type Want struct {
	Request load.Request `cbor:"1,keyasint"`
}

// Permits answers Want.
type Permits struct {
	Reply load.Reply `cbor:"1,keyasint"`
}

func (Want) message()    {}
func (Permits) message() {}
