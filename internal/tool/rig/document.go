package rig

import (
	"encoding/json"
	"fmt"

	"hyssopreach/internal/state/text"
)

// Names of the model, services and pools in the documents that
// NewDocument returns.
const (
	Model        = "small-model"
	ModelService = "assistant"
	PlainService = "board"
	modelPool    = "engines"
	plainPool    = "boards"
)

// NewDocument returns a configuration document with the given numbers of
// organisations, engines and endpoints of a plain service. All organisations
// have the same weight. The endpoints are distributed over the failure domains
// in turn.
func NewDocument(organisations, engines, plainEndpoints int, domains []string) *text.Document {
	d := &text.Document{FormatVersion: text.FormatVersion}
	for i := range organisations {
		name := fmt.Sprintf("org-%02d", i+1)
		d.Organisations = append(d.Organisations, text.Organisation{
			Name: name, Weight: 1, KeyHashes: []string{text.KeyHash(CallerKey(name))},
			MaxWaiting: 1000, MaxWaitingBytes: 64 << 20, RetryRatio: 0.2,
		})
	}
	d.Services = []text.Service{{
		Name: ModelService, Kind: text.KindModel, Pool: modelPool,
		Classes: []text.Class{{Name: "chat", Idempotent: true, MayWait: true, EstimatedCost: 50}},
	}}
	d.Pools = []text.Pool{{Name: modelPool, Endpoints: endpoints("engine", engines, domains)}}
	d.Models = []text.Model{{Name: Model, Pool: modelPool, Version: "1", MinReplicas: 1}}
	if plainEndpoints > 0 {
		d.Services = append(d.Services, text.Service{
			Name: PlainService, Kind: text.KindPlain, Pool: plainPool, DependsOn: []string{ModelService},
			Classes: []text.Class{
				{Name: "booking", Methods: []string{"POST"}, PathPrefix: "/bookings", Urgency: 5, MayWait: true, EstimatedCost: 5},
				{Name: "asset", Methods: []string{"GET"}, Urgency: 9, Idempotent: true, MayWait: true, EstimatedCost: 5},
			},
		})
		d.Pools = append(d.Pools, text.Pool{Name: plainPool, Endpoints: endpoints("board", plainEndpoints, domains)})
	}
	return d
}

func endpoints(name string, count int, domains []string) []text.Endpoint {
	list := make([]text.Endpoint, count)
	for i := range list {
		endpointName := fmt.Sprintf("%s-%02d", name, i+1)
		list[i] = text.Endpoint{
			Name: endpointName, VM: "vm-" + endpointName,
			FailureDomain: domains[i%len(domains)], Accelerators: 4,
		}
	}
	return list
}

// encode returns the JSON encoding of a document. It omits fields that encode
// as null, since the document format does not allow null.
func encode(d *text.Document) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, err
	}
	return json.Marshal(removeNulls(value))
}

// removeNulls removes all null fields from the objects in a decoded JSON value.
func removeNulls(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			if field == nil {
				delete(v, name)
				continue
			}
			v[name] = removeNulls(field)
		}
	case []any:
		for i := range v {
			v[i] = removeNulls(v[i])
		}
	}
	return value
}
