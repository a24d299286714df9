package admission

import (
	"math/bits"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// sizeClass is the same for token counts within a factor of two.
func sizeClass(tokens ident.Tokens) int {
	return bits.Len(uint(max(tokens, 0)))
}

type estimateKey struct {
	model ident.Model
	class ident.Class
	size  int
}

// serviceEstimates holds moving averages of the service time in seconds by model, class and size.
type serviceEstimates map[estimateKey]float64

const (
	estimateWeight = 0.1
	// maxSizeDistance is how far the size class may differ of an estimate that is used for a class without one.
	maxSizeDistance = 3
)

func (e serviceEstimates) record(a *Request, duration time.Duration) {
	key := estimateKey{a.Model, a.Class, sizeClass(a.Tokens)}
	old, ok := e[key]
	if !ok {
		e[key] = duration.Seconds()
		return
	}
	e[key] = old + estimateWeight*(duration.Seconds()-old)
}

// expectedSeconds returns the expected service time of a request, zero if there is no similar one.
func (e serviceEstimates) expectedSeconds(a *Request) float64 {
	key := estimateKey{a.Model, a.Class, sizeClass(a.Tokens)}
	if s, ok := e[key]; ok {
		return s
	}
	size := key.size
	for distance := 1; distance <= maxSizeDistance; distance++ {
		key.size = size - distance
		if s, ok := e[key]; ok {
			return s
		}
		key.size = size + distance
		if s, ok := e[key]; ok {
			return s / float64(uint(1)<<distance)
		}
	}
	return 0
}
