// Package bulk keeps bulk data in a bbolt file under a host's data folder.
//
// Everything in it can be produced again, so the file is a cache with a
// checksum for each record: a record that is torn or corrupt is dropped and
// counted, and a file that cannot be read as a whole is put aside. Calls block;
// they belong on pool workers.
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
	// ErrNotFound means that there is no record under the key.
	ErrNotFound = errors.New("bulk: record not found")
	// ErrCorrupt means that the record, or the file, failed its check.
	ErrCorrupt = errors.New("bulk: corrupt")
	// ErrFull means that the record would exceed the bound on size.
	ErrFull = errors.New("bulk: full")
)

const (
	fileName     = "bulk.db"
	asideName    = "bulk.corrupt" // the last file that could not be read
	lockWait     = time.Second
	checksumSize = 8
	fileMode     = 0o600
	// DefaultMaxBytes is the bound on the records if none is given.
	DefaultMaxBytes = 4 << 30
	// fileFactor bounds the file by the records: bbolt reuses the pages of
	// deleted records but needs room for the pages of a write in progress.
	fileFactor = 2
	// minFileBytes is the smallest bound on the file; bbolt grows a small file
	// in steps up to this size.
	minFileBytes = 16 << 20
)

var bucketName = []byte("records")

// Options sets the limits of a store.
type Options struct {
	MaxBytes int64 // of keys and records; 0 takes DefaultMaxBytes
	// NoSync leaves the time of writing to the operating system. After a crash
	// of the host the file may then be unreadable as a whole.
	NoSync bool
}

// Stats are the counters of a store.
type Stats struct {
	Bytes    int64 // of keys and records now
	Corrupt  int64 // records and files dropped because their check failed
	Rejected int64 // records not taken for want of room
}

// Store is a set of records on disk. Any number of pool workers may use it.
type Store struct {
	db       *bbolt.DB
	maxBytes int64
	used     metrics.Counter
	corrupt  metrics.Counter
	refused  metrics.Counter
}

// Open opens the store in the folder, which must exist. A file that cannot be
// read is renamed, and an empty one takes its place.
func Open(folder string, o Options) (*Store, error) {
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	s := &Store{
		maxBytes: o.MaxBytes,
		used:     metrics.NewCounter(), corrupt: metrics.NewCounter(), refused: metrics.NewCounter(),
	}
	path := filepath.Join(folder, fileName)
	err := s.open(path, o)
	if err == nil || errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, os.ErrPermission) || errors.Is(err, os.ErrNotExist) {
		return s, err
	}
	s.corrupt.Inc(1)
	if err := os.Rename(path, filepath.Join(folder, asideName)); err != nil {
		return nil, fmt.Errorf("put the unreadable file aside: %w", err)
	}
	return s, s.open(path, o)
}

func (s *Store) open(path string, o Options) (err error) {
	defer catch(&err)
	s.db, err = bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout: lockWait, NoSync: o.NoSync, MaxSize: int(max(minFileBytes, fileFactor*o.MaxBytes)),
	})
	if err != nil {
		return err
	}
	if err = s.checkAll(); err != nil {
		_ = s.db.Close()
	}
	return err
}

// catch turns a panic of bbolt on a damaged file, or a fault on its mapping,
// into ErrCorrupt.
func catch(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", ErrCorrupt, r)
	}
}

// checkAll reads every record and drops the corrupt ones.
func (s *Store) checkAll() (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer catch(&err)
	s.used.Clear()
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		var bad [][]byte
		err = bucket.ForEach(func(k, v []byte) error {
			if _, err := unseal(k, v); err != nil {
				bad = append(bad, bytes.Clone(k))
				return nil
			}
			s.used.Inc(int64(len(k) + len(v)))
			return nil
		})
		for _, key := range bad {
			s.corrupt.Inc(1)
			err = errors.Join(err, bucket.Delete(key))
		}
		return err
	})
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Stats returns the counters.
func (s *Store) Stats() Stats {
	return Stats{Bytes: s.used.Count(), Corrupt: s.corrupt.Count(), Rejected: s.refused.Count()}
}

// seal puts a checksum over key and value before the value.
func seal(key, value []byte) []byte {
	record := make([]byte, checksumSize, checksumSize+len(value))
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

func unseal(key, record []byte) ([]byte, error) {
	if len(record) < checksumSize {
		return nil, fmt.Errorf("%w: record of %d bytes", ErrCorrupt, len(record))
	}
	value := record[checksumSize:]
	if binary.LittleEndian.Uint64(record) != checksum(key, value) {
		return nil, fmt.Errorf("%w: checksum of record %q", ErrCorrupt, key)
	}
	return value, nil
}

// Put stores the record, in one commit with those that other workers store at
// the same time. When it returns nil the record is on disk, unless NoSync is set.
func (s *Store) Put(key string, value []byte) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer catch(&err)
	record := seal([]byte(key), value)
	size := int64(len(key) + len(record))
	// The room is taken first, so that concurrent workers do not exceed it.
	s.used.Inc(size)
	if s.used.Count() > s.maxBytes {
		s.used.Dec(size)
		s.refused.Inc(1)
		return fmt.Errorf("%w: %d bytes in use of %d", ErrFull, s.used.Count(), s.maxBytes)
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
		s.used.Dec(size)
		s.refused.Inc(1)
		return fmt.Errorf("bulk: put %q: %w", key, err)
	}
	s.used.Dec(replaced)
	return nil
}

// Get returns a copy of the record. A corrupt one is dropped.
func (s *Store) Get(key string) (value []byte, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer catch(&err)
	err = s.db.View(func(tx *bbolt.Tx) error {
		record := tx.Bucket(bucketName).Get([]byte(key))
		if record == nil {
			return fmt.Errorf("%w: %q", ErrNotFound, key)
		}
		found, err := unseal([]byte(key), record)
		value = bytes.Clone(found)
		return err
	})
	if errors.Is(err, ErrCorrupt) {
		s.corrupt.Inc(1)
		_ = s.Delete(key)
	}
	return value, err
}

// Delete removes the record, if there is one.
func (s *Store) Delete(key string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer catch(&err)
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
		s.used.Dec(freed)
	}
	return err
}

// Scan calls f for each whole record below the prefix. key and value are valid
// only during the call, in which the store must not be changed.
func (s *Store) Scan(prefix string, f func(key string, value []byte)) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer catch(&err)
	return s.db.View(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(bucketName).Cursor()
		from := []byte(prefix)
		for k, record := cursor.Seek(from); k != nil && bytes.HasPrefix(k, from); k, record = cursor.Next() {
			value, err := unseal(k, record)
			if err != nil {
				s.corrupt.Inc(1)
				continue
			}
			f(string(k), value)
		}
		return nil
	})
}
