package settings

import (
	"crypto/subtle"
	"hash/maphash"
	"maps"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// keyOwner is an API key hash and the client account that it belongs to.
type keyOwner struct {
	hash    KeyHash
	account fleet.Account
}

// keyIndex finds the owner of an API key hash. A search that stopped at the first
// wrong byte would let a caller find a valid hash byte by byte from response
// times. So the bucket of a hash depends on a secret seed, and the comparison
// that follows takes constant time and is also made if the bucket is empty.
type keyIndex struct {
	seed   maphash.Seed
	owners map[uint64][]keyOwner
}

// noOwner is compared with a hash whose bucket is empty.
var noOwner = []keyOwner{{}}

func newKeyIndex() *keyIndex {
	return &keyIndex{seed: maphash.MakeSeed(), owners: make(map[uint64][]keyOwner)}
}

func (x *keyIndex) bucket(hash KeyHash) uint64 {
	return maphash.Bytes(x.seed, hash[:])
}

func (x *keyIndex) add(hash KeyHash, account fleet.Account) {
	bucket := x.bucket(hash)
	owners := x.owners[bucket]
	// Clones share the slice. Limiting its capacity makes append allocate, so
	// that an addition to one clone never writes to an array that another reads.
	x.owners[bucket] = append(owners[:len(owners):len(owners)], keyOwner{hash: hash, account: account})
}

// remove removes a hash of an account.
func (x *keyIndex) remove(hash KeyHash, account fleet.Account) {
	bucket := x.bucket(hash)
	remaining := lo.Without(x.owners[bucket], keyOwner{hash: hash, account: account})
	if len(remaining) == 0 {
		delete(x.owners, bucket)
		return
	}
	x.owners[bucket] = remaining
}

// find returns the owner of a hash.
func (x *keyIndex) find(hash KeyHash) (fleet.Account, bool) {
	candidates, present := x.owners[x.bucket(hash)]
	if !present {
		candidates = noOwner
	}
	var account fleet.Account
	found := 0
	for i := range candidates {
		equal := subtle.ConstantTimeCompare(hash[:], candidates[i].hash[:])
		// Validate rejects a key with two owners. If there are two nevertheless,
		// every node chooses the same one.
		if equal == 1 && (found == 0 || candidates[i].account < account) {
			account = candidates[i].account
		}
		found |= equal
	}
	return account, found == 1 && present
}

// clone returns a copy that can be changed without affecting x.
func (x *keyIndex) clone() *keyIndex {
	return &keyIndex{seed: x.seed, owners: maps.Clone(x.owners)}
}
