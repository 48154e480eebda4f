package suspect

import "slices"

// A Request is what List knows of a request. Traits that are zero are unknown.
//
// A request that comes again may do so with other headers and another query, so its repeats
// have the trait Repeat in common, which holds the caller. Content doesn't, since a caller may
// come from several addresses.
type Request struct {
	// Exact is that of the same bytes of the same caller. It is never refused by itself: an
	// answer to it shows that it is not what the other traits stand for.
	Exact   Trait
	Repeat  Trait   // the same caller, path and body
	Content Trait   // the same bytes of any caller
	Parts   []Trait // those of its prompt
}

// Traits returns the traits that may be refused.
func (r Request) Traits() []Trait {
	all := make([]Trait, 0, 2+len(r.Parts))
	for _, t := range []Trait{r.Repeat, r.Content} {
		if t != 0 {
			all = append(all, t)
		}
	}
	return append(all, r.Parts...)
}

// isAmbiguous reports whether several of the request's traits are refused that other requests
// have by themselves. Its repeats and its content stand for the same request.
func (r Request) isAmbiguous(refused []Trait) bool {
	if slices.Contains(refused, r.Repeat) && slices.Contains(refused, r.Content) {
		return len(refused) > 2
	}
	return len(refused) > 1
}
