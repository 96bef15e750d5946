package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
)

// tokenVersion is the first byte of a token. A change of the layout needs a new
// version, and decoders must accept the previous one during a rolling update.
const tokenVersion = 1

// Limits of a token.
const (
	macBytes          = 16 // truncated HMAC-SHA-256; 128 bits are enough against forgery
	maxTokenBytes     = 64 << 10
	maxGroups         = 1024
	maxGroupNameBytes = 255
)

// Keys holds the keys that sign and verify tokens. It is safe for concurrent use.
type Keys struct {
	current  []byte
	previous [][]byte
}

// NewKeys returns Keys that sign with current and also accept tokens signed with
// one of the previous keys.
func NewKeys(current string, previous ...string) *Keys {
	k := &Keys{current: []byte(current)}
	for _, p := range previous {
		k.previous = append(k.previous, []byte(p))
	}
	return k
}

// Encode returns a token of f in unpadded URL-safe base64.
func (k *Keys) Encode(f Floors) string {
	b := []byte{tokenVersion}
	groups := f.Groups()
	b = binary.AppendUvarint(b, uint64(len(groups)))
	for _, g := range groups {
		p := f.positions[g]
		b = binary.AppendUvarint(b, uint64(len(g)))
		b = append(b, g...)
		b = binary.AppendUvarint(b, p.Term)
		b = binary.AppendUvarint(b, p.Offset)
	}
	b = append(b, sign(k.current, b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Decode verifies a token and returns its floors. The code of an error is
// result.BadToken. For an invalid signature the error does not reveal with which
// key or at which byte the verification failed.
func (k *Keys) Decode(token string) (Floors, error) {
	if len(token) > maxTokenBytes {
		return Floors{}, invalidToken("%d bytes long, at most %d are allowed", len(token), maxTokenBytes)
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil {
		return Floors{}, invalidToken("not unpadded URL-safe base64")
	}
	if len(b) < 2+macBytes {
		return Floors{}, invalidToken("%d bytes long after decoding, want at least %d", len(b), 2+macBytes)
	}
	if b[0] != tokenVersion {
		return Floors{}, invalidToken("of version %d, only version %d is supported", b[0], tokenVersion)
	}
	body, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !k.valid(body, mac) {
		return Floors{}, invalidToken("not signed with a key of this installation")
	}
	return decodeBody(body[1:])
}

func (k *Keys) valid(body, mac []byte) bool {
	if hmac.Equal(mac, sign(k.current, body)) {
		return true
	}
	for _, p := range k.previous {
		if hmac.Equal(mac, sign(p, body)) {
			return true
		}
	}
	return false
}

func sign(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func decodeBody(b []byte) (Floors, error) {
	var f Floors
	d := decoder{rest: b}
	n := d.uvarint()
	if n > maxGroups {
		return f, invalidToken("invalid: it has %d groups, at most %d are allowed", n, maxGroups)
	}
	for range n {
		name := d.bytes(d.uvarint())
		p := backend.Position{Term: d.uvarint(), Offset: d.uvarint()}
		if d.failed {
			break
		}
		f.Raise(string(name), p)
	}
	if d.failed || len(d.rest) != 0 || uint64(len(f.positions)) != n {
		return Floors{}, invalidToken("malformed")
	}
	return f, nil
}

func invalidToken(format string, args ...any) error {
	return result.Errorf(result.BadToken, "session token is %s", fmt.Sprintf(format, args...))
}

// decoder reads the fields of a token. After the first incomplete or oversized
// field it has failed, and all further fields are zero.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) bytes(n uint64) []byte {
	if n > maxGroupNameBytes || n > uint64(len(d.rest)) {
		d.failed, d.rest = true, nil
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}
