package topology

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"unicode/utf8"
)

// CheckAddress returns an error unless an address has a host and a port that can be
// connected to.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		return fmt.Errorf("port is %.64q, want 1 to 65535", port)
	}
	if !IsWord(host) {
		return fmt.Errorf("host is %.64q, want a name or an IP address", host)
	}
	return nil
}

// IsWord reports whether s can be a field of a message to a database: it is not empty and
// has no blanks or control characters.
func IsWord(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f || c == utf8.RuneError })
}

// usable returns the databases that have an id, a service and an address. Others, which
// an instance of another release may pass on, name no database.
func usable(all []Database) []Database {
	out := make([]Database, 0, len(all))
	for _, d := range all {
		if IsWord(d.ID) && IsWord(d.Service) && CheckAddress(d.Address) == nil {
			out = append(out, d)
		}
	}
	return out
}
