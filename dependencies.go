//go:build dependencies

// Package dependencies keeps the declared libraries in go.mod until each has its first use.
package dependencies

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/hashicorp/yamux"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/prometheus/client_model/go"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sirupsen/logrus"
	_ "github.com/wcharczuk/go-chart/v2"
	_ "go.etcd.io/bbolt"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat/distuv"
	_ "google.golang.org/protobuf/proto"
)
