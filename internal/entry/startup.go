package entry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/result"
)

// Request codes that take the place of the protocol version in a startup packet.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
)

// maxStartupLength is the largest body of a startup packet in bytes, as in
// PostgreSQL.
const maxStartupLength = 10000

// maxEncryptionRequests limits the SSL and GSS requests before the startup packet.
const maxEncryptionRequests = 4

// readStartup reads packets up to the startup parameters. It refuses encryption
// requests. It returns nil if the packet was a cancellation request.
func (s *Server) readStartup(conn net.Conn) (map[string]string, error) {
	for range maxEncryptionRequests {
		body, err := readStartupPacket(conn, maxStartupLength)
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case codeSSL, codeGSS:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case codeCancel:
			s.cancelRequest(body)
			return nil, nil
		default:
			return decodeParameters(conn, body, code)
		}
	}
	return nil, result.Errorf(result.BadStartup, "more than %d encryption requests before the startup packet", maxEncryptionRequests)
}

func decodeParameters(conn net.Conn, body []byte, version uint32) (map[string]string, error) {
	if version>>16 != 3 {
		return nil, result.Errorf(result.BadStartup,
			"unsupported protocol version %d.%d: want 3.0", version>>16, version&0xffff)
	}
	// Minor versions above 3.0 are negotiated down.
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	var m pgproto3.StartupMessage
	if err := decodeStartupMessage(&m, body); err != nil {
		return nil, result.Errorf(result.BadStartup, "malformed startup packet: %w", err)
	}
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
			delete(m.Parameters, name)
		}
	}
	if version != pgproto3.ProtocolVersion30 || len(unknown) > 0 {
		reply, err := (&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown}).Encode(nil)
		if err == nil {
			_, err = conn.Write(reply)
		}
		if err != nil {
			return nil, err
		}
	}
	return mergeOptions(m.Parameters)
}

// decodeStartupMessage decodes body after checks that pgproto3 does not make, such
// as for a packet without any parameter.
func decodeStartupMessage(m *pgproto3.StartupMessage, body []byte) error {
	if len(body) < 6 || body[len(body)-1] != 0 {
		return errors.New("no zero byte at the end")
	}
	return m.Decode(body)
}

// mergeOptions replaces the options parameter with the settings in it. It has the
// form "-c name=value --name=value", where a backslash escapes the next character.
// Parameters that are given directly take precedence.
func mergeOptions(params map[string]string) (map[string]string, error) {
	words := splitOptions(params["options"])
	delete(params, "options")
	for i := 0; i < len(words); i++ {
		w := words[i]
		switch {
		case w == "-c" && i+1 < len(words):
			i++
			w = words[i]
		case strings.HasPrefix(w, "--"):
			w = w[2:]
		case strings.HasPrefix(w, "-c"):
			w = w[2:]
		default:
			return nil, result.Errorf(result.BadParameter, "unsupported startup option %q: want -c NAME=VALUE", w)
		}
		name, value, ok := strings.Cut(w, "=")
		if !ok || name == "" {
			return nil, result.Errorf(result.BadParameter, "invalid startup option %q: want -c NAME=VALUE", w)
		}
		if _, given := params[name]; !given {
			params[name] = value
		}
	}
	return params, nil
}

func splitOptions(s string) []string {
	var out []string
	var word strings.Builder
	inWord := false
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '\\' && i+1 < len(s):
			i++
			word.WriteByte(s[i])
			inWord = true
		case c == ' ' || c == '\t' || c == '\n':
			if inWord {
				out = append(out, word.String())
			}
			word.Reset()
			inWord = false
		default:
			word.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		out = append(out, word.String())
	}
	return out
}

// applyStartup sets up the session from the startup parameters. An error ends the
// connection.
func (c *callerConn) applyStartup(params map[string]string) error {
	c.user = params["user"]
	if c.user == "" {
		return result.Errorf(result.BadStartup, "missing startup parameter user")
	}
	c.service = params["database"]
	if c.service == "" {
		c.service = c.user
	}
	if _, ok := c.server.cfg.Directory.Catalog().Service(c.service); !ok {
		return result.Errorf(result.UnknownService, "service %q does not exist: known services are %s",
			c.service, c.server.serviceNames())
	}
	for name, value := range params {
		if name == "user" || name == "database" {
			continue
		}
		if err := c.applyStartupParameter(name, value); err != nil {
			return err
		}
	}
	c.startupParams = c.params
	return nil
}

func (c *callerConn) applyStartupParameter(name, value string) error {
	if isProxyParameter(name) {
		return c.setProxyParameter(name, value)
	}
	if name == "replication" && isFalse(value) {
		return nil
	}
	if err := c.setPostgresParameter(name, value); err != nil {
		return fmt.Errorf("set startup parameter: %w", err)
	}
	return nil
}

func (s *Server) serviceNames() string {
	var names []string
	for _, v := range s.cfg.Directory.Catalog().Services() {
		names = append(names, v.Name)
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
