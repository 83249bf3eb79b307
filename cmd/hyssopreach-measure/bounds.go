package main

import (
	_ "embed"
	"encoding/json"
	"fmt"

	"hyssopreach/internal/tool/capacity"
)

//go:embed bounds.json
var boundsText []byte

// bounds is the content of bounds.json.
type bounds struct {
	Capacity  capacity.Bounds
	Decisions decisionBounds
	Fairness  fairnessBounds
	Urgent    urgentBounds
	Faults    faultBounds
	Control   controlBounds
	Latency   latencyBounds
	Leaving   leavingBounds
}

// fairnessBounds are the bounds for scene A, and for scene C where a field says
// so.
type fairnessBounds struct {
	// GapInLargestCosts is the maximum fairness gap in steady state, as a
	// multiple of the largest cost of one request.
	GapInLargestCosts float64
	// GapToRouterQueues is the maximum ratio of the fairness gap to that of
	// the router-queues policy, which runs a fair queue on each router without
	// coordination.
	GapToRouterQueues float64
	// Utilisation is the minimum busy share of slot-time while requests wait.
	Utilisation float64
	// UtilisationUnderFaults is the same for scene C, which injects faults.
	UtilisationUnderFaults float64
}

// decisionBounds are the bounds for the cost of one scheduling decision.
type decisionBounds struct {
	// GrowthFromNTo8N is the maximum ratio of the cost at 980 organisations to
	// that at 122. It allows logarithmic growth: log 980 / log 122.
	GrowthFromNTo8N float64
}

func readBounds() (bounds, error) {
	var b bounds
	if err := json.Unmarshal(boundsText, &b); err != nil {
		return b, fmt.Errorf("read bounds.json: %w", err)
	}
	return b, nil
}
