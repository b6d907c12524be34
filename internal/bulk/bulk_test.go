package bulk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

func openStore(t testing.TB, folder string, o Options) *Store {
	t.Helper()
	s, err := Open(folder, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against returning a truncated or corrupt record as data, losing intact
// records in the same file, and counting the used bytes wrongly.
func TestCorruptRecordIsDropped(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder, Options{})
	for _, key := range []string{"a/1", "a/2", "a/3", "b/1"} {
		if err := s.Put(key, []byte("value of "+key)); err != nil {
			t.Fatal(err)
		}
	}
	before := s.Stats().Bytes
	err := s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		torn := append([]byte(nil), bucket.Get([]byte("a/1"))[:10]...)
		flipped := append([]byte(nil), bucket.Get([]byte("a/2"))...)
		flipped[len(flipped)-1] ^= 1
		return errors.Join(bucket.Put([]byte("a/1"), torn), bucket.Put([]byte("a/2"), flipped))
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get("a/1"); !errors.Is(err, ErrCorrupt) {
		t.Errorf("Get of a torn record: %v, want ErrCorrupt", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openStore(t, folder, Options{})
	defer func() { _ = s.Close() }()
	found := ""
	if err := s.Scan("a/", func(key string, value []byte) { found += key + "=" + string(value) + ";" }); err != nil {
		t.Fatal(err)
	}
	if found != "a/3=value of a/3;" || s.Stats().Corrupt != 1 || s.Stats().Bytes != before/2 {
		t.Errorf("after reopening: records %q, stats %+v, want a/3 only, 1 corrupt, %d bytes", found, s.Stats(), before/2)
	}
}

// Guards against a daemon that fails to start or crashes because its bulk file
// is damaged. Open must succeed for each kind of damage.
func TestDamagedFileIsPutAside(t *testing.T) {
	damages := map[string]func(path string) error{
		"overwritten": func(path string) error { return os.WriteFile(path, make([]byte, 65536), fileMode) },
		"cut short":   func(path string) error { return os.Truncate(path, 5000) },
		"empty pages": func(path string) error {
			content, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			clear(content[2*os.Getpagesize():])
			return os.WriteFile(path, content, fileMode)
		},
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s := openStore(t, folder, Options{})
			for i := range 50 {
				if err := s.Put(fmt.Sprint("key", i), make([]byte, 1000)); err != nil {
					t.Fatal(err)
				}
			}
			_ = s.Close()
			if err := damage(filepath.Join(folder, fileName)); err != nil {
				t.Fatal(err)
			}
			s = openStore(t, folder, Options{})
			defer func() { _ = s.Close() }()
			if s.Stats().Corrupt == 0 {
				t.Error("damage was not counted")
			}
			if err := s.Put("new", []byte("x")); err != nil {
				t.Errorf("Put after the damage: %v", err)
			}
		})
	}
}

// Guards against growth beyond MaxBytes, and against space that a delete does
// not free.
func TestSizeLimit(t *testing.T) {
	s := openStore(t, t.TempDir(), Options{MaxBytes: 3000})
	defer func() { _ = s.Close() }()
	var full error
	for i := 0; full == nil && i < 10; i++ {
		full = s.Put(fmt.Sprint(i), make([]byte, 1000))
	}
	if !errors.Is(full, ErrFull) || s.Stats().Bytes > 3000 || s.Stats().Rejected != 1 {
		t.Fatalf("error %v, stats %+v, want ErrFull below 3000 bytes", full, s.Stats())
	}
	if err := s.Delete("0"); err != nil {
		t.Fatal(err)
	}
	if err := s.Put("again", make([]byte, 1000)); err != nil {
		t.Errorf("Put after a delete: %v", err)
	}
	if _, err := s.Get("0"); !errors.Is(err, ErrNotFound) {
		t.Errorf("Get of a deleted record: %v, want ErrNotFound", err)
	}
}

// BenchmarkPut compares synced Puts by two goroutines for each CPU with the
// baseline that skips fsync.
func BenchmarkPut(b *testing.B) {
	for _, o := range []struct {
		name string
		Options
	}{{"baseline-nosync", Options{NoSync: true}}, {"sync", Options{}}} {
		b.Run(o.name, func(b *testing.B) {
			s := openStore(b, b.TempDir(), o.Options)
			defer func() { _ = s.Close() }()
			value := make([]byte, 16<<10)
			b.SetParallelism(2)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if err := s.Put(fmt.Sprint(i%64), value); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
