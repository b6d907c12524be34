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
	k := &validator{}
	k.name("--name", d.Name)
	k.name("--data-centre", d.DataCentre)
	k.name("--region", d.Region)
	k.listeners(d)
	k.peers(d)
	k.baseURL("--platform-url", d.PlatformURL)
	k.dataFolder(d.DataFolder)
	k.integer("--caller-max-body", d.CallerMaxBody, minBody, maxCallerBody)
	k.integer("--operator-max-body", d.OperatorMaxBody, minBody, maxOperatorBody)
	k.integer("--exchanges", d.Exchanges, 1, maxExchanges)
	k.integer("--store-calls", d.StoreCalls, 1, maxStoreCalls)
	if d.WeightsURL != "" {
		k.baseURL("--weights-url", d.WeightsURL)
	}
	k.callRate("--store-reads", d.StoreReads, maxStoreReads)
	k.callRate("--store-writes", d.StoreWrites, maxStoreWrites)
	k.integer("--samples", d.Samples, 1, maxSamples)
	if d.DrainGrace < 0 || d.DrainGrace > maxDrainGrace {
		k.addError("--drain-grace", d.DrainGrace.String(), fmt.Sprintf("0s to %v", maxDrainGrace), "is out of range")
	}
	if d.StopTimeout < minStopTimeout || d.StopTimeout > maxStopTimeout {
		k.addError("--stop-timeout", d.StopTimeout.String(), fmt.Sprintf("%v to %v", minStopTimeout, maxStopTimeout), "is out of range")
	}
	k.tls(d)
	if d.TokenFile != "" {
		if err := NewTokens(d.TokenFile, time.Now).Reload(); err != nil {
			k.addErrorWithCause("--token-file", d.TokenFile, "a readable file of tokens", err)
		}
	}
	return errors.Join(k.errors...)
}

type validator struct {
	errors []error
}

func (k *validator) addError(flag, value, allowed, reason string) {
	k.errors = append(k.errors, core.InvalidError(flag, value, allowed, reason))
}

func (k *validator) addErrorWithCause(flag, value, allowed string, err error) {
	e := core.InvalidError(flag, value, allowed, "cannot be used")
	e.Err = err
	k.errors = append(k.errors, e)
}

func (k *validator) name(flag, value string) {
	if !namePattern.MatchString(value) {
		k.addError(flag, value, allowedName, "is not a valid name")
	}
}

func (k *validator) integer(flag string, value, low, high int) {
	if value < low || value > high {
		k.addError(flag, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high), "is out of range")
	}
}

func (k *validator) address(flag, value string) bool {
	if _, err := netip.ParseAddrPort(value); err != nil {
		k.addError(flag, value, allowedAddress, "is not an address")
		return false
	}
	return true
}

func (k *validator) listeners(d *Daemon) {
	listeners := []struct{ flag, address string }{
		{"--caller-address", d.CallerAddress},
		{"--operator-address", d.OperatorAddress},
		{"--peer-address", d.PeerAddress},
	}
	used := map[netip.AddrPort]string{}
	for _, l := range listeners {
		if !k.address(l.flag, l.address) {
			continue
		}
		at := netip.MustParseAddrPort(l.address)
		if other := used[at]; other != "" && at.Port() != 0 {
			k.addError(l.flag, l.address, "an address of its own", "is used by "+other+" too")
		}
		used[at] = l.flag
	}
}

func (k *validator) peers(d *Daemon) {
	if len(d.Peers) > maxPeers {
		k.addError("--peers", strconv.Itoa(len(d.Peers)), fmt.Sprintf("up to %d peers", maxPeers), "are too many")
	}
	for _, peer := range d.Peers {
		if k.address("--peers", peer) && netip.MustParseAddrPort(peer).Port() == 0 {
			k.addError("--peers", peer, "a port from 1 to 65535", "has port 0")
		}
	}
}

func (k *validator) baseURL(flag, value string) {
	u, err := url.Parse(value)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
	if !valid {
		k.addError(flag, value, allowedURL, "is not a base URL")
	}
}

func (k *validator) dataFolder(value string) {
	if value == "" {
		return
	}
	info, err := os.Stat(value)
	if err != nil {
		k.addErrorWithCause("--data-folder", value, allowedDataFolder, err)
	} else if !info.IsDir() {
		k.addError("--data-folder", value, allowedDataFolder, "is not a folder")
	}
}

func (k *validator) tls(d *Daemon) {
	if d.TLSCertificate == "" && d.TLSKey == "" {
		return
	}
	if d.TLSKey == "" {
		k.addError("--tls-key", "", "a PEM file, since --tls-certificate is set", "is required")
		return
	}
	if d.TLSCertificate == "" {
		k.addError("--tls-certificate", "", "a PEM file, since --tls-key is set", "is required")
		return
	}
	if err := NewCertificate(d.TLSCertificate, d.TLSKey).Reload(); err != nil {
		k.addErrorWithCause("--tls-certificate", d.TLSCertificate, "a PEM certificate that matches --tls-key "+d.TLSKey, err)
	}
}

// callRate checks a number of calls per second. It rejects NaN, which is in no range.
func (k *validator) callRate(flag string, value, highest float64) {
	if !(value >= 1 && value <= highest) {
		k.addError(flag, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("1 to %g", highest), "is out of range")
	}
}
