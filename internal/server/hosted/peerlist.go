package hosted

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// kindDaemons is the kind of the objects that list the daemons that serve callers.
const kindDaemons = "daemons"

const (
	// registerTimeout bounds one attempt to write the entry.
	registerTimeout = 5 * time.Second
	// registerRetryDelay is the delay before the next attempt.
	registerRetryDelay = time.Second
)

// daemonEntry is the entry that a daemon writes about itself.
type daemonEntry struct {
	Address string `json:"address"` // for other daemons
}

// peerList holds the addresses of the other daemons and of the relays. The goroutine
// of the watch of daemons writes it; any goroutine may read the two lists.
type peerList struct {
	addressByKey map[string]string
	addresses    atomic.Pointer[[]string]
	relays       atomic.Pointer[[]string]
}

// isKnown reports whether the list of daemons has arrived.
func (r *peerList) isKnown() bool { return r.addresses.Load() != nil }

// otherAddresses returns the sorted addresses of the other daemons.
func (r *peerList) otherAddresses() []string { return loadList(&r.addresses) }

func loadList(p *atomic.Pointer[[]string]) []string {
	if list := p.Load(); list != nil {
		return *list
	}
	return nil
}

func (d *frontDaemon) buildPeerList() error {
	d.peerList.addressByKey = map[string]string{}
	d.watchKind(kindDaemons, platform.WatcherOptions{MaxAge: fixedAge(maxDaemonsAge), BatchDelay: func() time.Duration { return peerListBatchDelay }}, d.handleDaemons)
	d.store.Loop().After(0, d.register)
	return nil
}

// register creates the entry of this daemon, or replaces that of an earlier run, and
// retries until the store has accepted it. It runs on the store duty's goroutine.
func (d *frontDaemon) register() { d.writeEntry(platform.Absent) }

// writeEntry writes the entry if its version is ifVersion. A write without a condition
// reads the entry first, which costs each daemon a call at its first start.
func (d *frontDaemon) writeEntry(ifVersion int64) {
	value, err := json.Marshal(daemonEntry{Address: d.hostSettings.PeerAddress})
	if err != nil {
		d.log.WithError(err).Error("entry of this daemon cannot be encoded")
		return
	}
	op := platform.Op{
		Kind: platform.OpPut, Key: kindDaemons + "/" + d.hostSettings.Host, Value: value, IfVersion: ifVersion, Timeout: registerTimeout,
		Reply: func(r platform.Result) {
			switch {
			case errors.Is(r.Err, platform.ErrConflict) && ifVersion == platform.Absent:
				d.writeEntry(platform.AnyVersion)
			case r.Err != nil:
				d.log.WithError(r.Err).Warn("entry of this daemon could not be written")
				d.store.Loop().After(registerRetryDelay, d.register)
			}
		},
	}
	d.store.Submit(op)
}

// handleDaemons updates the addresses of the other daemons and the relays. It runs on
// the goroutine of the watch.
func (d *frontDaemon) handleDaemons(s platform.Snapshot) {
	for _, o := range s.Objects {
		if o.Deleted {
			d.oddDaemons.remove(o.Key)
			delete(d.peerList.addressByKey, o.Key)
			continue
		}
		address, err := decodeDaemonAddress(o.Value)
		if err != nil {
			d.handleOddDaemon(o.Key, err)
			continue
		}
		d.oddDaemons.remove(o.Key)
		d.peerList.addressByKey[o.Key] = address
	}
	var list []string
	for _, address := range d.peerList.addressByKey {
		if address != d.hostSettings.PeerAddress {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	isFirst := !d.peerList.isKnown()
	d.peerList.addresses.Store(&list)
	relays := rankRelays(list, d.hostSettings.PeerAddress)
	d.peerList.relays.Store(&relays)
	d.origins.ReportDaemons()
	d.reportUsageDaemons()
	if isFirst {
		d.pullSuspects()
	}
}

// handleOddDaemon removes a daemon whose entry names no address, as each daemon that
// reads it must: all of them rank the same daemons. The daemon itself writes its entry
// again.
func (d *frontDaemon) handleOddDaemon(key string, err error) {
	d.reportOddEntry(&d.oddDaemons, key, "entry of a daemon cannot be decoded", err)
	delete(d.peerList.addressByKey, key)
	if key == kindDaemons+"/"+d.hostSettings.Host && isHostAddress(d.hostSettings.PeerAddress) {
		d.writeEntry(platform.AnyVersion)
	}
}

// isHostAddress reports whether the address is that of one port of one host. Daemons call
// each other many times a second, and a host name would be looked up each time.
func isHostAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// decodeDaemonAddress decodes the entry of a daemon.
func decodeDaemonAddress(value []byte) (string, error) {
	if len(value) == 0 {
		return "", core.InvalidError("spec", "", "the entry of a daemon", "is missing or cannot be read")
	}
	var entry daemonEntry
	if err := json.Unmarshal(value, &entry); err != nil {
		return "", fmt.Errorf("decode daemon entry: %w", err)
	}
	if !isHostAddress(entry.Address) {
		return "", core.InvalidError("address", shorten(entry.Address), "an IP address of one host and a port from 1 to 65535", "is no address of a daemon")
	}
	return entry.Address, nil
}
