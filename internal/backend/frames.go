package backend

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"geraniumbeam/internal/result"
)

// headerSize is the size of a message header in bytes: type and length.
const headerSize = 5

// maxFrame is the largest backend message in bytes that is accepted. A larger
// length is taken for a damaged stream.
const maxFrame = 1 << 30

// CheckBatch verifies that messages is a single simple Query or a sequence of
// extended messages that ends with the only Sync. Anything else would produce
// another number of ReadyForQuery messages than the reader expects, and the
// rest would be taken for the answer of the next batch.
func CheckBatch(messages []byte) error {
	if len(messages) == 0 {
		return result.Errorf(result.ProtocolViolation, "the batch is empty")
	}
	first := true
	for len(messages) > 0 {
		if len(messages) < headerSize {
			return result.Errorf(result.ProtocolViolation, "the batch ends within a message header")
		}
		size := uint64(binary.BigEndian.Uint32(messages[1:])) + 1
		if size < headerSize || size > uint64(len(messages)) {
			return result.Errorf(result.ProtocolViolation, "message %q has length %d, %d bytes are left", messages[0], size-1, len(messages))
		}
		last := size == uint64(len(messages))
		switch messages[0] {
		case 'P', 'B', 'D', 'E', 'C', 'H':
			if last {
				return result.Errorf(result.ProtocolViolation, "the batch does not end with Sync")
			}
		case 'S':
			if !last {
				return result.Errorf(result.ProtocolViolation, "the batch continues after Sync")
			}
		case 'Q':
			if !first || !last {
				return result.Errorf(result.ProtocolViolation, "a simple query must be the only message of its batch")
			}
		default:
			return result.Errorf(result.ProtocolViolation, "message type %q is not allowed in a batch", messages[0])
		}
		messages = messages[size:]
		first = false
	}
	return nil
}

// frameReader reads backend messages. A frame is valid until the next call.
type frameReader struct {
	r       *bufio.Reader
	discard int    // bytes of the last frame still in r
	large   []byte // a frame that does not fit into r
}

const readBuffer = 16 << 10 // bytes

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, readBuffer)}
}

// peek returns type and total size of the next frame without reading its body.
func (f *frameReader) peek() (byte, int, error) {
	if f.discard > 0 {
		if _, err := f.r.Discard(f.discard); err != nil {
			return 0, 0, err
		}
		f.discard = 0
	}
	h, err := f.r.Peek(headerSize)
	if err != nil {
		return 0, 0, err
	}
	n := binary.BigEndian.Uint32(h[1:])
	if n < 4 || n > maxFrame {
		return 0, 0, fmt.Errorf("backend message %q has length %d", h[0], n)
	}
	return h[0], int(n) + 1, nil
}

// next returns the next frame with its header.
func (f *frameReader) next() ([]byte, error) {
	_, size, err := f.peek()
	if err != nil {
		return nil, err
	}
	if size <= f.r.Size() {
		b, err := f.r.Peek(size)
		if err != nil {
			return nil, err
		}
		f.discard = size
		return b, nil
	}
	if cap(f.large) < size {
		f.large = make([]byte, size)
	}
	b := f.large[:size]
	if _, err := io.ReadFull(f.r, b); err != nil {
		return nil, err
	}
	f.large = nil
	return b, nil
}

// nextWithin is next for answers that are short unless the stream is damaged.
func (f *frameReader) nextWithin(limit int) ([]byte, error) {
	kind, size, err := f.peek()
	if err != nil {
		return nil, err
	}
	if size > limit {
		return nil, fmt.Errorf("backend message %q has %d bytes, want at most %d", kind, size, limit)
	}
	return f.next()
}

// skip discards the next frame without holding it in memory.
func (f *frameReader) skip() error {
	_, size, err := f.peek()
	if err != nil {
		return err
	}
	_, err = f.r.Discard(size)
	return err
}

// buffered reports whether bytes beyond the last frame were received.
func (f *frameReader) buffered() bool { return f.r.Buffered() > f.discard }

// readStatus reads the whole answer to a status query. A database error is
// returned after the answer was read to its end.
func (f *frameReader) readStatus() (Status, error) {
	var (
		s     Status
		found bool
		fault error
	)
	for {
		b, err := f.nextWithin(maxMetadata)
		if err != nil {
			return s, err
		}
		body := b[headerSize:]
		switch b[0] {
		case 'D':
			if s, err = parseStatus(body); err != nil {
				return s, err
			}
			found = true
		case 'E':
			if fault == nil {
				fault = decodeError(body)
			}
		case 'G', 'H', 'W':
			return s, fmt.Errorf("copy response to a status query")
		case 'Z':
			if fault == nil && !found {
				fault = fmt.Errorf("status query returned no row")
			}
			return s, fault
		}
	}
}

// readAck reads the whole answer to a statement whose rows do not matter.
func (f *frameReader) readAck() error {
	var fault error
	for {
		b, err := f.nextWithin(maxMetadata)
		if err != nil {
			return err
		}
		switch b[0] {
		case 'E':
			if fault == nil {
				fault = decodeError(b[headerSize:])
			}
		case 'Z':
			return fault
		}
	}
}
