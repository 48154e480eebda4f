package origin

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Builds holds, for each service, the builds that its targets had lately, sorted. It is kept in
// the store, so that a host knows after the end of all hosts whether a stream may have begun at
// another build than the one that it sees.
type Builds map[string][]string

// BuildsKey is the key of the object that holds the builds of all services.
const BuildsKey = "builds/all"

// storedBuilds is the value of that object.
type storedBuilds struct {
	Services Builds `json:"services"`
}

// Encode returns the value of the object that holds the builds.
func (b Builds) Encode() []byte {
	data, err := cbor.Marshal(storedBuilds{Services: b})
	if err != nil {
		panic(errors.Wrap(err, "origin: encode builds"))
	}
	return data
}

// DecodeBuilds returns the builds in the value of an object.
func DecodeBuilds(data []byte) (Builds, error) {
	var s storedBuilds
	err := cbor.Unmarshal(data, &s)
	return s.Services, errors.Wrap(err, "origin: decode builds")
}

// Equal reports whether both name the same builds of the same services.
func (b Builds) Equal(other Builds) bool { return maps.EqualFunc(b, other, slices.Equal) }

// Several reports whether a service has several builds.
func (b Builds) Several() bool {
	for _, names := range b {
		if len(names) > 1 {
			return true
		}
	}
	return false
}
