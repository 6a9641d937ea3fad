package controller

import (
	"fmt"
	"sort"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Checks of servers' reports for contradictions.

// maxSize is an upper bound of every valid size, room and number of slots.
const maxSize = 1 << 30

// contradiction describes the first contradiction or out-of-range number in a report, or returns an empty string.
func contradiction(r protocol.ServerReport) string {
	if r.Room < 0 || r.Room > maxSize || r.Slots < 1 || r.Slots > maxSize {
		return fmt.Sprintf("room %d, slots %d", r.Room, r.Slots)
	}
	total := 0
	seen := map[ident.Key]bool{}
	models := append([]protocol.HeldKey{}, r.Held...)
	sort.Slice(models, func(i, j int) bool { return models[i].Key < models[j].Key })
	for _, model := range models {
		switch {
		case model.Key == "":
			return "an empty key"
		case seen[model.Key]:
			return fmt.Sprintf("%s is listed twice", model.Key)
		case model.Size < 1 || model.Size > maxSize:
			return fmt.Sprintf("%s has size %d", model.Key, model.Size)
		case model.Active < 0 || model.AgeMs < 0:
			return fmt.Sprintf("%s has %d active requests and age %d ms", model.Key, model.Active, model.AgeMs)
		case model.Stage != "loading" && model.Stage != "ready":
			return fmt.Sprintf("%s has unknown stage %q", model.Key, model.Stage)
		}
		seen[model.Key] = true
		if total += model.Size; total > r.Room {
			return fmt.Sprintf("models of size %d in a room of %d", total, r.Room)
		}
	}
	return ""
}
