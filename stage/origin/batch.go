package origin

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A Batch is the value of the object in which a host keeps the origins of recent streams while a
// service has targets of several builds.
type Batch struct {
	Written time.Time `json:"written"` // by the time of day of the host
	Origins []Origin  `json:"origins"`
}

// BatchPrefix is the prefix of the keys of batches.
const BatchPrefix = "origins/"

// BatchKey returns the key of the batch that a host writes.
func BatchKey(host string) string { return BatchPrefix + host }

// Encode returns the value of the batch's object.
func (b Batch) Encode() []byte {
	data, err := cbor.Marshal(b)
	if err != nil {
		panic(errors.Wrap(err, "origin: encode batch"))
	}
	return data
}

// DecodeBatch returns the batch in the value of an object.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	err := cbor.Unmarshal(data, &b)
	return b, errors.Wrap(err, "origin: decode batch")
}
