package daemonrpc

import (
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

func encodeWatchResponse(l platform.Listing, err error) *WatchAnswer {
	if err != nil {
		return &WatchAnswer{Refused: true}
	}
	m := &WatchAnswer{Revision: l.Revision, UpToNs: l.UpTo.Nanoseconds()}
	for _, p := range l.Positions {
		m.Positions = append(m.Positions, &WatchPosition{Prefix: p.Prefix, Change: p.Change})
	}
	for _, o := range l.Objects {
		m.Objects = append(m.Objects, &WatchedObject{Key: o.Key, Version: o.Version, Revision: o.Revision, Deleted: o.Deleted, Value: o.Value})
	}
	return m
}

func decodeWatchResponse(m *WatchAnswer) (platform.Listing, error) {
	if m == nil || m.GetRefused() {
		return platform.Listing{}, platform.ErrRelayUnavailable
	}
	// No state counts as newer than the question.
	l := platform.Listing{Revision: m.GetRevision(), UpTo: min(0, time.Duration(m.GetUpToNs()))}
	for _, p := range m.GetPositions() {
		l.Positions = append(l.Positions, platform.Position{Prefix: p.GetPrefix(), Change: p.GetChange()})
	}
	for _, o := range m.GetObjects() {
		l.Objects = append(l.Objects, platform.Object{
			Key: o.GetKey(), Version: o.GetVersion(), Revision: o.GetRevision(), Deleted: o.GetDeleted(), Value: o.GetValue(),
		})
	}
	return l, nil
}
