package router

import (
	"context"
	"errors"

	"hyssopreach/internal/state/text"
	"hyssopreach/internal/transport/endpoint"
	"hyssopreach/internal/transport/execution"
)

// backend sends attempts through the endpoint client.
type backend struct{ client *endpoint.Client }

// Send implements execution.Backend.
func (b *backend) Send(ctx context.Context, a *execution.Attempt) (execution.Answer, error) {
	answer, err := b.client.Do(ctx, a.Address(), &endpoint.Attempt{
		ID: a.ID, Method: a.Call.Method, Path: a.Call.Path, Header: a.Call.Header, Body: a.Call.Body,
		Idempotent: a.Call.Class.Idempotent, Model: a.Call.Service.Kind == text.KindModel,
	})
	if err == nil {
		return answer, nil
	}
	var failed *endpoint.Error
	if errors.As(err, &failed) && !failed.Sent {
		return nil, &execution.NotSentError{Err: err}
	}
	return nil, err
}
