package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

// servesModel reports whether the engine serves the model, which is named as
// "Name" or "Name:Adapter". An engine that was started without models serves
// every model until it receives an order.
func (e *Engine) servesModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.models) == 0 && len(e.settings.Models) == 0 && e.orderCount == 0 {
		return true
	}
	name, adapter, hasAdapter := strings.Cut(model, ":")
	for _, m := range e.models {
		if m.Name == name && (!hasAdapter || slices.Contains(m.Adapters, adapter)) {
			return true
		}
	}
	return false
}

// serveOrder handles an order. It answers 409 to an order with an older
// fencing number if the engine checks fencing.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if !server.ReadJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	last := e.lastFencing
	refused := e.settings.ChecksFencing && order.Fencing < last
	if !refused {
		e.lastFencing = max(last, order.Fencing)
		e.orderCount++
		e.applyOrder(order)
	}
	e.mu.Unlock()
	if refused {
		http.Error(w, fmt.Sprintf("fencing number %d is older than %d", order.Fencing, last), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// applyOrder unloads the models that the order doesn't name and starts to load
// those that are missing. The caller must hold mu.
func (e *Engine) applyOrder(order platform.Order) {
	retained := []platform.LoadedModel{}
	var missing []platform.LoadedModel
	for _, wanted := range order.Models {
		if slices.ContainsFunc(e.models, func(m platform.LoadedModel) bool { return sameModel(m, wanted) }) {
			retained = append(retained, wanted)
		} else {
			missing = append(missing, wanted)
		}
	}
	e.models = retained
	if len(missing) > 0 {
		e.background.Add(1)
		go e.load(e.processCtx, e.orderCount, missing)
	}
}

func sameModel(a, b platform.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// load loads the models one after another. It stops when the engine has
// received a newer order than the given one.
func (e *Engine) load(ctx context.Context, orderNumber uint64, models []platform.LoadedModel) {
	defer e.background.Done()
	for _, m := range models {
		startAt := e.reserveTransfer(ctx, m)
		seconds := float64(e.settings.ModelBytes) / e.settings.LoadBytesPerSecond
		if !sleepUntil(ctx, startAt.Add(time.Duration(seconds*float64(time.Second)))) {
			return
		}
		e.mu.Lock()
		current := e.orderCount == orderNumber && ctx.Err() == nil
		if current {
			e.models = append(e.models[:len(e.models):len(e.models)], m)
		}
		e.mu.Unlock()
		if !current {
			return
		}
	}
}

// reserveTransfer returns the time at which the load of the model may begin.
// It retries until the weight store has accepted the reservation or the context
// ends. Without a weight store, the load may begin at once.
func (e *Engine) reserveTransfer(ctx context.Context, m platform.LoadedModel) time.Time {
	const retryInterval = 200 * time.Millisecond
	for e.settings.WeightStore.IsValid() {
		at, err := e.requestReservation(ctx, m)
		if err == nil {
			return at
		}
		if !sleepUntil(ctx, time.Now().Add(retryInterval)) {
			break
		}
	}
	return time.Now()
}

// weightStoreClient does not keep connections alive, so that a closed engine
// leaves no connection or goroutine behind.
var weightStoreClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// requestReservation sends one reservation to the weight store and returns the
// time at which the transfer may begin.
func (e *Engine) requestReservation(ctx context.Context, m platform.LoadedModel) (time.Time, error) {
	body, err := json.Marshal(platform.ReserveRequest{Model: m.Name, Bytes: e.settings.ModelBytes})
	if err != nil {
		return time.Time{}, err
	}
	url := "http://" + e.settings.WeightStore.String() + platform.PathReservations
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	response, err := weightStoreClient.Do(request)
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return time.Time{}, fmt.Errorf("reserve model transfer at weight store %v: found status %d, want 200", e.settings.WeightStore, response.StatusCode)
	}
	var answer platform.ReserveResponse
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.StartAt, err
}
