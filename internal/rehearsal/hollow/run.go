package hollow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// ErrNotFormed is returned if the nodes do not all meet in time.
var ErrNotFormed = errors.New("hollow: the nodes have not all met in time")

// run is one run under way.
type run struct {
	config  Config
	fleet   fleet
	storage *storage
	tracker *tracker
	random  *rand.Rand
	// changes and restarts count over the whole run.
	changes  int
	restarts int
}

// Run starts a fleet, measures the scenarios and stops the fleet. It blocks
// until then or until ctx ends.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.validate(); err != nil {
		return Result{}, err
	}
	before := heapBytes()
	storage, err := newStorage(config)
	if err != nil {
		return Result{}, err
	}
	r := &run{
		config: config, storage: storage, tracker: newTracker(),
		random: rand.New(rand.NewPCG(config.Seed, 2)),
	}
	storage.created = r.tracker.created
	if r.fleet, err = newFleet(config, storage); err != nil {
		return Result{}, err
	}
	defer r.fleet.close()
	result := Result{Config: config}
	if result.FormedSeconds, err = r.form(ctx); err != nil {
		return result, err
	}
	result.FormStoreCalls, result.FormCheckpoints = storage.callCount(), storage.loadCount()
	result.HeapBytesPerNode = float64(heapBytes()-before) / float64(config.Nodes)
	if err := r.fleet.advance(ctx, config.WarmUp); err != nil {
		return result, err
	}
	for _, scenario := range config.Scenarios {
		phase, err := r.phase(ctx, scenario)
		if err != nil {
			return result, err
		}
		result.Phases = append(result.Phases, phase)
	}
	return result, nil
}

func newFleet(config Config, storage *storage) (fleet, error) {
	if config.Virtual {
		return newVirtualFleet(config, storage), nil
	}
	return newSocketFleet(config, storage)
}

// step is the time between looks at the fleet.
func (r *run) step() time.Duration {
	if r.config.Virtual {
		return 100 * time.Millisecond
	}
	return 50 * time.Millisecond
}

// form waits until all nodes know each other and serve.
func (r *run) form(ctx context.Context) (seconds float64, err error) {
	for r.fleet.now() < r.config.FormTimeout {
		if err := r.fleet.advance(ctx, r.step()); err != nil {
			return 0, err
		}
		if r.serving() == r.config.Nodes && r.fleet.agreed() {
			return r.fleet.now().Seconds(), nil
		}
	}
	return 0, fmt.Errorf("%w: %d of %d serve, views agree: %t", ErrNotFormed,
		r.serving(), r.config.Nodes, r.fleet.agreed())
}

func (r *run) serving() int {
	serving := 0
	for _, status := range r.fleet.statuses() {
		if status.serves {
			serving++
		}
	}
	return serving
}
