package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	maxTokenFileBytes = 1 << 20
	// minTokenBytes makes guessing a token over the network hopeless.
	minTokenBytes = 16
)

// tokenFile is the form of the token file.
type tokenFile struct {
	Tokens []tokenEntry `yaml:"tokens"`
}

// tokenEntry holds one token, either itself or as its SHA-256 digest in hex.
type tokenEntry struct {
	Name     string          `yaml:"name"`
	Token    string          `yaml:"token"`
	SHA256   string          `yaml:"sha256"`
	Role     core.Role       `yaml:"role"`
	Customer core.CustomerID `yaml:"customer"`
	Expires  string          `yaml:"expires"` // RFC 3339; empty is never
}

type issued struct {
	principal core.Principal
	expires   time.Time
}

type digest = [sha256.Size]byte

type tokenTable struct {
	source []byte
	byHash map[digest]issued
}

// Tokens authenticates bearer tokens from a file. Any goroutine may use it.
type Tokens struct {
	path  string
	now   func() time.Time
	table atomic.Pointer[tokenTable]
}

// NewTokens returns an empty set of tokens for the file. Reload fills it.
func NewTokens(path string, now func() time.Time) *Tokens {
	t := &Tokens{path: path, now: now}
	t.table.Store(&tokenTable{})
	return t
}

// Authenticate returns the principal that the token was issued to.
func (t *Tokens) Authenticate(token string) (core.Principal, *core.Error) {
	entry, ok := t.table.Load().byHash[sha256.Sum256([]byte(token))]
	if !ok {
		return core.Principal{}, core.NotRunError(core.CodeUnauthorized, "the token is not known")
	}
	if !entry.expires.IsZero() && !t.now().Before(entry.expires) {
		return core.Principal{}, core.NotRunError(core.CodeUnauthorized, "the token of %q expired at %s", entry.principal.Name, entry.expires.Format(time.RFC3339))
	}
	return entry.principal, nil
}

// Reload reads the file if it changed. On an error the tokens read before stay valid.
func (t *Tokens) Reload() error {
	source, err := readSmall(t.path, maxTokenFileBytes)
	if err != nil {
		return err
	}
	if bytes.Equal(source, t.table.Load().source) {
		return nil
	}
	table, err := parseTokens(source)
	if err != nil {
		return err
	}
	t.table.Store(table)
	return nil
}

func parseTokens(source []byte) (*tokenTable, error) {
	var file tokenFile
	if err := yaml.UnmarshalWithOptions(source, &file, yaml.Strict()); err != nil {
		// The library's own text quotes the lines around the fault, tokens included.
		return nil, errors.New(yaml.FormatError(err, false, false))
	}
	table := &tokenTable{source: source, byHash: map[digest]issued{}}
	for i, entry := range file.Tokens {
		hash, one, err := entry.check(fmt.Sprintf("tokens[%d]", i))
		if err != nil {
			return nil, err
		}
		if _, twice := table.byHash[hash]; twice {
			return nil, core.InvalidError(fmt.Sprintf("tokens[%d]", i), entry.Name, "each token once", "repeats the token of another entry")
		}
		table.byHash[hash] = one
	}
	return table, nil
}

// check never puts the token into an error.
func (e tokenEntry) check(at string) (digest, issued, error) {
	one := issued{principal: core.Principal{Name: e.Name, Role: e.Role, Customer: e.Customer}}
	if !namePattern.MatchString(e.Name) {
		return digest{}, one, core.InvalidError(at+".name", e.Name, allowedName, "is not a valid name")
	}
	switch {
	case e.Role != core.RoleOperator && e.Role != core.RoleCaller:
		return digest{}, one, core.InvalidError(at+".role", string(e.Role), "operator, caller", "is not a role")
	case e.Role == core.RoleCaller && e.Customer == "":
		return digest{}, one, core.InvalidError(at+".customer", "", "the caller's customer", "is required")
	case e.Role == core.RoleOperator && e.Customer != "":
		return digest{}, one, core.InvalidError(at+".customer", string(e.Customer), "no customer for an operator", "is not allowed")
	}
	if e.Expires != "" {
		expires, err := time.Parse(time.RFC3339, e.Expires)
		if err != nil {
			return digest{}, one, core.InvalidError(at+".expires", e.Expires, "a time such as 2027-01-31T00:00:00Z", "is not a time")
		}
		one.expires = expires
	}
	hash, err := e.hash(at)
	return hash, one, err
}

func (e tokenEntry) hash(at string) (digest, error) {
	if (e.Token == "") == (e.SHA256 == "") {
		return digest{}, core.InvalidError(at, "", "either token or sha256", "needs exactly one of token and sha256")
	}
	if e.Token != "" {
		if len(e.Token) < minTokenBytes {
			return digest{}, core.InvalidError(at+".token", "", fmt.Sprintf("%d characters or more", minTokenBytes), "is too short")
		}
		return sha256.Sum256([]byte(e.Token)), nil
	}
	raw, err := hex.DecodeString(e.SHA256)
	if err != nil || len(raw) != sha256.Size {
		return digest{}, core.InvalidError(at+".sha256", "", "64 hexadecimal digits", "is not a SHA-256 digest")
	}
	return digest(raw), nil
}

// readSmall reads a file of at most limit bytes.
func readSmall(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("%s is larger than %d bytes", path, limit)
	}
	return data, err
}
