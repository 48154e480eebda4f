// Package patch holds the numbered configuration and the patches that change it.
//
// A Config is immutable. Apply makes the next one from a Patch, or refuses the
// whole patch with the item at fault. Patch N applies to configuration N-1
// only; which of two patches becomes N is decided by the object API's
// conditional create of the object patch/N, not here.
package patch

import (
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// A Config is the configuration at one version. It is immutable: its maps are
// only read once Apply has returned it. The zero value is version 0, empty.
type Config struct {
	Version  uint64
	Adapters map[string]adapter.Adapter
	Callers  map[string]caller.Caller
	Rules    map[string]rule.Rule
	Services map[string]service.Service
	Targets  map[string]target.Target
}
