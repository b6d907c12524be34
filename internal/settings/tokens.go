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
	// minTokenBytes makes it infeasible to guess a token over the network.
	minTokenBytes = 16
)

// tokenFile is the YAML structure of the token file.
type tokenFile struct {
	Tokens []tokenEntry `yaml:"tokens"`
}

// tokenEntry describes one token, given in plain text or as its SHA-256 digest in
// hex.
type tokenEntry struct {
	Name     string          `yaml:"name"`
	Token    string          `yaml:"token"`
	SHA256   string          `yaml:"sha256"`
	Role     core.Role       `yaml:"role"`
	Customer core.CustomerID `yaml:"customer"`
	Expires  string          `yaml:"expires"` // RFC 3339; empty is never
}

type tokenGrant struct {
	principal core.Principal
	expires   time.Time
}

type digest = [sha256.Size]byte

type tokenTable struct {
	source   []byte
	byDigest map[digest]tokenGrant
}

// Tokens authenticates bearer tokens that are listed in a file. It is safe for
// concurrent use.
type Tokens struct {
	path  string
	now   func() time.Time
	table atomic.Pointer[tokenTable]
}

// NewTokens returns an empty token set for the file; it rejects every token until
// Reload succeeds.
func NewTokens(path string, now func() time.Time) *Tokens {
	t := &Tokens{path: path, now: now}
	t.table.Store(&tokenTable{})
	return t
}

// Authenticate returns the principal that the token was issued to, or an
// unauthorized error if the token is unknown or expired.
func (t *Tokens) Authenticate(token string) (core.Principal, *core.Error) {
	entry, ok := t.table.Load().byDigest[sha256.Sum256([]byte(token))]
	if !ok {
		return core.Principal{}, core.NotRunError(core.CodeUnauthorized, "the token is not known")
	}
	if !entry.expires.IsZero() && !t.now().Before(entry.expires) {
		return core.Principal{}, core.NotRunError(core.CodeUnauthorized, "the token of %q expired at %s", entry.principal.Name, entry.expires.Format(time.RFC3339))
	}
	return entry.principal, nil
}

// Reload reads the file and parses it if it changed. On an error the tokens loaded
// before stay valid.
func (t *Tokens) Reload() error {
	source, err := readFileUpTo(t.path, maxTokenFileBytes)
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
		// By default the library's message quotes the lines around the error, which
		// may contain tokens.
		return nil, errors.New(yaml.FormatError(err, false, false))
	}
	table := &tokenTable{source: source, byDigest: map[digest]tokenGrant{}}
	for i, entry := range file.Tokens {
		hash, grant, err := entry.validate(fmt.Sprintf("tokens[%d]", i))
		if err != nil {
			return nil, err
		}
		if _, duplicate := table.byDigest[hash]; duplicate {
			return nil, core.InvalidError(fmt.Sprintf("tokens[%d]", i), entry.Name, "each token once", "repeats the token of another entry")
		}
		table.byDigest[hash] = grant
	}
	return table, nil
}

// validate returns the digest of the token and what it grants. Its errors never contain the token.
func (e tokenEntry) validate(field string) (digest, tokenGrant, error) {
	grant := tokenGrant{principal: core.Principal{Name: e.Name, Role: e.Role, Customer: e.Customer}}
	if !namePattern.MatchString(e.Name) {
		return digest{}, grant, core.InvalidError(field+".name", e.Name, allowedName, "is not a valid name")
	}
	switch {
	case e.Role != core.RoleOperator && e.Role != core.RoleCaller:
		return digest{}, grant, core.InvalidError(field+".role", string(e.Role), "operator, caller", "is not a role")
	case e.Role == core.RoleCaller && e.Customer == "":
		return digest{}, grant, core.InvalidError(field+".customer", "", "the caller's customer", "is required")
	case e.Role == core.RoleOperator && e.Customer != "":
		return digest{}, grant, core.InvalidError(field+".customer", string(e.Customer), "no customer for an operator", "is not allowed")
	}
	if e.Expires != "" {
		expires, err := time.Parse(time.RFC3339, e.Expires)
		if err != nil {
			return digest{}, grant, core.InvalidError(field+".expires", e.Expires, "a time such as 2027-01-31T00:00:00Z", "is not a time")
		}
		grant.expires = expires
	}
	hash, err := e.hash(field)
	return hash, grant, err
}

func (e tokenEntry) hash(field string) (digest, error) {
	if (e.Token == "") == (e.SHA256 == "") {
		return digest{}, core.InvalidError(field, "", "either token or sha256", "needs exactly one of token and sha256")
	}
	if e.Token != "" {
		if len(e.Token) < minTokenBytes {
			return digest{}, core.InvalidError(field+".token", "", fmt.Sprintf("%d characters or more", minTokenBytes), "is too short")
		}
		return sha256.Sum256([]byte(e.Token)), nil
	}
	raw, err := hex.DecodeString(e.SHA256)
	if err != nil || len(raw) != sha256.Size {
		return digest{}, core.InvalidError(field+".sha256", "", "64 hexadecimal digits", "is not a SHA-256 digest")
	}
	return digest(raw), nil
}

// readFileUpTo reads a file and fails if it is larger than limit bytes.
func readFileUpTo(path string, limit int64) ([]byte, error) {
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
