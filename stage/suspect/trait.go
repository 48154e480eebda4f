package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A Trait is something that a request may share with others and that may crash targets:
// the content of the request, what it has in common with its repeats, or a part of its
// prompt. It is a truncated hash. Hosts of all builds must form it alike.
type Trait uint64

// The first 16 bits of some traits tell what they stand for, since an answer means something
// else for these, and hosts tell each other the bare hash.
const (
	repeatMark = 0x7e9e
	exactMark  = 0x7e9d
)

// ContentTrait returns the trait of all requests for a URI, with its host, that have the given
// body.
func ContentTrait(uri string, body []byte) Trait { return hashOf("content", body, uri) }

// RepeatTrait returns the trait of all requests of a caller for a path of a host with the given
// body.
func RepeatTrait(caller netip.Addr, host, path string, body []byte) Trait {
	return hashOf("repeat", body, caller.Unmap().String(), host, path).marked(repeatMark)
}

// ExactTrait returns the trait of a caller's requests for a URI, with its host, that have the
// given body.
func ExactTrait(caller netip.Addr, uri string, body []byte) Trait {
	return hashOf("exact", body, caller.Unmap().String(), uri).marked(exactMark)
}

func (t Trait) marked(mark Trait) Trait { return t&(1<<48-1) | mark<<48 }

func (t Trait) isRepeat() bool { return t>>48 == repeatMark }

func (t Trait) isExact() bool { return t>>48 == exactMark }

// hashOf returns the hash of a body and of texts that hold no zero bytes.
func hashOf(kind string, body []byte, texts ...string) Trait {
	hash := sha256.New()
	hash.Write([]byte(kind + " "))
	for _, text := range texts {
		hash.Write([]byte(text))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return Trait(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// PartTrait returns the trait of all requests whose prompts have the part with the given
// ID.
func PartTrait(id uint64) Trait {
	hash := sha256.Sum256(binary.BigEndian.AppendUint64([]byte("part "), id))
	return Trait(binary.BigEndian.Uint64(hash[:]))
}

// String returns the trait in hexadecimal.
func (t Trait) String() string { return fmt.Sprintf("%016x", uint64(t)) }

// KeyPrefix is the prefix of the keys under which refused traits are stored.
const KeyPrefix = "suspect/"

// Key returns the key of the object of the trait.
func (t Trait) Key() string { return KeyPrefix + t.String() }

// ParseKey returns the trait in the key of an object. It returns false if key is not such
// a key.
func ParseKey(key string) (Trait, bool) {
	text, ok := strings.CutPrefix(key, KeyPrefix)
	n, err := strconv.ParseUint(text, 16, 64)
	return Trait(n), ok && err == nil && len(text) == len(Trait(0).String())
}

// A Crash identifies the end of a target's process that the target had not announced. It
// is the same on all hosts.
type Crash uint64

// NewCrash returns the crash of the process that the named target started at a time.
func NewCrash(target string, started time.Time) Crash {
	return Crash(xxhash.Sum64String(target + "/" + strconv.FormatInt(started.UnixMilli(), 10)))
}

// A Record is the stored state of a refused trait.
type Record struct {
	Crashes []Crash   `json:"crashes"`
	Expires time.Time `json:"expires"`
}

// Encode returns the record as the value of its object.
func (r Record) Encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "suspect: encode record"))
	}
	return data
}

// Decode returns the record in the value of an object.
func Decode(data []byte) (Record, error) {
	var r Record
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "suspect: decode record")
}
