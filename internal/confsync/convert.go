package confsync

import (
	"fmt"

	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

func describeObject(o platform.Object) string {
	text := fmt.Sprintf("%s/%s version %d", o.Kind, o.Name, o.Version)
	if o.Deleted {
		text += " (deleted)"
	}
	return text
}

func toWire(objects []platform.Object) []*wire.Object {
	out := make([]*wire.Object, len(objects))
	for i, o := range objects {
		out[i] = &wire.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data, Deleted: o.Deleted}
	}
	return out
}

// fromWire converts the objects of a peer. It omits objects that the platform
// cannot hold: without kind, name or version, or with too much data.
func fromWire(objects []*wire.Object) []platform.Object {
	out := make([]platform.Object, 0, len(objects))
	for _, o := range objects {
		if o.GetKind() == "" || o.GetName() == "" || o.GetVersion() == 0 || len(o.GetData()) > platform.MaxValue {
			continue
		}
		out = append(out, platform.Object{
			Kind: o.GetKind(), Name: o.GetName(), Version: o.GetVersion(), Data: o.GetData(), Deleted: o.GetDeleted(),
		})
	}
	return out
}
