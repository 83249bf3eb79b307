package rig

import (
	"encoding/json"
	"fmt"

	"hyssopreach/internal/state/text"
)

// The names that Document uses.
const (
	Model        = "small-model"
	ModelService = "assistant"
	PlainService = "board"
	modelPool    = "engines"
	plainPool    = "boards"
)

// Document returns a text with the given numbers of organisations, engines and
// plain services; all organisations weigh the same.
func Document(organisations, engines, plain int, domains []string) *text.Document {
	d := &text.Document{FormatVersion: text.FormatVersion}
	for i := range organisations {
		name := fmt.Sprintf("org-%02d", i+1)
		d.Organisations = append(d.Organisations, text.Organisation{
			Name: name, Weight: 1, KeyHashes: []string{text.KeyHash(Key(name))},
			MaxWaiting: 1000, MaxWaitingBytes: 64 << 20, RetryRatio: 0.2,
		})
	}
	d.Services = []text.Service{{
		Name: ModelService, Kind: text.KindModel, Pool: modelPool,
		Classes: []text.Class{{Name: "chat", Idempotent: true, MayWait: true, EstimatedCost: 50}},
	}}
	d.Pools = []text.Pool{{Name: modelPool, Endpoints: endpoints("engine", engines, domains)}}
	d.Models = []text.Model{{Name: Model, Pool: modelPool, Version: "1", MinReplicas: 1}}
	if plain > 0 {
		d.Services = append(d.Services, text.Service{
			Name: PlainService, Kind: text.KindPlain, Pool: plainPool, DependsOn: []string{ModelService},
			Classes: []text.Class{
				{Name: "booking", Methods: []string{"POST"}, PathPrefix: "/bookings", Urgency: 5, MayWait: true, EstimatedCost: 5},
				{Name: "asset", Methods: []string{"GET"}, Urgency: 9, Idempotent: true, MayWait: true, EstimatedCost: 5},
			},
		})
		d.Pools = append(d.Pools, text.Pool{Name: plainPool, Endpoints: endpoints("board", plain, domains)})
	}
	return d
}

func endpoints(name string, count int, domains []string) []text.Endpoint {
	all := make([]text.Endpoint, count)
	for i := range all {
		unique := fmt.Sprintf("%s-%02d", name, i+1)
		all[i] = text.Endpoint{
			Name: unique, VM: "vm-" + unique,
			FailureDomain: domains[i%len(domains)], Accelerators: 4,
		}
	}
	return all
}

// encode writes a text without the fields that are not set, since the format
// has no null.
func encode(d *text.Document) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, err
	}
	return json.Marshal(withoutNull(value))
}

func withoutNull(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			if field == nil {
				delete(v, name)
				continue
			}
			v[name] = withoutNull(field)
		}
	case []any:
		for i := range v {
			v[i] = withoutNull(v[i])
		}
	}
	return value
}
