// Package key checks the secrets that callers present. It stores only a salted
// hash of each secret. Secrets are long and random, so a fast hash is enough.
//
// # Usage
//
//	k, err := key.New("workshop", secret)
//	ok := k.Verify(secret)
//	name, secret, err := key.Split("shop1.q8x…")
package key

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	saltBytes = 16
	// MinSecretLen is the minimum length of a secret in bytes.
	MinSecretLen = 16
	// MaxSecretLen is the maximum length of a secret in bytes.
	MaxSecretLen = 256
)

// ErrMalformed means that a token or secret does not have the required form.
var ErrMalformed = errors.New("key: malformed")

// Key allows a caller to submit work for a team.
type Key struct {
	Team string `json:"team"`
	Salt string `json:"salt"` // hexadecimal
	Hash string `json:"hash"` // hexadecimal HMAC-SHA-256 of the secret under the salt
	// MaxStaleMillis is how long an entry host that cannot read the table
	// continues to accept the key. Zero means without limit.
	MaxStaleMillis int64 `json:"maxStaleMillis,omitempty"`
}

// New returns a key for the team that contains only a hash of the secret.
func New(team, secret string) (Key, error) {
	if len(secret) < MinSecretLen || len(secret) > MaxSecretLen {
		return Key{}, errors.Mark(errors.Newf("a secret must have %d to %d bytes; this one has %d", MinSecretLen, MaxSecretLen, len(secret)), ErrMalformed)
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // documented never to return an error
	return Key{Team: team, Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(digest(salt, secret))}, nil
}

// Verify reports whether secret is the secret of the key.
func (k Key) Verify(secret string) bool {
	salt, err := hex.DecodeString(k.Salt)
	if err != nil {
		return false
	}
	want, err := hex.DecodeString(k.Hash)
	if err != nil || len(want) == 0 {
		return false
	}
	return subtle.ConstantTimeCompare(digest(salt, secret), want) == 1
}

// digest returns the HMAC-SHA-256 of secret under salt.
func digest(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// Split splits a token of the form "name.secret".
func Split(token string) (name, secret string, err error) {
	name, secret, ok := strings.Cut(token, ".")
	if !ok || name == "" || secret == "" {
		return "", "", errors.Mark(errors.New(`a token must have the form "name.secret"`), ErrMalformed)
	}
	return name, secret, nil
}
