package speed

import "time"

// The parts of the cost of an expected time. The unit is one late answer.
const (
	// waitCost is the cost of an answer that arrives just at its latency objective, beyond the risk that it
	// is late.
	waitCost = 0.2
	// lateCost is the cost of each further multiple of the latency objective by which an answer is late.
	lateCost = 0.5
)

// LatencyCost returns the cost of an expected time to the first byte under a latency objective. Up to half of
// the objective the cost grows slowly, since the rest covers the error of the estimate; then it grows
// quadratically to 1 at the objective.
func LatencyCost(latency, objective time.Duration) float64 {
	if objective <= 0 {
		objective = time.Second
	}
	x := float64(latency) / float64(objective)
	cost := waitCost * x
	if x > 0.5 {
		steep := min(2*x-1, 1)
		cost += (1 - waitCost) * steep * steep
	}
	if x > 1 {
		cost += lateCost * (x - 1)
	}
	return cost
}
