package registry

import "sync"

// Index numbers services in the order in which they are first named. A number is never assigned
// twice. It is safe for concurrent use.
type Index struct {
	mutex   sync.RWMutex
	numbers map[string]int
	names   []string
}

// NewIndex returns an empty Index.
func NewIndex() *Index {
	return &Index{numbers: make(map[string]int)}
}

// Find returns the number of a service; false if it has none.
func (i *Index) Find(service string) (int, bool) {
	i.mutex.RLock()
	defer i.mutex.RUnlock()
	number, exists := i.numbers[service]
	return number, exists
}

// Assign returns the number of a service, and assigns one if it has none. Call it only with
// services that a configuration names, since an announcement may name any service.
func (i *Index) Assign(service string) int {
	number, exists := i.Find(service)
	if exists {
		return number
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if number, exists = i.numbers[service]; exists {
		return number
	}
	number = len(i.names)
	i.numbers[service] = number
	i.names = append(i.names, service)
	return number
}

// Name returns the service with a number that Assign has returned.
func (i *Index) Name(number int) string {
	i.mutex.RLock()
	defer i.mutex.RUnlock()
	return i.names[number]
}

// Len returns the number of numbered services.
func (i *Index) Len() int {
	i.mutex.RLock()
	defer i.mutex.RUnlock()
	return len(i.names)
}
