package main

import (
	"fmt"
	"path/filepath"

	"github.com/integrii/flaggy"

	"hyssopreach/platform/journal"
)

func findingsCommand() command {
	s := flaggy.NewSubcommand("findings")
	s.Description = "recorded days on which a rule was broken or a floor missed, the oldest first; each missed floor must be recorded in docs/incidents or KNOWN-RED.txt"
	root := "."
	s.String(&root, "r", "root", "root of the repository")
	return command{s, func() ([]string, error) { return printFindings(root) }}
}

func printFindings(root string) ([]string, error) {
	found, err := journal.Findings(filepath.Join(root, "journal"))
	if err != nil {
		return nil, err
	}
	pages, err := journal.Pages(root)
	if err != nil {
		return nil, err
	}
	for i := range found {
		fmt.Println(&found[i])
	}
	var missed []string
	for _, f := range journal.Unrecorded(found, pages) {
		missed = append(missed, fmt.Sprintf("no page records %s", &f))
	}
	return missed, nil
}
