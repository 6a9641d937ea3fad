package history

// Unclear changes have no end, so a checker may place them anywhere, and each one doubles the orders to
// try. Most of them are settled by what others were told. reduce takes those out; exactly the same
// histories stay linearizable.

// reduce joins unclear attempts with the confirmed attempt of the same change, and leaves out unclear
// changes that cannot have taken effect.
func reduce(operations []Operation) []Operation {
	began := map[string]int64{}   // of each change, its first attempt
	first := map[string]int{}     // of each confirmed change, the confirmed attempt that ended first
	leaves := map[uint64]string{} // of each version, the confirmed change that went on it
	for i, o := range operations {
		if o.Kind == Read || o.Change == "" {
			continue
		}
		if at, ok := began[o.Change]; (!ok || o.Invoke < at) && (o.Outcome == Taken || o.Outcome == Unclear) {
			began[o.Change] = o.Invoke
		}
		if o.Outcome != Taken {
			continue
		}
		if j, ok := first[o.Change]; !ok || o.Return < operations[j].Return {
			first[o.Change] = i
		}
		if !o.Any {
			leaves[o.Expect] = o.Change
		}
	}
	var l []Operation
	for i, o := range operations {
		if o.Kind != Read && o.Change != "" {
			taken, confirmed := first[o.Change]
			if confirmed && i == taken {
				o.Invoke = began[o.Change] // any attempt may have brought it about
			}
			winner, left := leaves[o.Expect]
			lost := !o.Any && left && winner != o.Change
			if o.Outcome == Unclear && (confirmed || lost) {
				continue
			}
		}
		l = append(l, o)
	}
	return l
}
