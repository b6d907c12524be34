// Package bulk stores records in a bbolt file in the daemon's data folder.
//
// The file is a cache: every record can be produced again. Each record carries
// a checksum, and no truncated or corrupt record is returned. Such a record is
// deleted and counted, and a file that cannot be opened is renamed and replaced
// by an empty one. No duty owns the store: it is safe for concurrent use. Its
// methods block on disk access, so they are called on pool goroutines.
package bulk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Errors of the store.
var (
	// ErrNotFound means that the key has no record.
	ErrNotFound = errors.New("bulk: record not found")
	// ErrCorrupt means that a record or the file is damaged.
	ErrCorrupt = errors.New("bulk: corrupt")
	// ErrFull means that the record would exceed Options.MaxBytes.
	ErrFull = errors.New("bulk: full")
)

const (
	fileName        = "bulk.db"
	corruptFileName = "bulk.corrupt" // the most recent file that could not be opened
	lockTimeout     = time.Second
	checksumBytes   = 8
	fileMode        = 0o600
	// DefaultMaxBytes applies when Options.MaxBytes is not set.
	DefaultMaxBytes = 4 << 30
	// maxFileRatio is the largest file size as a multiple of the bound on the
	// records. bbolt reuses the pages of deleted records but needs free pages for
	// a write in progress.
	maxFileRatio = 2
	// minFileBytes is the smallest limit on the file size. bbolt grows a small
	// file in steps up to this size.
	minFileBytes = 16 << 20
)

var bucketName = []byte("records")

// Options sets the limits of a store.
type Options struct {
	MaxBytes int64 // total size of keys and records; 0 selects DefaultMaxBytes
	// NoSync skips the fsync after each commit. After a crash of the host the
	// whole file may then be unreadable.
	NoSync bool
}

// Stats are the counters of a store.
type Stats struct {
	Bytes    int64 // current size of keys and records
	Corrupt  int64 // damaged records and files found
	Rejected int64 // records not stored because the store was full or the write failed
}

// Store is a set of records on disk. It is safe for concurrent use.
type Store struct {
	db        *bbolt.DB
	maxBytes  int64
	usedBytes metrics.Counter
	corrupt   metrics.Counter
	rejected  metrics.Counter
}

// Open opens the store in an existing folder. It renames a damaged file and
// replaces it by an empty one.
func Open(folder string, o Options) (*Store, error) {
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	s := &Store{
		maxBytes:  o.MaxBytes,
		usedBytes: metrics.NewCounter(), corrupt: metrics.NewCounter(), rejected: metrics.NewCounter(),
	}
	path := filepath.Join(folder, fileName)
	err := s.open(path, o)
	if err == nil || errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, os.ErrPermission) || errors.Is(err, os.ErrNotExist) {
		return s, err
	}
	s.corrupt.Inc(1)
	if err := os.Rename(path, filepath.Join(folder, corruptFileName)); err != nil {
		return nil, fmt.Errorf("rename the unreadable file: %w", err)
	}
	return s, s.open(path, o)
}

func (s *Store) open(path string, o Options) (err error) {
	defer recoverAsCorrupt(&err)
	s.db, err = bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout: lockTimeout, NoSync: o.NoSync, MaxSize: int(max(minFileBytes, maxFileRatio*o.MaxBytes)),
	})
	if err != nil {
		return err
	}
	if err = s.removeCorrupt(); err != nil {
		_ = s.db.Close()
	}
	return err
}

// recoverAsCorrupt turns a panic of bbolt on a damaged file, or a memory fault
// on its mapping, into ErrCorrupt.
func recoverAsCorrupt(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", ErrCorrupt, r)
	}
}

// removeCorrupt verifies every record and deletes the corrupt ones.
func (s *Store) removeCorrupt() (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverAsCorrupt(&err)
	s.usedBytes.Clear()
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		var corruptKeys [][]byte
		err = bucket.ForEach(func(k, v []byte) error {
			if _, err := verifyChecksum(k, v); err != nil {
				corruptKeys = append(corruptKeys, bytes.Clone(k))
				return nil
			}
			s.usedBytes.Inc(int64(len(k) + len(v)))
			return nil
		})
		for _, key := range corruptKeys {
			s.corrupt.Inc(1)
			err = errors.Join(err, bucket.Delete(key))
		}
		return err
	})
}

// Close releases the file and its lock.
func (s *Store) Close() error { return s.db.Close() }

// Stats returns a copy of the current counters.
func (s *Store) Stats() Stats {
	return Stats{Bytes: s.usedBytes.Count(), Corrupt: s.corrupt.Count(), Rejected: s.rejected.Count()}
}

// addChecksum returns the value prefixed by a checksum of key and value.
func addChecksum(key, value []byte) []byte {
	record := make([]byte, checksumBytes, checksumBytes+len(value))
	binary.LittleEndian.PutUint64(record, checksum(key, value))
	return append(record, value...)
}

func checksum(key, value []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum64()
}

func verifyChecksum(key, record []byte) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, fmt.Errorf("%w: record of %d bytes", ErrCorrupt, len(record))
	}
	value := record[checksumBytes:]
	if binary.LittleEndian.Uint64(record) != checksum(key, value) {
		return nil, fmt.Errorf("%w: checksum of record %q", ErrCorrupt, key)
	}
	return value, nil
}

// Put stores the record. Concurrent calls share a commit. When it returns nil
// the record is on disk, unless NoSync is set.
func (s *Store) Put(key string, value []byte) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverAsCorrupt(&err)
	record := addChecksum([]byte(key), value)
	size := int64(len(key) + len(record))
	// The size is reserved before the write, so that concurrent calls together
	// stay below the limit.
	s.usedBytes.Inc(size)
	if s.usedBytes.Count() > s.maxBytes {
		s.usedBytes.Dec(size)
		s.rejected.Inc(1)
		return fmt.Errorf("%w: %d bytes in use of %d", ErrFull, s.usedBytes.Count(), s.maxBytes)
	}
	replaced := int64(0)
	err = s.db.Batch(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		replaced = 0
		if old := bucket.Get([]byte(key)); old != nil {
			replaced = int64(len(key) + len(old))
		}
		return bucket.Put([]byte(key), record)
	})
	if err != nil {
		s.usedBytes.Dec(size)
		s.rejected.Inc(1)
		return fmt.Errorf("bulk: put %q: %w", key, err)
	}
	s.usedBytes.Dec(replaced)
	return nil
}

// Get returns a copy of the record. A corrupt record is deleted.
func (s *Store) Get(key string) (value []byte, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverAsCorrupt(&err)
	err = s.db.View(func(tx *bbolt.Tx) error {
		record := tx.Bucket(bucketName).Get([]byte(key))
		if record == nil {
			return fmt.Errorf("%w: %q", ErrNotFound, key)
		}
		found, err := verifyChecksum([]byte(key), record)
		value = bytes.Clone(found)
		return err
	})
	if errors.Is(err, ErrCorrupt) {
		s.corrupt.Inc(1)
		_ = s.Delete(key)
	}
	return value, err
}

// Delete removes the record. A missing record is not an error.
func (s *Store) Delete(key string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverAsCorrupt(&err)
	freed := int64(0)
	err = s.db.Batch(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		freed = 0
		if old := bucket.Get([]byte(key)); old != nil {
			freed = int64(len(key) + len(old))
		}
		return bucket.Delete([]byte(key))
	})
	if err == nil {
		s.usedBytes.Dec(freed)
	}
	return err
}

// Scan calls visit for each intact record whose key has the prefix. key and
// value are valid only during the call, and visit must not change the store.
func (s *Store) Scan(prefix string, visit func(key string, value []byte)) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverAsCorrupt(&err)
	return s.db.View(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(bucketName).Cursor()
		start := []byte(prefix)
		for k, record := cursor.Seek(start); k != nil && bytes.HasPrefix(k, start); k, record = cursor.Next() {
			value, err := verifyChecksum(k, record)
			if err != nil {
				s.corrupt.Inc(1)
				continue
			}
			visit(string(k), value)
		}
		return nil
	})
}
