package patch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"jacinthstage/stage/caller"
	"jacinthstage/stage/rule"
)

// Apply returns the configuration that p makes of c, or a *Refusal that names
// the item at fault. The order of the changes within p doesn't matter: what is
// checked is the configuration that they make together. Its cost is a copy of
// the maps that p touches.
func (c *Config) Apply(p Patch) (*Config, error) {
	if err := c.fits(p); err != nil {
		return nil, err
	}
	d := newDraft(c, p.Number)
	for _, change := range p.Changes {
		if err := d.apply(change); err != nil {
			return nil, err
		}
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	return d.next, nil
}

// fits checks the patch's own fields.
func (c *Config) fits(p Patch) error {
	refuse := func(format string, args ...any) error {
		return &Refusal{Item: ItemPatch, Name: strconv.FormatUint(p.Number, 10), Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case p.Base != c.Version:
		return refuse("made for version %d, the configuration is at %d", p.Base, c.Version)
	case p.Number != p.Base+1:
		return refuse("number doesn't follow base %d", p.Base)
	case len(p.Changes) == 0:
		return refuse("no changes")
	case len(p.Changes) > MaxChanges:
		return refuse("%d changes, more than %d", len(p.Changes), MaxChanges)
	}
	texts := []struct{ name, text string }{{"id", p.ID}, {"author", p.Author}, {"reason", p.Reason}}
	for _, t := range texts {
		if t.text == "" {
			return refuse("no %s", t.name)
		}
		if len(t.text) > MaxTextLen {
			return refuse("%s is longer than %d bytes", t.name, MaxTextLen)
		}
	}
	return nil
}

// An item is an entry's kind and name.
type item struct{ kind, name string }

func (i item) refuse(format string, args ...any) error {
	return &Refusal{Item: i.kind, Name: i.name, Reason: fmt.Sprintf(format, args...)}
}

// A draft is the next configuration while changes are applied to it.
type draft struct {
	old, next *Config
	owned     map[string]bool // kinds whose maps were copied
	touched   map[item]bool   // true where the entry was put, false where removed
	items     []item          // what was touched, sorted once all changes are applied
}

func newDraft(old *Config, version uint64) *draft {
	next := *old
	next.Version = version
	return &draft{old: old, next: &next, owned: map[string]bool{}, touched: map[item]bool{}}
}

func (d *draft) apply(change Change) error {
	n := d.next
	switch x := change.(type) {
	case PutAdapter:
		return put(d, &n.Adapters, ItemAdapter, x.Adapter.Name, x.Adapter)
	case PutCaller:
		return put(d, &n.Callers, ItemCaller, x.Caller.Name, x.Caller)
	case PutRule:
		return put(d, &n.Rules, ItemRule, x.Rule.Name, x.Rule)
	case PutService:
		return put(d, &n.Services, ItemService, x.Service.Name, x.Service)
	case PutTarget:
		return put(d, &n.Targets, ItemTarget, x.Target.Name, x.Target)
	case RemoveAdapter:
		return remove(d, &n.Adapters, ItemAdapter, x.Name)
	case RemoveCaller:
		return remove(d, &n.Callers, ItemCaller, x.Name)
	case RemoveRule:
		return remove(d, &n.Rules, ItemRule, x.Name)
	case RemoveService:
		return remove(d, &n.Services, ItemService, x.Name)
	case RemoveTarget:
		return remove(d, &n.Targets, ItemTarget, x.Name)
	default:
		return item{ItemPatch, fmt.Sprint(d.next.Version)}.refuse("unknown change %T", change)
	}
}

// A checker is an entry that knows its own rules.
type checker interface{ Validate() error }

func put[V checker](d *draft, entries *map[string]V, kind, name string, entry V) error {
	i := item{kind, name}
	if err := d.touch(i, true); err != nil {
		return err
	}
	if err := entry.Validate(); err != nil {
		return i.refuse("%v", err)
	}
	own(d, entries, kind)
	(*entries)[name] = entry
	return nil
}

func remove[V any](d *draft, entries *map[string]V, kind, name string) error {
	i := item{kind, name}
	if err := d.touch(i, false); err != nil {
		return err
	}
	if _, ok := (*entries)[name]; !ok {
		return i.refuse("missing, can't be removed")
	}
	own(d, entries, kind)
	delete(*entries, name)
	return nil
}

func (d *draft) touch(i item, put bool) error {
	if _, twice := d.touched[i]; twice {
		return i.refuse("changed twice in one patch")
	}
	d.touched[i] = put
	return nil
}

// own copies a map before the first change to it.
func own[K comparable, V any](d *draft, entries *map[K]V, kind string) {
	if d.owned[kind] {
		return
	}
	d.owned[kind] = true
	if *entries == nil {
		*entries = map[K]V{}
		return
	}
	*entries = maps.Clone(*entries)
}

// check holds the rules between entries, and brings the indexes up to date.
func (d *draft) check() error {
	d.sort()
	for _, i := range d.items {
		if !d.touched[i] {
			continue
		}
		if err := d.next.reference(i); err != nil {
			return err
		}
	}
	if err := d.dependents(); err != nil {
		return err
	}
	if err := d.addresses(); err != nil {
		return err
	}
	d.grant()
	return d.tokens()
}

// sort gives the checks one order, so that the same patch gets the same refusal.
func (d *draft) sort() {
	for i := range d.touched {
		d.items = append(d.items, i)
	}
	slices.SortFunc(d.items, func(a, b item) int {
		return cmp.Or(strings.Compare(a.kind, b.kind), strings.Compare(a.name, b.name))
	})
}

// grant brings the index of grants up to date.
func (d *draft) grant() {
	for _, i := range d.items {
		if i.kind != ItemRule {
			continue
		}
		own(d, &d.next.grants, "grants")
		if old, ok := d.old.Rules[i.name]; ok {
			d.regrant(grantOf(old), func(names []string) []string {
				return slices.DeleteFunc(names, func(n string) bool { return n == i.name })
			})
		}
		if entry, ok := d.next.Rules[i.name]; ok {
			d.regrant(grantOf(entry), func(names []string) []string { return append(names, i.name) })
		}
	}
}

// regrant changes the rules of one grant on a copy.
func (d *draft) regrant(g grant, change func([]string) []string) {
	names := change(slices.Clone(d.next.grants[g]))
	if len(names) == 0 {
		delete(d.next.grants, g)
		return
	}
	slices.Sort(names)
	d.next.grants[g] = names
}

// tokens brings the index of tokens up to date and refuses one that two callers have.
func (d *draft) tokens() error {
	for _, i := range d.items {
		if i.kind != ItemCaller {
			continue
		}
		own(d, &d.next.tokens, "tokens")
		for _, text := range d.old.Callers[i.name].Tokens {
			delete(d.next.tokens, hashOf(text))
		}
	}
	for _, i := range d.items {
		if i.kind != ItemCaller {
			continue
		}
		for _, text := range d.next.Callers[i.name].Tokens {
			hash := hashOf(text)
			if other, ok := d.next.tokens[hash]; ok {
				return i.refuse("token %s belongs to caller %q", text, other)
			}
			d.next.tokens[hash] = i.name
		}
	}
	return nil
}

// hashOf reads a hash that Check has passed.
func hashOf(text string) caller.TokenHash {
	hash, _ := caller.ParseTokenHash(text)
	return hash
}

// single reports whether a rule's field names an entry of its own, not all.
func single(text string) bool { return text != "" && text != rule.All }
