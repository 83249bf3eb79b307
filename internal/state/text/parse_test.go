package text_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/text"
)

const valid = `{
 "FormatVersion": 1, "BasedOn": 3,
 "Organisations": [{"Name": "clinic", "Weight": 1, "KeyHashes": ["%s"]}],
 "Services": [
  {"Name": "diagnosis", "Kind": "Model", "Pool": "engines", "Classes": [{"Name": "any", "Idempotent": true, "MayWait": true}]},
  {"Name": "dispatch", "Kind": "Plain", "Pool": "plain", "DependsOn": ["diagnosis"], "Classes": [
    {"Name": "confirm", "Methods": ["POST"], "PathPrefix": "/bookings", "Urgency": 5},
    {"Name": "rest", "Idempotent": true}]},
  {"Name": "front", "Kind": "Plain", "Pool": "plain", "DependsOn": ["dispatch"], "Classes": [{"Name": "any"}]}],
 "Pools": [
  {"Name": "engines", "Endpoints": [{"Name": "e", "VM": "vm-1", "FailureDomain": "Kharagpur", "Address": "10.0.0.1:80"}]},
  {"Name": "plain", "Endpoints": [{"Name": "p", "VM": "vm-1", "FailureDomain": "Kharagpur", "Address": "10.0.0.1:81"}]}],
 "Models": [{"Name": "m", "Pool": "engines", "Version": "1", "MinReplicas": 1}],
 "Rehearsals": [{"Name": "r", "Endpoint": "vm-1/e", "From": "2026-01-01T00:00:00Z", "Until": "2026-01-01T00:01:00Z"}]}`

func document() string { return fmt.Sprintf(valid, text.KeyHash("secret")) }

// The index must find the organisation of a key, the class of a request by
// method and whole path segments, and transitive dependencies.
func TestIndexLookups(t *testing.T) {
	is := is.New(t)
	doc, err := text.Parse([]byte(document()))
	is.NoErr(err)
	x := text.NewIndex(doc)
	is.Equal(x.Organisation("secret").Name, "clinic")
	is.True(x.Organisation("other") == nil)
	is.Equal(x.Class("dispatch", "POST", "/bookings/7").Name, "confirm")
	is.Equal(x.Class("dispatch", "POST", "/bookingsheet").Name, "rest")
	is.Equal(x.Class("dispatch", "GET", "/bookings/7").Name, "rest")
	is.True(x.Class("unknown", "GET", "/") == nil)
	is.Equal(x.Dependencies("front"), []string{"diagnosis", "dispatch"})
	is.Equal(len(x.Dependencies("diagnosis")), 0)
}

// An operator corrects a text by the reported path, so each kind of fault must
// be reported at the path where it is.
func TestParseReportsPathOfEachFault(t *testing.T) {
	hash := text.KeyHash("secret")
	tests := []struct{ name, old, replacement, path string }{
		{"unknown field", `"BasedOn": 3`, `"basedOn": 3`, "basedOn"},
		{"repeated field", `"BasedOn": 3`, `"BasedOn": 3, "BasedOn": 4`, "BasedOn"},
		{"null", `"Urgency": 5`, `"Urgency": null`, "Services[1].Classes[0].Urgency"},
		{"wrong type", `"Urgency": 5`, `"Urgency": 5.5`, "Services[1].Classes[0].Urgency"},
		{"newer format version", `"FormatVersion": 1`, `"FormatVersion": 2`, "FormatVersion"},
		{"zero weight", `"Weight": 1`, `"Weight": 0`, "Organisations[0].Weight"},
		{"malformed key hash", hash, "abc", "Organisations[0].KeyHashes[0]"},
		{"duplicate key hash", `"` + hash + `"`, `"` + hash + `","` + hash + `"`, "Organisations[0].KeyHashes[1]"},
		{"unknown dependency", `["diagnosis"]`, `["diagnoses"]`, "Services[1].DependsOn[0]"},
		{"dependency cycle", `["diagnosis"]`, `["front"]`, "Services[2].DependsOn[0]"},
		{"duplicate service name", `"front"`, `"dispatch"`, "Services[2].Name"},
		{"unknown kind", `"Kind": "Model"`, `"Kind": "model"`, "Services[0].Kind"},
		{"unknown pool", `"Pool": "plain", "DependsOn": ["diagnosis"]`, `"Pool": "none"`, "Services[1].Pool"},
		{"model service without model", `"Models": [{"Name": "m", "Pool": "engines"`, `"Models": [{"Name": "m", "Pool": "plain"`, "Services[0].Pool"},
		{"unreachable class", `"Methods": ["POST"], "PathPrefix": "/bookings", `, ``, "Services[1].Classes[1]"},
		{"duplicate endpoint", `"Name": "p", "VM"`, `"Name": "e", "VM"`, "Pools[1].Endpoints[0]"},
		{"duplicate address", "10.0.0.1:81", "10.0.0.1:80", "Pools[1].Endpoints[0].Address"},
		{"more replicas than endpoints", `"MinReplicas": 1`, `"MinReplicas": 2`, "Models[0].MinReplicas"},
		{"two targets", `"Endpoint": "vm-1/e"`, `"Endpoint": "vm-1/e", "Router": "x"`, "Rehearsals[0]"},
		{"missing end", `, "Until": "2026-01-01T00:01:00Z"`, ``, "Rehearsals[0].Until"},
		{"end before start", "00:01:00Z", "00:00:00Z", "Rehearsals[0].Until"},
		{"truncated document", `}]}`, ``, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			at := strings.LastIndex(document(), test.old)
			is.True(at >= 0)
			_, err := text.Parse([]byte(document()[:at] + test.replacement + document()[at+len(test.old):]))
			var ps problem.Problems
			is.True(errors.As(err, &ps))
			var paths []string
			for _, p := range ps {
				paths = append(paths, p.Path)
				is.True(p.Found != "" && p.Allowed != "")
			}
			is.True(strings.Contains("|"+strings.Join(paths, "|")+"|", "|"+test.path+"|")) // the fault is reported at its path
		})
	}
}

// A text with several faults must be reported with all of them, or the operator
// would find them one by one.
func TestParseReportsAllFaultsTogether(t *testing.T) {
	is := is.New(t)
	data := strings.NewReplacer(`"Weight": 1`, `"Weight": -1`, `"Version": "1"`, `"Version": 1`,
		`"Urgency": 5`, `"Urgency": 500, "Extra": true`).Replace(document())
	_, err := text.Parse([]byte(data))
	var ps problem.Problems
	is.True(errors.As(err, &ps))
	is.Equal(len(ps), 5) // the model's version counts twice: it has the wrong type and is left empty
}

// A text above MaxBytes must be refused although it is otherwise valid.
func TestParseRefusesOversizedText(t *testing.T) {
	is := is.New(t)
	_, err := text.Parse([]byte(document() + strings.Repeat(" ", text.MaxBytes)))
	is.True(err != nil)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(document()))
	f.Add([]byte(strings.ReplaceAll(document(), `"front"`, `"dispatch"`)))
	f.Add([]byte(`{"FormatVersion":1,"Services":[{"Name":"a","DependsOn":["a","a"]},{"Name":"a","DependsOn":["b"]}]}`))
	f.Add([]byte(`[[[[`))
	f.Add([]byte(`{"FormatVersion":1e999,"Organisations":[null,{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := text.Parse(data)
		if err == nil {
			text.NewIndex(doc)
			return
		}
		var ps problem.Problems
		if !errors.As(err, &ps) || len(ps) == 0 {
			t.Fatalf("error %v contains no problem", err)
		}
	})
}
