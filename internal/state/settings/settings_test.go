package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/settings"
)

const valid = `{"Name": "vm-1", "FailureDomain": "Kolkata",
 "CallerAddress": "10.0.0.1:8080", "PeerAddress": "10.0.0.1:8081", "OperatorAddress": "10.0.0.1:8082",
 "LogAddress": "10.0.9.1:9000", "VMListAddress": "10.0.9.1:9001", "WeightStoreAddress": "10.0.9.1:9002",
 "Peers": ["10.0.0.2:8081"], "EntryHold": "30s", "Limits": {"BodyBytes": 65536}}`

// Settings that the file omits, also within Limits, must have their defaults.
func TestParseKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(time.Duration(s.EntryHold), 30*time.Second)
	is.Equal(s.Limits.BodyBytes, int64(65536))
	is.Equal(s.Limits.HeaderBytes, int64(settings.DefaultHeaderBytes))
	is.Equal(s.Peers[0].String(), "10.0.0.2:8081")
}

// A file with several faults must be reported with all of them and their paths,
// or the operator would find them one by one.
func TestParseReportsAllFaultsTogether(t *testing.T) {
	is := is.New(t)
	data := strings.NewReplacer(`"vm-1"`, `"vm 1"`, `10.0.0.1:8081`, `10.0.0.1:8080`, `"30s"`, `30`,
		`10.0.9.1:9000`, `log:9000`, `"Peers"`, `"peers"`, `65536`, `1`).Replace(valid)
	_, err := settings.Parse([]byte(data))
	var ps problem.Problems
	is.True(errors.As(err, &ps))
	message := ps.Error()
	for _, path := range []string{"Name: ", "PeerAddress: ", "EntryHold: ", "LogAddress: ", "peers: ", "Limits.BodyBytes: "} {
		is.True(strings.Contains(message, path)) // the fault is reported at its path
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"Name":"a","EntryHold":"-1h","Limits":{"WaitingBytes":-1}}`))
	f.Add([]byte(`{"CallerAddress":"[::1%lo]:80","Peers":[null,"1.2.3.4"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse(data)
		var ps problem.Problems
		if err != nil && (!errors.As(err, &ps) || len(ps) == 0) {
			t.Fatalf("error %v contains no problem", err)
		}
	})
}

// TestNullAndEmptySettings guards against a setting that is null or empty and is taken for
// one that the file omits.
func TestNullAndEmptySettings(t *testing.T) {
	for _, test := range []struct{ stated, null, empty string }{
		{`"Name": "vm-1"`, `"Name": null`, `"Name": ""`},
		{`"FailureDomain": "Kolkata"`, `"FailureDomain": null`, `"FailureDomain": ""`},
		{`"CallerAddress": "10.0.0.1:8080"`, `"CallerAddress": null`, `"CallerAddress": ""`},
		{`"LogAddress": "10.0.9.1:9000"`, `"LogAddress": null`, `"LogAddress": ""`},
		{`["10.0.0.2:8081"]`, `[null]`, `[""]`},
		{`["10.0.0.2:8081"]`, `null`, `""`},
		{`"EntryHold": "30s"`, `"EntryHold": null`, `"EntryHold": ""`},
		{`{"BodyBytes": 65536}`, `null`, `{"BodyBytes": null}`},
		{`{"BodyBytes": 65536}`, `{"HeaderBytes": null}`, `{"HeaderBytes": 0}`},
	} {
		for _, form := range []string{test.null, test.empty} {
			if _, err := settings.Parse([]byte(strings.Replace(valid, test.stated, form, 1))); err == nil {
				t.Errorf("%s in place of %s is accepted", form, test.stated)
			}
		}
	}
}
