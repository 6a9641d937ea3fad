package host

import "github.com/syndtr/goleveldb/leveldb/storage"

// durableStorage is a storage whose new files have their names synced with them, and whose
// manifest is synced before it is named the current one. goleveldb does neither by itself, so
// that a loss of power could take a store right after it was opened, or a journal that was
// just begun.
type durableStorage struct {
	storage.Storage
	syncFolder func() error
	unnamed    map[storage.FileDesc]*durableFile // manifests not yet named the current one
	uncertain  map[storage.FileDesc]bool         // manifests whose naming failed, and which may be the current one
}

func newDurableStorage(s storage.Storage, syncFolder func() error) *durableStorage {
	return &durableStorage{
		Storage:    s,
		syncFolder: syncFolder,
		unnamed:    map[storage.FileDesc]*durableFile{},
		uncertain:  map[storage.FileDesc]bool{},
	}
}

// Log drops what goleveldb tells of its work: it would cost the disk writes.
func (s *durableStorage) Log(string) {}

// Create makes a file whose first sync also syncs the folder.
func (s *durableStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := s.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	f := &durableFile{Writer: w, syncFolder: s.syncFolder}
	if fd.Type == storage.TypeManifest {
		s.unnamed[fd] = f
	}
	return f, nil
}

// SetMeta names the current manifest, which must last before its name does.
func (s *durableStorage) SetMeta(fd storage.FileDesc) error {
	if f := s.unnamed[fd]; f != nil {
		if err := f.Sync(); err != nil {
			return err
		}
		delete(s.unnamed, fd)
	}
	err := s.Storage.SetMeta(fd)
	if err != nil {
		s.uncertain[fd] = true
	}
	return err
}

// Remove keeps a manifest that may be the current one: goleveldb takes a naming that failed
// for one that did nothing.
func (s *durableStorage) Remove(fd storage.FileDesc) error {
	if s.uncertain[fd] {
		return nil
	}
	return s.Storage.Remove(fd)
}

// durableFile is a file whose name is synced with it.
type durableFile struct {
	storage.Writer
	syncFolder func() error
	named      bool // the name lasts
}

// Sync syncs the file and, the first time, its name.
func (f *durableFile) Sync() error {
	if err := f.Writer.Sync(); err != nil || f.named {
		return err
	}
	if err := f.syncFolder(); err != nil {
		return err
	}
	f.named = true
	return nil
}
