package leaf

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// serviceTimeSampler draws random service times from a seeded source.
type serviceTimeSampler struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newServiceTimeSampler(seed uint64) *serviceTimeSampler {
	return &serviceTimeSampler{random: rand.New(rand.NewPCG(seed, seed))}
}

// sample returns a random service time multiplied by the factor.
func (s *serviceTimeSampler) sample(distribution ServiceTime, factor float64) time.Duration {
	s.mutex.Lock()
	deviation := s.random.NormFloat64()
	s.mutex.Unlock()
	scale := math.Exp(distribution.Sigma*deviation) * factor
	return time.Duration(float64(distribution.Median) * scale)
}
