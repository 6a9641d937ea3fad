package history

// reduce merges unclear attempts with the confirmed attempt of the same change, and removes unclear changes that cannot
// have taken effect. Unclear changes have no return time, so the checker may place them anywhere, and each one doubles the
// number of orders to try. The answers to other operations determine the outcome of most of them. The reduced history is
// linearizable if and only if the original one is.
func reduce(operations []Operation) []Operation {
	firstInvoke := map[string]int64{}  // first invocation of each change
	confirmedFirst := map[string]int{} // index of the confirmed attempt of each change that returned first
	successors := map[uint64]string{}  // the confirmed change that replaced each version
	for i, o := range operations {
		if o.Kind == Read || o.Change == "" {
			continue
		}
		if at, ok := firstInvoke[o.Change]; (!ok || o.Invoke < at) && (o.Outcome == Taken || o.Outcome == Unclear) {
			firstInvoke[o.Change] = o.Invoke
		}
		if o.Outcome != Taken {
			continue
		}
		if j, ok := confirmedFirst[o.Change]; !ok || o.Return < operations[j].Return {
			confirmedFirst[o.Change] = i
		}
		if !o.AnyVersion {
			successors[o.ExpectedVersion] = o.Change
		}
	}
	var reduced []Operation
	for i, o := range operations {
		if o.Kind != Read && o.Change != "" {
			index, confirmed := confirmedFirst[o.Change]
			if confirmed && i == index {
				o.Invoke = firstInvoke[o.Change] // any attempt may have taken effect
			}
			winner, replaced := successors[o.ExpectedVersion]
			lost := !o.AnyVersion && replaced && winner != o.Change
			if o.Outcome == Unclear && (confirmed || lost) {
				continue
			}
		}
		reduced = append(reduced, o)
	}
	return reduced
}
