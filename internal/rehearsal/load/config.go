// Package load is an open-loop load generator. It sends queries to running nodes at a fixed rate
// and records the latencies and outcomes that their callers observe.
//
// The due times of requests do not depend on responses, and latencies count from the due times. If
// a request cannot be sent at its due time because too many requests are in flight, its latency
// includes the wait. This avoids coordinated omission: a stall of the system appears in the latency
// of every request that was due during the stall.
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

// Duration is a time.Duration that is written as text in settings, such as "150ms".
type Duration = settings.Duration

// Config configures one run of the load generator. The duration, the number of requests and the
// number of requests in flight are limited in every run.
type Config struct {
	// Targets are the base URLs of the nodes, such as "http://127.0.0.1:7201". Requests are
	// distributed round-robin.
	Targets []string `toml:"targets" json:"targets" validate:"min=1,dive,url"`
	// Rate is the number of requests per second of all classes together.
	Rate float64 `toml:"rate" json:"rate" validate:"gt=0"`
	// Duration is the time during which requests are due. WarmUp is the initial part of it that is
	// excluded from the result.
	Duration Duration `toml:"duration" json:"duration" validate:"gt=0"`
	WarmUp   Duration `toml:"warm_up" json:"warm_up" validate:"gte=0"`
	// MaximumRequests is the number of requests after which the run ends early. The default is
	// 1,000,000.
	MaximumRequests int `toml:"maximum_requests" json:"maximum_requests" validate:"min=1"`
	// MaximumInFlight limits the number of requests in flight. The default is 1000.
	MaximumInFlight int `toml:"maximum_in_flight" json:"maximum_in_flight" validate:"min=1"`
	// Timeout limits the wait for the response to a request. The default is 10 s.
	Timeout Duration `toml:"timeout" json:"timeout" validate:"gt=0"`
	// Even spaces the requests evenly. Otherwise the arrivals are a Poisson process.
	Even bool `toml:"even" json:"even"`
	// Seed is the seed of the random arrival times, classes and values. The default is 1.
	Seed    uint64  `toml:"seed" json:"seed"`
	Classes []Class `toml:"classes" json:"classes" validate:"min=1,dive"`
}

// Class is one kind of request.
type Class struct {
	Service string `toml:"service" json:"service" validate:"required"`
	Class   string `toml:"class" json:"class" validate:"required"`
	// Share is the weight of the class in the random selection of requests.
	Share float64 `toml:"share" json:"share" validate:"gt=0"`
	// Statement is a template. {number} is replaced by a random number below Numbers, {value} by a
	// random element of Values, and {sequence} by a number that is unique within the run.
	Statement            string   `toml:"statement" json:"statement" validate:"required"`
	Numbers              int64    `toml:"numbers" json:"numbers,omitempty" validate:"gte=0"`
	Values               []string `toml:"values" json:"values,omitempty"`
	DeadlineMilliseconds int64    `toml:"deadline_ms" json:"deadline_ms,omitempty" validate:"gte=0"`
	MinimumCoverage      *float64 `toml:"minimum_coverage" json:"minimum_coverage,omitempty" validate:"omitempty,gte=0,lte=1"`
}

// DefaultConfig returns the defaults. The caller must set Targets and Classes.
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

// ReadConfig decodes a TOML file over the defaults. Unknown keys are errors. ReadConfig does not
// validate the values because the command line may still change them; Run validates them.
func ReadConfig(path string) (Config, error) {
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

// Validate returns an error for the first invalid value.
func (c *Config) Validate() error {
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(c); err != nil {
		return oops.In("load").With("step", "validate").Wrap(err)
	}
	return nil
}
