// Package digest identifies requests by their content: method, host, path with
// query, the caller's credentials, and the body regardless of its framing.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/gravitational/trace"
)

// Size is the length of a Digest in bytes.
const Size = 16

// MaxBodyBytes is the maximum number of body bytes that a digest covers. Further bytes
// are ignored.
const MaxBodyBytes = 16 << 20

// PrefixBytes is the number of body bytes that Hasher.PrefixSum covers.
const PrefixBytes = 4 << 10

// Digest identifies a request. It is a SHA-256 sum truncated to Size bytes.
type Digest [Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Parse parses the hexadecimal form that String returns.
func Parse(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != Size {
		return d, trace.BadParameter("digest %q: want %d hexadecimal digits", text, 2*Size)
	}
	copy(d[:], raw)
	return d, nil
}

// FromBytes converts raw bytes to a Digest. It fails unless there are Size of them.
func FromBytes(raw []byte) (Digest, error) {
	if len(raw) != Size {
		return Digest{}, trace.BadParameter("digest of %d bytes, want %d", len(raw), Size)
	}
	return Digest(raw), nil
}

// Head is a SHA-256 sum that identifies a request without its body.
type Head [sha256.Size]byte

// Key returns the head truncated to a Digest, for use as a lookup key.
func (h Head) Key() Digest { return Digest(h[:Size]) }

// HeadOf hashes a request's head. The host is case-insensitive (RFC 9110, section
// 4.2.3). Caller holds the values of the headers that identify the caller.
func HeadOf(method, host, uri string, caller ...string) Head {
	sum := sha256.New()
	writeLengthPrefixed(sum, method)
	writeLengthPrefixed(sum, strings.ToLower(host))
	writeLengthPrefixed(sum, uri)
	for _, c := range caller {
		writeLengthPrefixed(sum, c)
	}
	var head Head
	sum.Sum(head[:0])
	return head
}

// writeLengthPrefixed hashes a part preceded by its length, so that different lists
// of parts never produce the same input.
func writeLengthPrefixed(sum hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = sum.Write(length[:])
	_, _ = sum.Write([]byte(part))
}

// Domain separators, hashed between the head and the body.
const (
	domainFull   = 0
	domainPrefix = 1
)

// newHash starts a digest of the head and the body that follows.
func (h Head) newHash(domain byte) hash.Hash {
	sum := sha256.New()
	_, _ = sum.Write(h[:])
	_, _ = sum.Write([]byte{domain})
	return sum
}

// truncatedSum returns the current sum without changing the hash's state.
func truncatedSum(sum hash.Hash) Digest {
	var sum256 [sha256.Size]byte
	sum.Sum(sum256[:0])
	return Digest(sum256[:Size])
}

// Sum returns the digest of the request with the given body.
func (h Head) Sum(body []byte) Digest {
	sum := h.newHash(domainFull)
	_, _ = sum.Write(body[:min(len(body), MaxBodyBytes)])
	return truncatedSum(sum)
}

// Hasher computes a request's digest while its body is streamed. It is an io.Writer
// and is not safe for concurrent use.
type Hasher struct {
	full   hash.Hash
	prefix hash.Hash
	n      int64
}

// NewHasher returns a hasher for a request whose body has not been read yet.
func (h Head) NewHasher() *Hasher {
	return &Hasher{full: h.newHash(domainFull), prefix: h.newHash(domainPrefix)}
}

// Write adds the next bytes of the body. It never returns an error.
func (h *Hasher) Write(p []byte) (int, error) {
	if left := PrefixBytes - h.n; left > 0 {
		_, _ = h.prefix.Write(p[:min(int64(len(p)), left)])
	}
	if left := MaxBodyBytes - h.n; left > 0 {
		_, _ = h.full.Write(p[:min(int64(len(p)), left)])
	}
	h.n += int64(len(p))
	return len(p), nil
}

// Sum returns the digest of the request, taking the bytes written so far as its
// entire body.
func (h *Hasher) Sum() Digest { return truncatedSum(h.full) }

// PrefixSum returns the digest of the request's head and the first PrefixBytes of
// its body. ok is false if fewer bytes have been written.
func (h *Hasher) PrefixSum() (d Digest, ok bool) {
	if h.n < PrefixBytes {
		return Digest{}, false
	}
	return truncatedSum(h.prefix), true
}
