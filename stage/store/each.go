package store

import (
	"context"
	"time"
)

// Each calls handle for each object whose key begins with prefix. timeout limits each call
// to the store.
func Each(ctx context.Context, from Objects, prefix string, timeout time.Duration, handle func(Object)) error {
	after := ""
	for {
		page, err := listPage(ctx, from, prefix, after, timeout)
		if err != nil {
			return err
		}
		for _, o := range page.Objects {
			after = o.Key
			handle(o)
		}
		if !page.More || len(page.Objects) == 0 {
			return nil
		}
	}
}

func listPage(ctx context.Context, from Objects, prefix, after string, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return from.List(ctx, prefix, after)
}
