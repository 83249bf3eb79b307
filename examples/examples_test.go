package examples_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hyssopreach/internal/state/settings"
	"hyssopreach/internal/state/text"
)

// parse returns the index of the configuration document in the file.
func parse(t *testing.T, file string) *text.Index {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := text.Parse(data)
	if err != nil {
		t.Fatalf("%s:\n%v", file, err)
	}
	return text.NewIndex(doc)
}

// TestExamplesAreValid guards against examples that the parsers of router
// settings and of configuration documents refuse, such as after a change of a
// format. The list of VMs is input for a stand-in and is not checked.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("*.json")
	is.NoErr(err)
	for _, file := range files {
		switch {
		case file == "Local-VMs.json":
		case strings.Contains(file, "-router"):
			data, err := os.ReadFile(file)
			is.NoErr(err)
			_, err = settings.Parse(data)
			is.NoErr(err)
		default:
			parse(t, file)
		}
	}
}

// TestDeploymentExamplesMatchDeployments checks that the documents of the two
// deployments describe them as they are: the number of failure domains, engines
// and organisations, which classes are not idempotent and so must not run twice,
// and that assets and share links are more urgent than other requests.
func TestDeploymentExamplesMatchDeployments(t *testing.T) {
	tests := []struct {
		file             string
		domains, engines int
	}{{"Shaktighar.json", 3, 10}, {"Tulpar.json", 4, 12}}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			is := is.New(t)
			index := parse(t, test.file)
			domains := make(map[string]bool)
			for _, e := range index.Pool("models").Endpoints {
				domains[e.FailureDomain] = true
			}
			is.Equal(len(domains), test.domains)
			is.Equal(len(index.Pool("models").Endpoints), test.engines)
			is.Equal(len(index.Document().Organisations), 16)
		})
	}
	is := is.New(t)
	shaktighar, tulpar := parse(t, "Shaktighar.json"), parse(t, "Tulpar.json")
	is.True(!shaktighar.Class("dispatch", "POST", "/bookings").Idempotent)
	is.True(!tulpar.Class("critique", "POST", "/v1/chat/completions").Idempotent)
	for _, path := range []string{"/assets/tile", "/share/board"} {
		urgency := tulpar.Class("board", "GET", path).Urgency
		is.True(urgency > tulpar.Class("board", "GET", "/boards/7").Urgency)
		is.True(urgency > tulpar.Class("chat", "POST", "/v1/chat/completions").Urgency)
	}
}
