package hosted

import (
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

// kindDaemons holds an entry for each daemon that serves callers.
const kindDaemons = "daemons"

const (
	// registerTimeout bounds one attempt to write the entry.
	registerTimeout = 5 * time.Second
	// registerRetry is the pause before the next attempt.
	registerRetry = time.Second
)

// daemonEntry is what a daemon says of itself to the others.
type daemonEntry struct {
	Address string `json:"address"` // for other daemons
}

// roster holds the addresses of the other daemons, and which daemons are relays.
// The watch's goroutine writes it.
type roster struct {
	byKey     map[string]string
	addresses atomic.Pointer[[]string]
	relays    atomic.Pointer[[]string]
}

// others returns the addresses of the other daemons.
func (r *roster) others() []string { return listOf(&r.addresses) }

func listOf(p *atomic.Pointer[[]string]) []string {
	if list := p.Load(); list != nil {
		return *list
	}
	return nil
}

func (d *frontDaemon) buildRoster() error {
	d.roster.byKey = map[string]string{}
	d.follow(kindDaemons, platform.WatcherOptions{BatchDelay: func() time.Duration { return rosterPace }}, d.handleDaemons)
	d.store.Loop().After(0, d.register)
	return nil
}

// register writes the entry of this daemon until the store has taken it. It
// runs on the store's goroutine.
func (d *frontDaemon) register() {
	value, err := json.Marshal(daemonEntry{Address: d.set.PeerAddress})
	if err != nil {
		d.log.WithError(err).Error("entry of this daemon cannot be encoded")
		return
	}
	op := platform.Op{
		Kind: platform.OpPut, Key: kindDaemons + "/" + d.set.Host, Value: value, IfVersion: platform.AnyVersion, Timeout: registerTimeout,
		Reply: func(r platform.Result) {
			if r.Err != nil {
				d.log.WithError(r.Err).Warn("entry of this daemon could not be written")
				d.store.Loop().After(registerRetry, d.register)
			}
		},
	}
	d.store.Submit(op)
}

// handleDaemons runs on the watch's goroutine.
func (d *frontDaemon) handleDaemons(s platform.Snapshot) {
	for _, o := range s.Objects {
		var entry daemonEntry
		if o.Deleted {
			delete(d.roster.byKey, o.Key)
			continue
		}
		if err := json.Unmarshal(o.Value, &entry); err != nil || entry.Address == "" {
			d.log.WithError(err).WithField("object", o.Key).Warn("entry names no daemon")
			continue
		}
		d.roster.byKey[o.Key] = entry.Address
	}
	var list []string
	for _, address := range d.roster.byKey {
		if address != d.set.PeerAddress {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	d.roster.addresses.Store(&list)
	relays := rankRelays(list, d.set.PeerAddress)
	d.roster.relays.Store(&relays)
}
