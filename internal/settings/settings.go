// Package settings reads the settings file of geraniumbeamd, a YAML file in which
// unknown fields are errors.
package settings

import (
	"fmt"
	"os"

	"geraniumbeam/internal/catalog"
)

// Settings configures one instance. Fields are documented in
// docs/configuration.md.
type Settings struct {
	// Instance is the unique name of the instance.
	Instance string `yaml:"instance" validate:"required,max=63"`
	// DataCentre is the data centre of the instance.
	DataCentre string `yaml:"data_centre" validate:"required,max=63"`
	// Region groups data centres with low latency between them.
	Region string `yaml:"region,omitempty" validate:"max=63"`
	// ListenCallers is the address for callers (PostgreSQL protocol).
	ListenCallers string `yaml:"listen_callers" validate:"required,hostname_port"`
	// ListenInner is the address for other instances and geraniumbeamctl.
	ListenInner string `yaml:"listen_inner" validate:"required,hostname_port"`
	// AdvertiseInner is the address that other instances use; empty means
	// ListenInner.
	AdvertiseInner string `yaml:"advertise_inner,omitempty" validate:"omitempty,hostname_port"`
	// ListenMetrics is the address of /debug/vars, /healthz and /readyz.
	ListenMetrics string `yaml:"listen_metrics" validate:"required,hostname_port"`
	// Platform is the base URL of the platform's object API.
	Platform string `yaml:"platform" validate:"required,url"`
	// SessionKey signs session tokens. All instances must have the same key.
	SessionKey string `yaml:"session_key" validate:"required,min=16"`
	// PreviousSessionKeys are accepted but not used for new tokens.
	PreviousSessionKeys []string `yaml:"previous_session_keys,omitempty" validate:"dive,min=16"`
	// Database holds credentials and connection limits for backend servers.
	Database Database `yaml:"database"`
	// Callers limits the resources of callers.
	Callers Callers `yaml:"callers,omitempty"`
	// AddressOverrides maps addresses to the addresses to dial instead, for
	// networks with address translation.
	AddressOverrides map[string]string `yaml:"address_overrides,omitempty"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `yaml:"log_level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	// DrainTimeout limits a graceful shutdown; 0 means DefaultDrainTimeout.
	DrainTimeout catalog.Duration `yaml:"drain_timeout,omitempty" validate:"gte=0"`
	// Unsafe disables safety mechanisms. It exists for tests that show which
	// failure a mechanism prevents and must be empty in production.
	Unsafe Unsafe `yaml:"unsafe,omitempty"`
}

// Database holds the pool's access to backend servers.
type Database struct {
	User     string `yaml:"user" validate:"required"`
	Password string `yaml:"password,omitempty"`
	Name     string `yaml:"name" validate:"required"`
	// ConnectionLimit is the number of connections that one database accepts
	// from all instances together.
	ConnectionLimit int `yaml:"connection_limit" validate:"gte=4,lte=10000"`
}

// Callers limits the resources of callers.
type Callers struct {
	// MaxMessage is the largest message from a caller in bytes; 0 means
	// DefaultMaxMessage.
	MaxMessage int `yaml:"max_message,omitempty" validate:"gte=0"`
	// StartupTimeout limits the time until the startup packet is complete; 0 means
	// DefaultStartupTimeout.
	StartupTimeout catalog.Duration `yaml:"startup_timeout,omitempty" validate:"gte=0"`
	// MaxConnections limits caller connections; 0 means DefaultMaxConnections.
	MaxConnections int `yaml:"max_connections,omitempty" validate:"gte=0"`
}

// Unsafe disables safety mechanisms for tests.
type Unsafe struct {
	// NoConfirmation acknowledges writes that no second database has confirmed.
	NoConfirmation bool `yaml:"no_confirmation,omitempty"`
	// NoFencing promotes without fencing a majority of databases first.
	NoFencing bool `yaml:"no_fencing,omitempty"`
	// NoFloor sends reads to replicas without checking that they have reached
	// the session's floor.
	NoFloor bool `yaml:"no_floor,omitempty"`
	// NoRequestKeys ignores request keys.
	NoRequestKeys bool `yaml:"no_request_keys,omitempty"`
	// RetryAfterSend retries requests whose outcome is unknown.
	RetryAfterSend bool `yaml:"retry_after_send,omitempty"`
	// AdmissionPolicy replaces the admission policy: fifo or strict.
	AdmissionPolicy string `yaml:"admission_policy,omitempty" validate:"omitempty,oneof=fifo strict"`
	// AlwaysPrimary sends every read to the primary.
	AlwaysPrimary bool `yaml:"always_primary,omitempty"`
}

// Parse decodes and validates settings and sets defaults. Errors have code
// result.Invalid and name the line, the field, its value and the allowed values.
func Parse(data []byte) (Settings, error) {
	var s Settings
	if err := catalog.DecodeAndValidate(data, &s); err != nil {
		return s, err
	}
	return s.WithDefaults(), nil
}

// Load reads the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return s, fmt.Errorf("parse settings %s: %w", path, err)
	}
	return s, nil
}
