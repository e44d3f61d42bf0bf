// Package load sends queries to real nodes at a fixed rate and measures what
// their callers see.
//
// The load is open loop: requests are due at times that do not depend on the
// answers, and latencies count from those times. A request that could not be
// sent when it was due, because too many were in flight, counts its wait, so
// that a stall of the system shows in full (no coordinated omission).
package load

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/settings"
)

// Duration is a time.Duration that is written as text, such as "150ms".
type Duration = settings.Duration

// Config is one run of the load tool. Every run is bounded in time, count and
// requests in flight.
type Config struct {
	// Targets are the nodes, such as "http://127.0.0.1:7201"; requests go to
	// them in turn.
	Targets []string `toml:"targets" json:"targets" validate:"min=1,dive,url"`
	// Rate is the number of requests a second, of all classes.
	Rate float64 `toml:"rate" json:"rate" validate:"gt=0"`
	// Duration is how long requests are due, WarmUp how much of that is not
	// measured.
	Duration Duration `toml:"duration" json:"duration" validate:"gt=0"`
	WarmUp   Duration `toml:"warm_up" json:"warm_up" validate:"gte=0"`
	// MaximumRequests ends the run early. Default 1,000,000.
	MaximumRequests int `toml:"maximum_requests" json:"maximum_requests" validate:"min=1"`
	// MaximumInFlight bounds the requests in flight. Default 1000.
	MaximumInFlight int `toml:"maximum_in_flight" json:"maximum_in_flight" validate:"min=1"`
	// Timeout is how long the tool waits for an answer. Default 10 s.
	Timeout Duration `toml:"timeout" json:"timeout" validate:"gt=0"`
	// Even spaces the requests evenly; otherwise they are a Poisson process.
	Even bool `toml:"even" json:"even"`
	// Seed fixes arrival times, classes and values. Default 1.
	Seed    uint64  `toml:"seed" json:"seed"`
	Classes []Class `toml:"classes" json:"classes" validate:"min=1,dive"`
}

// Class is one kind of request in the mix.
type Class struct {
	Service string `toml:"service" json:"service" validate:"required"`
	Class   string `toml:"class" json:"class" validate:"required"`
	// Share is the weight of the class among the requests.
	Share float64 `toml:"share" json:"share" validate:"gt=0"`
	// Statement may hold {number}, a random number below Numbers, {value}, one
	// of Values, and {sequence}, which is unique within the run.
	Statement            string   `toml:"statement" json:"statement" validate:"required"`
	Numbers              int64    `toml:"numbers" json:"numbers,omitempty" validate:"gte=0"`
	Values               []string `toml:"values" json:"values,omitempty"`
	DeadlineMilliseconds int64    `toml:"deadline_ms" json:"deadline_ms,omitempty" validate:"gte=0"`
	MinimumCoverage      *float64 `toml:"minimum_coverage" json:"minimum_coverage,omitempty" validate:"omitempty,gte=0,lte=1"`
}

// DefaultConfig returns the defaults; it names no target and no class.
func DefaultConfig() Config {
	return Config{
		Rate:            100,
		Duration:        Duration(10 * time.Second),
		MaximumRequests: 1_000_000,
		MaximumInFlight: 1000,
		Timeout:         Duration(10 * time.Second),
		Seed:            1,
	}
}

// Load reads a TOML file over the defaults. Unknown keys are errors. It does
// not check the values: the command line may still change them, and Run checks.
func Load(path string) (Config, error) {
	failure := oops.In("load").With("step", "load", "path", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, failure.Wrap(err)
	}
	config := DefaultConfig()
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&config); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			err = fmt.Errorf("unknown keys:\n%s", unknown.String())
		}
		return Config{}, failure.Wrap(err)
	}
	return config, nil
}

// Validate checks the values.
func (c *Config) Validate() error {
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(c); err != nil {
		return oops.In("load").With("step", "validate").Wrap(err)
	}
	return nil
}
