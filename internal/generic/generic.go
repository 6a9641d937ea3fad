// Package generic holds the few type-parameterized helpers that several packages share.
package generic

import (
	"cmp"
	"maps"
	"slices"
)

// SetDefault sets a field that was left at its zero value.
func SetDefault[T comparable](p *T, def T) {
	var none T
	if *p == none {
		*p = def
	}
}

// One gives 1 for true and 0 for false.
func One(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// SortedKeys lists the keys of a map in ascending order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
