// Package settings holds a daemon's static configuration: flags, environment
// variables, their checks, and the logger.
package settings

import (
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
)

// Daemon is the static configuration of berylfalld.
type Daemon struct {
	Name            string        `long:"name" env:"BERYLFALL_NAME" default:"daemon-1" description:"name of this daemon, unique in the data centre"`
	DataCentre      string        `long:"data-centre" env:"BERYLFALL_DATA_CENTRE" default:"local" description:"data centre that this daemon runs in"`
	Region          string        `long:"region" env:"BERYLFALL_REGION" default:"local" description:"region that the data centre belongs to"`
	CallerAddress   string        `long:"caller-address" env:"BERYLFALL_CALLER_ADDRESS" default:"127.0.0.1:7300" description:"IP address and port for callers and trainers"`
	OperatorAddress string        `long:"operator-address" env:"BERYLFALL_OPERATOR_ADDRESS" default:"127.0.0.1:7301" description:"IP address and port for operators and metrics"`
	PeerAddress     string        `long:"peer-address" env:"BERYLFALL_PEER_ADDRESS" default:"127.0.0.1:7302" description:"IP address and port for other daemons"`
	PlatformURL     string        `long:"platform-url" env:"BERYLFALL_PLATFORM_URL" default:"http://127.0.0.1:7000" description:"base URL of the platform's object API and host list"`
	Exchanges       int           `long:"exchanges" env:"BERYLFALL_EXCHANGES" default:"2048" description:"most exchanges with backend servers at once, 1 to 16384"`
	StoreCalls      int           `long:"store-calls" env:"BERYLFALL_STORE_CALLS" default:"32" description:"most calls of the object API at once, 1 to 1024"`
	Samples         int           `long:"samples" env:"BERYLFALL_SAMPLES" default:"512" description:"most samples for trainers at once, 1 to 4096"`
	AddressFile     string        `long:"address-file" env:"BERYLFALL_ADDRESS_FILE" description:"file that receives the addresses in use as JSON, for ports given as 0"`
	StopTimeout     time.Duration `long:"stop-timeout" env:"BERYLFALL_STOP_TIMEOUT" default:"10m" description:"longest wait for requests in flight at a planned stop, such as 10m"`
	LogLevel        string        `long:"log-level" env:"BERYLFALL_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least severe level that is logged"`
	LogFormat       string        `long:"log-format" env:"BERYLFALL_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"format of the log"`
}

// Parse reads the configuration from arguments and the environment.
func Parse(args []string) (*Daemon, error) {
	d := &Daemon{}
	parser := flags.NewParser(d, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.ParseArgs(args); err != nil {
		return nil, err
	}
	return d, d.Check()
}

// Check reports the first setting that is not allowed.
func (d *Daemon) Check() error {
	if d.Exchanges < 1 || d.Exchanges > 16384 {
		return core.InvalidError("--exchanges", "", "1 to 16384", "is out of range")
	}
	return nil
}

// NewLogger returns the daemon's logger.
func (d *Daemon) NewLogger() *logrus.Logger {
	log := logrus.New()
	if level, err := logrus.ParseLevel(d.LogLevel); err == nil {
		log.SetLevel(level)
	}
	if d.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
