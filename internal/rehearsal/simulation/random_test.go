package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// Each part of a run draws from its own random stream, so that the draws of one part do not change
// those of another. The numbers of the streams are part of every seed: a new stream goes to the
// end.
const (
	streamArrivals uint64 = iota + 1
	streamLeaves
	streamNetwork
	streamFaults
	streamDecider
	streamWork
	streamNoise
)

// newRandom returns the seeded random source of a stream for one instance, such as a leaf or a
// node.
func newRandom(seed, stream, instance uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, mix(stream, instance)))
}

// mix hashes two numbers into one with the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	z := a*0x9e3779b97f4a7c15 + b + 0x632be59bd9b4e019
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// uniform maps a hash to a number in (0, 1).
func uniform(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// lognormalFactor maps a hash to a lognormally distributed factor with mean 1.
func lognormalFactor(hash uint64, sigma float64) float64 {
	if sigma == 0 {
		return 1
	}
	u1, u2 := uniform(mix(hash, 1)), uniform(mix(hash, 2))
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	return math.Exp(sigma*normal - sigma*sigma/2)
}

// scale multiplies a duration by a factor.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// exponential draws an exponentially distributed duration with the given mean.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return scale(mean, random.ExpFloat64())
}
