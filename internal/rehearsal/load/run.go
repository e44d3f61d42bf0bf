package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// scheduledRequest is a request with its due time.
type scheduledRequest struct {
	class     int
	target    string
	statement string
	due       time.Time
	// afterWarmUp is set if the request is due after the warm-up, so that it counts in the result.
	afterWarmUp bool
}

// requestResult is the result of a scheduled request.
type requestResult struct {
	scheduledRequest
	// latency counts from the due time, and serviceTime from the time at which the request was
	// sent.
	latency, serviceTime time.Duration
	reply
}

// Run sends the load and blocks until every request has completed, which takes at most the duration
// plus the timeout of the requests in flight. If ctx ends first, Run stops sending, waits for the
// requests in flight and returns the result so far with the error of ctx. Run writes a line to
// progress every second unless progress is nil.
func Run(ctx context.Context, config Config, progress io.Writer) (Result, error) {
	if err := config.Validate(); err != nil {
		return Result{}, err
	}
	client := newClient(&config)
	defer client.CloseIdleConnections()
	collector := newCollector(&config, progress)
	results := make(chan requestResult, config.MaximumInFlight)
	done := make(chan struct{})
	go func() {
		defer close(done)
		collector.run(results)
	}()
	err := sendScheduled(ctx, &config, client, results)
	close(results)
	<-done
	return collector.result(), err
}

func newClient(config *Config) *http.Client {
	transport := &http.Transport{
		MaxIdleConns:        config.MaximumInFlight,
		MaxIdleConnsPerHost: config.MaximumInFlight,
		IdleConnTimeout:     time.Minute,
	}
	return &http.Client{Transport: transport, Timeout: time.Duration(config.Timeout)}
}

// sendScheduled sends each request when it is due, or as soon afterwards as the limit on requests
// in flight allows, and waits until all have completed.
func sendScheduled(ctx context.Context, config *Config, client *http.Client, results chan<- requestResult) error {
	var running sync.WaitGroup
	defer running.Wait()
	inFlight := make(chan struct{}, config.MaximumInFlight)
	schedule := newSchedule(config, time.Now())
	for {
		next, ok := schedule.next()
		if !ok {
			return nil
		}
		if err := waitUntil(ctx, next.due); err != nil {
			return err
		}
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		running.Go(func() {
			results <- sendRequest(config, client, next)
			<-inFlight
		})
	}
}

// waitUntil blocks until the moment. It returns the error of ctx if ctx ends first.
func waitUntil(ctx context.Context, moment time.Time) error {
	left := time.Until(moment)
	if left <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// schedule generates the requests of a run in order of their due times.
type schedule struct {
	config     *Config
	random     *rand.Rand
	start      time.Time
	offset     time.Duration
	count      int
	totalShare float64
}

func newSchedule(config *Config, start time.Time) *schedule {
	s := &schedule{config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), start: start}
	for _, class := range config.Classes {
		s.totalShare += class.Share
	}
	return s
}

// next returns the next request, or false at the end of the run.
func (s *schedule) next() (scheduledRequest, bool) {
	gap := 1 / s.config.Rate
	if !s.config.Even {
		gap *= s.random.ExpFloat64()
	}
	s.offset += time.Duration(gap * float64(time.Second))
	if s.offset > time.Duration(s.config.Duration) || s.count >= s.config.MaximumRequests {
		return scheduledRequest{}, false
	}
	s.count++
	class := s.drawClass()
	return scheduledRequest{
		class:       class,
		target:      s.config.Targets[s.count%len(s.config.Targets)],
		statement:   s.fillStatement(&s.config.Classes[class]),
		due:         s.start.Add(s.offset),
		afterWarmUp: s.offset >= time.Duration(s.config.WarmUp),
	}, true
}

// drawClass returns the index of a random class, weighted by Share.
func (s *schedule) drawClass() int {
	drawn := s.random.Float64() * s.totalShare
	for i, class := range s.config.Classes {
		drawn -= class.Share
		if drawn < 0 {
			return i
		}
	}
	return len(s.config.Classes) - 1
}

// fillStatement replaces the placeholders in the statement of a class.
func (s *schedule) fillStatement(class *Class) string {
	value := ""
	if len(class.Values) > 0 {
		value = class.Values[s.random.IntN(len(class.Values))]
	}
	number := s.random.Int64N(max(class.Numbers, 1))
	return strings.NewReplacer(
		"{number}", strconv.FormatInt(number, 10),
		"{sequence}", strconv.Itoa(s.count),
		"{value}", value,
	).Replace(class.Statement)
}
