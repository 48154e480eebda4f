package speed

const (
	// minDraws is the smallest number of targets of which the best is chosen.
	minDraws = 5
	// drawsPerHost is the number of draws for each target, divided by the number of hosts.
	drawsPerHost = 2
)

// Draws returns the number of targets, drawn at random, of which a host chooses the best. It is smaller the more hosts
// there are, and so the less of what is under way a host knows.
func Draws(targets, hosts int) int {
	return min(targets, max(minDraws, drawsPerHost*targets/max(1, hosts)))
}
