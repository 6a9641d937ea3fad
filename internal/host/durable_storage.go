package host

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/syndtr/goleveldb/leveldb/storage"
)

// durableStorage is a storage that syncs the names of new files together with the files, and syncs a manifest before
// making it current. goleveldb does neither, so that a power loss could destroy a store right after it was opened, or
// a journal that was just created.
type durableStorage struct {
	storage.Storage
	syncFolder   func() error
	notCurrent   map[storage.FileDesc]*durableFile // manifests that are not current yet
	maybeCurrent map[storage.FileDesc]bool         // manifests that may be current, because making them current failed
}

func newDurableStorage(s storage.Storage, syncFolder func() error) *durableStorage {
	return &durableStorage{
		Storage:      s,
		syncFolder:   syncFolder,
		notCurrent:   map[storage.FileDesc]*durableFile{},
		maybeCurrent: map[storage.FileDesc]bool{},
	}
}

// Log discards goleveldb's log messages, which would cost disk writes.
func (s *durableStorage) Log(string) {}

// Create creates a file whose first sync also syncs the folder.
func (s *durableStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	if err := s.refuseCurrentManifest(fd); err != nil {
		return nil, err
	}
	w, err := s.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	file := &durableFile{Writer: w, syncFolder: s.syncFolder}
	if fd.Type == storage.TypeManifest {
		s.notCurrent[fd] = file
	}
	return file, nil
}

// refuseCurrentManifest returns errDamaged for the manifest that is current. Numbers of files rise, so it was not written under
// that number; goleveldb would overwrite it and then remove it as the previous one.
func (s *durableStorage) refuseCurrentManifest(fd storage.FileDesc) error {
	if fd.Type != storage.TypeManifest {
		return nil
	}
	switch current, err := s.GetMeta(); {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return err
	case current == fd:
		return errors.Wrapf(errDamaged, "%v is current and has the number of a later one", fd)
	}
	return nil
}

// SetMeta makes a manifest current, after the manifest itself is durable.
func (s *durableStorage) SetMeta(fd storage.FileDesc) error {
	if file := s.notCurrent[fd]; file != nil {
		if err := file.Sync(); err != nil {
			return err
		}
		delete(s.notCurrent, fd)
	}
	err := s.Storage.SetMeta(fd)
	if err != nil {
		s.maybeCurrent[fd] = true
	}
	return err
}

// Remove keeps a manifest that may be current: goleveldb assumes that a failed SetMeta had no effect.
func (s *durableStorage) Remove(fd storage.FileDesc) error {
	if s.maybeCurrent[fd] {
		return nil
	}
	return s.Storage.Remove(fd)
}

// durableFile is a file whose name is synced together with its content.
type durableFile struct {
	storage.Writer
	syncFolder func() error
	nameSynced bool // the name is durable
}

// Sync syncs the file and, on the first call, its name.
func (f *durableFile) Sync() error {
	if err := f.Writer.Sync(); err != nil || f.nameSynced {
		return err
	}
	if err := f.syncFolder(); err != nil {
		return err
	}
	f.nameSynced = true
	return nil
}
