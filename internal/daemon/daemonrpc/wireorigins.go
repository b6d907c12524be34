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
	list := &StreamOriginList{}
	for _, o := range origins {
		list.Origins = append(list.Origins, encodeOrigin(o))
	}
	return &Question{Kind: &Question_Origins{Origins: list}}
}

// decodeOrigins leaves out origins that name no stream.
func decodeOrigins(m *StreamOriginList) []caller.StreamOrigin {
	var origins []caller.StreamOrigin
	for _, o := range m.GetOrigins() {
		if o.GetStream() != "" {
			origins = append(origins, decodeOrigin(o))
		}
	}
	return origins
}
