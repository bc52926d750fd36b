package ctl

import (
	"crypto/sha256"
	"encoding/base64"
	"io"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// API keys are random, so they can't be guessed from an unsalted hash.
const (
	apiKeyBytes  = 32
	apiKeyPrefix = "bb_"
)

// newAPIKey generates an API key and returns it with its hash.
func (s *session) newAPIKey() (string, settings.KeyHash, error) {
	secret := make([]byte, apiKeyBytes)
	if _, err := io.ReadFull(s.Random, secret); err != nil {
		return "", settings.KeyHash{}, errors.WithStack(err)
	}
	key := apiKeyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	return key, sha256.Sum256([]byte(key)), nil
}

// accountAdd creates a client account.
type accountAdd struct {
	commandBase
	editOptions
	Positional struct {
		Path   string   `positional-arg-name:"PATH" required:"true"`
		Values []string `positional-arg-name:"KEY=VALUE"`
	} `positional-args:"true"`
}

func (c *accountAdd) run(s *session) error {
	values, err := parseValues(c.Positional.Values)
	if err != nil {
		return err
	}
	key, hash, err := s.newAPIKey()
	if err != nil {
		return err
	}
	path := settings.Path(c.Positional.Path)
	values = append(values, settings.Setting{Key: settings.KeyAPIKey, Value: settings.FormatKeyHashes([]settings.KeyHash{hash})})
	return s.edit(c.editOptions, key, func(tree *settings.Tree) ([]settings.Change, error) {
		own := values
		if tree.Kind(path) != settings.NodeAccount {
			own = append(own, settings.Setting{Key: settings.KeyNode, Value: string(settings.NodeAccount)})
		}
		return []settings.Change{{Op: settings.OpCreate, Path: path, Settings: own}}, nil
	})
}

// accountRotateKey adds an API key to the existing ones, or finishes a rotation
// by removing all keys but the newest.
type accountRotateKey struct {
	commandBase
	editOptions
	Finish     bool `long:"finish" description:"Keep only the newest key; add none."`
	Positional struct {
		Path string `positional-arg-name:"PATH" required:"true"`
	} `positional-args:"true"`
}

func (c *accountRotateKey) run(s *session) error {
	if c.Finish {
		return c.rotate(s, "", func(hashes []settings.KeyHash) []settings.KeyHash {
			return hashes[max(0, len(hashes)-1):]
		})
	}
	key, hash, err := s.newAPIKey()
	if err != nil {
		return err
	}
	return c.rotate(s, key, func(hashes []settings.KeyHash) []settings.KeyHash {
		return append(hashes, hash)
	})
}

// rotate replaces the account's key hashes. secret is the new API key, or empty.
func (c *accountRotateKey) rotate(s *session, secret string, replace func([]settings.KeyHash) []settings.KeyHash) error {
	path := settings.Path(c.Positional.Path)
	return s.edit(c.editOptions, secret, func(tree *settings.Tree) ([]settings.Change, error) {
		hashes, err := accountHashes(tree, path)
		if err != nil {
			return nil, err
		}
		text := settings.FormatKeyHashes(replace(hashes))
		return setChanges(path, []settings.Setting{{Key: settings.KeyAPIKey, Value: text}}), nil
	})
}

func accountHashes(tree *settings.Tree, path settings.Path) ([]settings.KeyHash, error) {
	if !tree.Has(path) || tree.Kind(path) != settings.NodeAccount {
		return nil, usageErrorf("[%s]: there is no such client account", path)
	}
	text, ok := tree.Get(path, settings.KeyAPIKey)
	if !ok {
		return nil, nil
	}
	return settings.ParseKeyHashes(text)
}

// accountDisable disables or enables a client account.
type accountDisable struct {
	commandBase
	editOptions
	Undo       bool `long:"undo" description:"Take its calls again, unless a node above it is disabled."`
	Positional struct {
		Path string `positional-arg-name:"PATH" required:"true"`
	} `positional-args:"true"`
}

func (c *accountDisable) run(s *session) error {
	path := settings.Path(c.Positional.Path)
	return s.edit(c.editOptions, "", func(tree *settings.Tree) ([]settings.Change, error) {
		if _, err := accountHashes(tree, path); err != nil {
			return nil, err
		}
		if c.Undo {
			return []settings.Change{{Op: settings.OpUnset, Path: path, Key: settings.KeyDisabled}}, nil
		}
		return setChanges(path, []settings.Setting{{Key: settings.KeyDisabled, Value: "true"}}), nil
	})
}
