// Package speed learns how fast each target works.
package speed

// A Report is what one host tells others of the speed of a target.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Target uint32   // hash of the target's name
}
