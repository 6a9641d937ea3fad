// Package generic contains small generic helpers that several packages share.
package generic

import (
	"cmp"
	"maps"
	"slices"
)

// SetDefault sets *p to def if it has its zero value.
func SetDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}

// BoolToInt returns 1 for true and 0 for false.
func BoolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// SortedKeys returns the keys of a map in ascending order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
