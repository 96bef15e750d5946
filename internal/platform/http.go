package platform

// HTTP paths of the object API. Kind and name are path segments and escaped.
const (
	PathObjects   = "/v1/objects/"
	PathInstances = "/v1/instances"
	PathHeartbeat = "/v1/heartbeat"
)

// Query parameters of the object API.
const (
	ParamVersion = "version" // Put and Delete: expected version, or AnyText
	ParamAfter   = "after"   // Watch: objects with a higher version are returned
	ParamWait    = "wait_ms" // Watch: how long an unchanged store is waited for
)

// AnyVersionText is the value of ParamVersion that stands for AnyVersion.
const AnyVersionText = "any"

// ObjectList is the answer to List and Watch.
type ObjectList struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"` // of the store
}

// InstanceList is the answer to Instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// ErrorBody is the answer to a call that failed.
type ErrorBody struct {
	Message string `json:"message"`
	// Current is the stored object after a conflict.
	Current *Object `json:"current,omitempty"`
}
