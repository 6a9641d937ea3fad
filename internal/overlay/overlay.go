// Package overlay writes overlays for go build that replace pieces of the sources. Tests use them to verify that a check
// fails when a safety condition is removed. The sources in the tree are not modified.
package overlay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Edit replaces a piece of text in a source file.
type Edit struct {
	File string // path relative to the root of the repository
	Old  string // must occur exactly once in the file
	New  string
}

// Write writes the edited files into a directory and returns the path of the file to pass to `go build -overlay`.
func Write(root, dir string, edits []Edit) (string, error) {
	texts := map[string]string{}
	for _, e := range edits {
		path := filepath.Join(root, e.File)
		if texts[path] == "" {
			raw, err := os.ReadFile(path)
			if err != nil {
				return "", errors.Wrap(err, "read source")
			}
			texts[path] = string(raw)
		}
		if n := strings.Count(texts[path], e.Old); n != 1 {
			return "", errors.Errorf("%s: the text %q of the edit occurs %d times instead of once", e.File, e.Old, n)
		}
		texts[path] = strings.Replace(texts[path], e.Old, e.New, 1)
	}
	replace := map[string]string{}
	for path, text := range texts {
		edited := filepath.Join(dir, strconv.Itoa(len(replace))+".go")
		if err := os.WriteFile(edited, []byte(text), 0o644); err != nil {
			return "", errors.Wrap(err, "write edited source")
		}
		replace[path] = edited
	}
	raw, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	if err != nil {
		return "", errors.Wrap(err, "write overlay")
	}
	name := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(name, raw, 0o644); err != nil {
		return "", errors.Wrap(err, "write overlay")
	}
	return name, nil
}
