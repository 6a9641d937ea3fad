//go:build !race

package host

// underRace reports whether the race detector is enabled in this build.
const underRace = false
