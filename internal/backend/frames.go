package backend

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"geraniumbeam/internal/result"
)

// headerSize is the size in bytes of a message header, which holds type and length.
const headerSize = 5

// maxFrameSize is the maximum length in bytes of a backend message. A larger length
// indicates a corrupt stream.
const maxFrameSize = 1 << 30

// CheckBatch verifies that messages is a single simple Query, or a sequence of
// extended-query messages with a single Sync at the end. Any other sequence would
// produce more or fewer ReadyForQuery messages than the reader expects, and the rest
// would be read as the answer to the next batch.
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
			return result.Errorf(result.ProtocolViolation, "message %q has length %d, but %d bytes are left in the batch", messages[0], size-1, len(messages))
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
	discard int    // bytes of the last frame to discard from r
	large   []byte // buffer for a frame that does not fit into r
}

const readBufferSize = 16 << 10 // bytes

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// peek returns the type and the total size of the next frame without reading its
// body.
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
	if n < 4 || n > maxFrameSize {
		return 0, 0, fmt.Errorf("backend message %q has invalid length %d", h[0], n)
	}
	return h[0], int(n) + 1, nil
}

// next returns the next frame including its header.
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

// nextWithin is like next but fails if the frame is larger than limit bytes. It is
// for answers that exceed the limit only if the stream is corrupt.
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

// skip discards the next frame without buffering it.
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

// readStatus reads the complete answer to a status query. A database error is
// returned after the end of the answer, so the connection stays usable.
func (f *frameReader) readStatus() (Status, error) {
	var (
		s     Status
		found bool
		dbErr error
	)
	for {
		b, err := f.nextWithin(maxNonRowSize)
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
			if dbErr == nil {
				dbErr = decodeError(body)
			}
		case 'G', 'H', 'W':
			return s, fmt.Errorf("unexpected copy response %q to a status query", b[0])
		case 'Z':
			if dbErr == nil && !found {
				dbErr = fmt.Errorf("status query returned no row")
			}
			return s, dbErr
		}
	}
}

// discardAnswer reads a complete answer and ignores its rows. It returns the first
// database error.
func (f *frameReader) discardAnswer() error {
	var dbErr error
	for {
		b, err := f.nextWithin(maxNonRowSize)
		if err != nil {
			return err
		}
		switch b[0] {
		case 'E':
			if dbErr == nil {
				dbErr = decodeError(b[headerSize:])
			}
		case 'Z':
			return dbErr
		}
	}
}
