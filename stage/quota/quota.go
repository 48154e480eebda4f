// Package quota limits what all hosts together send for one client account.
package quota

// A Unit is what a limit counts.
type Unit uint8

// The units of limits.
const (
	Requests Unit = iota
	Tokens        // of the prompt and of the longest answer
)

// A Limit is the quota of a client account. The zero value sets none.
type Limit struct {
	Unit      Unit
	Rate      float64 // units per second; 0 sets no limit
	Burst     float64 // units beyond the rate, once
	PlainCost float64 // units of a request that doesn't tell its tokens, where Unit is Tokens
}

// A Report is what one host tells others of the quota of an account.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Account uint32   // hash of the account's name
}
