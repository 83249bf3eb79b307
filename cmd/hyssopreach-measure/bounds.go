package main

import (
	_ "embed"
	"encoding/json"
	"fmt"

	"hyssopreach/internal/tool/capacity"
)

//go:embed bounds.json
var boundsText []byte

// bounds are the targets, as bounds.json states them.
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

// fairnessBounds hold in scene A.
type fairnessBounds struct {
	// GapInLargestCosts bounds the steady gap, in largest costs.
	GapInLargestCosts float64
	// GapToRouterQueues bounds the gap against fair queues per router.
	GapToRouterQueues float64
	// Utilisation is the least busy share of slot-time while work waits.
	Utilisation float64
	// UtilisationUnderFaults is the same in scene C.
	UtilisationUnderFaults float64
}

// decisionBounds hold for the cost of one decision.
type decisionBounds struct {
	// GrowthFromNTo8N is the logarithm of 980 organisations by that of 122.
	GrowthFromNTo8N float64
}

func readBounds() (bounds, error) {
	var b bounds
	if err := json.Unmarshal(boundsText, &b); err != nil {
		return b, fmt.Errorf("read bounds.json: %w", err)
	}
	return b, nil
}
