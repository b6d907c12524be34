package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Bounds of settings.
const (
	minBody           = 1 << 10  // bytes
	maxCallerBody     = 64 << 20 // bytes
	maxOperatorBody   = 1 << 20  // bytes; the largest value of the object API
	maxExchanges      = 16384    // the dispatch duty's bound on attempts in flight
	maxStoreCalls     = 1024
	maxStoreReads     = 2000 // per second, the platform's limit for all clients
	maxStoreWrites    = 500  // per second, the platform's limit for all clients
	maxSamples        = 4096
	minStopTimeout    = time.Second
	maxStopTimeout    = 24 * time.Hour
	maxDrainGrace     = 3 * time.Second
	maxPeers          = 1024
	allowedAddress    = "an IP address and a port, such as 10.0.0.1:7300"
	allowedName       = "1 to 63 of a-z, A-Z, 0-9, '-', '.', '_', starting with a letter or digit"
	allowedURL        = "an http or https URL without query, such as http://10.0.0.1:7000"
	allowedDataFolder = "an existing folder, or empty"
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// Check returns one error that joins all invalid settings, or nil. Each part
// names the flag, the value and the allowed values.
func (d *Daemon) Check() error {
	v := &validator{}
	v.name("--name", d.Name)
	v.name("--data-centre", d.DataCentre)
	v.name("--region", d.Region)
	v.listeners(d)
	v.peers(d)
	v.baseURL("--platform-url", d.PlatformURL)
	v.dataFolder(d.DataFolder)
	v.integer("--caller-max-body", d.CallerMaxBody, minBody, maxCallerBody)
	v.integer("--operator-max-body", d.OperatorMaxBody, minBody, maxOperatorBody)
	v.integer("--exchanges", d.Exchanges, 1, maxExchanges)
	v.integer("--store-calls", d.StoreCalls, 1, maxStoreCalls)
	if d.WeightsURL != "" {
		v.baseURL("--weights-url", d.WeightsURL)
	}
	v.callRate("--store-reads", d.StoreReads, maxStoreReads)
	v.callRate("--store-writes", d.StoreWrites, maxStoreWrites)
	v.integer("--samples", d.Samples, 1, maxSamples)
	if d.DrainGrace < 0 || d.DrainGrace > maxDrainGrace {
		v.addError("--drain-grace", d.DrainGrace.String(), fmt.Sprintf("0s to %v", maxDrainGrace), "is out of range")
	}
	if d.StopTimeout < minStopTimeout || d.StopTimeout > maxStopTimeout {
		v.addError("--stop-timeout", d.StopTimeout.String(), fmt.Sprintf("%v to %v", minStopTimeout, maxStopTimeout), "is out of range")
	}
	v.tls(d)
	if d.TokenFile != "" {
		if err := NewTokens(d.TokenFile, time.Now).Reload(); err != nil {
			v.addErrorWithCause("--token-file", d.TokenFile, "a readable file of tokens", err)
		}
	}
	return errors.Join(v.errors...)
}

type validator struct {
	errors []error
}

func (v *validator) addError(flag, value, allowed, reason string) {
	v.errors = append(v.errors, core.InvalidError(flag, value, allowed, reason))
}

func (v *validator) addErrorWithCause(flag, value, allowed string, err error) {
	e := core.InvalidError(flag, value, allowed, "cannot be used")
	e.Err = err
	v.errors = append(v.errors, e)
}

func (v *validator) name(flag, value string) {
	if !namePattern.MatchString(value) {
		v.addError(flag, value, allowedName, "is not a valid name")
	}
}

func (v *validator) integer(flag string, value, low, high int) {
	if value < low || value > high {
		v.addError(flag, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high), "is out of range")
	}
}

func (v *validator) address(flag, value string) bool {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.addError(flag, value, allowedAddress, "is not an address")
		return false
	}
	return true
}

func (v *validator) listeners(d *Daemon) {
	listeners := []struct{ flag, address string }{
		{"--caller-address", d.CallerAddress},
		{"--operator-address", d.OperatorAddress},
		{"--peer-address", d.PeerAddress},
	}
	used := map[netip.AddrPort]string{}
	for _, l := range listeners {
		if !v.address(l.flag, l.address) {
			continue
		}
		at := netip.MustParseAddrPort(l.address)
		if other := used[at]; other != "" && at.Port() != 0 {
			v.addError(l.flag, l.address, "an address of its own", "is used by "+other+" too")
		}
		used[at] = l.flag
	}
}

func (v *validator) peers(d *Daemon) {
	if len(d.Peers) > maxPeers {
		v.addError("--peers", strconv.Itoa(len(d.Peers)), fmt.Sprintf("up to %d peers", maxPeers), "are too many")
	}
	for _, peer := range d.Peers {
		if v.address("--peers", peer) && netip.MustParseAddrPort(peer).Port() == 0 {
			v.addError("--peers", peer, "a port from 1 to 65535", "has port 0")
		}
	}
}

func (v *validator) baseURL(flag, value string) {
	u, err := url.Parse(value)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
	if !valid {
		v.addError(flag, value, allowedURL, "is not a base URL")
	}
}

func (v *validator) dataFolder(value string) {
	if value == "" {
		return
	}
	info, err := os.Stat(value)
	if err != nil {
		v.addErrorWithCause("--data-folder", value, allowedDataFolder, err)
	} else if !info.IsDir() {
		v.addError("--data-folder", value, allowedDataFolder, "is not a folder")
	}
}

func (v *validator) tls(d *Daemon) {
	if d.TLSCertificate == "" && d.TLSKey == "" {
		return
	}
	if d.TLSKey == "" {
		v.addError("--tls-key", "", "a PEM file, since --tls-certificate is set", "is required")
		return
	}
	if d.TLSCertificate == "" {
		v.addError("--tls-certificate", "", "a PEM file, since --tls-key is set", "is required")
		return
	}
	if err := NewCertificate(d.TLSCertificate, d.TLSKey).Reload(); err != nil {
		v.addErrorWithCause("--tls-certificate", d.TLSCertificate, "a PEM certificate that matches --tls-key "+d.TLSKey, err)
	}
}

// callRate checks a number of calls per second. It rejects NaN, which is in no range.
func (v *validator) callRate(flag string, value, highest float64) {
	if !(value >= 1 && value <= highest) {
		v.addError(flag, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("1 to %g", highest), "is out of range")
	}
}
