// Package delta encodes a byte string as its difference from another one.
//
// An encoding is a DEFLATE stream of the length of the result, its hash and a series of operations, each of which copies a part
// of the base or adds bytes. Encode finds common parts by splitting both strings where their content says so, so
// that an insertion moves the boundaries after it along.
package delta

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// ErrInvalid reports an encoding that is malformed, too large or of another base.
const ErrInvalid = errors.ConstError("invalid delta")

const (
	minChunk = 32
	maxChunk = 2048
	// boundaryMask makes chunks end after 128 bytes beyond minChunk on average.
	boundaryMask = uint64(127) << 57
)

// gear maps a byte to its part of the rolling hash that places the ends of chunks.
var gear = func() (table [256]uint64) {
	state := uint64(1)
	for i := range table { // SplitMix64.
		state += 0x9e3779b97f4a7c15
		z := (state ^ state>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}()

// chunkLength returns the length of the chunk at the start of data.
func chunkLength(data []byte) int {
	n := min(len(data), maxChunk)
	var h uint64
	for i := range n {
		h = h<<1 + gear[data[i]]
		if i >= minChunk && h&boundaryMask == 0 {
			return i + 1
		}
	}
	return n
}

// index returns the offset of each chunk of data by its hash.
func index(data []byte) map[uint64]int {
	offsets := make(map[uint64]int, len(data)/(minChunk+128)+1)
	for at := 0; at < len(data); {
		n := chunkLength(data[at:])
		offsets[xxhash.Sum64(data[at:at+n])] = at
		at += n
	}
	return offsets
}

// compressors holds compressors for reuse: the tables of one take a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // Only an invalid level is an error.
	}
	return w
}}

// writer writes operations.
type writer struct {
	w       *flate.Writer
	scratch [2 * binary.MaxVarintLen64]byte
}

// copy copies n bytes at an offset of the base.
func (w *writer) copy(offset, n int) {
	b := binary.AppendUvarint(w.scratch[:0], uint64(n)<<1|1)
	_, _ = w.w.Write(binary.AppendUvarint(b, uint64(offset))) // A write to memory does not fail.
}

// add adds bytes.
func (w *writer) add(data []byte) {
	if len(data) == 0 {
		return
	}
	_, _ = w.w.Write(binary.AppendUvarint(w.scratch[:0], uint64(len(data))<<1))
	_, _ = w.w.Write(data)
}

// Encode returns the encoding of target with respect to base, which may be empty.
func Encode(base, target []byte) []byte {
	var out bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&out)
	w := &writer{w: compressor}
	_, _ = compressor.Write(binary.AppendUvarint(w.scratch[:0], uint64(len(target))))
	_, _ = compressor.Write(binary.BigEndian.AppendUint64(w.scratch[:0], xxhash.Sum64(target)))
	offsets := index(base)
	added := 0 // Start of the bytes that no operation covers yet.
	for at := 0; at < len(target); {
		n := chunkLength(target[at:])
		from, known := offsets[xxhash.Sum64(target[at:at+n])]
		if !known || from+n > len(base) || !bytes.Equal(base[from:from+n], target[at:at+n]) {
			at += n
			continue
		}
		for at > added && from > 0 && base[from-1] == target[at-1] {
			at, from, n = at-1, from-1, n+1
		}
		for at+n < len(target) && from+n < len(base) && base[from+n] == target[at+n] {
			n++
		}
		w.add(target[added:at])
		w.copy(from, n)
		at += n
		added = at
	}
	w.add(target[added:])
	_ = compressor.Close()
	return out.Bytes()
}

// Decode returns the string of at most maxBytes that was encoded with respect to base.
func Decode(base, encoded []byte, maxBytes int) ([]byte, error) {
	r := byteReader{flate.NewReader(bytes.NewReader(encoded))}
	size, err := binary.ReadUvarint(r)
	if err != nil || size > uint64(maxBytes) {
		return nil, ErrInvalid
	}
	var hash [8]byte
	if _, err := io.ReadFull(r, hash[:]); err != nil {
		return nil, ErrInvalid
	}
	var out []byte
	for uint64(len(out)) < size {
		op, err := binary.ReadUvarint(r)
		n := op >> 1
		if err != nil || n == 0 || n > size-uint64(len(out)) {
			return nil, ErrInvalid
		}
		if op&1 == 0 {
			out = append(out, make([]byte, n)...)
			if _, err := io.ReadFull(r, out[len(out)-int(n):]); err != nil {
				return nil, ErrInvalid
			}
			continue
		}
		offset, err := binary.ReadUvarint(r)
		if err != nil || offset > uint64(len(base)) || n > uint64(len(base))-offset {
			return nil, ErrInvalid
		}
		out = append(out, base[offset:offset+n]...)
	}
	if xxhash.Sum64(out) != binary.BigEndian.Uint64(hash[:]) {
		return nil, ErrInvalid
	}
	return out, nil
}

// byteReader reads single bytes of a reader that buffers.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
