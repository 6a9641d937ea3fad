// Package overlay builds the product with edited sources, to show that a check notices when a safety
// condition is taken out. The sources in the tree stay as they are. It is used by tests only.
package overlay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Edit replaces one piece of text in one source file.
type Edit struct {
	File string // from the root of the repository
	Old  string // must stand in the file exactly once
	New  string
}

// Write puts the edited files into a folder, and gives the name of the file that `go build -overlay` wants.
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
			return "", errors.Errorf("%s: the edit of %q matches %d times, not once", e.File, e.Old, n)
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
