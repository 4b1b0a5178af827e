package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/alecthomas/kong"
)

// TestHelpIsUnchanged compares the help of every command with testdata/help.txt. kong derives the names of
// flags and commands from field names, so renaming a field would change the command line.
func TestHelpIsUnchanged(t *testing.T) {
	want, err := os.ReadFile("testdata/help.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for _, command := range []string{"", "run", "publish", "show", "diff", "history", "members", "holders"} {
		args := []string{"--help"}
		if command != "" {
			args = []string{command, "--help"}
		}
		printHelp(t, &got, args)
		got.WriteString("----\n")
	}
	if got.String() != string(want) {
		t.Errorf("the help is:\n%s\nwant:\n%s", got.String(), want)
	}
}

// printHelp writes the help for the given arguments to out. kong exits the process after printing help; here
// it panics instead, and the panic is recovered.
func printHelp(t *testing.T, out *bytes.Buffer, args []string) {
	t.Helper()
	parser, err := kong.New(&commands{}, kong.Name("ringtrack-configstore"), kong.Description(description), kong.UsageOnError(),
		kong.Writers(out, out), kong.Exit(func(int) { panic(errExit) }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if r := recover(); r != nil && r != errExit {
			panic(r)
		}
	}()
	parser.Parse(args)
	t.Errorf("%q: no help was printed", args)
}

const errExit = "exit"
