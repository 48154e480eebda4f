package answer

import "bytes"

// framing is what a head says of the end of its body. Package net/http reads the values of the
// fields, and refuses those that it doesn't know.
type framing struct {
	http10  bool // the version is HTTP/1.0, which has no chunks
	length  bool // there is a Content-Length
	encoded bool // there is a Transfer-Encoding
}

// add takes a field into account.
func (f *framing) add(line []byte) {
	name, _, _ := bytes.Cut(line, []byte(":"))
	f.length = f.length || bytes.EqualFold(name, []byte("Content-Length"))
	f.encoded = f.encoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
}

// check returns an error if two readers may find different ends (RFC 9112, 6.1 and 6.3).
func (f *framing) check() error {
	switch {
	case f.http10 && f.encoded:
		return &BrokenError{"chunks in HTTP/1.0"}
	case f.length && f.encoded:
		return &BrokenError{"both a length and chunks"}
	}
	return nil
}
