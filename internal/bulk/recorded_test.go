package bulk

import (
	"bytes"
	"compress/gzip"
	"io"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// recordedRecords are the records in testdata/bulk.db.gz, a file that a store of
// an earlier build wrote in a test of that build.
var recordedRecords = map[string]string{
	"prairie/t2/2/1.1/4/1": "four",
	"prairie/t2/2/1.1/5/1": "five",
	"kartvel/t1/1/1.1/0/1": "",
}

// openRecorded opens a copy of the recorded file.
func openRecorded(t *testing.T) *Store {
	t.Helper()
	packed, err := os.ReadFile(filepath.Join("testdata", "bulk.db.gz"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		t.Fatal(err)
	}
	file, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "bulk.db"), file, fileMode); err != nil {
		t.Fatal(err)
	}
	s := openStore(t, folder, Options{})
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Guards against a changed file name, bucket, checksum or layout of a record,
// after which a daemon drops every record that an older build wrote.
func TestRecordedFileIsRead(t *testing.T) {
	s := openRecorded(t)
	scanned, size := map[string]string{}, 0
	if err := s.Scan("", func(key string, value []byte) { scanned[key] = string(value) }); err != nil {
		t.Fatal(err)
	}
	if !maps.Equal(scanned, recordedRecords) {
		t.Errorf("the scan finds %q, want %q", scanned, recordedRecords)
	}
	for key, want := range recordedRecords {
		size += len(key) + 8 + len(want) // 8 bytes of checksum
		if got, err := s.Get(key); err != nil || string(got) != want {
			t.Errorf("record %s is read as %q (%v), want %q", key, got, err, want)
		}
	}
	if got := s.Stats(); got.Corrupt != 0 || got.Bytes != int64(size) {
		t.Errorf("stats %+v, want no corrupt record and %d bytes", got, size)
	}
}

// Guards against a changed layout of a record, after which an older build drops
// every record that this one has written.
func TestRecordedFileIsWritten(t *testing.T) {
	recorded := openRecorded(t)
	s := openStore(t, t.TempDir(), Options{})
	defer func() { _ = s.Close() }()
	for key, value := range recordedRecords {
		if err := s.Put(key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := rawRecords(t, s), rawRecords(t, recorded); !maps.Equal(got, want) {
		t.Errorf("the records are written as %q, want %q", got, want)
	}
}

// rawRecords returns the records as they are in the file, by key.
func rawRecords(t *testing.T, s *Store) map[string]string {
	t.Helper()
	records := map[string]string{}
	err := s.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				records[string(bucket)+"/"+string(k)] = string(v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return records
}
