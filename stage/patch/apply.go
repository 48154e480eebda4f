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

// Apply returns the configuration that results from applying p to c, or a
// *Refusal that names the item at fault. The order of the changes within p
// doesn't matter, because references between entries are checked in the resulting
// configuration. Apply copies the maps that p changes, which makes up its cost.
func (c *Config) Apply(p Patch) (*Config, error) {
	if err := c.validatePatch(p); err != nil {
		return nil, err
	}
	d := newDraft(c, p.Number)
	for _, change := range p.Changes {
		if err := d.apply(change); err != nil {
			return nil, err
		}
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return d.next, nil
}

// validatePatch checks the numbers, the number of changes and the texts of the
// patch, but not the changes themselves.
func (c *Config) validatePatch(p Patch) error {
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
	fields := []struct{ name, text string }{{"id", p.ID}, {"author", p.Author}, {"reason", p.Reason}}
	for _, f := range fields {
		if f.text == "" {
			return refuse("no %s", f.name)
		}
		if len(f.text) > MaxTextLen {
			return refuse("%s is longer than %d bytes", f.name, MaxTextLen)
		}
	}
	return nil
}

// item identifies an entry by its kind and name.
type item struct{ kind, name string }

func (i item) refuse(format string, args ...any) error {
	return &Refusal{Item: i.kind, Name: i.name, Reason: fmt.Sprintf(format, args...)}
}

// draft is the next configuration while the changes of a patch are applied to it.
type draft struct {
	old, next *Config
	cloned    map[string]bool // kinds and indexes whose maps are copies already
	changed   map[item]bool   // changed entries: true if put, false if removed
	items     []item          // keys of changed, sorted after all changes are applied
}

func newDraft(old *Config, version uint64) *draft {
	next := *old
	next.Version = version
	return &draft{old: old, next: &next, cloned: map[string]bool{}, changed: map[item]bool{}}
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

// validator is an entry that can check itself without other entries.
type validator interface{ Validate() error }

func put[V validator](d *draft, entries *map[string]V, kind, name string, entry V) error {
	i := item{kind, name}
	if err := d.markChanged(i, true); err != nil {
		return err
	}
	if err := entry.Validate(); err != nil {
		return i.refuse("%v", err)
	}
	cloneOnce(d, entries, kind)
	(*entries)[name] = entry
	return nil
}

func remove[V any](d *draft, entries *map[string]V, kind, name string) error {
	i := item{kind, name}
	if err := d.markChanged(i, false); err != nil {
		return err
	}
	if _, ok := (*entries)[name]; !ok {
		return i.refuse("missing, can't be removed")
	}
	cloneOnce(d, entries, kind)
	delete(*entries, name)
	return nil
}

// markChanged records that an item was put or removed. It refuses a second change
// of the same item.
func (d *draft) markChanged(i item, put bool) error {
	if _, ok := d.changed[i]; ok {
		return i.refuse("changed twice in one patch")
	}
	d.changed[i] = put
	return nil
}

// cloneOnce copies a map before the first change to it. The map is that of a kind
// of entry or an index, and kind is its key in d.cloned.
func cloneOnce[K comparable, V any](d *draft, entries *map[K]V, kind string) {
	if d.cloned[kind] {
		return
	}
	d.cloned[kind] = true
	if *entries == nil {
		*entries = map[K]V{}
		return
	}
	*entries = maps.Clone(*entries)
}

// validate checks the references between entries and updates the indexes.
func (d *draft) validate() error {
	d.sortItems()
	for _, i := range d.items {
		if !d.changed[i] {
			continue
		}
		if err := d.next.validateReferences(i); err != nil {
			return err
		}
	}
	if err := d.validateDependents(); err != nil {
		return err
	}
	if err := d.validateAddresses(); err != nil {
		return err
	}
	d.updateGrants()
	return d.updateTokens()
}

// sortItems sorts the changed items. This gives the checks a fixed order, so that
// a patch always gets the same refusal.
func (d *draft) sortItems() {
	for i := range d.changed {
		d.items = append(d.items, i)
	}
	slices.SortFunc(d.items, func(a, b item) int {
		return cmp.Or(strings.Compare(a.kind, b.kind), strings.Compare(a.name, b.name))
	})
}

// updateGrants updates the index rulesByGrant.
func (d *draft) updateGrants() {
	for _, i := range d.items {
		if i.kind != ItemRule {
			continue
		}
		cloneOnce(d, &d.next.rulesByGrant, "grants")
		if old, ok := d.old.Rules[i.name]; ok {
			d.updateGrant(grantOf(old), func(names []string) []string {
				return slices.DeleteFunc(names, func(n string) bool { return n == i.name })
			})
		}
		if entry, ok := d.next.Rules[i.name]; ok {
			d.updateGrant(grantOf(entry), func(names []string) []string { return append(names, i.name) })
		}
	}
}

// updateGrant applies change to a copy of the rule names of one grant, because
// the old configuration shares the original slice.
func (d *draft) updateGrant(g grant, change func([]string) []string) {
	names := change(slices.Clone(d.next.rulesByGrant[g]))
	if len(names) == 0 {
		delete(d.next.rulesByGrant, g)
		return
	}
	slices.Sort(names)
	d.next.rulesByGrant[g] = names
}

// updateTokens updates the index callersByToken. It refuses a token that two
// callers share.
func (d *draft) updateTokens() error {
	for _, i := range d.items {
		if i.kind != ItemCaller {
			continue
		}
		cloneOnce(d, &d.next.callersByToken, "tokens")
		for _, text := range d.old.Callers[i.name].Tokens {
			delete(d.next.callersByToken, hashOf(text))
		}
	}
	for _, i := range d.items {
		if i.kind != ItemCaller {
			continue
		}
		for _, text := range d.next.Callers[i.name].Tokens {
			hash := hashOf(text)
			if other, ok := d.next.callersByToken[hash]; ok {
				return i.refuse("token %s belongs to caller %q", text, other)
			}
			d.next.callersByToken[hash] = i.name
		}
	}
	return nil
}

// hashOf parses a token hash that Validate has accepted.
func hashOf(text string) caller.TokenHash {
	hash, _ := caller.ParseTokenHash(text)
	return hash
}

// namesOne reports whether a field of a rule names a single entry: it is neither
// empty nor rule.All.
func namesOne(text string) bool { return text != "" && text != rule.All }
