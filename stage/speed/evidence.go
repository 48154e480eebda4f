package speed

import (
	"math"
	"time"
)

// An evidence is the number and the sum of observations, which lose half of their weight in a half-life.
type evidence struct {
	count, sum float64
	at         time.Time
}

// minFade divides a half-life into the shortest times after which the weight is computed again: until then it falls by
// less than a five-hundredth.
const minFade = 400

// add adds an observation of the given weight.
func (e *evidence) add(now time.Time, halfLife time.Duration, x, weight float64) {
	e.fade(now, halfLife)
	e.count += weight
	e.sum += weight * x
}

// fade reduces the weight of the observations to that at the time now.
func (e *evidence) fade(now time.Time, halfLife time.Duration) {
	if age := now.Sub(e.at); age > halfLife/minFade {
		if e.count > 0 {
			keep := math.Exp2(-float64(age) / float64(halfLife))
			e.count, e.sum = e.count*keep, e.sum*keep
		}
		e.at = now
	}
}

// plus returns the observations with those of other hosts, given as in a Report.
func (e *evidence) plus(count, sum int) evidence {
	return evidence{count: e.count + float64(count)/countUnit, sum: e.sum + float64(sum)/sumUnit}
}

// units returns the observations as in a Report.
func (e *evidence) units() (count, sum int) { return int(e.count * countUnit), int(e.sum * sumUnit) }

// mean returns the mean of the observations and as many of 0 as prior says.
func (e *evidence) mean(prior float64) float64 {
	if e.count+prior <= 0 {
		return 0
	}
	return e.sum / (e.count + prior)
}

// logRatio returns the logarithm of the ratio of two times, which is limited to maxRatio and its inverse. It
// returns false if one of them isn't positive.
func logRatio(a, b float64) (float64, bool) {
	if !(a > 0) || !(b > 0) {
		return 0, false
	}
	limit := math.Log(maxRatio)
	return min(max(math.Log(a/b), -limit), limit), true
}
