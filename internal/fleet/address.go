package fleet

import (
	"net/netip"

	"github.com/pkg/errors"
)

// ParseAddress parses an IP address with a port that another node can reach and
// returns it in canonical form. Nodes find each other by address alone, so host
// names, port 0 and the unspecified IP address are rejected.
func ParseAddress(text string) (Address, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", errors.Errorf("%q is not an IP number with a port", text)
	}
	if parsed.Port() == 0 {
		return "", errors.Errorf("%q has port 0", text)
	}
	if parsed.Addr().IsUnspecified() {
		return "", errors.Errorf("%q is not an address that another node can reach", text)
	}
	return Address(parsed.String()), nil
}
