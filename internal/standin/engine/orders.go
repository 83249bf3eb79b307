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

// holds reports whether the engine serves the model, which is named as
// "Name" or "Name:Adapter".
func (e *Engine) holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.models) == 0 && len(e.settings.Models) == 0 && e.orders == 0 {
		return true
	}
	name, adapter, adapted := strings.Cut(model, ":")
	for _, m := range e.models {
		if m.Name == name && (!adapted || slices.Contains(m.Adapters, adapter)) {
			return true
		}
	}
	return false
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if !server.ReadJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	last := e.fencing
	refused := e.settings.ChecksFencing && order.Fencing < last
	if !refused {
		e.fencing = max(last, order.Fencing)
		e.orders++
		e.obey(order)
	}
	e.mu.Unlock()
	if refused {
		http.Error(w, fmt.Sprintf("fencing number %d is older than %d", order.Fencing, last), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// obey unloads what the order doesn't name and begins to load the rest; mu
// is held.
func (e *Engine) obey(order platform.Order) {
	kept := []platform.LoadedModel{}
	var missing []platform.LoadedModel
	for _, wanted := range order.Models {
		if slices.ContainsFunc(e.models, func(m platform.LoadedModel) bool { return sameModel(m, wanted) }) {
			kept = append(kept, wanted)
		} else {
			missing = append(missing, wanted)
		}
	}
	e.models = kept
	if len(missing) > 0 {
		e.background.Add(1)
		go e.load(e.life, e.orders, missing)
	}
}

func sameModel(a, b platform.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// load loads the models one after another, unless a newer order has come.
func (e *Engine) load(life context.Context, order uint64, models []platform.LoadedModel) {
	defer e.background.Done()
	for _, m := range models {
		begin := e.reserve(life, m)
		seconds := float64(e.settings.ModelBytes) / e.settings.LoadBytesPerSecond
		if !sleepUntil(life, begin.Add(time.Duration(seconds*float64(time.Second)))) {
			return
		}
		e.mu.Lock()
		current := e.orders == order && life.Err() == nil
		if current {
			e.models = append(e.models[:len(e.models):len(e.models)], m)
		}
		e.mu.Unlock()
		if !current {
			return
		}
	}
}

// reserve asks the weight store until it answers when the load may begin.
func (e *Engine) reserve(life context.Context, m platform.LoadedModel) time.Time {
	const pause = 200 * time.Millisecond
	for e.settings.WeightStore.IsValid() {
		at, err := e.askWeights(life, m)
		if err == nil {
			return at
		}
		if !sleepUntil(life, time.Now().Add(pause)) {
			break
		}
	}
	return time.Now()
}

// weightsClient keeps no connection, so that a closed engine leaves nothing
// behind.
var weightsClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (e *Engine) askWeights(ctx context.Context, m platform.LoadedModel) (time.Time, error) {
	body, err := json.Marshal(platform.ReserveRequest{Model: m.Name, Bytes: e.settings.ModelBytes})
	if err != nil {
		return time.Time{}, err
	}
	url := "http://" + e.settings.WeightStore.String() + platform.PathReserve
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	response, err := weightsClient.Do(request)
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return time.Time{}, fmt.Errorf("reserve at %v: status %d", e.settings.WeightStore, response.StatusCode)
	}
	var answer platform.ReserveResponse
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.StartAt, err
}
