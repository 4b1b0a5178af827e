//go:build review

// Command driver runs the cases of the review. Each case starts the project's programs as processes of their
// own, with the commands of the deploy file, and plays clients, servers and the platform beside them. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// testCase runs one case; broken says that its rule was broken.
type testCase func(r *run) (broken bool, err error)

// cases are the cases by name; each registers itself.
var cases = map[string]testCase{}

// maxRun bounds a run.
const maxRun = 100 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(c testCase, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(tmp)
	r := &run{record: record, start: time.Now(), tmp: tmp, memoryMB: 192, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.endAll()
	r.logf("trouble: %v", r.trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := c(r)
		done <- result{broken, err}
	}()
	var out result
	select {
	case out = <-done:
	case <-time.After(maxRun):
		out.err = fmt.Errorf("the case took over %v", maxRun)
	}
	switch {
	case out.err != nil:
		r.logf("the case could not run: %v", out.err)
		r.say("could not run: %v", out.err)
		return 2
	case out.broken:
		r.logf("verdict: the rule was broken")
		r.say("the rule was broken")
		return 1
	}
	r.logf("verdict: the rule held")
	r.say("the rule held")
	return 0
}
