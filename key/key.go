// Package key checks the secrets that callers present. Only a salted hash of a
// secret is kept. Secrets are long and random, so a fast hash is enough.
//
// # Usage
//
//	k, err := key.Seal("workshop", secret)
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
	// MinSecretLen is the least length of a secret in bytes.
	MinSecretLen = 16
	// MaxSecretLen is the greatest length of a secret in bytes.
	MaxSecretLen = 256
)

// ErrMalformed says that a token or secret does not have the right form.
var ErrMalformed = errors.New("key: malformed")

// Key lets a caller submit work for a team.
type Key struct {
	Team string `json:"team"`
	Salt string `json:"salt"` // hexadecimal
	Hash string `json:"hash"` // hexadecimal HMAC-SHA-256 of the secret under the salt
	// MaxStaleMillis is for how long an entry host that cannot read the table
	// goes on accepting the key; without bound if zero.
	MaxStaleMillis int64 `json:"maxStaleMillis,omitempty"`
}

// Seal returns a key for the team that keeps only a hash of the secret.
func Seal(team, secret string) (Key, error) {
	if len(secret) < MinSecretLen || len(secret) > MaxSecretLen {
		return Key{}, errors.Mark(errors.Newf("a secret has %d to %d bytes, this one %d", MinSecretLen, MaxSecretLen, len(secret)), ErrMalformed)
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // never fails, by its documentation
	return Key{Team: team, Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(digest(salt, secret))}, nil
}

// Verify reports whether secret is the key's.
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

func digest(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// Split takes a token, "name.secret", apart.
func Split(token string) (name, secret string, err error) {
	name, secret, ok := strings.Cut(token, ".")
	if !ok || name == "" || secret == "" {
		return "", "", errors.Mark(errors.New(`a token has the form "name.secret"`), ErrMalformed)
	}
	return name, secret, nil
}
