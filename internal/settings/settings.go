// Package settings decides whether a daemon's static configuration is valid and
// provides what depends on it alone: flags and environment variables, the token
// and certificate files, the log output and the metrics registry.
//
// The "files" duty (FileReloader) owns the state of reloads and the "log" duty
// (LogWriter) owns the lines that are waiting for the output. Tokens,
// Certificate and Metrics may be used by any goroutine. A file that cannot be
// used never replaces the content loaded before it, and logging never blocks.
package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
)

// Daemon is the static configuration of berylfalld. Check validates it.
type Daemon struct {
	Name            string        `long:"name" env:"BERYLFALL_NAME" default:"daemon-1" description:"name of this daemon, unique in the data centre"`
	DataCentre      string        `long:"data-centre" env:"BERYLFALL_DATA_CENTRE" default:"local" description:"data centre that this daemon runs in"`
	Region          string        `long:"region" env:"BERYLFALL_REGION" default:"local" description:"region that the data centre belongs to"`
	CallerAddress   string        `long:"caller-address" env:"BERYLFALL_CALLER_ADDRESS" default:"127.0.0.1:7300" description:"IP address and port for callers and trainers"`
	OperatorAddress string        `long:"operator-address" env:"BERYLFALL_OPERATOR_ADDRESS" default:"127.0.0.1:7301" description:"IP address and port for operators and metrics"`
	PeerAddress     string        `long:"peer-address" env:"BERYLFALL_PEER_ADDRESS" default:"127.0.0.1:7302" description:"IP address and port for other daemons"`
	Peers           []string      `long:"peers" env:"BERYLFALL_PEERS" env-delim:"," description:"IP address and port of another daemon's peer listener; repeat the flag for each (in the environment: separated by commas)"`
	PlatformURL     string        `long:"platform-url" env:"BERYLFALL_PLATFORM_URL" default:"http://127.0.0.1:7000" description:"base URL of the platform's object API and host list"`
	DataFolder      string        `long:"data-folder" env:"BERYLFALL_DATA_FOLDER" description:"folder for bulk data on a local disk; empty keeps nothing on disk"`
	TLSCertificate  string        `long:"tls-certificate" env:"BERYLFALL_TLS_CERTIFICATE" description:"PEM file of the certificate chain for callers and operators; empty serves without TLS; read again when it changes"`
	TLSKey          string        `long:"tls-key" env:"BERYLFALL_TLS_KEY" description:"PEM file of the certificate's private key; read again when it changes"`
	TokenFile       string        `long:"token-file" env:"BERYLFALL_TOKEN_FILE" description:"YAML file of bearer tokens; empty lets every client act as an operator; read again when it changes"`
	CallerMaxBody   int           `long:"caller-max-body" env:"BERYLFALL_CALLER_MAX_BODY" default:"8388608" description:"largest body of a caller's request in bytes, 1024 to 67108864"`
	OperatorMaxBody int           `long:"operator-max-body" env:"BERYLFALL_OPERATOR_MAX_BODY" default:"524288" description:"largest body of an operator's request in bytes, 1024 to 1048576"`
	Exchanges       int           `long:"exchanges" env:"BERYLFALL_EXCHANGES" default:"2048" description:"most exchanges with backend servers at once, 1 to 16384"`
	StoreCalls      int           `long:"store-calls" env:"BERYLFALL_STORE_CALLS" default:"32" description:"most calls of the object API at once, 1 to 1024"`
	WeightsURL      string        `long:"weights-url" env:"BERYLFALL_WEIGHTS_URL" description:"base URL of the weight store; empty: this daemon rolls out no versions"`
	StoreReads      float64       `long:"store-reads" env:"BERYLFALL_STORE_READS" default:"200" description:"most reads of the platform a second, a waiting watch counted as one, 1 to 2000"`
	StoreWrites     float64       `long:"store-writes" env:"BERYLFALL_STORE_WRITES" default:"30" description:"most writes to the object API a second, 1 to 500"`
	Samples         int           `long:"samples" env:"BERYLFALL_SAMPLES" default:"512" description:"most samples for trainers at once, 1 to 4096"`
	AddressFile     string        `long:"address-file" env:"BERYLFALL_ADDRESS_FILE" description:"file that receives the addresses in use as JSON, for ports given as 0"`
	DrainGrace      time.Duration `long:"drain-grace" env:"BERYLFALL_DRAIN_GRACE" default:"2s" description:"how long requests are still taken after the stop signal, while the load balancer sees that the daemon is not ready, 0s to 3s"`
	StopTimeout     time.Duration `long:"stop-timeout" env:"BERYLFALL_STOP_TIMEOUT" default:"10m" description:"longest wait for requests in flight at a planned stop, 1s to 24h"`
	LogLevel        string        `long:"log-level" env:"BERYLFALL_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least severe level that is logged"`
	LogFormat       string        `long:"log-format" env:"BERYLFALL_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"format of the log"`
}

// Parse reads the configuration from arguments and the environment and validates
// it. A flag takes precedence over its environment variable.
func Parse(args []string) (*Daemon, error) {
	d := &Daemon{}
	parser := flags.NewParser(d, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "berylfalld"
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, core.InvalidError("arguments", strings.Join(rest, " "), "flags only", "are not known")
	}
	return d, d.Check()
}

// NewLogger returns a logger with the configured level and format.
func (d *Daemon) NewLogger() *logrus.Logger { return NewLogger(d.LogLevel, d.LogFormat) }

// NewLogger returns a logger that writes JSON lines for the format "json" and
// text lines otherwise. An unknown level leaves the default, info.
func NewLogger(level, format string) *logrus.Logger {
	log := logrus.New()
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	if format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	}
	return log
}

// String returns the main settings for a log line. It needs no redaction, since
// tokens and keys are in files.
func (d *Daemon) String() string {
	return fmt.Sprintf("name=%s data-centre=%s region=%s platform-url=%s peers=%s",
		d.Name, d.DataCentre, d.Region, d.PlatformURL, strings.Join(d.Peers, ","))
}
