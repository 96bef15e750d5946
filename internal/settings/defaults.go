package settings

import (
	"time"

	"geraniumbeam/internal/catalog"
)

// Defaults of optional settings.
const (
	DefaultMaxMessage     = 16 << 20 // bytes
	DefaultStartupTimeout = 10 * time.Second
	DefaultMaxConnections = 20000
	DefaultDrainTimeout   = 30 * time.Second
	DefaultLogLevel       = "info"
)

// WithDefaults returns s with the defaults of the fields that are not set.
func (s Settings) WithDefaults() Settings {
	if s.AdvertiseInner == "" {
		s.AdvertiseInner = s.ListenInner
	}
	if s.Callers.MaxMessage == 0 {
		s.Callers.MaxMessage = DefaultMaxMessage
	}
	if s.Callers.StartupTimeout == 0 {
		s.Callers.StartupTimeout = catalog.Duration(DefaultStartupTimeout)
	}
	if s.Callers.MaxConnections == 0 {
		s.Callers.MaxConnections = DefaultMaxConnections
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = catalog.Duration(DefaultDrainTimeout)
	}
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	return s
}

// DialAddress returns the override of address, or address itself if it has none.
func (s Settings) DialAddress(address string) string {
	if o, ok := s.AddressOverrides[address]; ok {
		return o
	}
	return address
}
