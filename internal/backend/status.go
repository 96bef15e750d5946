package backend

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"
)

// statusColumns is the number of columns of group_status() and group_wait().
const statusColumns = 6

// parseStatus decodes a DataRow of (term, role, last_term, position,
// primary_age_ms, leaving) in text format.
func parseStatus(body []byte) (Status, error) {
	values, err := statusValues(body)
	if err != nil {
		return Status{}, err
	}
	var nums [statusColumns]uint64
	for _, i := range []int{0, 2, 3, 4} {
		if i == 4 && (values[i] == nil || len(values[i]) > 0 && values[i][0] == '-') {
			continue // null or negative if the database never had a primary
		}
		v, err := strconv.ParseUint(string(values[i]), 10, 64)
		if err != nil {
			return Status{}, fmt.Errorf("parse status column %d: %w", i, err)
		}
		nums[i] = v
	}
	role, err := parseRole(values[1])
	if err != nil {
		return Status{}, err
	}
	leaving := string(values[5])
	return Status{
		Term:       nums[0],
		Role:       role,
		Last:       Position{Term: nums[2], Offset: nums[3]},
		PrimaryAge: time.Duration(nums[4]) * time.Millisecond,
		Leaving:    leaving == "t" || leaving == "true" || leaving == "1",
	}, nil
}

// parseRole returns one of the Role constants, which avoids an allocation per row.
func parseRole(b []byte) (Role, error) {
	switch string(b) {
	case string(RolePrimary):
		return RolePrimary, nil
	case string(RoleReplica):
		return RoleReplica, nil
	case string(RoleFenced):
		return RoleFenced, nil
	}
	return "", fmt.Errorf("unknown role %q in status", b)
}

// statusValues splits the body of a DataRow into its values; null is nil. It does
// not copy, because each work batch reads two status rows.
func statusValues(body []byte) (values [statusColumns][]byte, err error) {
	if len(body) < 2 {
		return values, fmt.Errorf("status row has %d bytes", len(body))
	}
	if n := binary.BigEndian.Uint16(body); n != statusColumns {
		return values, fmt.Errorf("status row has %d columns, want %d", n, statusColumns)
	}
	rest := body[2:]
	for i := range values {
		if len(rest) < 4 {
			return values, fmt.Errorf("status row ends before column %d", i)
		}
		size := int32(binary.BigEndian.Uint32(rest))
		rest = rest[4:]
		if size == -1 {
			continue
		}
		if size < 0 || int(size) > len(rest) {
			return values, fmt.Errorf("status column %d has length %d, but %d bytes are left", i, size, len(rest))
		}
		values[i], rest = rest[:size:size], rest[size:]
	}
	if len(rest) > 0 {
		return values, fmt.Errorf("status row has %d trailing bytes", len(rest))
	}
	return values, nil
}
