//go:build never

package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/participle/v2"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/integrii/flaggy"
	_ "github.com/labstack/echo/v4"
	_ "github.com/labstack/echo/v4/middleware"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/collectors"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/samber/oops"
	_ "github.com/sebdah/goldie/v2"
	_ "go.uber.org/goleak"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/net/http2/h2c"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/gonum/stat"
	_ "pgregory.net/rapid"
)
