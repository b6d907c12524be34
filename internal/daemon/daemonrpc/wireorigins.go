package daemonrpc

import (
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
)

func encodeOrigin(o caller.StreamOrigin) *StreamOrigin {
	return &StreamOrigin{Stream: string(o.Stream), Service: o.Service, Software: string(o.Software)}
}

func decodeOrigin(m *StreamOrigin) caller.StreamOrigin {
	return caller.StreamOrigin{Stream: core.RequestID(m.GetStream()), Service: m.GetService(), Software: core.SoftwareVersion(m.GetSoftware())}
}

func encodeOrigins(origins []caller.StreamOrigin) *Question {
	return &Question{Kind: &Question_Origins{Origins: &StreamOriginList{Origins: encodeOriginList(origins)}}}
}

func encodeOriginList(origins []caller.StreamOrigin) []*StreamOrigin {
	list := make([]*StreamOrigin, 0, len(origins))
	for _, o := range origins {
		list = append(list, encodeOrigin(o))
	}
	return list
}

// decodeOrigins leaves out origins that name no stream.
func decodeOrigins(list []*StreamOrigin) []caller.StreamOrigin {
	var origins []caller.StreamOrigin
	for _, o := range list {
		if o.GetStream() != "" {
			origins = append(origins, decodeOrigin(o))
		}
	}
	return origins
}
