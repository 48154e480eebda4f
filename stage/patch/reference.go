package patch

import (
	"fmt"
	"net/netip"
	"slices"

	"jacinthstage/stage/rule"
)

// reference checks that what the entry names is there.
func (c *Config) reference(i item) error {
	var fault error
	switch i.kind {
	case ItemAdapter:
		fault = c.engine(c.Adapters[i.name].Service)
	case ItemRule:
		fault = c.allowed(c.Rules[i.name])
	case ItemTarget:
		fault = c.placed(i.name)
	case ItemCaller, ItemService:
	default:
		fault = fmt.Errorf("unknown kind %s", i.kind)
	}
	if fault != nil {
		return i.refuse("%v", fault)
	}
	return nil
}

func (c *Config) engine(name string) error {
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

func (c *Config) plain(name string) error {
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

func (c *Config) placed(name string) error {
	entry := c.Targets[name]
	home, ok := c.Services[entry.Service]
	if !ok {
		return fmt.Errorf("service %q is missing", entry.Service)
	}
	return entry.ValidateForKind(home.Kind())
}

func (c *Config) allowed(r rule.Rule) error {
	if _, ok := c.Callers[r.Caller]; single(r.Caller) && !ok {
		return fmt.Errorf("caller %q is missing", r.Caller)
	}
	if single(r.Service) {
		return c.plain(r.Service)
	}
	if !single(r.Adapter) {
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

// dependents checks entries that the patch doesn't touch but that name a
// removed or replaced one. The item at fault is the changed one.
func (d *draft) dependents() error {
	var fault dependent
	if d.replaced(ItemAdapter) || d.replaced(ItemCaller) || d.replaced(ItemService) {
		for name, r := range d.next.Rules {
			fault.note(d, item{ItemRule, name}, item{ItemAdapter, r.Adapter}, item{ItemCaller, r.Caller}, item{ItemService, r.Service})
		}
	}
	if d.replaced(ItemService) {
		for name, a := range d.next.Adapters {
			fault.note(d, item{ItemAdapter, name}, item{ItemService, a.Service})
		}
		for name, t := range d.next.Targets {
			fault.note(d, item{ItemTarget, name}, item{ItemService, t.Service})
		}
	}
	return fault.err
}

// A dependent is the first entry, in order, that a change would break.
type dependent struct {
	user item
	err  error
}

// note checks user where the patch changes one of the entries it names.
func (f *dependent) note(d *draft, user item, named ...item) {
	for _, i := range named {
		if _, ok := d.touched[i]; !ok {
			continue
		}
		err := d.next.reference(user)
		if err == nil || f.err != nil && f.user.kind+f.user.name <= user.kind+user.name {
			continue
		}
		f.user, f.err = user, i.refuse("in use: %v", err)
	}
}

// replaced reports whether the patch removes or replaces an entry of the kind.
func (d *draft) replaced(kind string) bool {
	for i := range d.touched {
		if i.kind == kind && d.had(i) {
			return true
		}
	}
	return false
}

func (d *draft) had(i item) bool {
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

// addresses refuses two targets at one address.
func (d *draft) addresses() error {
	if !d.owned[ItemTarget] {
		return nil
	}
	holders := make(map[netip.AddrPort][]string, len(d.next.Targets))
	for name, t := range d.next.Targets {
		holders[t.Address] = append(holders[t.Address], name)
	}
	for _, i := range d.items {
		address := d.next.Targets[i.name].Address
		if i.kind != ItemTarget || len(holders[address]) < 2 {
			continue
		}
		for _, other := range slices.Sorted(slices.Values(holders[address])) {
			if other != i.name {
				return i.refuse("address %v belongs to target %q", address, other)
			}
		}
	}
	return nil
}
