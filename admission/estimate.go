package admission

import (
	"math/bits"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// sizeClass groups requests whose token counts lie within a factor of two.
func sizeClass(tokens ident.Tokens) int {
	return bits.Len(uint(max(tokens, 0)))
}

type estimateKey struct {
	model ident.Model
	class ident.Class
	size  int
}

// estimates learns how long requests take by model, class and size.
type estimates map[estimateKey]float64

const (
	estimateWeight = 0.1
	// estimateNear is how many neighbouring sizes may stand in for one that was never seen.
	estimateNear = 3
)

func (e estimates) learn(a *Ask, took time.Duration) {
	key := estimateKey{a.Model, a.Class, sizeClass(a.Tokens)}
	old, ok := e[key]
	if !ok {
		e[key] = took.Seconds()
		return
	}
	e[key] = old + estimateWeight*(took.Seconds()-old)
}

// service returns the expected seconds of a request, or zero when nothing like it was seen.
func (e estimates) service(a *Ask) float64 {
	key := estimateKey{a.Model, a.Class, sizeClass(a.Tokens)}
	if s, ok := e[key]; ok {
		return s
	}
	size := key.size
	for d := 1; d <= estimateNear; d++ {
		key.size = size - d
		if s, ok := e[key]; ok {
			return s
		}
		key.size = size + d
		if s, ok := e[key]; ok {
			return s / float64(uint(1)<<d)
		}
	}
	return 0
}
