package database

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Type OIDs of PostgreSQL.
const (
	oidBool        = 16
	oidBytea       = 17
	oidInt8        = 20
	oidInt2        = 21
	oidInt4        = 23
	oidText        = 25
	oidJSON        = 114
	oidFloat4      = 700
	oidFloat8      = 701
	oidTimestamp   = 1114
	oidTimestamptz = 1184
	oidNumeric     = 1700
	oidUUID        = 2950
	oidJSONB       = 3802
)

const (
	formatText   = 0
	formatBinary = 1
)

var postgresEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// oidOfType returns the type that the stand-in reports for a declared type.
func oidOfType(declared string) uint32 {
	d := strings.ToLower(declared)
	containsAny := func(parts ...string) bool {
		for _, p := range parts {
			if strings.Contains(d, p) {
				return true
			}
		}
		return false
	}
	switch {
	case containsAny("interval"):
		return oidText
	case containsAny("int", "serial"):
		return oidInt8
	case containsAny("bytea", "blob"):
		return oidBytea
	case containsAny("bool"):
		return oidBool
	case containsAny("timestamp"):
		return oidTimestamptz
	case containsAny("real", "floa", "doub", "numeric", "decimal"):
		return oidFloat8
	}
	return oidText
}

func typeSize(oid uint32) int16 {
	switch oid {
	case oidInt8, oidFloat8, oidTimestamptz:
		return 8
	case oidBool:
		return 1
	}
	return -1
}

// decodeParam converts a parameter from the wire format to a SQLite value.
func decodeParam(oid uint32, format int16, data []byte) (any, error) {
	if data == nil {
		return nil, nil
	}
	if format == formatBinary {
		return decodeBinary(oid, data)
	}
	text := string(data)
	switch oid {
	case oidInt2, oidInt4, oidInt8:
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, errorf(stateInvalidText, "invalid integer %q", text)
		}
		return v, nil
	case oidFloat4, oidFloat8, oidNumeric:
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, errorf(stateInvalidText, "invalid number %q", text)
		}
		return v, nil
	case oidBool:
		return decodeBool(text)
	case oidBytea:
		return decodeBytea(text)
	case oidTimestamp, oidTimestamptz:
		return normalizeTimestamp(text), nil
	}
	return text, nil
}

func decodeBool(text string) (any, error) {
	switch strings.ToLower(text) {
	case "t", "true", "1", "on", "yes":
		return int64(1), nil
	case "f", "false", "0", "off", "no":
		return int64(0), nil
	}
	return nil, errorf(stateInvalidText, "invalid boolean %q", text)
}

func decodeBytea(text string) (any, error) {
	h, ok := strings.CutPrefix(text, `\x`)
	if !ok {
		return []byte(text), nil
	}
	b, err := hex.DecodeString(h)
	if err != nil {
		return nil, errorf(stateInvalidText, "invalid bytea: %v", err)
	}
	return b, nil
}

func decodeBinary(oid uint32, data []byte) (any, error) {
	switch {
	case oid == oidInt2 && len(data) == 2:
		return int64(int16(binary.BigEndian.Uint16(data))), nil
	case oid == oidInt4 && len(data) == 4:
		return int64(int32(binary.BigEndian.Uint32(data))), nil
	case oid == oidInt8 && len(data) == 8:
		return int64(binary.BigEndian.Uint64(data)), nil
	case oid == oidFloat4 && len(data) == 4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(data))), nil
	case oid == oidFloat8 && len(data) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(data)), nil
	case oid == oidBool && len(data) == 1:
		return int64(data[0]), nil
	case (oid == oidTimestamp || oid == oidTimestamptz) && len(data) == 8:
		us := int64(binary.BigEndian.Uint64(data))
		return postgresEpoch.Add(time.Duration(us) * time.Microsecond).Format(timestampLayout), nil
	case oid == oidUUID && len(data) == 16:
		return fmt.Sprintf("%x-%x-%x-%x-%x", data[0:4], data[4:6], data[6:8], data[8:10], data[10:16]), nil
	case oid == oidJSONB && len(data) > 0:
		return string(data[1:]), nil
	case oid == oidBytea:
		return append([]byte{}, data...), nil
	case oid == oidText || oid == oidJSON || oid == 0 || oid == 1043 || oid == 705:
		return string(data), nil
	}
	return nil, errorf(stateInvalidText, "invalid binary value of %d bytes for type %d", len(data), oid)
}

var timestampLayouts = []string{
	"2006-01-02 15:04:05.999999999Z07:00:00",
	"2006-01-02 15:04:05.999999999Z07:00",
	"2006-01-02 15:04:05.999999999Z07",
	"2006-01-02 15:04:05.999999999",
	time.RFC3339Nano,
}

func parseTimestamp(text string) (time.Time, bool) {
	for _, l := range timestampLayouts {
		if t, err := time.Parse(l, text); err == nil {
			return t.UTC(), true
		}
	}
	return time.Time{}, false
}

func normalizeTimestamp(text string) string {
	if t, ok := parseTimestamp(text); ok {
		return t.Format(timestampLayout)
	}
	return text
}

// encodeValue converts a SQLite value to the wire format; nil is NULL.
func encodeValue(oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == formatBinary {
		return encodeBinary(oid, v)
	}
	return []byte(encodeText(oid, v)), nil
}

func encodeText(oid uint32, v any) string {
	switch x := v.(type) {
	case int64:
		if oid == oidBool {
			return map[bool]string{true: "t", false: "f"}[x != 0]
		}
		return strconv.FormatInt(x, 10)
	case float64:
		return strconv.FormatFloat(x, 'g', -1, 64)
	case []byte:
		if oid == oidBytea {
			return `\x` + hex.EncodeToString(x)
		}
		return string(x)
	case string:
		if oid == oidBytea {
			return `\x` + hex.EncodeToString([]byte(x))
		}
		return x
	}
	return fmt.Sprint(v)
}

func encodeBinary(oid uint32, v any) ([]byte, error) {
	switch oid {
	case oidInt8:
		switch x := v.(type) {
		case int64:
			return binary.BigEndian.AppendUint64(nil, uint64(x)), nil
		case float64:
			return binary.BigEndian.AppendUint64(nil, uint64(int64(x))), nil
		}
	case oidFloat8:
		switch x := v.(type) {
		case int64:
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(float64(x))), nil
		case float64:
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(x)), nil
		}
	case oidBool:
		if x, ok := v.(int64); ok {
			return []byte{byte(min(max(x, -x), 1))}, nil
		}
	case oidTimestamptz:
		if x, ok := v.(string); ok {
			if t, ok := parseTimestamp(x); ok {
				return binary.BigEndian.AppendUint64(nil, uint64(t.Sub(postgresEpoch).Microseconds())), nil
			}
		}
	case oidBytea:
		switch x := v.(type) {
		case []byte:
			return x, nil
		case string:
			return []byte(x), nil
		}
	default:
		return []byte(encodeText(oid, v)), nil
	}
	return nil, errorf(stateInvalidText, "cannot encode value %v as type %d in binary format", v, oid)
}
