package patch

import (
	"fmt"
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// Limits of one patch.
const (
	MaxChanges = 10000   // number of changes
	MaxTextLen = 1000    // bytes of each of author, reason and id
	MaxSize    = 1 << 20 // bytes of an encoded patch
)

// Patch changes the configuration from version Base to version Number, which is
// Base+1. Patches are kept forever because they are the audit trail.
type Patch struct {
	Number uint64
	Base   uint64
	// ID is unique to each patch that an operator sends. If the response to
	// the write is lost, the ID shows whether the stored patch is this one.
	ID      string
	Author  string
	Reason  string
	Time    time.Time // when the patch was sent, according to the operator's clock
	Changes []Change
}

// Change puts or removes one entry. A put adds the entry or replaces the entry of
// the same name.
type Change interface{ change() }

// PutAdapter adds or replaces an adapter entry.
type PutAdapter struct{ Adapter adapter.Adapter }

// PutCaller adds or replaces a caller.
type PutCaller struct{ Caller caller.Caller }

// PutRule adds or replaces a rule.
type PutRule struct{ Rule rule.Rule }

// PutService adds or replaces a service.
type PutService struct{ Service service.Service }

// PutTarget adds or replaces a target.
type PutTarget struct{ Target target.Target }

// RemoveAdapter removes the adapter entry with the given name.
type RemoveAdapter struct{ Name string }

// RemoveCaller removes the caller with the given name.
type RemoveCaller struct{ Name string }

// RemoveRule removes the rule with the given name.
type RemoveRule struct{ Name string }

// RemoveService removes the service with the given name.
type RemoveService struct{ Name string }

// RemoveTarget removes the target with the given name.
type RemoveTarget struct{ Name string }

func (PutAdapter) change()    {}
func (PutCaller) change()     {}
func (PutRule) change()       {}
func (PutService) change()    {}
func (PutTarget) change()     {}
func (RemoveAdapter) change() {}
func (RemoveCaller) change()  {}
func (RemoveRule) change()    {}
func (RemoveService) change() {}
func (RemoveTarget) change()  {}

// Kinds of item that a Refusal names.
const (
	ItemPatch   = "patch"
	ItemAdapter = "adapter"
	ItemCaller  = "caller"
	ItemRule    = "rule"
	ItemService = "service"
	ItemTarget  = "target"
)

// Refusal is the error for a refused patch. It names the item at fault and the
// reason.
type Refusal struct {
	Item   string // one of the Item constants
	Name   string // name of the item, or the number of a patch
	Reason string
}

// Error returns the item's kind, its name and the reason.
func (r *Refusal) Error() string {
	if r.Item == ItemPatch {
		return fmt.Sprintf("%s %s: %s", r.Item, r.Name, r.Reason)
	}
	return fmt.Sprintf("%s %.200q: %s", r.Item, r.Name, r.Reason)
}

// Describe returns a short description of a change, such as "put adapter fees".
func Describe(change Change) string {
	r, err := newRecord(change)
	switch {
	case err != nil:
		return err.Error()
	case r.Put != nil:
		return "put " + r.Put.describe()
	default:
		return "remove " + r.Remove.describe()
	}
}

func (e entry) describe() string {
	switch {
	case e.Adapter != nil:
		return ItemAdapter + " " + e.Adapter.Name
	case e.Caller != nil:
		return ItemCaller + " " + e.Caller.Name
	case e.Rule != nil:
		return ItemRule + " " + e.Rule.Name
	case e.Service != nil:
		return ItemService + " " + e.Service.Name
	default:
		return ItemTarget + " " + e.Target.Name
	}
}

func (n names) describe() string {
	switch {
	case n.Adapter != "":
		return ItemAdapter + " " + n.Adapter
	case n.Caller != "":
		return ItemCaller + " " + n.Caller
	case n.Rule != "":
		return ItemRule + " " + n.Rule
	case n.Service != "":
		return ItemService + " " + n.Service
	default:
		return ItemTarget + " " + n.Target
	}
}
