package policy

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const (
	maxFileLines = 400 // lines that are not blank
	maxLineWidth = 110 // characters, a tab counts as four
)

// sourceFiles returns the names of the package's files except tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	files := slices.DeleteFunc(all, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	if len(files) == 0 {
		t.Fatal("no source files found")
	}
	return files
}

func TestSourceFilesAreSmall(t *testing.T) {
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) == "" {
				continue
			}
			lines++
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxLineWidth {
				t.Errorf("%s:%d is %d characters wide, at most %d", name, i+1, width, maxLineWidth)
			}
		}
		if lines > maxFileLines {
			t.Errorf("%s has %d lines that are not blank, at most %d", name, lines, maxFileLines)
		}
	}
}

// The deploy file lists all files of the package and no others.
func TestDeployFileNamesEachSourceFile(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct {
		Policy []string `toml:"policy"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, name := range sourceFiles(t) {
		want = append(want, "policy/"+name)
	}
	slices.Sort(want)
	slices.Sort(deploy.Policy)
	if !slices.Equal(deploy.Policy, want) {
		t.Errorf("policy in deploy/balancer.toml is %q, want %q", deploy.Policy, want)
	}
}
