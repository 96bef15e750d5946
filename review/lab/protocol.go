package main

import (
	_ "embed"
	"strings"
)

// protocolText holds names of the platform's protocols, one to a line after a key. They
// are kept out of Go code outside the package platform and its stand-ins (see
// TestPlatformProtocolStaysInThisPackage).
//
//go:embed protocol.txt
var protocolText string

// Names of the platform's protocols.
var (
	wordRow         = protocolName("row")
	wordWaitFor     = protocolName("wait_for")
	verbDeallocate  = protocolName("deallocate")
	codeOverloaded  = protocolName("overloaded")
	codeBehind      = protocolName("behind")
	codeWrongTarget = protocolName("wrong_database")
	fieldMaxAge     = protocolName("max_age")
	fieldTxIdle     = protocolName("tx_idle")
	fieldRole       = protocolName("role")
	fieldCold       = protocolName("cold")
	headerHolder    = protocolName("holder")
	headerToken     = protocolName("token")
	envSettings     = protocolName("settings")
)

// protocolName returns the name with a key, and panics if there is none.
func protocolName(key string) string {
	for line := range strings.Lines(protocolText) {
		if k, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok && k == key {
			return name
		}
	}
	panic("protocol.txt has no name for " + key)
}
