package platform

// HTTP paths of the object API. Kind and name are escaped path segments.
const (
	PathObjects   = "/v1/objects/"
	PathInstances = "/v1/instances"
	PathHeartbeat = "/v1/heartbeat"
)

// Query parameters of the object API.
const (
	ParamVersion = "version" // Put and Delete: expected version, or AnyVersionText
	ParamAfter   = "after"   // Watch: objects with a higher version are returned
	ParamWait    = "wait_ms" // Watch: longest wait for a change
)

// AnyVersionText is the value of ParamVersion for AnyVersion.
const AnyVersionText = "any"

// ObjectList is the response to List and Watch.
type ObjectList struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"` // of the store
}

// InstanceList is the response to Instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// ErrorBody is the response to a call that failed.
type ErrorBody struct {
	Message string `json:"message"`
	// Current is the stored object, set after a conflict.
	Current *Object `json:"current,omitempty"`
}
