package cell

import "maps"

// life identifies one life of a worker, beside its ID.
type life struct {
	addr      string
	startedAt int64 // WorkerInfo.StartedAt
	listed    int64 // start that its entry named, which may be that of the life before
}

// isReplaced reports whether an entry of the store's list is of a life that has ended: another
// worker answers at its address. The entry stays for some time.
func (c *Cell) isReplaced(info WorkerInfo) bool {
	ended, known := c.replaced[info.ID]
	if !known {
		return false
	}
	if info.Addr == ended.addr && (info.StartedAt == ended.startedAt || info.StartedAt == ended.listed) {
		return true
	}
	delete(c.replaced, info.ID)
	return false
}

// forgetReplaced forgets the replaced workers that have left the list.
func (c *Cell) forgetReplaced(listed map[string]bool) {
	maps.DeleteFunc(c.replaced, func(id string, _ life) bool { return !listed[id] })
}
