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

// The limits of one patch.
const (
	MaxChanges = 10000 // changes
	MaxTextLen = 1000  // bytes of author, reason or id
	MaxSize    = 1 << 20
)

// A Patch changes the configuration from version Base to version Number, which
// is Base+1. Patches are kept for good: they are the audit trail.
type Patch struct {
	Number uint64
	Base   uint64
	// ID is unique to each patch that an operator sends; by it a lost answer
	// is settled.
	ID      string
	Author  string
	Reason  string
	Time    time.Time // when the patch was sent, by the operator's clock
	Changes []Change
}

// A Change puts or removes one entry. Put replaces an entry of the same name.
type Change interface{ change() }

// PutAdapter puts an adapter entry.
type PutAdapter struct{ Adapter adapter.Adapter }

// PutCaller puts a caller.
type PutCaller struct{ Caller caller.Caller }

// PutRule puts a rule.
type PutRule struct{ Rule rule.Rule }

// PutService puts a service.
type PutService struct{ Service service.Service }

// PutTarget puts a target.
type PutTarget struct{ Target target.Target }

// RemoveAdapter removes the adapter entry of that name.
type RemoveAdapter struct{ Name string }

// RemoveCaller removes the caller of that name.
type RemoveCaller struct{ Name string }

// RemoveRule removes the rule of that name.
type RemoveRule struct{ Name string }

// RemoveService removes the service of that name.
type RemoveService struct{ Name string }

// RemoveTarget removes the target of that name.
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

// The kinds of item that a Refusal names.
const (
	ItemPatch   = "patch"
	ItemAdapter = "adapter"
	ItemCaller  = "caller"
	ItemRule    = "rule"
	ItemService = "service"
	ItemTarget  = "target"
)

// A Refusal says why a patch was refused and which item is at fault.
type Refusal struct {
	Item   string // one of the Item constants
	Name   string // the item's name; for a patch its number
	Reason string
}

// Error returns the item, its name and the reason.
func (r *Refusal) Error() string {
	if r.Item == ItemPatch {
		return fmt.Sprintf("%s %s: %s", r.Item, r.Name, r.Reason)
	}
	return fmt.Sprintf("%s %.200q: %s", r.Item, r.Name, r.Reason)
}

// Describe returns what a change does, such as "put adapter fees".
func Describe(change Change) string {
	r, err := recordOf(change)
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
