package budget

import (
	"io"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// MinBuffer is the initial size of ReadAll's buffer, which doubles as it fills.
const MinBuffer ident.Bytes = 4 << 10

// ReadAll returns what r holds, up to limit bytes, which the account holds until it is released. It returns
// fault.TooLarge beyond the limit and beyond what the account may hold; other errors come from r.
func ReadAll(r io.Reader, limit ident.Bytes, account *Account) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			grown := max(MinBuffer, 2*ident.Bytes(cap(buf)))
			if !account.Hold(grown) {
				return buf, fault.New(fault.TooLarge, "what is kept of others exceeds its budget")
			}
			buf = append(make([]byte, 0, grown), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		case ident.Bytes(len(buf)) > limit:
			return buf, fault.New(fault.TooLarge, "more than %d bytes", limit)
		}
	}
}
