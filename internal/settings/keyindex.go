package settings

import (
	"crypto/subtle"
	"hash/maphash"
	"maps"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// keyOwner is one API key hash with the client account that owns it.
type keyOwner struct {
	hash    KeyHash
	account fleet.Account
}

// keyIndex finds the owner of an API key hash. A search that ended early on
// the first wrong byte would let a caller find a valid hash byte by byte from
// the times of refusals. So the place in the index depends on a secret seed,
// and the one comparison that follows always covers the whole hash, also when
// the place is empty.
type keyIndex struct {
	seed   maphash.Seed
	owners map[uint64][]keyOwner
}

// noOwner is what an absent hash is compared with.
var noOwner = []keyOwner{{}}

func newKeyIndex() *keyIndex {
	return &keyIndex{seed: maphash.MakeSeed(), owners: make(map[uint64][]keyOwner)}
}

func (x *keyIndex) place(hash KeyHash) uint64 {
	return maphash.Bytes(x.seed, hash[:])
}

func (x *keyIndex) add(hash KeyHash, account fleet.Account) {
	place := x.place(hash)
	present := x.owners[place]
	// The capacity is cut so that a clone's addition never writes to an array
	// that the original still reads.
	x.owners[place] = append(present[:len(present):len(present)], keyOwner{hash: hash, account: account})
}

// remove takes a hash of an account out.
func (x *keyIndex) remove(hash KeyHash, account fleet.Account) {
	place := x.place(hash)
	rest := lo.Without(x.owners[place], keyOwner{hash: hash, account: account})
	if len(rest) == 0 {
		delete(x.owners, place)
		return
	}
	x.owners[place] = rest
}

// find returns the owner of a hash.
func (x *keyIndex) find(hash KeyHash) (fleet.Account, bool) {
	candidates, present := x.owners[x.place(hash)]
	if !present {
		candidates = noOwner
	}
	var account fleet.Account
	found := 0
	for i := range candidates {
		equal := subtle.ConstantTimeCompare(hash[:], candidates[i].hash[:])
		// Validate refuses a key with two owners; were there two all the same,
		// every node would name the same one.
		if equal == 1 && (found == 0 || candidates[i].account < account) {
			account = candidates[i].account
		}
		found |= equal
	}
	return account, found == 1 && present
}

// clone returns an index that can be changed without a change to x.
func (x *keyIndex) clone() *keyIndex {
	return &keyIndex{seed: x.seed, owners: maps.Clone(x.owners)}
}
