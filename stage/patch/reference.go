package patch

import (
	"fmt"
	"net/netip"
	"slices"

	"jacinthstage/stage/rule"
)

// validateReferences checks that the entries that the item refers to exist and
// have the right kind.
func (c *Config) validateReferences(i item) error {
	var err error
	switch i.kind {
	case ItemAdapter:
		err = c.requireEngineService(c.Adapters[i.name].Service)
	case ItemRule:
		err = c.validateRule(c.Rules[i.name])
	case ItemTarget:
		err = c.validateTarget(i.name)
	case ItemCaller, ItemService:
	default:
		err = fmt.Errorf("unknown kind %s", i.kind)
	}
	if err != nil {
		return i.refuse("%v", err)
	}
	return nil
}

// requireEngineService returns an error unless the named service exists and is an
// engine service.
func (c *Config) requireEngineService(name string) error {
	entry, ok := c.Services[name]
	switch {
	case !ok:
		return fmt.Errorf("service %q is missing", name)
	case entry.Engine == nil:
		return fmt.Errorf("service %q is not an engine service", name)
	default:
		return nil
	}
}

// requirePlainService returns an error unless the named service exists and is a
// plain service.
func (c *Config) requirePlainService(name string) error {
	entry, ok := c.Services[name]
	switch {
	case !ok:
		return fmt.Errorf("service %q is missing", name)
	case entry.Plain == nil:
		return fmt.Errorf("service %q is not a plain service", name)
	default:
		return nil
	}
}

// validateTarget checks that the service of the named target exists and that the
// target suits its kind.
func (c *Config) validateTarget(name string) error {
	entry := c.Targets[name]
	svc, ok := c.Services[entry.Service]
	if !ok {
		return fmt.Errorf("service %q is missing", entry.Service)
	}
	return entry.ValidateForKind(svc.Kind())
}

// validateRule checks that the caller and the service or adapter versions that the
// rule names exist.
func (c *Config) validateRule(r rule.Rule) error {
	if _, ok := c.Callers[r.Caller]; namesOne(r.Caller) && !ok {
		return fmt.Errorf("caller %q is missing", r.Caller)
	}
	if namesOne(r.Service) {
		return c.requirePlainService(r.Service)
	}
	if !namesOne(r.Adapter) {
		return nil
	}
	entry, ok := c.Adapters[r.Adapter]
	if !ok {
		return fmt.Errorf("adapter %q is missing", r.Adapter)
	}
	for _, v := range r.Versions {
		if !entry.HasVersion(v) {
			return fmt.Errorf("adapter %q has no version %q", r.Adapter, v)
		}
	}
	return nil
}

// validateDependents checks the entries that refer to an entry that the patch
// removes or replaces. The refusal names the removed or replaced entry as the item
// at fault.
func (d *draft) validateDependents() error {
	var first dependentFault
	if d.changesExisting(ItemAdapter) || d.changesExisting(ItemCaller) || d.changesExisting(ItemService) {
		for name, r := range d.next.Rules {
			first.check(d, item{ItemRule, name}, item{ItemAdapter, r.Adapter}, item{ItemCaller, r.Caller}, item{ItemService, r.Service})
		}
	}
	if d.changesExisting(ItemService) {
		for name, a := range d.next.Adapters {
			first.check(d, item{ItemAdapter, name}, item{ItemService, a.Service})
		}
		for name, t := range d.next.Targets {
			first.check(d, item{ItemTarget, name}, item{ItemService, t.Service})
		}
	}
	return first.err
}

// dependentFault is the first fault found among dependent entries, in the order of
// the dependents' kinds and names. The order makes the refusal independent of the
// iteration order of maps.
type dependentFault struct {
	dependent item
	err       error
}

// check checks the dependent entry if the patch changes one of the entries that it
// refers to.
func (f *dependentFault) check(d *draft, dependent item, references ...item) {
	for _, i := range references {
		if _, ok := d.changed[i]; !ok {
			continue
		}
		err := d.next.validateReferences(dependent)
		if err == nil || f.err != nil && f.dependent.kind+f.dependent.name <= dependent.kind+dependent.name {
			continue
		}
		f.dependent, f.err = dependent, i.refuse("in use: %v", err)
	}
}

// changesExisting reports whether the patch removes or replaces an entry of the
// kind.
func (d *draft) changesExisting(kind string) bool {
	for i := range d.changed {
		if i.kind == kind && d.existed(i) {
			return true
		}
	}
	return false
}

// existed reports whether the old configuration has the adapter, caller or service.
func (d *draft) existed(i item) bool {
	var ok bool
	switch i.kind {
	case ItemAdapter:
		_, ok = d.old.Adapters[i.name]
	case ItemCaller:
		_, ok = d.old.Callers[i.name]
	case ItemService:
		_, ok = d.old.Services[i.name]
	}
	return ok
}

// validateAddresses refuses two targets with the same address. The refusal names
// the target that the patch changes.
func (d *draft) validateAddresses() error {
	if !d.cloned[ItemTarget] {
		return nil
	}
	namesByAddress := make(map[netip.AddrPort][]string, len(d.next.Targets))
	for name, t := range d.next.Targets {
		namesByAddress[t.Address] = append(namesByAddress[t.Address], name)
	}
	for _, i := range d.items {
		address := d.next.Targets[i.name].Address
		if i.kind != ItemTarget || len(namesByAddress[address]) < 2 {
			continue
		}
		for _, other := range slices.Sorted(slices.Values(namesByAddress[address])) {
			if other != i.name {
				return i.refuse("address %v belongs to target %q", address, other)
			}
		}
	}
	return nil
}
