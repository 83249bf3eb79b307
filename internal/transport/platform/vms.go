package platform

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"hyssopreach/internal/protocol/platform"
)

// VMList is the client of the VM list. It is safe for concurrent use.
type VMList struct{ service }

// NewVMList returns a client of the VM list at the address. If dial is nil, a
// net.Dialer is used.
func NewVMList(address netip.AddrPort, dial Dial) *VMList {
	return &VMList{newService(address, dial)}
}

// VMs returns the current list. Its error is an *UnavailableError.
func (l *VMList) VMs(ctx context.Context) (platform.VMList, error) {
	var list platform.VMList
	err := l.callExpectOK(ctx, "read VM list", http.MethodGet, platform.PathVMs, nil, &list)
	return list, err
}

// WeightStore is the client of the weight store. It is safe for concurrent
// use.
type WeightStore struct{ service }

// NewWeightStore returns a client of the weight store at the address. If dial is
// nil, a net.Dialer is used.
func NewWeightStore(address netip.AddrPort, dial Dial) *WeightStore {
	return &WeightStore{newService(address, dial)}
}

// Reserve reserves a transfer of the given number of bytes of the model's weights
// and returns the instant at which the transfer may begin. Its error is an
// *UnavailableError.
func (w *WeightStore) Reserve(ctx context.Context, model string, bytes int64) (time.Time, error) {
	var response platform.ReserveResponse
	request := platform.ReserveRequest{Model: model, Bytes: bytes}
	err := w.callExpectOK(ctx, "reserve weights of "+model, http.MethodPost, platform.PathReservations, request, &response)
	return response.StartAt, err
}

// callExpectOK sends a request. It returns an *UnavailableError unless the
// response has status 200 and can be decoded.
func (s service) callExpectOK(ctx context.Context, step, method, path string, body, response any) error {
	outcome := s.call(ctx, method, path, body, response)
	if outcome.err != nil || outcome.status != http.StatusOK {
		return &UnavailableError{step, s.address, outcome.failure()}
	}
	return nil
}
