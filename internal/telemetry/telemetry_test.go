package telemetry_test

import (
	"bytes"
	"errors"
	"log/slog"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/telemetry"
)

var timePattern = regexp.MustCompile(`time"?[=:]"?[^ ",]+"?`)

func TestLogLineFormat(t *testing.T) {
	failure := oops.With("peer", "127.0.0.1:7001", "step", "store.txn", "other", 1).Wrap(errors.New("timeout"))
	for _, format := range []telemetry.Format{telemetry.FormatText, telemetry.FormatJSON} {
		var lines bytes.Buffer
		logger := telemetry.NewLogger(&lines, telemetry.LogConfig{Format: format, Level: "info"}, "node-a1")
		logger.Debug("hidden")
		logger.Info("catalog installed", "revision", 17, "request_id", "r1", "peer", "127.0.0.1:7301", "step", "install")
		logger.Warn("store call failed", telemetry.Error(failure), "tries", 3)
		logger.Warn("store call failed", "error", failure)
		logger.WithGroup("leaf").With("address", "127.0.0.1:7101").Error("lost", "error", errors.New("plain"))
		logger.Info("fine", telemetry.Error(nil))
		goldie.New(t).Assert(t, "log_"+string(format), timePattern.ReplaceAll(lines.Bytes(), []byte("time")))
	}
}

func TestMetricsListsEveryRegisteredMetric(t *testing.T) {
	registry := telemetry.NewRegistry("test")
	counter := prometheus.CounterOpts{Name: "micaplank_a_calls_total", Help: "Calls, by \"result\" | step."}
	registry.MustRegister(
		prometheus.NewCounterVec(counter, []string{"step", "result"}),
		prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "micaplank_b_duration_seconds", Help: "Time."}, []string{"step"}),
		prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "micaplank_c_open", Help: "Open."}, []string{"zone"}),
		prometheus.NewGauge(prometheus.GaugeOpts{Name: "micaplank_d_age_seconds", Help: "Age."}),
	)
	metrics, err := registry.Metrics("micaplank_")
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	if err := telemetry.WriteMetrics(&table, metrics); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "metrics", table.Bytes())
	all, err := registry.Metrics("")
	if err != nil || len(all) <= len(metrics) {
		t.Fatalf("got %d metrics and error %v, want more than the %d of this module", len(all), err, len(metrics))
	}
	if err := registry.Register(prometheus.NewCounterVec(counter, []string{"step", "result"})); err == nil {
		t.Fatal("registered a second metric of the same name, want an error")
	}
}

func BenchmarkLogger(b *testing.B) {
	logger := telemetry.NewLogger(discardWriter{}, telemetry.LogConfig{}, "node-a1")
	for b.Loop() {
		logger.Info("catalog installed", slog.Int("revision", 17), slog.String("peer", "127.0.0.1:7301"))
	}
}

type discardWriter struct{}

func (discardWriter) Write(line []byte) (int, error) { return len(line), nil }
