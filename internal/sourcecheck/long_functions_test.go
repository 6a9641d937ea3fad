// Package sourcecheck contains checks of the repository's own sources that none of the linters in use provides.
package sourcecheck

import (
	"bufio"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// maxLines is the maximum length of a function, from its first line to its closing brace.
	maxLines = 60
	listFile = "testdata/long_functions.txt"
)

var update = flag.Bool("update", false, "remove functions that are no longer too long from the list, and lower the lengths of the others")

// functionLengths returns the number of lines of each function outside tests, by "file function".
func functionLengths(t *testing.T, root string) map[string]int {
	t.Helper()
	lengths := map[string]int{}
	visit := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok {
				lengths[name+" "+functionName(f)] = files.Position(f.End()).Line - files.Position(f.Pos()).Line + 1
			}
		}
		return nil
	}
	for _, folder := range []string{"cmd", "internal", "platform"} {
		require.NoError(t, filepath.WalkDir(filepath.Join(root, folder), visit))
	}
	return lengths
}

func functionName(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return f.Name.Name
	}
	receiver := f.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	return fmt.Sprintf("%s.%s", receiver, f.Name.Name)
}

// readList reads the list, whose lines have the form "file function lines".
func readList(t *testing.T) map[string]int {
	t.Helper()
	file, err := os.Open(listFile)
	require.NoError(t, err)
	defer file.Close()
	list := map[string]int{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var path, function string
		var length int
		_, err := fmt.Sscan(lines.Text(), &path, &function, &length)
		require.NoError(t, err, lines.Text())
		list[path+" "+function] = length
	}
	return list
}

func writeList(t *testing.T, list map[string]int) {
	t.Helper()
	var lines []string
	for name, length := range list {
		lines = append(lines, fmt.Sprintf("%s %d\n", name, length))
	}
	sort.Strings(lines)
	require.NoError(t, os.WriteFile(listFile, []byte(strings.Join(lines, "")), 0o644))
}

// TestLongFunctions checks that only listed functions exceed the maximum length, and that these do not grow. The list
// only shrinks: a function that no longer exceeds the maximum must be removed, and -update adds no function.
func TestLongFunctions(t *testing.T) {
	lengths := functionLengths(t, filepath.Join("..", ".."))
	require.Greater(t, len(lengths), 500, "too few functions found; the sources were not read")
	listed := readList(t)
	remaining := map[string]int{}
	for name, bound := range listed {
		length := lengths[name]
		switch {
		case length > bound:
			t.Errorf("%s has grown from %d lines to %d", name, bound, length)
			remaining[name] = bound
		case length > maxLines:
			remaining[name] = length
		case !*update:
			t.Errorf("%s no longer exceeds %d lines: run this test with -update", name, maxLines)
		}
	}
	for name, length := range lengths {
		if _, known := listed[name]; length > maxLines && !known {
			t.Errorf("%s has %d lines; the maximum is %d", name, length, maxLines)
		}
	}
	if *update {
		writeList(t, remaining)
	}
}
