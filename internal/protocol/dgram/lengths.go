package dgram

import "encoding/binary"

// validLengths reports whether a MessagePack value, and nothing more, fits into data. The
// decoder allocates an array as long as its header declares before it reads the elements, so
// that a few bytes could make it allocate gigabytes.
func validLengths(data []byte) bool {
	// values counts those that are still to come; each takes at least one byte.
	for values := 1; values > 0; values-- {
		if values > len(data) {
			return false
		}
		head := data[0]
		data = data[1:]
		bytes, elements, ok := valueSize(head, data)
		if !ok || bytes > len(data) {
			return false
		}
		data = data[bytes:]
		if elements > len(data) {
			return false
		}
		values += elements
	}
	return len(data) == 0
}

// valueSize returns how many bytes and further values follow the first byte of a MessagePack
// value; rest is what follows it in the datagram.
func valueSize(head byte, rest []byte) (bytes, elements int, ok bool) {
	switch {
	case head < 0x80 || head >= 0xe0:
		return 0, 0, true
	case head < 0x90:
		return 0, 2 * int(head&0x0f), true
	case head < 0xa0:
		return 0, int(head & 0x0f), true
	case head < 0xc0:
		return int(head & 0x1f), 0, true
	}
	// length reads a length of so many bytes.
	length := func(size int) (int, bool) {
		if len(rest) < size {
			return 0, false
		}
		switch size {
		case 1:
			return int(rest[0]), true
		case 2:
			return int(binary.BigEndian.Uint16(rest)), true
		default:
			return int(binary.BigEndian.Uint32(rest)), true
		}
	}
	switch head {
	case 0xc0, 0xc2, 0xc3:
		return 0, 0, true
	case 0xcc, 0xd0:
		return 1, 0, true
	case 0xcd, 0xd1:
		return 2, 0, true
	case 0xca, 0xce, 0xd2:
		return 4, 0, true
	case 0xcb, 0xcf, 0xd3:
		return 8, 0, true
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		return 1 + 1<<(head-0xd4), 0, true
	case 0xc4, 0xc5, 0xc6, 0xd9, 0xda, 0xdb:
		size := 1 << ((head - 0xc4) % 3)
		if head >= 0xd9 {
			size = 1 << (head - 0xd9)
		}
		n, ok := length(size)
		return size + n, 0, ok
	case 0xc7, 0xc8, 0xc9:
		size := 1 << (head - 0xc7)
		n, ok := length(size)
		return size + 1 + n, 0, ok
	case 0xdc, 0xdd:
		size := 2 << (head - 0xdc)
		n, ok := length(size)
		return size, n, ok
	case 0xde, 0xdf:
		size := 2 << (head - 0xde)
		n, ok := length(size)
		return size, 2 * n, ok
	}
	return 0, 0, false
}
