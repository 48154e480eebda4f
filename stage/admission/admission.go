// Package admission decides which requests get the room that is short: by rank, and within a
// rank by fair shares of the client accounts.
package admission

// A Report is what one host tells others of the requests for a service.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service uint32   // hash of the service's name
}
