package controller

import (
	"fmt"
	"sort"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// What a server reports is checked for contradictions before it is believed.

// mostSize is past any size, room or number of slots that there is.
const mostSize = 1 << 30

// oddity finds what in a report contradicts itself. Numbers past any bound are no numbers.
func oddity(r protocol.Report) string {
	if r.Room < 0 || r.Room > mostSize || r.Slots < 1 || r.Slots > mostSize {
		return fmt.Sprintf("room %d, slots %d", r.Room, r.Slots)
	}
	sum := 0
	seen := map[ident.Key]bool{}
	l := append([]protocol.Held{}, r.Held...)
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	for _, h := range l {
		switch {
		case h.Key == "":
			return "a key without a name"
		case seen[h.Key]:
			return fmt.Sprintf("%s twice", h.Key)
		case h.Size < 1 || h.Size > mostSize:
			return fmt.Sprintf("%s of size %d", h.Key, h.Size)
		case h.Active < 0 || h.AgeMs < 0:
			return fmt.Sprintf("%s with %d under way for %d ms", h.Key, h.Active, h.AgeMs)
		case h.Stage != "loading" && h.Stage != "ready":
			return fmt.Sprintf("%s at stage %q", h.Key, h.Stage)
		}
		seen[h.Key] = true
		if sum += h.Size; sum > r.Room {
			return fmt.Sprintf("%d held in a room of %d", sum, r.Room)
		}
	}
	return ""
}
